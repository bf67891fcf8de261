package commandqueue

import (
	"context"
	"errors"
	"testing"
	"time"
)

// Commands run one at a time and in order; after the queue's context is done, Do does not block.
func TestQueue(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	q := New(ctx, 1)
	done := make(chan struct{})
	go func() { q.Run(time.Hour, func() {}); close(done) }()
	var got []int
	for i := range 100 {
		q.Do(func() { got = append(got, i) })
	}
	q.Do(func() { stop() })
	<-done
	for i, n := range got {
		if n != i {
			t.Fatal(got)
		}
	}
	for range 10 {
		q.Do(func() {})
	}
}

// Call returns its command's result, after all commands that were queued before it have run.
func TestCall(t *testing.T) {
	q := New(t.Context(), 1)
	go q.Run(time.Hour, func() {})
	n := 0
	for range 100 {
		q.Do(func() { n++ })
	}
	got, err := Call(t.Context(), q, func() int { return n })
	if got != 100 || err != nil {
		t.Fatalf("got %d, %v, want 100 and no error", got, err)
	}
	for range 100 {
		q.Do(func() { n++ })
	}
	waited := 0
	if err := q.Wait(t.Context(), func() { waited = n }); waited != 200 || err != nil {
		t.Fatalf("waited until %d, %v, want 200 and no error", waited, err)
	}
}

// A call to an owner that never replies returns when the caller's or the queue's context is done, whether it waits to
// be queued or for the reply. The owner does not block on the reply of an abandoned call.
func TestCallGivesUp(t *testing.T) {
	for _, c := range []struct {
		name      string
		size      int // 0: the call waits to be queued; 1: it waits for its reply
		ownerEnds bool
		want      error
	}{
		{"caller ends as it is queued", 0, false, context.Canceled},
		{"caller ends as it waits", 1, false, context.Canceled},
		{"owner ends as it is queued", 0, true, ErrClosed},
		{"owner ends as it waits", 1, true, ErrClosed},
	} {
		t.Run(c.name, func(t *testing.T) {
			owner, endOwner := context.WithCancel(t.Context())
			defer endOwner()
			caller, endCaller := context.WithCancel(t.Context())
			defer endCaller()
			q := New(owner, c.size)
			if c.ownerEnds {
				endOwner()
			} else {
				endCaller()
			}
			got, err := Call(caller, q, func() int { return 1 })
			if got != 0 || !errors.Is(err, c.want) {
				t.Fatalf("got %d, %v, want 0, %v", got, err, c.want)
			}
			if err := q.Wait(caller, func() {}); !errors.Is(err, c.want) {
				t.Fatalf("Wait gave %v, want %v", err, c.want)
			}
			for len(q.Commands) > 0 {
				(<-q.Commands).Run()
			}
		})
	}
}
