package plan

// This file owns the problem: members, steps and limits, and what makes a problem invalid or infeasible at once.

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// epsilon is the tolerance in comparisons of times and capacities.
const epsilon = 1e-9

// Member is one server of a group. Capacity is in any unit, the same for all.
type Member struct {
	Name, Zone string
	Group      int64
	Capacity   float64
	Primary    bool
}

// Kind is what a step does.
type Kind uint8

// The kinds of steps.
const (
	Switch  Kind = iota // the group's primary hands its role over; no member is away
	Replace             // the member is away, then it warms up; a primary hands its role over first
)

// String is the kind's name.
func (k Kind) String() string { return [...]string{"switch", "replace"}[k] }

// Step is one thing to be done. The member of a Switch is the primary.
type Step struct {
	Kind   Kind
	Member string
}

// Limits hold at every moment. Times are seconds.
type Limits struct {
	GroupCapacity  map[int64]float64  // that a group keeps at least
	ZoneCapacity   map[string]float64 // that a zone keeps at least
	MaxUnavailable int                // members away or warming up at a time, of all groups together
	ReplaceTime    float64            // for which a replaced member is away
	WarmupTime     float64            // for which it warms up then
	WarmupCapacity float64            // of a member that warms up, from 0 to 1 of its capacity
	WriteGap       float64            // for which a change of its primary stops a group's writes
	MaxWriteGap    float64            // of a group, in all
	SwitchInterval float64            // between two changes of a primary, of all groups
	Deadline       float64            // of the whole plan; 0 for none
	// MinCandidates is how many other members, neither away nor warming up, a group has when its primary changes. 0
	// for 1.
	MinCandidates int
}

func (l *Limits) minCandidates() int { return max(l.MinCandidates, 1) }

// InfeasibleError says why there is no plan.
type InfeasibleError struct {
	Step  Step
	Limit string // the one that binds
}

// Error names the step and the limit.
func (e *InfeasibleError) Error() string {
	return fmt.Sprintf("no plan: %s of %s: %s", e.Step.Kind, e.Step.Member, e.Limit)
}

// check returns what makes a problem invalid.
func check(members []Member, steps []Step, limits *Limits) error {
	byName, err := checkMembers(members)
	if err != nil {
		return err
	}
	seen := map[string]bool{}
	for _, s := range steps {
		m, known := byName[s.Member]
		if !known || seen[s.Member] || s.Kind == Switch && !m.Primary {
			return fmt.Errorf("%s of %q: no such member, or it stands twice, or is no primary", s.Kind, s.Member)
		}
		seen[s.Member] = true
	}
	notNegative := []float64{limits.ReplaceTime, limits.WarmupTime, limits.WarmupCapacity, limits.WriteGap,
		limits.MaxWriteGap, limits.SwitchInterval, limits.Deadline}
	negative := slices.ContainsFunc(notNegative, func(limit float64) bool { return limit < 0 })
	if negative || limits.MaxUnavailable < 1 || limits.WarmupCapacity > 1 {
		return errors.New("limits want one cold member at the least, and nothing below zero")
	}
	return nil
}

func checkMembers(members []Member) (byName map[string]Member, err error) {
	byName = map[string]Member{}
	primaries := map[int64]int{}
	for _, m := range members {
		valid := m.Name != "" && m.Capacity > 0 && !math.IsInf(m.Capacity, 0)
		if _, twice := byName[m.Name]; twice || !valid {
			return nil, fmt.Errorf("member %q stands twice, or has no name or capacity", m.Name)
		}
		byName[m.Name] = m
		if m.Primary {
			primaries[m.Group]++
		}
	}
	for _, m := range members {
		if primaries[m.Group] != 1 {
			return nil, fmt.Errorf("group %d has %d primaries", m.Group, primaries[m.Group])
		}
	}
	return byName, nil
}

// shortage names a capacity that is not there even with all members available; empty for none.
func shortage(members []Member, limits *Limits) string {
	groups, zones := map[int64]float64{}, map[string]float64{}
	for _, m := range members {
		groups[m.Group] += m.Capacity
		zones[m.Zone] += m.Capacity
	}
	const format = "capacity: %s has %g of the %g that it needs, with nobody away"
	for _, group := range slices.Sorted(maps.Keys(limits.GroupCapacity)) {
		if need := limits.GroupCapacity[group]; groups[group] < need-epsilon {
			return fmt.Sprintf(format, fmt.Sprintf("group %d", group), groups[group], need)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(limits.ZoneCapacity)) {
		if need := limits.ZoneCapacity[zone]; zones[zone] < need-epsilon {
			return fmt.Sprintf(format, "zone "+zone, zones[zone], need)
		}
	}
	return ""
}
