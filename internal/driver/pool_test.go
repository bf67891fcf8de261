package driver

import (
	"context"
	"testing"
	"time"

	"weirwind/internal/discovery"
)

// A removed member is deleted some time after it was last dialed, also if it was removed by its absence from a complete
// list; a member that is listed again in between stays.
func TestReapForgetsRemovedMembers(t *testing.T) {
	testPool := &pool{idleTimeout: time.Second, counters: &counters{}, members: map[string]*poolMember{}}
	up := func(id string) discovery.Entry {
		return discovery.Entry{ID: id, Address: "127.0.0.1:1", Phase: discovery.PhaseUp}
	}
	testPool.setMembers([]discovery.Entry{up("a"), up("b"), up("c"), up("d"), up("e")}, true)
	testPool.setMembers([]discovery.Entry{
		{ID: "b", Phase: discovery.PhaseRemoved}, {ID: "c", Phase: discovery.PhaseRemoved},
	}, false)
	testPool.setMembers([]discovery.Entry{up("a"), up("c"), up("e")}, true)
	testPool.setMembers([]discovery.Entry{{ID: "e", Phase: discovery.PhaseRemoved}}, false)
	for _, member := range testPool.members {
		if !member.removedAt.IsZero() {
			member.removedAt = member.removedAt.Add(-addressRetention)
		}
	}
	testPool.members["e"].lastDialed = time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	testPool.reap(ctx)
	if len(testPool.members) != 3 || testPool.members["a"] == nil || testPool.members["c"] == nil ||
		testPool.members["e"] == nil {
		t.Errorf("%d members left: %v", len(testPool.members), testPool.members)
	}
}
