package proxy

import (
	"slices"
	"sync"
	"time"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/writerlease"
)

// confirmInterval is the time between two rounds of queries, so that commits share them.
const confirmInterval = 15 * time.Millisecond

// commitConfirmer has replicas of a group confirm commits that were acknowledged while the proxy has no writer lease.
// The commits that wait at the same time share the queries. Any goroutine may use it.
type commitConfirmer struct {
	router *router
	group  *memberGroup

	mu      sync.Mutex
	waiting []*confirmation // guarded by mu
	running bool            // guarded by mu
}

// confirmation is a commit that waits to be confirmed.
type confirmation struct {
	primaryID string
	commit    wire.Position
	deadline  time.Time
	result    chan bool
}

// confirm has replicas confirm a commit of the primary. It blocks until enough have, or until the deadline.
func (c *commitConfirmer) confirm(primaryID string, commit wire.Position, deadline time.Time) bool {
	waiter := &confirmation{primaryID: primaryID, commit: commit, deadline: deadline, result: make(chan bool, 1)}
	c.mu.Lock()
	c.waiting = append(c.waiting, waiter)
	if !c.running {
		c.running = true
		go c.run()
	}
	c.mu.Unlock()
	return <-waiter.result
}

// run queries replicas in rounds until no commit waits. Rounds after one that has confirmed nothing query all replicas,
// and not only the nearest.
func (c *commitConfirmer) run() {
	all := false
	for {
		waiting := c.take()
		if len(waiting) == 0 {
			return
		}
		unconfirmed := c.round(waiting, all)
		all = len(unconfirmed) > 0
		c.putBack(unconfirmed)
		time.Sleep(confirmInterval)
	}
}

// take returns the commits that wait. If there are none, run ends.
func (c *commitConfirmer) take() []*confirmation {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.waiting
	c.waiting = nil
	c.running = len(waiting) > 0
	return waiting
}

// putBack makes commits wait for the next round, unless their time is over.
func (c *commitConfirmer) putBack(unconfirmed []*confirmation) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, waiter := range unconfirmed {
		if now.Add(confirmInterval).Before(waiter.deadline) {
			c.waiting = append(c.waiting, waiter)
		} else {
			waiter.result <- false
		}
	}
}

// round queries replicas once, and returns the commits that these have not confirmed.
func (c *commitConfirmer) round(waiting []*confirmation, all bool) (unconfirmed []*confirmation) {
	needed := c.router.proxy.syncReplicas(c.group.routing.Service)
	primaryID := waiting[0].primaryID
	replicas, err := commandqueue.Call(c.router.proxy.ctx, c.router.commands, func() []directory.Member {
		return c.router.confirmingReplicas(c.group, primaryID)
	})
	if err != nil || len(replicas) < needed { // the process is ending, or too few replicas are known for long enough
		for _, waiter := range waiting {
			waiter.result <- false
		}
		return nil
	}
	if !all {
		replicas = replicas[:min(needed, len(replicas))]
	}
	newest, began := slices.MaxFunc(waiting, compareCommits), c.router.proxy.now()
	statuses := queryReplicas(replicas, needed, newest.isConfirmedBy)
	for _, waiter := range waiting {
		if waiter.primaryID == primaryID && needed > 0 && countStatuses(statuses, waiter.isConfirmedBy) >= needed {
			waiter.result <- true
			c.router.proxy.writers.recordCheck(c.group.routing.Service, began)
		} else {
			unconfirmed = append(unconfirmed, waiter)
		}
	}
	return unconfirmed
}

func (w *confirmation) isConfirmedBy(status wire.MemberStatus) bool {
	return writerlease.Confirms(status, w.commit)
}

// compareCommits orders commits by their position.
func compareCommits(a, b *confirmation) int { return a.commit.Compare(b.commit) }
