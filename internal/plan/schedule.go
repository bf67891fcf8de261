package plan

// This file owns one schedule in the making: the earliest start of each step that all limits allow.

import (
	"fmt"
	"math"
	"slices"
)

// outage is a time in which a member has lost capacity: all of it while it is away, a part while it warms up.
type outage struct {
	from, to float64
	loss     float64
	member   Member
}

// at says whether the outage lasts at a moment.
func (o *outage) at(moment float64) bool { return o.from <= moment+epsilon && o.to > moment+epsilon }

// schedule holds the steps that are scheduled so far. Each keeps all limits together with those before it.
type schedule struct {
	limits    Limits
	members   map[string]Member
	groups    map[int64][]Member
	steps     []ScheduledStep
	outages   []outage
	changes   []float64         // starts of changes of primaries, of all groups
	writeGaps map[int64]float64 // by group, of its steps so far
	primaries map[int64]string  // by group; empty once it has changed: the new one is not known
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

// scheduleAll schedules steps in an order, but primaries last: else the new primary may be a member that is replaced
// next.
func (s *schedule) scheduleAll(order []Step) ([]ScheduledStep, error) {
	rank := func(step Step) int {
		if s.members[step.Member].Primary {
			return 1
		}
		return 0
	}
	order = slices.Clone(order)
	slices.SortStableFunc(order, func(a, b Step) int { return rank(a) - rank(b) })
	for _, step := range order {
		if err := s.schedule(step); err != nil {
			return nil, err
		}
	}
	return s.steps, nil
}

// schedule adds a step at the earliest start that all limits allow.
func (s *schedule) schedule(step Step) error {
	m := s.members[step.Member]
	p := ScheduledStep{Step: step, Group: m.Group, ChangesPrimary: s.primaries[m.Group] == m.Name}
	if p.ChangesPrimary {
		p.WriteGap, p.PriorWriteGap = s.limits.WriteGap, s.writeGaps[m.Group]
		if total := p.PriorWriteGap + p.WriteGap; total > s.limits.MaxWriteGap+epsilon {
			return &InfeasibleError{step, fmt.Sprintf("write time: group %d would lose %g s, %g are allowed", m.Group, total,
				s.limits.MaxWriteGap)}
		}
	}
	limit := ""
	for _, start := range s.starts() {
		if limit = s.fit(&p, m, start); limit == "" {
			s.add(p, m)
			return nil
		}
	}
	return &InfeasibleError{step, limit}
}

// starts are the moments at which what is available or allowed changes.
func (s *schedule) starts() []float64 {
	starts := []float64{0}
	for _, o := range s.outages {
		starts = append(starts, o.from, o.to)
	}
	for _, change := range s.changes {
		starts = append(starts, change+s.limits.SwitchInterval)
	}
	for _, p := range s.steps { // a group's steps do not overlap a change of its primary
		starts = append(starts, p.End, p.Start+p.WriteGap)
	}
	slices.Sort(starts)
	return slices.Compact(starts)
}

// fit sets a step's times to a start, and names the first limit that forbids it; empty for none.
func (s *schedule) fit(step *ScheduledStep, member Member, start float64) string {
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
	moments := beginnings(outages, step)
	if limit := s.checkCapacity(step, member, outages, moments); limit != "" {
		return limit
	}
	return s.checkUnavailable(outages, moments)
}

// outagesOf are a step's own: the member is away, and then it warms up.
func (s *schedule) outagesOf(step *ScheduledStep, member Member) []outage {
	if step.Kind != Replace {
		return nil
	}
	from := step.Start + step.WriteGap
	back := from + s.limits.ReplaceTime
	return []outage{
		{from, back, member.Capacity, member},
		{back, step.End, member.Capacity * (1 - s.limits.WarmupCapacity), member},
	}
}

// beginnings are the moments within a step at which an outage begins: capacity is least at one of them.
func beginnings(outages []outage, step *ScheduledStep) []float64 {
	moments := []float64{}
	for _, outage := range outages {
		if outage.from >= step.Start-epsilon && outage.from < step.End {
			moments = append(moments, outage.from)
		}
	}
	return moments
}

// checkChange names the first limit that forbids a change of the group's primary at the step's start.
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

// available says whether a member has no outage within a time.
func (s *schedule) available(member Member, from, to float64) bool {
	return !slices.ContainsFunc(s.outages, func(outage outage) bool {
		return outage.member.Name == member.Name && outage.from < to+epsilon && outage.to > from+epsilon
	})
}

// checkCapacity sets the capacity that the group has left, and names the group or zone that would have too little.
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
	if left := s.minCapacity(moments, outages, inZone); left < need-epsilon {
		return fmt.Sprintf("capacity: zone %s would have %g of the %g that it needs", member.Zone, left, need)
	}
	return ""
}

// minCapacity is the least that some members have at given moments.
func (s *schedule) minCapacity(moments []float64, outages []outage, of func(Member) bool) float64 {
	lowest := math.Inf(1)
	for _, moment := range moments {
		capacity := 0.0
		for _, m := range s.members {
			if of(m) {
				capacity += m.Capacity
			}
		}
		for _, o := range outages {
			if of(o.member) && o.at(moment) {
				capacity -= o.loss
			}
		}
		lowest = min(lowest, capacity)
	}
	return lowest
}

// checkUnavailable names the first moment at which too many members are away or warm up.
func (s *schedule) checkUnavailable(outages []outage, moments []float64) string {
	for _, moment := range moments {
		unavailable := map[string]bool{}
		for _, o := range outages {
			if o.at(moment) {
				unavailable[o.member.Name] = true
			}
		}
		if n := len(unavailable); n > s.limits.MaxUnavailable {
			return fmt.Sprintf("cold members: %d at %g s, %d are allowed", n, moment, s.limits.MaxUnavailable)
		}
	}
	return ""
}

// add adds a step whose times keep all limits.
func (s *schedule) add(step ScheduledStep, member Member) {
	if step.ChangesPrimary {
		s.changes = append(s.changes, step.Start)
		s.writeGaps[member.Group] += step.WriteGap
		s.primaries[member.Group] = ""
	}
	s.outages = append(s.outages, s.outagesOf(&step, member)...)
	s.steps = append(s.steps, step)
}
