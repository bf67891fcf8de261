package zones

// This file owns what reports of several zones add up to: which zone is lost, cut off, slow or behind. It must never take
// one driver's word for a zone's, or what one zone can't see for lost.

import (
	"cmp"
	"slices"
)

// Sight is what a driver sees of one zone.
type Sight struct {
	Zone    string  `cbor:"1,keyasint" json:"zone"`
	Members int     `cbor:"2,keyasint" json:"members"` // listed and not draining
	Silent  int     `cbor:"3,keyasint" json:"silent"`  // of them: set aside, as they do not answer
	Slow    float64 `cbor:"4,keyasint" json:"slow"`    // recent answering time over the usual one; 0: too few answers
	Behind  int     `cbor:"5,keyasint" json:"behind"`  // too far for the tightest bound on the age of data
	Reads   float64 `cbor:"6,keyasint" json:"reads"`   // that this driver sent there, a second
}

// Home is the zone of a group's primary, as a driver sees it.
type Home struct {
	Group int64  `cbor:"1,keyasint" json:"group"`
	Zone  string `cbor:"2,keyasint" json:"zone"`
}

// Report is what one driver sees.
type Report struct {
	Zone   string  `cbor:"1,keyasint"`
	Turn   uint64  `cbor:"2,keyasint"` // a higher one is newer
	Run    uint64  `cbor:"3,keyasint"` // of the process
	Sights []Sight `cbor:"4,keyasint"`
	Homes  []Home  `cbor:"5,keyasint,omitempty"`
}

func (r *Report) sane() bool {
	ok := r != nil && len(r.Zone) <= mostNames && len(r.Sights) <= mostZones && len(r.Homes) <= mostMoves
	for i := 0; ok && i < len(r.Sights); i++ {
		s := &r.Sights[i]
		ok = s.Zone != "" && len(s.Zone) <= mostNames && s.Members >= 0 && s.Silent >= 0 && s.Behind >= 0 && s.Slow >= 0 && s.Reads >= 0 && s.Reads < 1e9
	}
	return ok
}

// eye is what a zone sees of another, as most of its reporters say.
type eye uint8

const (
	unknown eye = iota
	fine
	silent
	slow
	behind
)

const (
	silentShare = 0.5 // of a zone's members: it is silent
	slowTimes   = 2.5 // the usual answering time
	behindShare = 0.8 // of a zone's members
)

func (s *Sight) eye() eye {
	switch {
	case s.Members == 0:
		return unknown
	case float64(s.Silent) >= silentShare*float64(s.Members):
		return silent
	case s.Slow > slowTimes:
		return slow
	case float64(s.Behind) >= behindShare*float64(s.Members) && s.Members > 1:
		return behind
	}
	return fine
}

// Judgement is what is the matter, zone by zone.
type Judgement struct {
	Causes map[string]Cause
	Cuts   []Cut
	Blind  []string // zones of which nobody reports anything
}

// judge adds reports up. zones are all that there are; lives says whether any driver of a zone lives.
func judge(zones []string, reports []Report, lives map[string]bool, regionOf map[string]string) Judgement {
	eyes := map[string]map[string]eye{} // by who sees, whom
	for _, from := range zones {
		eyes[from] = map[string]eye{}
		for _, of := range zones {
			said := map[eye]int{}
			n := 0
			for _, r := range reports {
				if r.Zone != from {
					continue
				}
				for i := range r.Sights {
					if s := &r.Sights[i]; s.Zone == of {
						if e := s.eye(); e != unknown {
							said[e]++
							n++
						}
					}
				}
			}
			for e, k := range said {
				if 2*k > n { // most of those that report
					eyes[from][of] = e
				}
			}
			if n > 0 && eyes[from][of] == unknown { // they differ: what most agree on at least
				eyes[from][of] = fine
			}
		}
	}
	j := Judgement{Causes: map[string]Cause{}}
	for _, z := range zones {
		reporting, count := 0, map[eye]int{}
		for _, from := range zones {
			if from == z {
				continue
			}
			if e := eyes[from][z]; e != unknown {
				reporting++
				count[e]++
			}
		}
		own := eyes[z][z]
		switch {
		case reporting == 0 && own == unknown:
			j.Blind = append(j.Blind, z)
		case reporting > 0 && count[silent] == reporting && !lives[z]:
			j.Causes[z] = Lost
		case (reporting > 0 || own != unknown) && count[silent] == reporting && own == silent:
			j.Causes[z] = MembersLost
		case reporting > 0 && count[silent] == reporting && own != unknown:
			j.Causes[z] = Isolated
		case !lives[z] && reporting > 0:
			j.Causes[z] = DriversLost
		case 2*(count[slow]+bit(own == slow)) > reporting+bit(own != unknown):
			j.Causes[z] = Slow
		case 2*(count[behind]+bit(own == behind)) > reporting+bit(own != unknown):
			j.Causes[z] = Behind
		}
		if c := j.Causes[z]; c != Lost && c != MembersLost {
			for _, from := range zones {
				if from != z && eyes[from][z] == silent {
					j.Cuts = append(j.Cuts, Cut{from, z})
				}
			}
		}
	}
	lost := map[string]int{}
	of := map[string]int{}
	for _, z := range zones {
		of[regionOf[z]]++
		if j.Causes[z] == Lost || j.Causes[z] == MembersLost {
			lost[regionOf[z]]++
		}
	}
	for _, z := range zones {
		if r := regionOf[z]; r != "" && of[r] > 1 && lost[r] == of[r] {
			j.Causes[z] = RegionLost
		}
	}
	slices.SortFunc(j.Cuts, func(a, b Cut) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	return j
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}
