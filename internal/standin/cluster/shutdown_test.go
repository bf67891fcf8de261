package cluster

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"weirwind/internal/member/wire"
	"weirwind/internal/standin/replicaset"
)

// reachedIDs is an observer that records the ids of the statements that reached members.
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

// A proxy that shuts down answers statements that have reached a member before it closes their connections. Clients
// that send statements without a pause are never idle, and used to be disconnected in the middle of one.
func TestProxyShutdownAnswersStatementsAtMembers(t *testing.T) {
	const clients = 8
	d := New(t, 3, 1)
	d.Configure(1)
	reached := &reachedIDs{ids: map[string]bool{}}
	d.Service.With(func(*replicaset.Group) { d.Service.Observer, d.Service.WorkTime = reached, 15*time.Millisecond })
	var all sync.WaitGroup
	firstAnswers := make(chan struct{}, clients)
	for n := range clients {
		client, greeting := d.Attach(0, "prim")
		if greeting != "READY I -" {
			t.Fatal(greeting)
		}
		all.Go(func() {
			statement := []string{fmt.Sprint("STORE k", n, " v"), fmt.Sprint("FETCH k", n)}[n%2]
			for i := 0; ; i++ {
				id, answer := client.Query(statement)
				if i == 0 {
					firstAnswers <- struct{}{}
				}
				if strings.HasPrefix(answer, "end") {
					if reached.has(id) {
						t.Errorf("%s %s had reached a member when its connection ended: %s", id, statement, answer)
					}
					return
				}
			}
		})
	}
	for range clients {
		<-firstAnswers
	}
	d.Signal("proxy0", syscall.SIGTERM)
	began := time.Now()
	if !d.Await("proxy0", 4*time.Second) { // the race detector delays the exit by a second
		t.Errorf("the process was still running %v after SIGTERM", time.Since(began))
	}
	all.Wait()
}

// Guards against processes that are not watched in their grace period: one that got no processor then counted as late.
func TestPIDsIncludeProcessesThatAreShuttingDown(t *testing.T) {
	d := New(t, 3, 1)
	d.Eventually("a proxy runs", func() bool {
		code, _ := d.Call("GET", d.ReadyAddr(0), "/ready", "", nil)
		return code != 0
	})
	before := d.PIDs()["proxy0"]
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.Terminate("proxy0", 4*time.Second)
	}()
	d.Eventually("the proxy was told to end", func() bool { return !slices.Contains(d.Running(), "proxy0") })
	if got := d.PIDs()["proxy0"]; got == 0 || got != before {
		t.Errorf("the id of the proxy in its grace period is %d, it was %d", got, before)
	}
	<-ended
	if got := d.PIDs()["proxy0"]; got != 0 {
		t.Errorf("the proxy that ended has the id %d", got)
	}
}
