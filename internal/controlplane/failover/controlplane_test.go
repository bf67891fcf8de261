package failover

import (
	"maps"
	"slices"
)

// controlPlane is what the leader of the control plane knows, and what it has committed: the second outlives it.
type controlPlane struct {
	known               map[string]bool    // members that send heartbeats here and have not departed
	departed            map[string]bool    // members known to have departed
	heartbeatsLostUntil map[string]float64 // until when a member's heartbeats go elsewhere
	term                uint64             // of the leader
	promotes            uint64             // that it issued

	roster       map[string]bool // committed
	removals     map[string]bool // proposed: members that are covered
	nextCommitAt float64

	latePromotes    int     // that are under way
	latePromoteRate float64 // share of promotes that are carried out late, and not answered
	delayReceiving  bool    // members that start receive from startDelay on

	ignoreRoster    bool // the guard is taken out: members of which nothing is known don't count
	oneTokenPerTerm bool // the guard is taken out: all promotes of a leader have one fencing token
}

func newControlPlane(ids ...string) *controlPlane {
	c := &controlPlane{known: map[string]bool{}, departed: map[string]bool{}, heartbeatsLostUntil: map[string]float64{},
		roster: map[string]bool{}, removals: map[string]bool{}, term: 1}
	for _, id := range ids {
		c.known[id], c.roster[id] = true, true
	}
	return c
}

// heartbeat takes a member's heartbeat, which is lost while the member is hidden.
func (c *controlPlane) heartbeat(id string, now float64) {
	if now >= c.heartbeatsLostUntil[id] {
		c.known[id] = true
		delete(c.departed, id)
		delete(c.removals, id)
	}
}

// depart notes that a member has left, or was silent for long.
func (c *controlPlane) depart(id string) {
	if c.known[id] {
		delete(c.known, id)
		c.departed[id] = true
	}
}

func (c *controlPlane) allowRemoval(id string) { c.removals[id] = true }

// commit changes the roster by all that was proposed since the last commit, some time later.
func (c *controlPlane) commit(now float64) {
	if now < c.nextCommitAt {
		return
	}
	c.nextCommitAt = now + 200
	for id := range c.known {
		c.roster[id] = true
	}
	for id := range c.removals {
		delete(c.roster, id)
	}
	clear(c.removals)
}

// absent returns the members on the roster of which nothing is known, or that have departed.
func (c *controlPlane) absent() (out []Member) {
	for _, id := range slices.Sorted(maps.Keys(c.roster)) {
		if !c.known[id] && !c.ignoreRoster {
			out = append(out, Member{ID: id, Absent: true, Departed: c.departed[id]})
		}
	}
	return out
}

func (c *controlPlane) nextFencingToken() uint64 {
	if c.promotes++; c.oneTokenPerTerm {
		return c.term << 16
	}
	return c.term<<16 | c.promotes
}

// forget changes the leader: the new one knows only what was committed.
func (c *controlPlane) changeLeader() {
	c.term++
	c.promotes = 0
	clear(c.known)
	clear(c.departed)
	clear(c.removals)
}
