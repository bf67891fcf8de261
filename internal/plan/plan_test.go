package plan

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// audit looks at a plan at many moments, without the planner's own reckoning.
func audit(members []Member, steps []Step, l Limits, all []ScheduledStep) error {
	if len(all) != len(steps) {
		return fmt.Errorf("%d of %d steps", len(all), len(steps))
	}
	by := map[string]Member{}
	for _, m := range members {
		by[m.Name] = m
	}
	lost := map[int64]float64{}
	var moments []float64
	for _, p := range all {
		away := p.Start + p.WriteGap
		moments = append(moments, p.Start, p.Start+0.001, away+0.001, away+l.ReplaceTime+0.001, p.End-0.001)
		lost[p.Group] += p.WriteGap
		late := l.Deadline > 0 && p.End > l.Deadline+1e-6
		if late || p.ChangesPrimary != by[p.Member].Primary || p.ChangesPrimary && p.WriteGap != l.WriteGap {
			return fmt.Errorf("%+v", p)
		}
		for _, q := range all {
			bothChange := q.Member != p.Member && q.ChangesPrimary && p.ChangesPrimary
			if bothChange && q.Start-p.Start < l.SwitchInterval-1e-6 && q.Start >= p.Start {
				return fmt.Errorf("%s and %s change primaries within the pause", p.Member, q.Member)
			}
		}
	}
	for g, x := range lost {
		if x > l.MaxWriteGap+1e-6 {
			return fmt.Errorf("group %d loses %g s", g, x)
		}
	}
	for _, t := range moments {
		group, zone, cold := map[int64]float64{}, map[string]float64{}, 0
		for _, m := range members {
			has := m.Capacity
			for _, p := range all {
				if away := p.Start + p.WriteGap; p.Member == m.Name && p.Kind == Replace && t > away && t < p.End {
					cold++
					if has = 0; t > away+l.ReplaceTime {
						has = m.Capacity * l.WarmupCapacity
					}
				}
			}
			group[m.Group] += has
			zone[m.Zone] += has
		}
		if cold > l.MaxUnavailable {
			return fmt.Errorf("%d cold at %g", cold, t)
		}
		for g, need := range l.GroupCapacity {
			if group[g] < need-1e-6 {
				return fmt.Errorf("group %d has %g of %g at %g", g, group[g], need, t)
			}
		}
		for z, need := range l.ZoneCapacity {
			if zone[z] < need-1e-6 {
				return fmt.Errorf("zone %s has %g of %g at %g", z, zone[z], need, t)
			}
		}
	}
	return nil
}

// Every plan keeps every limit, whatever the problem; where there is none, a limit is named.
func TestPlansKeepLimits(t *testing.T) {
	plans, refusals := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		var members []Member
		var steps []Step
		whole := func(most int, label string) float64 { return float64(rapid.IntRange(0, most).Draw(t, label)) }
		l := Limits{
			GroupCapacity:  map[int64]float64{},
			ZoneCapacity:   map[string]float64{},
			MaxUnavailable: rapid.IntRange(1, 4).Draw(t, "cold"),
			ReplaceTime:    whole(40, "away"),
			WarmupTime:     whole(60, "warm"),
			WarmupCapacity: rapid.Float64Range(0, 1).Draw(t, "share"),
			WriteGap:       whole(5, "gap"),
			MaxWriteGap:    whole(20, "lost"),
			SwitchInterval: whole(30, "pause"),
			Deadline:       whole(2, "within") * 400,
		}
		for g := range rapid.IntRange(1, 4).Draw(t, "groups") {
			n := rapid.IntRange(2, 5).Draw(t, "members")
			sum := 0.0
			for i := range n {
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
			l.GroupCapacity[int64(g)] = sum * rapid.Float64Range(0, 0.8).Draw(t, "need")
			l.ZoneCapacity["a"] += sum * rapid.Float64Range(0, 0.4).Draw(t, "zone")
		}
		all, err := Solve(members, steps, l, 5, 1)
		var refused *InfeasibleError
		switch {
		case err == nil && len(steps) == 0:
		case err == nil:
			plans++
			if err := audit(members, steps, l, all); err != nil {
				t.Fatalf("%v\n%s", err, Format(all))
			}
		case !errors.As(err, &refused) || refused.Limit == "":
			t.Fatal(err)
		default:
			refusals++
		}
	})
	if plans < 10 || refusals < 10 {
		t.Errorf("%d plans and %d refusals: the test says little", plans, refusals)
	}
}

func four() []Member {
	return []Member{
		{"p", "a", 1, 100, true},
		{"q", "b", 1, 100, false},
		{"r", "a", 1, 100, false},
		{"s", "b", 1, 100, false},
	}
}

// Steps that may overlap do; more attempts never give a longer plan.
func TestPlansAreShort(t *testing.T) {
	l := Limits{MaxUnavailable: 2, ReplaceTime: 10, WarmupTime: 20, WarmupCapacity: 0.5, WriteGap: 2, MaxWriteGap: 10,
		GroupCapacity: map[int64]float64{1: 200}}
	all, err := Solve(four(), []Step{{Replace, "q"}, {Replace, "r"}, {Replace, "p"}}, l, 1, 1)
	if err != nil || length(all) != 62 || all[0].Start != 0 || all[1].Start != 0 || all[2].Member != "p" ||
		!all[2].ChangesPrimary {
		t.Fatalf("%v\n%s", err, Format(all))
	}
	for _, want := range []string{"its primary changes, 2.0 s without writes", "capacity left 200"} {
		if !strings.Contains(Format(all), want) {
			t.Errorf("%q is not in\n%s", want, Format(all))
		}
	}
	again, err := Solve(four(), []Step{{Replace, "q"}, {Replace, "r"}, {Replace, "p"}}, l, 200, 1)
	if err != nil || length(again) > length(all) {
		t.Error(err, length(again))
	}
}

// The limit that makes a problem infeasible is named.
func TestLimitsAreNamed(t *testing.T) {
	for want, change := range map[string]func(*Limits){
		"capacity: group 1 would have 300 of the 350": func(l *Limits) { l.GroupCapacity = map[int64]float64{1: 350} },
		"capacity: zone a would have 100 of the 150":  func(l *Limits) { l.ZoneCapacity = map[string]float64{"a": 150} },
		"write time: group 1 would lose 2 s, 1 are":   func(l *Limits) { l.MaxWriteGap = 1 },
		"time: it would end at":                       func(l *Limits) { l.Deadline = 31 },
		"capacity: zone b has 200 of the 210 that it": func(l *Limits) { l.ZoneCapacity = map[string]float64{"b": 210} },
		"candidates: group 1 has 3 warm members":      func(l *Limits) { l.MinCandidates = 4 },
	} {
		t.Run(want, func(t *testing.T) {
			l := Limits{MaxUnavailable: 4, ReplaceTime: 10, WarmupTime: 20, WarmupCapacity: 0.5, WriteGap: 2,
				MaxWriteGap: 10, SwitchInterval: 5}
			change(&l)
			_, err := Solve(four(), []Step{{Replace, "p"}}, l, 20, 1)
			var infeasible *InfeasibleError
			if !errors.As(err, &infeasible) || !strings.HasPrefix(infeasible.Limit, want) || infeasible.Step.Member != "p" {
				t.Error(err)
			}
		})
	}
}

func TestProblemsThatMakeNoSense(t *testing.T) {
	good := Limits{MaxUnavailable: 1}
	for i, c := range []struct {
		members []Member
		steps   []Step
		l       Limits
	}{
		{append(four(), four()[0]), nil, good},
		{four()[1:], nil, good},
		{four(), []Step{{Replace, "x"}}, good},
		{four(), []Step{{Switch, "q"}}, good},
		{four(), []Step{{Replace, "q"}, {Replace, "q"}}, good},
		{four(), nil, Limits{}},
		{four(), nil, Limits{MaxUnavailable: 1, WriteGap: -1}},
	} {
		if _, err := Solve(c.members, c.steps, c.l, 1, 1); err == nil {
			t.Errorf("%d: a problem that makes no sense is planned", i)
		}
	}
	if all, err := Solve(four(), nil, good, 1, 1); err != nil || len(all) > 0 {
		t.Error(all, err)
	}
}
