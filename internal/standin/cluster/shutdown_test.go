package cluster

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"weirwind/internal/member/wire"
	"weirwind/internal/standin/replicaset"
)

// reachedIDs is an observer that keeps the ids of the statements that came to members.
type reachedIDs struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (r *reachedIDs) Reached(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id] = true
}

func (r *reachedIDs) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

func (r *reachedIDs) Read(string, []replicaset.Entry) {}

func (r *reachedIDs) Committed(string, wire.Position) {}

// Clients that ask again without a pause are never idle; they were cut in the midst of a statement as the process ended.
func TestProxyThatEndsAnswersWhatIsAtAMember(t *testing.T) {
	const clients = 8
	d := New(t, 3, 1)
	d.Configure(1)
	reached := &reachedIDs{ids: map[string]bool{}}
	d.Service.With(func(*replicaset.Group) { d.Service.Observer, d.Service.WorkTime = reached, 15*time.Millisecond })
	var all sync.WaitGroup
	asked := make(chan struct{}, clients)
	for n := range clients {
		k, first := d.Attach(0, "prim")
		if first != "READY I -" {
			t.Fatal(first)
		}
		all.Go(func() {
			statement := []string{fmt.Sprint("STORE k", n, " v"), fmt.Sprint("FETCH k", n)}[n%2]
			for i := 0; ; i++ {
				id, answer := k.Query(statement)
				if i == 0 {
					asked <- struct{}{}
				}
				if strings.HasPrefix(answer, "end") {
					if reached.has(id) {
						t.Errorf("%s %s was at a member as its connection ended: %s", id, statement, answer)
					}
					return
				}
			}
		})
	}
	for range clients {
		<-asked
	}
	d.Signal("proxy0", syscall.SIGTERM)
	began := time.Now()
	if !d.Await("proxy0", 4*time.Second) { // the race detector ends a second late
		t.Errorf("the process was there %v after SIGTERM", time.Since(began))
	}
	all.Wait()
}
