package roster

// This file owns a driver's presence among its fellows: when its lease is granted, renewed or given up, and how many
// drivers there are. It must never count a lease as standing for longer than the registry may, and never let
// drivers think that they are few because a registry is silent.

import (
	"math/rand/v2"

	"weirwind/internal/limits"
)

// PresenceStep is what to do about the own lease.
type PresenceStep uint8

// The steps.
const (
	StepWait  PresenceStep = iota
	StepGrant              // a new lease, and the own key under it where nobody has it
	StepRenew
)

// PresenceResult is how a step ended.
type PresenceResult uint8

// How a step may end.
const (
	StepDone      PresenceResult = iota
	StepLeaseLost                // the lease is not there any more
	StepNameTaken                // another driver has the name
	StepFailed
)

// Presence is the state of the own lease. Times are milliseconds.
type Presence struct {
	ttl    float64
	until  float64 // the lease stands until then, for certain
	at     float64 // when the next step is due
	leased bool
	taken  bool
	draw   *rand.Rand
	pauses limits.Pauses
}

// NewPresence begins without a lease.
func NewPresence(ttl float64, seed uint64) *Presence {
	return &Presence{ttl: ttl, draw: rand.New(rand.NewPCG(seed, 0xA5A5)), pauses: limits.Pauses{Least: 200, Most: ttl}}
}

// Next gives the step that is due, or Rest with the time until one is.
func (p *Presence) Next(now float64) (PresenceStep, float64) {
	if p.leased && now >= p.until { // expired while this driver stood still: others may think it gone, so may it
		p.leased = false
	}
	switch {
	case now < p.at:
		return StepWait, p.at - now
	case p.leased:
		return StepRenew, 0
	}
	return StepGrant, 0
}

// StepEnded takes the end of a step that was begun at a time: a lease stands from the sending of its request, as the
// registry may have counted from then. ttl is the one that the registry granted.
func (p *Presence) StepEnded(began, now float64, step PresenceStep, end PresenceResult, ttl float64) {
	switch end {
	case StepDone:
		if ttl <= 0 {
			ttl = p.ttl
		}
		p.pauses.Done()
		p.leased, p.taken, p.until, p.at = true, false, began+ttl, began+ttl/3
	case StepLeaseLost:
		p.leased, p.at = false, now
	case StepNameTaken: // an earlier run's lease, which ends by itself, or another driver of the same name
		p.leased, p.taken, p.at = false, true, now+p.ttl*(0.5+0.5*p.draw.Float64())
	default:
		p.at = now + p.pauses.Failed(p.draw)
	}
}

// Status says whether the own lease stands for certain; taken, whether another driver has the name.
func (p *Presence) Status(now float64) (stands, taken bool) {
	return p.leased && now < p.until, p.taken
}

// Peers counts the drivers. More are believed at once, as that makes every driver more careful; fewer only when they
// have been fewer for Hold, from a registry that speaks.
type Peers struct {
	Self           string
	ShrinkAfter    float64 // milliseconds
	SilenceTimeout float64 // a listed fellow that was not heard for so long is silent

	count  int
	fewer  float64 // since when they have been fewer
	most   int     // and how many at most since then
	heard  map[string]float64
	silent map[string]bool
}

// Count takes who is listed now, ordered as the list is, and gives how many drivers there are, this one included.
func (f *Peers) Count(now float64, listed []Entry, speaks bool) int {
	n := 1
	for _, e := range listed {
		if e.ID != f.Self && e.Phase == PhaseUp {
			n++
		}
	}
	switch {
	case n >= f.count:
		f.count, f.fewer, f.most = n, 0, 0
	case !speaks:
		f.fewer, f.most = 0, 0
	case f.fewer == 0:
		f.fewer, f.most = now, n
	default:
		if f.most = max(f.most, n); now-f.fewer >= f.ShrinkAfter {
			f.count, f.fewer, f.most = f.most, 0, 0
		}
	}
	return f.count
}

// Observe notes a word from a fellow.
func (f *Peers) Observe(now float64, name string) {
	if f.heard == nil {
		f.heard, f.silent = map[string]float64{}, map[string]bool{}
	}
	f.heard[name] = now
}

// CheckSilence gives the listed fellows that have newly fallen silent, and those that speak again. They are counted all
// the same: who is listed may well serve clients, and only does not get through to this driver.
func (f *Peers) CheckSilence(now float64, listed []Entry) (fell, back []string) {
	if f.heard == nil {
		f.heard, f.silent = map[string]float64{}, map[string]bool{}
	}
	there := map[string]bool{}
	for _, e := range listed {
		if e.ID == f.Self || e.Phase != PhaseUp {
			continue
		}
		there[e.ID] = true
		at, known := f.heard[e.ID]
		if !known {
			f.heard[e.ID] = now // from its first sight on
			continue
		}
		if quiet := now-at > f.SilenceTimeout; quiet && !f.silent[e.ID] {
			f.silent[e.ID] = true
			fell = append(fell, e.ID)
		} else if !quiet && f.silent[e.ID] {
			delete(f.silent, e.ID)
			back = append(back, e.ID)
		}
	}
	for name := range f.heard {
		if !there[name] {
			delete(f.heard, name)
			delete(f.silent, name)
		}
	}
	return fell, back
}
