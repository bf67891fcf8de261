package zones

// This file owns the choice of voters, and the first plan, which does nothing but name them.

import (
	"cmp"
	"slices"
	"strings"
)

// firstPlan names voters and moves nothing.
func (z *Coordinator) firstPlan() *Plan {
	p := &Plan{Epoch: 1, Voters: z.selectVoters(nil)}
	for _, name := range z.zoneNames() {
		p.Zones = append(p.Zones, Zone{Name: name, Capacity: 1})
	}
	p.sort()
	return p
}

// selectVoters spreads voters over the zones. Present ones that are alive stay, as long as no zone has too many.
func (z *Coordinator) selectVoters(present []string) []string {
	byZone, zones := z.electable()
	for _, names := range byZone {
		slices.SortStableFunc(names, func(a, b string) int {
			return cmp.Or(
				cmp.Compare(toInt(slices.Contains(present, b)), toInt(slices.Contains(present, a))),
				strings.Compare(a, b))
		})
	}
	want := min(z.options.Voters, len(z.fleet.Alive))
	if want%2 == 0 { // an even number more makes no majority smaller
		want--
	}
	var voters []string
	for turn := 0; len(voters) < want; turn++ {
		found := false
		for _, zone := range zones {
			if turn < len(byZone[zone]) && len(voters) < want {
				voters, found = append(voters, byZone[zone][turn]), true
			}
		}
		if !found {
			break
		}
	}
	slices.Sort(voters)
	return voters
}

// electable are the drivers that are alive and on the roster, by zone, and these zones, sorted.
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

// votersIncomplete says whether a voter is gone, or more could be had.
func (z *Coordinator) votersIncomplete() bool {
	want := min(z.options.Voters, len(z.fleet.Alive))
	if len(z.plan.Voters) < want-1+want%2 {
		return true
	}
	return slices.ContainsFunc(z.plan.Voters, func(name string) bool { return !z.fleet.isAlive(name) })
}
