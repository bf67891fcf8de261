// Package writerslot is the writer slot that the module and the system share: what fills it, what empties it.
package writerslot

import "math"

// Slot is a replication group's writer slot. M names a member; its zero value is none. Times are milliseconds on a
// steady clock; evidence is dated by when its asking began, so that what was long on its way never undoes what is
// newer.
type Slot[M comparable] struct {
	Holder, Last  M       // the believed primary; who was there before it was emptied
	Seen, Emptied float64 // the newest evidence for the holder; when it was emptied
	Silent        bool    // emptied for silence or a dead connection, not by the member's own word
}

// NewSlot is empty.
func NewSlot[M comparable]() Slot[M] { return Slot[M]{Seen: math.Inf(-1), Emptied: math.Inf(-1)} }

// Takes says whether evidence of then that m is the primary fills the slot; spoke: it is m's own word, which undoes
// silence.
func (s *Slot[M]) Takes(m M, when, replicaAt float64, draining, spoke bool) bool {
	if s.Holder == m {
		s.Seen = max(s.Seen, when)
		return false
	}
	unsaid := m == s.Last && when <= s.Emptied && !(s.Silent && spoke)
	return !draining && when > s.Seen && replicaAt <= when && !unsaid
}

// Fill names m; Clear empties the slot, and keeps who was in it.
func (s *Slot[M]) Fill(m M, when float64) {
	*s = Slot[M]{m, *new(M), max(s.Seen, when), s.Emptied, s.Silent}
}

func (s *Slot[M]) Clear(now float64, silent bool) {
	*s = Slot[M]{*new(M), s.Holder, s.Seen, now, silent}
}
