package writerslot // doc.go says what fills the slot and what empties it, and why

import "math"

// Slot is one group's. M names a member; its zero value is none. Times are milliseconds on a monotonic clock. Evidence
// is dated by when its request began, so that an answer that was long under way never undoes anything newer.
type Slot[M comparable] struct {
	Holder, Last  M       // the believed primary; the member that was in the slot when it was last emptied
	Seen, Emptied float64 // time of the newest evidence for a holder; time when the slot was last emptied
	Silent        bool    // it was emptied for a timeout or a dead connection, not on the member's own evidence
}

// NewSlot returns an empty slot.
func NewSlot[M comparable]() Slot[M] { return Slot[M]{Seen: math.Inf(-1), Emptied: math.Inf(-1)} }

// Takes says whether evidence of time when that m is primary fills the slot; spoke: m itself answered.
func (s *Slot[M]) Takes(m M, when, replicaAt float64, draining, spoke bool) bool {
	if s.Holder == m {
		s.Seen = max(s.Seen, when)
		return false
	}
	refuted := m == s.Last && when <= s.Emptied && !(s.Silent && spoke)
	return !draining && when > s.Seen && replicaAt <= when && !refuted
}

// Fill puts m into the slot by evidence of time when.
func (s *Slot[M]) Fill(m M, when float64) {
	*s = Slot[M]{m, *new(M), max(s.Seen, when), s.Emptied, s.Silent}
}

// Clear empties the slot and keeps who was in it. silent: for a timeout or a dead connection.
func (s *Slot[M]) Clear(now float64, silent bool) {
	*s = Slot[M]{*new(M), s.Holder, s.Seen, now, silent}
}
