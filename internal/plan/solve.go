package plan

// This file has the search over orders of steps, and the formatting of plans.

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// ScheduledStep is a step with its times, in seconds since the start of the plan.
type ScheduledStep struct {
	Step
	Group          int64
	Start, End     float64 // End is when the member has warmed up
	ChangesPrimary bool    // the group's primary changes at Start
	GroupCapacity  float64 // minimum available capacity of the group during the step
	WriteGap       float64 // interruption of the group's writes by this step
	PriorWriteGap  float64 // total interruption by earlier steps of the group
}

// Solve schedules all steps and returns them ordered by start. It tries the given number of orders, all but the first
// shuffled by a seeded generator, and returns the shortest plan. The error is an InfeasibleError, or describes why the
// problem is invalid.
func Solve(members []Member, steps []Step, limits Limits, attempts int, seed uint64) ([]ScheduledStep, error) {
	if err := validate(members, steps, &limits); err != nil {
		return nil, err
	}
	if len(steps) > 0 {
		if limit := shortage(members, &limits); limit != "" {
			return nil, &InfeasibleError{steps[0], limit}
		}
	}
	order := byPriority(members, steps, &limits)
	var best []ScheduledStep
	var infeasible error // of the first infeasible order
	random := rand.New(rand.NewPCG(seed, 31))
	for range max(attempts, 1) {
		scheduled, err := newSchedule(members, limits).scheduleAll(order)
		if err == nil && (best == nil || duration(scheduled) < duration(best)) {
			best = scheduled
		} else if err != nil && infeasible == nil {
			infeasible = err
		}
		random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	}
	if best == nil {
		return nil, infeasible
	}
	slices.SortStableFunc(best, func(a, b ScheduledStep) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start), cmp.Compare(a.Member, b.Member))
	})
	return best, nil
}

// byPriority returns the steps ordered by the spare capacity of their group without the step's member.
func byPriority(members []Member, steps []Step, limits *Limits) []Step {
	spareCapacity := func(step Step) float64 {
		total, own, group := 0.0, 0.0, int64(0)
		for _, member := range members {
			if member.Name == step.Member {
				group, own = member.Group, member.Capacity
			}
		}
		for _, member := range members {
			if member.Group == group {
				total += member.Capacity
			}
		}
		return total - own - limits.GroupCapacity[group]
	}
	order := slices.Clone(steps)
	slices.SortStableFunc(order, func(a, b Step) int {
		return cmp.Or(cmp.Compare(spareCapacity(a), spareCapacity(b)), cmp.Compare(a.Member, b.Member))
	})
	return order
}

func duration(steps []ScheduledStep) (end float64) {
	for _, s := range steps {
		end = max(end, s.End)
	}
	return end
}

// Format returns a plan as text, one line per step.
func Format(steps []ScheduledStep) string {
	var b strings.Builder
	for _, s := range steps {
		fmt.Fprintf(&b, "%8.1f s to %8.1f s  %-8s %-12s group %d", s.Start, s.End, s.Kind, s.Member, s.Group)
		if s.ChangesPrimary {
			fmt.Fprintf(&b, "  its primary changes, %.1f s without writes", s.WriteGap)
		}
		if s.Kind == Replace {
			fmt.Fprintf(&b, "  capacity left %.3g", s.GroupCapacity)
		}
		b.WriteByte('\n')
	}
	return b.String()
}
