package zones

// This file selects voters and creates the first plan, which only names them.

import (
	"cmp"
	"slices"
	"strings"
)

// firstPlan returns a plan that names voters and moves nothing.
func (z *Coordinator) firstPlan() *Plan {
	p := &Plan{Epoch: 1, Voters: z.selectVoters(nil)}
	for _, name := range z.zoneNames() {
		p.Zones = append(p.Zones, Zone{Name: name, Capacity: 1})
	}
	p.sort()
	return p
}

// selectVoters spreads voters over the zones. Current voters that are alive are preferred within each zone.
func (z *Coordinator) selectVoters(current []string) []string {
	byZone, zones := z.electable()
	for _, names := range byZone {
		slices.SortStableFunc(names, func(a, b string) int {
			return cmp.Or(
				cmp.Compare(toInt(slices.Contains(current, b)), toInt(slices.Contains(current, a))),
				strings.Compare(a, b))
		})
	}
	target := min(z.options.Voters, len(z.fleet.Alive))
	if target%2 == 0 { // an even number of voters tolerates no more failures than one voter fewer
		target--
	}
	var voters []string
	for round := 0; len(voters) < target; round++ {
		found := false
		for _, zone := range zones {
			if round < len(byZone[zone]) && len(voters) < target {
				voters, found = append(voters, byZone[zone][round]), true
			}
		}
		if !found {
			break
		}
	}
	slices.Sort(voters)
	return voters
}

// electable returns the live drivers on the roster by zone, and the sorted names of these zones.
func (z *Coordinator) electable() (byZone map[string][]string, zones []string) {
	byZone = map[string][]string{}
	for _, peer := range z.fleet.Alive {
		if _, onRoster := slices.BinarySearch(z.fleet.Roster, peer.Name); !onRoster {
			continue
		}
		if byZone[peer.Zone] == nil {
			zones = append(zones, peer.Zone)
		}
		byZone[peer.Zone] = append(byZone[peer.Zone], peer.Name)
	}
	slices.Sort(zones)
	return byZone, zones
}

// votersIncomplete reports whether a voter is not alive, or more voters are available.
func (z *Coordinator) votersIncomplete() bool {
	target := min(z.options.Voters, len(z.fleet.Alive))
	if len(z.plan.Voters) < target-1+target%2 {
		return true
	}
	return slices.ContainsFunc(z.plan.Voters, func(name string) bool { return !z.fleet.isAlive(name) })
}
