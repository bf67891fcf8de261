package zones

// This file owns the account of crossings, and what is usual for a zone. It must never grow with ops or members.

import (
	"cmp"
	"slices"
)

// Crossing is a count of sends from drivers of one zone to members of another.
type Crossing struct {
	To     string `json:"to"`
	Type   string `json:"type"`
	Reason string `json:"reason"`
	Ops    int64  `json:"ops"`
	Bytes  int64  `json:"bytes"`
}

// Reasons of sends to another zone.
const (
	ByPlan      = "plan"        // shares say so
	ByWrite     = "primary"     // the group's primary is there, and it is a write or needs it
	ByRepeat    = "repeat"      // a send before it failed
	ByNoNear    = "no_near"     // the group has no member near that could
	ByLoad      = "near_loaded" // the near ones have more to do, or are too far behind
	mostEntries = 4096
)

// Facts are what is known of a send.
type Facts struct {
	Repeat, Primary, NoNear bool
}

// Account counts crossings.
type Account struct {
	counts map[Crossing]*[2]int64
	reads  map[string]float64 // to where since the last Sent
}

// Count takes a send of so many bytes. planned says that the plan has shares for that zone.
func (a *Account) Count(from, to, opType string, bytes int, f Facts, planned bool) {
	if a.counts == nil {
		a.counts, a.reads = map[Crossing]*[2]int64{}, map[string]float64{}
	}
	if !f.Primary && len(a.reads) < maxZones {
		a.reads[to]++
	}
	if from == to {
		return
	}
	reason := ByLoad
	switch {
	case f.Repeat:
		reason = ByRepeat
	case f.Primary:
		reason = ByWrite
	case planned:
		reason = ByPlan
	case f.NoNear:
		reason = ByNoNear
	}
	key := Crossing{To: to, Type: opType, Reason: reason}
	n := a.counts[key]
	if n == nil {
		if len(a.counts) >= mostEntries {
			return
		}
		n = &[2]int64{}
		a.counts[key] = n
	}
	n[0]++
	n[1] += int64(bytes)
}

// Sent gives where reads went since it was called last, by zone.
func (a *Account) Sent() map[string]float64 {
	sent := a.reads
	a.reads = map[string]float64{}
	return sent
}

// All are the counts since the start.
func (a *Account) All() (all []Crossing) {
	for k, n := range a.counts {
		k.Ops, k.Bytes = n[0], n[1]
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b Crossing) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

// Usual follows answering times of one zone: recent ones, and what is usual, which does not follow while they are far
// off.
type Usual struct {
	recent, usual float64
	n             int
}

const (
	usualLeast  = 30 // answers before anything is said
	recentPart  = 0.05
	usualPart   = 0.002
	usualFollow = 1.8
)

// Add takes an answer that took so long.
func (u *Usual) Add(ms float64) {
	if u.n++; u.n == 1 {
		u.recent, u.usual = ms, ms
	}
	u.recent += recentPart * (ms - u.recent)
	if u.n <= usualLeast {
		u.usual += (ms - u.usual) / float64(u.n)
	} else if u.recent < usualFollow*u.usual {
		u.usual += usualPart * (ms - u.usual)
	}
}

// Slow is the recent time over the usual one; 0 while there were too few answers.
func (u *Usual) Slow() float64 {
	if u.n < usualLeast || u.usual <= 0 {
		return 0
	}
	return u.recent / u.usual
}
