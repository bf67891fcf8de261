package hornli

// This file owns the writer slot: which evidence fills it, and what empties it.

import "math"

// Slot is a replication group's writer slot. M names a member; its zero value is none. Times are milliseconds on a steady
// clock; evidence is dated by when its asking began, so that what was long on its way never undoes what is newer.
type Slot[M comparable] struct {
	Holder  M       // the believed primary
	Last    M       // who was there before it was emptied
	Seen    float64 // the newest evidence for the holder
	Emptied float64
	Silent  bool // emptied for silence or a dead connection, not by the member's own word
}

// NewSlot is empty.
func NewSlot[M comparable]() Slot[M] { return Slot[M]{Seen: math.Inf(-1), Emptied: math.Inf(-1)} }

// Empty says whether it names nobody.
func (s *Slot[M]) Empty() bool {
	var none M
	return s.Holder == none
}

// Takes says whether evidence of that date that m is the primary fills the slot. replicaAt is when m last said that it is a
// replica; spoke, that the evidence is m's own word, which undoes silence.
func (s *Slot[M]) Takes(m M, when, replicaAt float64, draining, spoke bool) bool {
	if s.Holder == m {
		s.Seen = max(s.Seen, when)
		return false
	}
	unsaid := m == s.Last && when <= s.Emptied && !(s.Silent && spoke)
	return !draining && when > s.Seen && replicaAt <= when && !unsaid
}

// Fill names m.
func (s *Slot[M]) Fill(m M, when float64) {
	var none M
	s.Holder, s.Last, s.Seen = m, none, max(s.Seen, when)
}

// Clear empties it.
func (s *Slot[M]) Clear(now float64, silent bool) {
	var none M
	s.Holder, s.Last, s.Emptied, s.Silent = none, s.Holder, now, silent
}
