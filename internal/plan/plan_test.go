package plan

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// checkPlan checks all limits at many moments of a plan, independently of the planner's own computation.
func checkPlan(members []Member, steps []Step, limits Limits, scheduled []ScheduledStep) error {
	if len(scheduled) != len(steps) {
		return fmt.Errorf("%d of %d steps", len(scheduled), len(steps))
	}
	byName := map[string]Member{}
	for _, m := range members {
		byName[m.Name] = m
	}
	writeGaps := map[int64]float64{}
	var moments []float64
	for _, step := range scheduled {
		awayFrom := step.Start + step.WriteGap
		moments = append(moments, step.Start, step.Start+0.001, awayFrom+0.001, awayFrom+limits.ReplaceTime+0.001, step.End-0.001)
		writeGaps[step.Group] += step.WriteGap
		late := limits.Deadline > 0 && step.End > limits.Deadline+1e-6
		if late || step.ChangesPrimary != byName[step.Member].Primary || step.ChangesPrimary && step.WriteGap != limits.WriteGap {
			return fmt.Errorf("%+v", step)
		}
		for _, other := range scheduled {
			bothChange := other.Member != step.Member && other.ChangesPrimary && step.ChangesPrimary
			if bothChange && other.Start-step.Start < limits.SwitchInterval-1e-6 && other.Start >= step.Start {
				return fmt.Errorf("%s and %s change primaries within the switch interval", step.Member, other.Member)
			}
		}
	}
	for group, gap := range writeGaps {
		if gap > limits.MaxWriteGap+1e-6 {
			return fmt.Errorf("writes of group %d are interrupted for %g s", group, gap)
		}
	}
	for _, moment := range moments {
		groupCapacity, zoneCapacity, unavailable := map[int64]float64{}, map[string]float64{}, 0
		for _, m := range members {
			capacity := m.Capacity
			for _, step := range scheduled {
				if awayFrom := step.Start + step.WriteGap; step.Member == m.Name && step.Kind == Replace && moment > awayFrom && moment < step.End {
					unavailable++
					if capacity = 0; moment > awayFrom+limits.ReplaceTime {
						capacity = m.Capacity * limits.WarmupCapacity
					}
				}
			}
			groupCapacity[m.Group] += capacity
			zoneCapacity[m.Zone] += capacity
		}
		if unavailable > limits.MaxUnavailable {
			return fmt.Errorf("%d members are unavailable at %g", unavailable, moment)
		}
		for g, need := range limits.GroupCapacity {
			if groupCapacity[g] < need-1e-6 {
				return fmt.Errorf("group %d has %g of %g at %g", g, groupCapacity[g], need, moment)
			}
		}
		for z, need := range limits.ZoneCapacity {
			if zoneCapacity[z] < need-1e-6 {
				return fmt.Errorf("zone %s has %g of %g at %g", z, zoneCapacity[z], need, moment)
			}
		}
	}
	return nil
}

// For any problem, a plan keeps every limit, and an error for a problem without a plan names a limit.
func TestPlansKeepLimits(t *testing.T) {
	plans, infeasible := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var members []Member
		var steps []Step
		whole := func(maximum int, label string) float64 { return float64(rapid.IntRange(0, maximum).Draw(t, label)) }
		limits := Limits{
			GroupCapacity:  map[int64]float64{},
			ZoneCapacity:   map[string]float64{},
			MaxUnavailable: rapid.IntRange(1, 4).Draw(t, "max unavailable"),
			ReplaceTime:    whole(40, "replace time"),
			WarmupTime:     whole(60, "warm-up time"),
			WarmupCapacity: rapid.Float64Range(0, 1).Draw(t, "warm-up capacity"),
			WriteGap:       whole(5, "write gap"),
			MaxWriteGap:    whole(20, "max write gap"),
			SwitchInterval: whole(30, "switch interval"),
			Deadline:       whole(2, "deadline") * 400,
		}
		for g := range rapid.IntRange(1, 4).Draw(t, "groups") {
			memberCount := rapid.IntRange(2, 5).Draw(t, "members")
			sum := 0.0
			for i := range memberCount {
				capacity := float64(rapid.IntRange(50, 150).Draw(t, "capacity"))
				m := Member{fmt.Sprintf("g%dm%d", g, i), string(rune('a' + i%2)), int64(g), capacity, i == 0}
				members = append(members, m)
				sum += m.Capacity
				if rapid.Bool().Draw(t, "step") {
					kind := Replace
					if m.Primary && rapid.Bool().Draw(t, "switch") {
						kind = Switch
					}
					steps = append(steps, Step{kind, m.Name})
				}
			}
			limits.GroupCapacity[int64(g)] = sum * rapid.Float64Range(0, 0.8).Draw(t, "group capacity")
			limits.ZoneCapacity["a"] += sum * rapid.Float64Range(0, 0.4).Draw(t, "zone capacity")
		}
		all, err := Solve(members, steps, limits, 5, 1)
		var infeasibleErr *InfeasibleError
		switch {
		case err == nil && len(steps) == 0:
		case err == nil:
			plans++
			if err := checkPlan(members, steps, limits, all); err != nil {
				t.Fatalf("%v\n%s", err, Format(all))
			}
		case !errors.As(err, &infeasibleErr) || infeasibleErr.Limit == "":
			t.Fatal(err)
		default:
			infeasible++
		}
	})
	if plans < 10 || infeasible < 10 {
		t.Errorf("%d plans and %d infeasible problems are too few for a meaningful test", plans, infeasible)
	}
}

func fourMembers() []Member {
	return []Member{
		{"p", "a", 1, 100, true},
		{"q", "b", 1, 100, false},
		{"r", "a", 1, 100, false},
		{"s", "b", 1, 100, false},
	}
}

// Steps that may overlap do overlap, and more attempts don't give a longer plan.
func TestIndependentStepsOverlap(t *testing.T) {
	limits := Limits{MaxUnavailable: 2, ReplaceTime: 10, WarmupTime: 20, WarmupCapacity: 0.5, WriteGap: 2, MaxWriteGap: 10,
		GroupCapacity: map[int64]float64{1: 200}}
	all, err := Solve(fourMembers(), []Step{{Replace, "q"}, {Replace, "r"}, {Replace, "p"}}, limits, 1, 1)
	if err != nil || duration(all) != 62 || all[0].Start != 0 || all[1].Start != 0 || all[2].Member != "p" ||
		!all[2].ChangesPrimary {
		t.Fatalf("%v\n%s", err, Format(all))
	}
	for _, want := range []string{"its primary changes, 2.0 s without writes", "capacity left 200"} {
		if !strings.Contains(Format(all), want) {
			t.Errorf("%q is not in\n%s", want, Format(all))
		}
	}
	again, err := Solve(fourMembers(), []Step{{Replace, "q"}, {Replace, "r"}, {Replace, "p"}}, limits, 200, 1)
	if err != nil || duration(again) > duration(all) {
		t.Error(err, duration(again))
	}
}

// The error of an infeasible problem names the binding limit.
func TestInfeasibleErrorNamesTheLimit(t *testing.T) {
	for want, change := range map[string]func(*Limits){
		"capacity: group 1 would have 300 of the 350": func(l *Limits) { l.GroupCapacity = map[int64]float64{1: 350} },
		"capacity: zone a would have 100 of the 150":  func(l *Limits) { l.ZoneCapacity = map[string]float64{"a": 150} },
		"write time: group 1 would lose 2 s, 1 are":   func(l *Limits) { l.MaxWriteGap = 1 },
		"time: it would end at":                       func(l *Limits) { l.Deadline = 31 },
		"capacity: zone b has 200 of the 210 that it": func(l *Limits) { l.ZoneCapacity = map[string]float64{"b": 210} },
		"candidates: group 1 has 3 warm members":      func(l *Limits) { l.MinCandidates = 4 },
	} {
		t.Run(want, func(t *testing.T) {
			limits := Limits{MaxUnavailable: 4, ReplaceTime: 10, WarmupTime: 20, WarmupCapacity: 0.5, WriteGap: 2,
				MaxWriteGap: 10, SwitchInterval: 5}
			change(&limits)
			_, err := Solve(fourMembers(), []Step{{Replace, "p"}}, limits, 20, 1)
			var infeasible *InfeasibleError
			if !errors.As(err, &infeasible) || !strings.HasPrefix(infeasible.Limit, want) || infeasible.Step.Member != "p" {
				t.Error(err)
			}
		})
	}
}

func TestInvalidProblemsAreRejected(t *testing.T) {
	good := Limits{MaxUnavailable: 1}
	for i, c := range []struct {
		members []Member
		steps   []Step
		limits  Limits
	}{
		{append(fourMembers(), fourMembers()[0]), nil, good},
		{fourMembers()[1:], nil, good},
		{fourMembers(), []Step{{Replace, "x"}}, good},
		{fourMembers(), []Step{{Switch, "q"}}, good},
		{fourMembers(), []Step{{Replace, "q"}, {Replace, "q"}}, good},
		{fourMembers(), nil, Limits{}},
		{fourMembers(), nil, Limits{MaxUnavailable: 1, WriteGap: -1}},
	} {
		if _, err := Solve(c.members, c.steps, c.limits, 1, 1); err == nil {
			t.Errorf("%d: no error for an invalid problem", i)
		}
	}
	if all, err := Solve(fourMembers(), nil, good, 1, 1); err != nil || len(all) > 0 {
		t.Error(all, err)
	}
}
