package plan

// This file builds one schedule: it places each step at the earliest start that all limits allow.

import (
	"fmt"
	"math"
	"slices"
)

// outage is an interval in which a member lacks capacity: all of it while it is away, a part while it warms up.
type outage struct {
	from, to float64
	loss     float64
	member   Member
}

// activeAt reports whether the outage covers a moment.
func (o *outage) activeAt(moment float64) bool {
	return o.from <= moment+epsilon && o.to > moment+epsilon
}

// schedule has the steps scheduled so far. Together they keep all limits.
type schedule struct {
	limits    Limits
	members   map[string]Member
	groups    map[int64][]Member
	steps     []ScheduledStep
	outages   []outage
	changes   []float64         // starts of changes of primaries, over all groups
	writeGaps map[int64]float64 // total of the steps so far, by group
	primaries map[int64]string  // by group; "" after a change, as the new primary isn't known
}

func newSchedule(members []Member, limits Limits) *schedule {
	s := &schedule{
		limits:    limits,
		members:   map[string]Member{},
		groups:    map[int64][]Member{},
		writeGaps: map[int64]float64{},
		primaries: map[int64]string{},
	}
	for _, member := range members {
		s.members[member.Name] = member
		s.groups[member.Group] = append(s.groups[member.Group], member)
		if member.Primary {
			s.primaries[member.Group] = member.Name
		}
	}
	return s
}

// scheduleAll schedules steps in the given order, but primaries last: otherwise the new primary might be a member that
// is replaced next.
func (s *schedule) scheduleAll(order []Step) ([]ScheduledStep, error) {
	priority := func(step Step) int {
		if s.members[step.Member].Primary {
			return 1
		}
		return 0
	}
	order = slices.Clone(order)
	slices.SortStableFunc(order, func(a, b Step) int { return priority(a) - priority(b) })
	for _, step := range order {
		if err := s.schedule(step); err != nil {
			return nil, err
		}
	}
	return s.steps, nil
}

// schedule adds a step at the earliest start that all limits allow.
func (s *schedule) schedule(step Step) error {
	member := s.members[step.Member]
	scheduled := ScheduledStep{Step: step, Group: member.Group, ChangesPrimary: s.primaries[member.Group] == member.Name}
	if scheduled.ChangesPrimary {
		scheduled.WriteGap, scheduled.PriorWriteGap = s.limits.WriteGap, s.writeGaps[member.Group]
		if total := scheduled.PriorWriteGap + scheduled.WriteGap; total > s.limits.MaxWriteGap+epsilon {
			return &InfeasibleError{step, fmt.Sprintf("write time: group %d would lose %g s, %g are allowed", member.Group,
				total, s.limits.MaxWriteGap)}
		}
	}
	limit := ""
	for _, start := range s.starts() {
		if limit = s.tryStart(&scheduled, member, start); limit == "" {
			s.add(scheduled, member)
			return nil
		}
	}
	return &InfeasibleError{step, limit}
}

// starts returns, in order, the moments at which the available capacity or an allowance changes.
func (s *schedule) starts() []float64 {
	starts := []float64{0}
	for _, o := range s.outages {
		starts = append(starts, o.from, o.to)
	}
	for _, change := range s.changes {
		starts = append(starts, change+s.limits.SwitchInterval)
	}
	for _, step := range s.steps { // a group's steps don't overlap a change of its primary
		starts = append(starts, step.End, step.Start+step.WriteGap)
	}
	slices.Sort(starts)
	return slices.Compact(starts)
}

// tryStart sets a step's times for a start, and describes the first limit that forbids it; "" for none.
func (s *schedule) tryStart(step *ScheduledStep, member Member, start float64) string {
	step.Start, step.End = start, start+step.WriteGap
	if step.Kind == Replace {
		step.End += s.limits.ReplaceTime + s.limits.WarmupTime
	}
	if deadline := s.limits.Deadline; deadline > 0 && step.End > deadline {
		return fmt.Sprintf("time: it would end at %g s, %g are allowed", step.End, deadline)
	}
	if step.ChangesPrimary {
		if limit := s.checkChange(step, member); limit != "" {
			return limit
		}
	}
	outages := append(slices.Clone(s.outages), s.outagesOf(step, member)...)
	moments := outageStarts(outages, step)
	if limit := s.checkCapacity(step, member, outages, moments); limit != "" {
		return limit
	}
	return s.checkUnavailable(outages, moments)
}

// outagesOf returns the outages of a step: the member is away, and then it warms up.
func (s *schedule) outagesOf(step *ScheduledStep, member Member) []outage {
	if step.Kind != Replace {
		return nil
	}
	from := step.Start + step.WriteGap
	returnsAt := from + s.limits.ReplaceTime
	return []outage{
		{from, returnsAt, member.Capacity, member},
		{returnsAt, step.End, member.Capacity * (1 - s.limits.WarmupCapacity), member},
	}
}

// outageStarts returns the moments within a step at which an outage begins: capacity is lowest at one of them.
func outageStarts(outages []outage, step *ScheduledStep) []float64 {
	moments := []float64{}
	for _, outage := range outages {
		if outage.from >= step.Start-epsilon && outage.from < step.End {
			moments = append(moments, outage.from)
		}
	}
	return moments
}

// checkChange describes the first limit that forbids a change of the group's primary at the step's start; "" for none.
func (s *schedule) checkChange(step *ScheduledStep, member Member) string {
	for _, change := range s.changes {
		if math.Abs(change-step.Start) < s.limits.SwitchInterval-epsilon {
			return fmt.Sprintf("pause: a change of a primary at %g s is nearer than %g s", change, s.limits.SwitchInterval)
		}
	}
	candidates := 0
	for _, other := range s.groups[member.Group] {
		if other.Name != member.Name && s.available(other, step.Start, step.Start+step.WriteGap) {
			candidates++
		}
	}
	if wanted := s.limits.minCandidates(); candidates < wanted {
		return fmt.Sprintf("candidates: group %d has %d warm members beside its primary, %d are wanted", member.Group,
			candidates, wanted)
	}
	return ""
}

// available reports whether a member has no outage in an interval.
func (s *schedule) available(member Member, from, to float64) bool {
	return !slices.ContainsFunc(s.outages, func(outage outage) bool {
		return outage.member.Name == member.Name && outage.from < to+epsilon && outage.to > from+epsilon
	})
}

// checkCapacity sets the step's remaining group capacity, and describes the group or zone that would lack capacity; ""
// for none.
func (s *schedule) checkCapacity(step *ScheduledStep, member Member, outages []outage, moments []float64) string {
	step.GroupCapacity = s.minCapacity(append([]float64{step.Start}, moments...), outages, func(other Member) bool {
		return other.Group == member.Group
	})
	if step.Kind != Replace {
		return ""
	}
	if need := s.limits.GroupCapacity[member.Group]; step.GroupCapacity < need-epsilon {
		return fmt.Sprintf("capacity: group %d would have %g of the %g that it needs", member.Group, step.GroupCapacity, need)
	}
	need := s.limits.ZoneCapacity[member.Zone]
	if need <= 0 {
		return ""
	}
	inZone := func(other Member) bool { return other.Zone == member.Zone }
	if remaining := s.minCapacity(moments, outages, inZone); remaining < need-epsilon {
		return fmt.Sprintf("capacity: zone %s would have %g of the %g that it needs", member.Zone, remaining, need)
	}
	return ""
}

// minCapacity returns the minimum, over given moments, of the total capacity of the members that match.
func (s *schedule) minCapacity(moments []float64, outages []outage, matches func(Member) bool) float64 {
	lowest := math.Inf(1)
	for _, moment := range moments {
		capacity := 0.0
		for _, m := range s.members {
			if matches(m) {
				capacity += m.Capacity
			}
		}
		for _, o := range outages {
			if matches(o.member) && o.activeAt(moment) {
				capacity -= o.loss
			}
		}
		lowest = min(lowest, capacity)
	}
	return lowest
}

// checkUnavailable describes the first moment at which too many members are away or warming up; "" for none.
func (s *schedule) checkUnavailable(outages []outage, moments []float64) string {
	for _, moment := range moments {
		unavailable := map[string]bool{}
		for _, o := range outages {
			if o.activeAt(moment) {
				unavailable[o.member.Name] = true
			}
		}
		if n := len(unavailable); n > s.limits.MaxUnavailable {
			return fmt.Sprintf("cold members: %d at %g s, %d are allowed", n, moment, s.limits.MaxUnavailable)
		}
	}
	return ""
}

// add adds a step whose times keep all limits to the schedule.
func (s *schedule) add(step ScheduledStep, member Member) {
	if step.ChangesPrimary {
		s.changes = append(s.changes, step.Start)
		s.writeGaps[member.Group] += step.WriteGap
		s.primaries[member.Group] = ""
	}
	s.outages = append(s.outages, s.outagesOf(&step, member)...)
	s.steps = append(s.steps, step)
}
