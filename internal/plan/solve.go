package plan

// This file owns the search over orders of steps, and a plan's printed form.

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// ScheduledStep is a step with its time, in seconds from the beginning of the plan.
type ScheduledStep struct {
	Step
	Group          int64
	Start, End     float64 // of the whole step, until the member has warmed up
	ChangesPrimary bool    // at Start
	GroupCapacity  float64 // the least that the group has left meanwhile
	WriteGap       float64 // of this step
	PriorWriteGap  float64 // of the group's earlier steps together
}

// Solve schedules all steps, and returns them by their starts. It tries so many orders, drawn from a seed, and takes
// the shortest plan. The error is an InfeasibleError, or says what makes the problem invalid.
func Solve(members []Member, steps []Step, limits Limits, attempts int, seed uint64) ([]ScheduledStep, error) {
	if err := check(members, steps, &limits); err != nil {
		return nil, err
	}
	if len(steps) > 0 {
		if limit := shortage(members, &limits); limit != "" {
			return nil, &InfeasibleError{steps[0], limit}
		}
	}
	order := byPriority(members, steps, &limits)
	var best []ScheduledStep
	var infeasible error // of the first order that was
	random := rand.New(rand.NewPCG(seed, 31))
	for range max(attempts, 1) {
		scheduled, err := newSchedule(members, limits).scheduleAll(order)
		if err == nil && (best == nil || length(scheduled) < length(best)) {
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

// byPriority orders steps by the capacity that their group has to spare without the member.
func byPriority(members []Member, steps []Step, limits *Limits) []Step {
	spare := func(step Step) float64 {
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
		return cmp.Or(cmp.Compare(spare(a), spare(b)), cmp.Compare(a.Member, b.Member))
	})
	return order
}

func length(steps []ScheduledStep) (end float64) {
	for _, s := range steps {
		end = max(end, s.End)
	}
	return end
}

// Format prints a plan, a line a step.
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
