package agent

import (
	"io"
	"testing"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

// Heartbeats of members don't reach agents, so a member without updates must stay known and alive. Only tombstones are
// purged after their TTL.
func TestOnlyOldTombstonesArePurged(t *testing.T) {
	sim := newSimulation(t, 0, io.Discard)
	sim.advance(1000)
	sim.agent.applyUpdate(&controlmsg.StateUpdate{Members: []directory.Member{
		{ID: "alive", Service: "s", Addr: "a", Incarnation: 1, Seq: 1},
		{ID: "ended", Service: "s", Addr: "b", Incarnation: 1, Seq: 1, Tombstone: true},
	}})
	for _, c := range []struct {
		afterMs   float64
		tombstone bool // the ended member's tombstone is still known
	}{
		{89_000, true}, {2_000, false}, {600_000, false},
	} {
		sim.advance(c.afterMs)
		sim.agent.renewTick()
		if member, known := sim.agent.members.Get("alive"); !known || member.Tombstone {
			t.Errorf("after %v ms: the quiet member is known: %v, tombstone: %v", sim.elapsedMs, known, member.Tombstone)
		}
		if _, known := sim.agent.members.Get("ended"); known != c.tombstone {
			t.Errorf("after %v ms: the ended member is known: %v", sim.elapsedMs, known)
		}
	}
}
