package commandqueue

import (
	"context"
	"testing"
	"time"
)

// Commands are carried out one at a time and in order; behind the end none waits.
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
