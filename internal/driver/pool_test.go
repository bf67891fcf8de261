package driver

import (
	"context"
	"testing"
	"time"

	"weirwind/internal/discovery"
)

// A removed member's address is forgotten some time after it was last dialed, also where a complete list doesn't name
// it any more; one that comes back in between stays.
func TestAddressesOfRemovedMembersAreForgotten(t *testing.T) {
	m := &pool{idleTimeout: time.Second, counters: &counters{}, members: map[string]*poolMember{}}
	up := func(id string) discovery.Entry {
		return discovery.Entry{ID: id, Address: "127.0.0.1:1", Phase: discovery.PhaseUp}
	}
	m.setMembers([]discovery.Entry{up("a"), up("b"), up("c"), up("d"), up("e")}, true)
	m.setMembers([]discovery.Entry{{ID: "b", Phase: discovery.PhaseRemoved}, {ID: "c", Phase: discovery.PhaseRemoved}},
		false)
	m.setMembers([]discovery.Entry{up("a"), up("c"), up("e")}, true)
	m.setMembers([]discovery.Entry{{ID: "e", Phase: discovery.PhaseRemoved}}, false)
	for _, h := range m.members {
		if !h.removedAt.IsZero() {
			h.removedAt = h.removedAt.Add(-forgetAfter)
		}
	}
	m.members["e"].lastDialed = time.Now()
	done, end := context.WithCancel(context.Background())
	end()
	m.reap(done)
	if len(m.members) != 3 || m.members["a"] == nil || m.members["c"] == nil || m.members["e"] == nil {
		t.Errorf("%d members known: %v", len(m.members), m.members)
	}
}
