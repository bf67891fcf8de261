package zones

// This file owns what the reports of several zones add up to: which zone is lost, partitioned, slow or lagging. It must
// never take one driver's report for its zone's, or what one zone can't reach for lost.

import (
	"cmp"
	"slices"
)

// verdict is what a zone finds of another, or of itself, by the majority of its reporters.
type verdict uint8

const (
	verdictUnknown verdict = iota // nobody reports on it
	verdictHealthy
	verdictUnreachable
	verdictSlow
	verdictLagging
)

// From which shares and ratios on an observation is not healthy.
const (
	unreachableShare = 0.5 // of a zone's members
	slowRatio        = 2.5 // of recent latency to its baseline
	laggingShare     = 0.8 // of a zone's members
)

func (o *Observation) verdict() verdict {
	switch {
	case o.Members == 0:
		return verdictUnknown
	case float64(o.Unreachable) >= unreachableShare*float64(o.Members):
		return verdictUnreachable
	case o.LatencyRatio > slowRatio:
		return verdictSlow
	case float64(o.Lagging) >= laggingShare*float64(o.Members) && o.Members > 1:
		return verdictLagging
	}
	return verdictHealthy
}

// Assessment is what is wrong, zone by zone.
type Assessment struct {
	Causes     map[string]Cause // by zone; none for a zone without fault
	Partitions []Partition      // sorted
	Unobserved []string         // zones that nobody reports on
}

// verdicts are by the zone that reports, and then by the zone that it reports on.
type verdicts map[string]map[string]verdict

// assess adds reports up. zones are all that are known; alive says whether any driver of a zone is alive.
func assess(zones []string, reports []Report, alive map[string]bool, regionOf map[string]string) Assessment {
	found := verdicts{}
	for _, from := range zones {
		found[from] = map[string]verdict{}
		for _, of := range zones {
			found[from][of] = majorityVerdict(reports, from, of)
		}
	}
	a := Assessment{Causes: map[string]Cause{}}
	for _, zone := range zones {
		cause, observed := found.causeOf(zone, zones, alive[zone])
		if !observed {
			a.Unobserved = append(a.Unobserved, zone)
		}
		if cause != NoCause {
			a.Causes[zone] = cause
		}
		if cause == ZoneLost || cause == MembersLost {
			continue
		}
		for _, from := range zones {
			if from != zone && found[from][zone] == verdictUnreachable {
				a.Partitions = append(a.Partitions, Partition{from, zone})
			}
		}
	}
	a.attributeToRegions(zones, regionOf)
	slices.SortFunc(a.Partitions, func(a, b Partition) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return a
}

// majorityVerdict is what most reporters of one zone find of another; healthy where they differ, unknown where none
// reports on it.
func majorityVerdict(reports []Report, from, of string) verdict {
	votes, total := map[verdict]int{}, 0
	for _, r := range reports {
		if r.Zone != from {
			continue
		}
		for i := range r.Observations {
			o := &r.Observations[i]
			if v := o.verdict(); o.Zone == of && v != verdictUnknown {
				votes[v]++
				total++
			}
		}
	}
	if total == 0 {
		return verdictUnknown
	}
	for v, n := range votes {
		if 2*n > total {
			return v
		}
	}
	return verdictHealthy
}

// causeOf is what is wrong with one zone by its own verdict and those of the others; observed is false where there are
// none.
func (found verdicts) causeOf(zone string, zones []string, alive bool) (cause Cause, observed bool) {
	others, count := 0, map[verdict]int{}
	for _, from := range zones {
		if v := found[from][zone]; from != zone && v != verdictUnknown {
			others++
			count[v]++
		}
	}
	own := found[zone][zone]
	total := others + toInt(own != verdictUnknown)
	unreachable := count[verdictUnreachable] == others // for all others
	majority := func(v verdict) bool { return 2*(count[v]+toInt(own == v)) > total }
	switch {
	case total == 0:
		return NoCause, false
	case others > 0 && unreachable && !alive:
		return ZoneLost, true
	case unreachable && own == verdictUnreachable:
		return MembersLost, true
	case others > 0 && unreachable && own != verdictUnknown:
		return Isolated, true
	case !alive && others > 0:
		return DriversLost, true
	case majority(verdictSlow):
		return Slow, true
	case majority(verdictLagging):
		return Lagging, true
	}
	return NoCause, true
}

// attributeToRegions gives the zones of a region of several, all of which are lost, that cause.
func (a *Assessment) attributeToRegions(zones []string, regionOf map[string]string) {
	lost, total := map[string]int{}, map[string]int{}
	for _, zone := range zones {
		region := regionOf[zone]
		total[region]++
		if a.Causes[zone] == ZoneLost || a.Causes[zone] == MembersLost {
			lost[region]++
		}
	}
	for _, zone := range zones {
		if region := regionOf[zone]; region != "" && total[region] > 1 && lost[region] == total[region] {
			a.Causes[zone] = RegionLost
		}
	}
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
