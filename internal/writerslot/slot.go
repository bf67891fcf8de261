package writerslot // see doc.go for what fills and what empties the slot

import "math"

// Slot is the writer slot of a group. M identifies a member; its zero value is none. Times are monotonic milliseconds.
// Evidence is dated by the start of its request, so that a delayed answer never undoes newer evidence.
type Slot[M comparable] struct {
	Holder, LastHolder M       // the believed primary; the holder when the slot was last emptied
	SeenAt, EmptiedAt  float64 // time of the newest evidence for a holder; time when the slot was last emptied
	Unresponsive       bool    // the slot was emptied after a timeout or a broken connection, not on evidence
}

// NewSlot returns an empty slot.
func NewSlot[M comparable]() Slot[M] { return Slot[M]{SeenAt: math.Inf(-1), EmptiedAt: math.Inf(-1)} }

// Accepts reports whether evidence dated when that m is the primary fills the slot. responded: m itself answered.
func (s *Slot[M]) Accepts(m M, when, replicaAt float64, draining, responded bool) bool {
	if s.Holder == m {
		s.SeenAt = max(s.SeenAt, when)
		return false
	}
	refuted := m == s.LastHolder && when <= s.EmptiedAt && !(s.Unresponsive && responded)
	return !draining && when > s.SeenAt && replicaAt <= when && !refuted
}

// Fill makes m the holder on evidence dated when.
func (s *Slot[M]) Fill(m M, when float64) {
	*s = Slot[M]{m, *new(M), max(s.SeenAt, when), s.EmptiedAt, s.Unresponsive}
}

// Clear empties the slot and keeps its holder as LastHolder. unresponsive: the holder timed out or a connection broke.
func (s *Slot[M]) Clear(now float64, unresponsive bool) {
	*s = Slot[M]{*new(M), s.Holder, s.SeenAt, now, unresponsive}
}
