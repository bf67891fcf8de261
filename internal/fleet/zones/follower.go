package zones

// This file owns what one driver makes of the plan: tolls for its module, which bring its own reads to the shares that
// are planned for its zone. It must never shut the own zone's members off, or move faster than they can warm.

import (
	"math"

	"weirwind/internal/fleet/membership"
)

// Action is something that a driver could do to others' harm by itself.
type Action uint8

// What Allowed is asked for.
const (
	MovePrimary Action = iota // ask for it
	SpillToZone               // send a zone more than its drivers' own reads
	FollowPlan                // go by the last plan
	AvoidZone                 // send nothing new to what the plan says is away
	ConfirmPlan               // lead, and confirm the plan that holds
)

// withMajority says that a driver is with most of them.
func withMajority(s membership.PartitionStatus) bool {
	return s == membership.Complete || s == membership.Majority
}

// Allowed is the table of what a driver may do in its standing among its peers, with the plan in force or not
// (docs/zones.md).
func Allowed(s membership.PartitionStatus, inForce bool, a Action) bool {
	switch a {
	case MovePrimary: // once only: with most drivers, under a plan that is the newest
		return withMajority(s) && inForce
	case SpillToZone, FollowPlan: // for a lease: a majority of voters confirmed it
		return inForce
	case AvoidZone: // sending less breaks no rule; it lasts beyond the lease
		return true
	case ConfirmPlan: // a majority of the voters has to agree, whatever the standing
		return true
	}
	return false
}

// In sends in flight; farToll is what the module takes where it is told nothing.
const (
	farToll  = 0.3
	shutToll = 60.0
	maxToll = 8.0
	gain     = 1.5 // a second, for the whole of a share missed
	minSamples = 20  // sends in a look: fewer say nothing
)

// follower is a driver's own part.
type tollController struct {
	zone  string
	tolls map[string]float64 // what it steers by
	steeredAt  float64
}

// steer brings tolls nearer to what the planned shares need. sent is what the own reads of late were sent to, by zone.
func (f *tollController) steer(now float64, p *Plan, zones []string, sent map[string]float64) {
	if f.tolls == nil {
		f.tolls = map[string]float64{}
	}
	span := min(max(now-f.steeredAt, 0), 2000) / 1000
	f.steeredAt = now
	total := 0.0
	for _, n := range sent {
		total += n
	}
	least := math.Inf(1)
	for _, z := range zones {
		t, known := f.tolls[z]
		if !known && z != f.zone {
			t = farToll
		}
		share := p.share(f.zone, z)
		if share > 0 && share < 0.995 && total >= minSamples {
			t += gain * span * (sent[z]/total - share)
		} else if share == 0 || share >= 0.995 { // back to what it is without a plan
			base := farToll
			if z == f.zone {
				base = 0
			}
			t += (base - t) * min(1, span/2)
		}
		f.tolls[z] = t
		if share > 0 {
			least = min(least, t)
		}
	}
	for z, t := range f.tolls { // only differences count, none is negative
		if !math.IsInf(least, 1) && least < 0 {
			t -= least
		}
		f.tolls[z] = min(max(t, 0), maxToll)
	}
}

// give is what the module is told: nil for nothing. Without a plan in force only what it said is away keeps its toll,
// and all else is as it was without any.
func (f *tollController) effective(p *Plan, zones []string, inForce bool) map[string]float64 {
	if p == nil {
		return nil
	}
	told, news := map[string]float64{}, false
	for _, z := range zones {
		st := p.zone(z)
		base := farToll
		if z == f.zone {
			base = 0
		}
		t := base
		if inForce {
			if own, known := f.tolls[z]; known {
				t = math.Round(own*20) / 20
			}
			if p.partitioned(f.zone, z) || z != f.zone && p.share(f.zone, z) == 0 && len(p.Flows) > 0 && st.State != Serving {
				t = shutToll
			}
		}
		if (st.State == Ejected || st.State == Draining && st.Capacity == 0) && !(z == f.zone && st.Cause == Isolated) {
			t = shutToll
		}
		if told[z] = t; t != base {
			news = true
		}
	}
	if !news {
		return nil
	}
	return told
}
