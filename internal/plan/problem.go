package plan

// This file has the problem (members, steps and limits), its validation, and the check for obvious infeasibility.

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// epsilon is the tolerance in comparisons of times and capacities.
const epsilon = 1e-9

// Member is one server of a group. Capacity is in any unit that is the same for all members.
type Member struct {
	Name, Zone string
	Group      int64
	Capacity   float64
	Primary    bool
}

// Kind is the kind of a step.
type Kind uint8

// The kinds of steps.
const (
	Switch  Kind = iota // the group's primary hands its role over; no member becomes unavailable
	Replace             // the member is away, then it warms up; a primary first hands its role over
)

// String returns the kind's name.
func (k Kind) String() string { return [...]string{"switch", "replace"}[k] }

// Step is one operation to be scheduled. The member of a Switch is the current primary.
type Step struct {
	Kind   Kind
	Member string
}

// Limits are constraints that hold at any time during a plan, and the durations of steps. Times are in seconds.
type Limits struct {
	GroupCapacity  map[int64]float64  // minimum available capacity by group
	ZoneCapacity   map[string]float64 // minimum available capacity by zone
	MaxUnavailable int                // maximum members away or warming up at a time, over all groups
	ReplaceTime    float64            // how long a replaced member is away
	WarmupTime     float64            // how long it then warms up
	WarmupCapacity float64            // fraction of its capacity, from 0 to 1, that a member has while it warms up
	WriteGap       float64            // how long a change of its primary interrupts a group's writes
	MaxWriteGap    float64            // maximum total interruption of a group's writes
	SwitchInterval float64            // minimum time between two changes of primaries, over all groups
	Deadline       float64            // maximum duration of the plan; 0 for none
	// MinCandidates is the minimum number of other members, neither away nor warming up, that a group has when its
	// primary changes. 0 stands for 1.
	MinCandidates int
}

func (l *Limits) minCandidates() int { return max(l.MinCandidates, 1) }

// InfeasibleError is the error of a problem without a plan.
type InfeasibleError struct {
	Step  Step
	Limit string // description of the binding limit
}

// Error returns a text with the step and the limit.
func (e *InfeasibleError) Error() string {
	return fmt.Sprintf("no plan: %s of %s: %s", e.Step.Kind, e.Step.Member, e.Limit)
}

// validate returns an error if the problem is invalid.
func validate(members []Member, steps []Step, limits *Limits) error {
	byName, err := validateMembers(members)
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

func validateMembers(members []Member) (byName map[string]Member, err error) {
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

// shortage describes the first group or zone whose minimum capacity exceeds that of all its members; "" for none.
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
