package zones

// This file combines the reports of all zones into an assessment: which zone is lost, partitioned, slow or lagging. It
// must never take one driver's report for that of its zone, or regard a zone as lost because one other zone cannot
// reach it.

import (
	"cmp"
	"slices"
)

// verdict is a zone's finding about another zone, or about itself, by the majority of its reporters.
type verdict uint8

const (
	verdictUnknown verdict = iota // no reports
	verdictHealthy
	verdictUnreachable
	verdictSlow
	verdictLagging
)

// Thresholds of an unhealthy observation.
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

// Assessment lists the faults of all zones.
type Assessment struct {
	Causes     map[string]Cause // by zone; no entry for a zone without fault
	Partitions []Partition      // sorted
	Unobserved []string         // zones without reports about them
}

// verdicts are indexed by the reporting zone, then by the zone reported on.
type verdicts map[string]map[string]verdict

// assess combines reports. zones are all known zones; alive tells which zones have a live driver.
func assess(zones []string, reports []Report, alive map[string]bool, regionOf map[string]string) Assessment {
	found := verdicts{}
	for _, observer := range zones {
		found[observer] = map[string]verdict{}
		for _, subject := range zones {
			found[observer][subject] = majorityVerdict(reports, observer, subject)
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
		for _, observer := range zones {
			if observer != zone && found[observer][zone] == verdictUnreachable {
				a.Partitions = append(a.Partitions, Partition{observer, zone})
			}
		}
	}
	a.attributeToRegions(zones, regionOf)
	slices.SortFunc(a.Partitions, func(a, b Partition) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return a
}

// majorityVerdict returns the verdict of most reporters of one zone about another: healthy if they disagree, unknown if
// there are no reports.
func majorityVerdict(reports []Report, observer, subject string) verdict {
	votes, total := map[verdict]int{}, 0
	for _, r := range reports {
		if r.Zone != observer {
			continue
		}
		for i := range r.Observations {
			o := &r.Observations[i]
			if v := o.verdict(); o.Zone == subject && v != verdictUnknown {
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

// causeOf returns the fault of one zone by its own verdict and those of other zones. observed is false if there are no
// verdicts.
func (found verdicts) causeOf(zone string, zones []string, alive bool) (cause Cause, observed bool) {
	others, count := 0, map[verdict]int{}
	for _, observer := range zones {
		if v := found[observer][zone]; observer != zone && v != verdictUnknown {
			others++
			count[v]++
		}
	}
	own := found[zone][zone]
	total := others + toInt(own != verdictUnknown)
	unreachable := count[verdictUnreachable] == others // from all other zones that report
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

// attributeToRegions changes the cause of zones to RegionLost if all zones of their region, at least two, are lost.
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
