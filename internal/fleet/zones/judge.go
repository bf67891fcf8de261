package zones

// This file owns what reports of several zones add up to: which zone is lost, cut off, slow or behind. It must never
// take one driver's word for a zone's, or what one zone can't see for lost.

import (
	"cmp"
	"slices"
)

// Observation is what a driver sees of one zone.
type Observation struct {
	Zone         string  `cbor:"1,keyasint" json:"zone"`
	Members      int     `cbor:"2,keyasint" json:"members"` // listed and not draining
	Unreachable  int     `cbor:"3,keyasint" json:"silent"`  // of them: set aside, as they do not answer
	LatencyRatio float64 `cbor:"4,keyasint" json:"slow"`    // recent answering time over the usual one; 0: too few answers
	Lagging      int     `cbor:"5,keyasint" json:"behind"`  // too far for the tightest bound on the age of data
	Reads        float64 `cbor:"6,keyasint" json:"reads"`   // that this driver sent there, a second
}

// PrimaryLocation is the zone of a group's primary, as a driver sees it.
type PrimaryLocation struct {
	Group int64  `cbor:"1,keyasint" json:"group"`
	Zone  string `cbor:"2,keyasint" json:"zone"`
}

// Report is what one driver sees.
type Report struct {
	Zone         string            `cbor:"1,keyasint"`
	Sequence     uint64            `cbor:"2,keyasint"` // a higher one is newer
	Run          uint64            `cbor:"3,keyasint"` // of the process
	Observations []Observation     `cbor:"4,keyasint"`
	Primaries    []PrimaryLocation `cbor:"5,keyasint,omitempty"`
}

func (r *Report) valid() bool {
	ok := r != nil && len(r.Zone) <= maxNameBytes && len(r.Observations) <= maxZones && len(r.Primaries) <= maxMoves
	for i := 0; ok && i < len(r.Observations); i++ {
		s := &r.Observations[i]
		ok = s.Zone != "" && len(s.Zone) <= maxNameBytes && s.Members >= 0 && s.Unreachable >= 0 && s.Lagging >= 0 &&
			s.LatencyRatio >= 0 && s.Reads >= 0 && s.Reads < 1e9
	}
	return ok
}

// health is what a zone sees of another, as most of its reporters say.
type verdict uint8

const (
	verdictUnknown verdict = iota
	verdictHealthy
	verdictUnreachable
	verdictSlow
	verdictLagging
)

const (
	unreachableShare = 0.5 // of a zone's members: it is silent
	slowRatio   = 2.5 // the usual answering time
	laggingShare = 0.8 // of a zone's members
)

func (s *Observation) verdict() verdict {
	switch {
	case s.Members == 0:
		return verdictUnknown
	case float64(s.Unreachable) >= unreachableShare*float64(s.Members):
		return verdictUnreachable
	case s.LatencyRatio > slowRatio:
		return verdictSlow
	case float64(s.Lagging) >= laggingShare*float64(s.Members) && s.Members > 1:
		return verdictLagging
	}
	return verdictHealthy
}

// Assessment is what is the matter, zone by zone.
type Assessment struct {
	Causes     map[string]Cause
	Partitions []Partition
	Unobserved []string // zones of which nobody reports anything
}

// judge adds reports up. zones are all that there are; lives says whether any driver of a zone lives.
func assess(zones []string, reports []Report, lives map[string]bool, regionOf map[string]string) Assessment {
	views := map[string]map[string]verdict{} // by who sees, whom
	for _, from := range zones {
		views[from] = map[string]verdict{}
		for _, of := range zones {
			views[from][of] = majorityVerdict(reports, from, of)
		}
	}
	j := Assessment{Causes: map[string]Cause{}}
	for _, z := range zones {
		cause, blind := causeOf(z, zones, views, lives[z])
		if blind {
			j.Unobserved = append(j.Unobserved, z)
		}
		if cause != NoCause {
			j.Causes[z] = cause
		}
		if cause == ZoneLost || cause == MembersLost {
			continue
		}
		for _, from := range zones {
			if from != z && views[from][z] == verdictUnreachable {
				j.Partitions = append(j.Partitions, Partition{from, z})
			}
		}
	}
	j.markLostRegions(zones, regionOf)
	slices.SortFunc(j.Partitions, func(a, b Partition) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	return j
}

// agreedView is what most reporters of one zone see of another; where they differ it is fine, unknown where none says.
func majorityVerdict(reports []Report, from, of string) verdict {
	votes := map[verdict]int{}
	n := 0
	for _, r := range reports {
		if r.Zone != from {
			continue
		}
		for i := range r.Observations {
			if o := &r.Observations[i]; o.Zone == of && o.verdict() != verdictUnknown {
				votes[o.verdict()]++
				n++
			}
		}
	}
	for view, k := range votes {
		if 2*k > n {
			return view
		}
	}
	if n > 0 {
		return verdictHealthy
	}
	return verdictUnknown
}

// causeOf is what is the matter with one zone by its own view and those of the others; blind says that there is none.
func causeOf(z string, zones []string, views map[string]map[string]verdict, lives bool) (cause Cause, blind bool) {
	reporting, count := 0, map[verdict]int{}
	for _, from := range zones {
		if view := views[from][z]; from != z && view != verdictUnknown {
			reporting++
			count[view]++
		}
	}
	own := views[z][z]
	all := reporting + bit(own != verdictUnknown)
	unseen := count[verdictUnreachable] == reporting
	switch {
	case all == 0:
		return NoCause, true
	case reporting > 0 && unseen && !lives:
		return ZoneLost, false
	case unseen && own == verdictUnreachable:
		return MembersLost, false
	case reporting > 0 && unseen && own != verdictUnknown:
		return Isolated, false
	case !lives && reporting > 0:
		return DriversLost, false
	case 2*(count[verdictSlow]+bit(own == verdictSlow)) > all:
		return Slow, false
	case 2*(count[verdictLagging]+bit(own == verdictLagging)) > all:
		return Lagging, false
	}
	return NoCause, false
}

// markLostRegions gives the zones of a region of several, of which all are lost, that cause.
func (j *Assessment) markLostRegions(zones []string, regionOf map[string]string) {
	lost, of := map[string]int{}, map[string]int{}
	for _, z := range zones {
		of[regionOf[z]]++
		if j.Causes[z] == ZoneLost || j.Causes[z] == MembersLost {
			lost[regionOf[z]]++
		}
	}
	for _, z := range zones {
		if r := regionOf[z]; r != "" && of[r] > 1 && lost[r] == of[r] {
			j.Causes[z] = RegionLost
		}
	}
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}
