package zones

// This file owns the account of crossings, and what is usual for a zone. It must never grow with ops or members.

import (
	"cmp"
	"slices"
)

// CrossZoneTraffic is a count of sends from drivers of one zone to members of another.
type CrossZoneTraffic struct {
	To     string `json:"to"`
	Type   string `json:"type"`
	Reason string `json:"reason"`
	Ops    int64  `json:"ops"`
	Bytes  int64  `json:"bytes"`
}

// Reasons of sends to another zone.
const (
	ReasonPlan          = "plan"        // shares say so
	ReasonPrimary       = "primary"     // the group's primary is there, and it is a write or needs it
	ReasonRetry         = "repeat"      // a send before it failed
	ReasonNoLocalMember = "no_near"     // the group has no member near that could
	ReasonLocalLoaded   = "near_loaded" // the near ones have more to do, or are too far behind
	mostEntries         = 4096
)

// SendAttributes are what is known of a send.
type SendAttributes struct {
	Retry, Primary, NoLocalMember bool
}

// TrafficCounter counts crossings.
type TrafficCounter struct {
	counts map[CrossZoneTraffic]*[2]int64
	reads  map[string]float64 // to where since the last Sent
}

// Record takes a send of so many bytes. planned says that the plan has shares for that zone.
func (a *TrafficCounter) Record(from, to, opType string, bytes int, f SendAttributes, planned bool) {
	if a.counts == nil {
		a.counts, a.reads = map[CrossZoneTraffic]*[2]int64{}, map[string]float64{}
	}
	if !f.Primary && len(a.reads) < maxZones {
		a.reads[to]++
	}
	if from == to {
		return
	}
	reason := ReasonLocalLoaded
	switch {
	case f.Retry:
		reason = ReasonRetry
	case f.Primary:
		reason = ReasonPrimary
	case planned:
		reason = ReasonPlan
	case f.NoLocalMember:
		reason = ReasonNoLocalMember
	}
	key := CrossZoneTraffic{To: to, Type: opType, Reason: reason}
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

// TakeReads gives where reads went since it was called last, by zone.
func (a *TrafficCounter) TakeReads() map[string]float64 {
	sent := a.reads
	a.reads = map[string]float64{}
	return sent
}

// CrossZone are the counts since the start.
func (a *TrafficCounter) CrossZone() (all []CrossZoneTraffic) {
	for k, n := range a.counts {
		k.Ops, k.Bytes = n[0], n[1]
		all = append(all, k)
	}
	slices.SortFunc(all, func(a, b CrossZoneTraffic) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}

// LatencyBaseline follows answering times of one zone: recent ones, and what is usual, which does not follow while they are far
// off.
type LatencyBaseline struct {
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
func (u *LatencyBaseline) Add(ms float64) {
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
func (u *LatencyBaseline) Ratio() float64 {
	if u.n < usualLeast || u.usual <= 0 {
		return 0
	}
	return u.recent / u.usual
}
