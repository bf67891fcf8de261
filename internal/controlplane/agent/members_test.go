package agent

import (
	"io"
	"testing"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

// Members' heartbeats don't reach agents. A member of which nothing new came for long is alive until the core says
// otherwise; only tombstones are let go.
func TestQuietMembersStayAndOldTombstonesGo(t *testing.T) {
	h := newHistory(t, 0, io.Discard)
	h.pass(1000)
	h.a.applyUpdate(&controlmsg.StateUpdate{Members: []directory.Member{
		{ID: "alive", Service: "s", Addr: "a", Incarnation: 1, Seq: 1},
		{ID: "ended", Service: "s", Addr: "b", Incarnation: 1, Seq: 1, Tombstone: true},
	}})
	for _, c := range []struct {
		afterMs   float64
		tombstone bool // is still known
	}{
		{89_000, true}, {2_000, false}, {600_000, false},
	} {
		h.pass(c.afterMs)
		h.a.renewTick()
		if m, known := h.a.members.Get("alive"); !known || m.Tombstone {
			t.Errorf("after %v ms: the quiet member is known %v, tombstone %v", h.ms, known, m.Tombstone)
		}
		if _, known := h.a.members.Get("ended"); known != c.tombstone {
			t.Errorf("after %v ms: the ended member is known %v", h.ms, known)
		}
	}
}
