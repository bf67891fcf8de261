// Package plan orders and paces planned changes of primaries and replacements of members over many groups, so that what
// is left keeps enough capacity, cold members get no more than they can take, and little write time is lost. It does no
// I/O and reads no clock.
//
// This file owns the problem, the search and the word on what stands in the way. It must never give a plan that breaks
// a limit, or call a problem impossible without naming the limit that binds.
//
// Steps are placed one after the other at the earliest time that all limits allow (serial schedule generation), the
// order chosen by priority: groups with least room first; a few hundred other orders, drawn from a seed, are tried for
// a shorter plan. A linear program was weighed: the starts are disjunctions (either this group first or that), so it
// would need whole-number variables, for which no library at hand is kept; and a limit that binds is easier to name
// here.
package plan

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

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
	Switch  Kind = iota // the group's primary hands its role over; nobody is away
	Replace             // the member is away, then cold; a primary hands over first
)

func (k Kind) String() string { return [...]string{"switch", "replace"}[k] }

// Step is one thing to be done. For a Switch the member is the primary.
type Step struct {
	Kind   Kind
	Member string
}

// Limits hold at every moment. Times are seconds.
type Limits struct {
	GroupCapacity  map[int64]float64 // capacity that a group has to keep
	ZoneCapacity   map[string]float64
	MaxUnavailable int     // members away or cold at a time, all groups together
	ReplaceTime    float64 // a replaced member is away for so long
	WarmupTime     float64 // and so long cold: it counts for ColdShare of its capacity then
	WarmupCapacity float64 // 0 to 1
	WriteGap       float64 // writes of a group stand for so long in a change of its primary
	MaxWriteGap    float64 // of write time a group, in all
	SwitchInterval float64 // between two changes of a primary, over all groups
	Deadline       float64 // the plan is to be done by then; 0: at any time
	MinCandidates  int     // other members, warm and there, that a group has to have when its primary changes; 0 for 1
}

// Placed is a step with its time.
type ScheduledStep struct {
	Step
	Group                   int64
	Start, End              float64 // of the whole step, until the member is warm
	ChangesPrimary          bool    // it changes the primary at Start
	GroupCapacity           float64 // capacity that the group has left meanwhile, at the least
	WriteGap, PriorWriteGap float64 // of this step; behind: of the group's in all before it
}

// Refused is why there is no plan.
type InfeasibleError struct {
	Step  Step
	Limit string // what binds
}

func (r *InfeasibleError) Error() string {
	return fmt.Sprintf("no plan: %s of %s: %s", r.Step.Kind, r.Step.Member, r.Limit)
}

type span struct {
	from, to, loss float64 // capacity lost
	member         Member
}

type schedule struct {
	l       Limits
	members map[string]Member
	groups  map[int64][]Member
	spans   []span
	changes []float64
	gaps    map[int64]float64
	primary map[int64]string
	all     []ScheduledStep
}

// Make places all steps, or says which limit stands in the way (*Refused), or that the problem makes no sense.
func Solve(members []Member, steps []Step, l Limits, tries int, seed uint64) ([]ScheduledStep, error) {
	if err := check(members, steps, l); err != nil {
		return nil, err
	}
	if len(steps) > 0 {
		if limit := short(members, l); limit != "" {
			return nil, &InfeasibleError{steps[0], limit}
		}
	}
	order := slices.Clone(steps)
	room := func(s Step) float64 {
		left, own := 0.0, 0.0
		g := int64(0)
		for _, m := range members {
			if m.Name == s.Member {
				g, own = m.Group, m.Capacity
			}
		}
		for _, m := range members {
			if m.Group == g {
				left += m.Capacity
			}
		}
		return left - own - l.GroupCapacity[g]
	}
	slices.SortStableFunc(order, func(a, b Step) int {
		return cmp.Or(cmp.Compare(room(a), room(b)),
			cmp.Compare(a.Member, b.Member))
	})
	var best []ScheduledStep
	var refused error
	draw := rand.New(rand.NewPCG(seed, 31))
	for range max(tries, 1) {
		placed, err := place(members, order, l)
		if err == nil && (best == nil || length(placed) < length(best)) {
			best = placed
		} else if err != nil && refused == nil {
			refused = err
		}
		draw.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	}
	if best == nil {
		return nil, refused
	}
	slices.SortStableFunc(best, func(a, b ScheduledStep) int {
		return cmp.Or(cmp.Compare(a.Start, b.Start),
			cmp.Compare(a.Member, b.Member))
	})
	return best, nil
}

// short names a need that is not met even with nobody away; "" for none.
func short(members []Member, l Limits) string {
	group, zone := map[int64]float64{}, map[string]float64{}
	for _, m := range members {
		group[m.Group] += m.Capacity
		zone[m.Zone] += m.Capacity
	}
	for _, g := range slices.Sorted(maps.Keys(l.GroupCapacity)) {
		if group[g] < l.GroupCapacity[g]-1e-9 {
			return fmt.Sprintf("capacity: group %d has %g of the %g that it needs, with nobody away", g, group[g], l.GroupCapacity[g])
		}
	}
	for _, z := range slices.Sorted(maps.Keys(l.ZoneCapacity)) {
		if zone[z] < l.ZoneCapacity[z]-1e-9 {
			return fmt.Sprintf("capacity: zone %s has %g of the %g that it needs, with nobody away", z, zone[z], l.ZoneCapacity[z])
		}
	}
	return ""
}

func length(all []ScheduledStep) (end float64) {
	for _, p := range all {
		end = max(end, p.End)
	}
	return end
}

func check(members []Member, steps []Step, l Limits) error {
	seen, primaries := map[string]Member{}, map[int64]int{}
	for _, m := range members {
		if _, twice := seen[m.Name]; twice || m.Name == "" || !(m.Capacity > 0) || math.IsInf(m.Capacity, 0) {
			return fmt.Errorf("member %q stands twice, or has no name or capacity", m.Name)
		}
		if seen[m.Name] = m; m.Primary {
			primaries[m.Group]++
		}
	}
	for _, m := range members {
		if primaries[m.Group] != 1 {
			return fmt.Errorf("group %d has %d primaries", m.Group, primaries[m.Group])
		}
	}
	done := map[string]bool{}
	for _, s := range steps {
		m, known := seen[s.Member]
		if !known || done[s.Member] || s.Kind == Switch && !m.Primary {
			return fmt.Errorf("%s of %q: no such member, or it stands twice, or is no primary", s.Kind, s.Member)
		}
		done[s.Member] = true
	}
	if l.MaxUnavailable < 1 || l.ReplaceTime < 0 || l.WarmupTime < 0 || l.WriteGap < 0 || l.SwitchInterval < 0 || l.MaxWriteGap < 0 || l.Deadline < 0 ||
		l.WarmupCapacity < 0 || l.WarmupCapacity > 1 {
		return fmt.Errorf("limits want one cold member at the least, and nothing below zero")
	}
	return nil
}

func place(members []Member, order []Step, l Limits) ([]ScheduledStep, error) {
	s := &schedule{
		l:       l,
		members: map[string]Member{},
		groups:  map[int64][]Member{},
		gaps:    map[int64]float64{},
		primary: map[int64]string{},
	}
	for _, m := range members {
		s.members[m.Name] = m
		s.groups[m.Group] = append(s.groups[m.Group], m)
		if m.Primary {
			s.primary[m.Group] = m.Name
		}
	}
	// Within a group, what changes the primary comes last: else the new primary may be one that is replaced next.
	late := func(st Step) int { return map[bool]int{true: 1}[s.members[st.Member].Primary] }
	order = slices.Clone(order)
	slices.SortStableFunc(order, func(a, b Step) int { return late(a) - late(b) })
	for _, st := range order {
		if err := s.put(st); err != nil {
			return nil, err
		}
	}
	return s.all, nil
}

// put finds the earliest start that all limits allow.
func (s *schedule) put(st Step) error {
	m := s.members[st.Member]
	p := ScheduledStep{Step: st, Group: m.Group, ChangesPrimary: s.primary[m.Group] == m.Name}
	if p.ChangesPrimary {
		if p.WriteGap, p.PriorWriteGap = s.l.WriteGap, s.gaps[m.Group]; p.PriorWriteGap+p.WriteGap > s.l.MaxWriteGap+1e-9 {
			return &InfeasibleError{st, fmt.Sprintf("write time: group %d would lose %g s, %g are allowed", m.Group, p.PriorWriteGap+p.WriteGap,
				s.l.MaxWriteGap)}
		}
	}
	starts := []float64{0}
	for _, x := range s.spans {
		starts = append(starts, x.from, x.to)
	}
	for _, at := range s.changes {
		starts = append(starts, at+s.l.SwitchInterval)
	}
	for _, x := range s.all { // a group's steps do not overlap a change of its primary
		starts = append(starts, x.End, x.Start+x.WriteGap)
	}
	slices.Sort(starts)
	why := ""
	for _, at := range slices.Compact(starts) {
		if limit := s.binds(&p, m, at); limit != "" {
			why = limit
			continue
		}
		s.take(p, m)
		return nil
	}
	return &InfeasibleError{st, why}
}

// bindsChange names the first limit that forbids a change of the group's primary at the step's start.
func (s *schedule) bindsChange(p *ScheduledStep, m Member) string {
	for _, c := range s.changes {
		if math.Abs(c-p.Start) < s.l.SwitchInterval-1e-9 {
			return fmt.Sprintf("pause: a change of a primary at %g s is nearer than %g s", c, s.l.SwitchInterval)
		}
	}
	able := 0
	for _, o := range s.groups[m.Group] {
		if o.Name != m.Name && !slices.ContainsFunc(s.spans, func(x span) bool {
			return x.member.Name == o.Name && x.from < p.Start+p.WriteGap+1e-9 && x.to > p.Start+1e-9
		}) {
			able++
		}
	}
	if able < max(s.l.MinCandidates, 1) {
		return fmt.Sprintf("candidates: group %d has %d warm members beside its primary, %d are wanted", m.Group, able,
			max(s.l.MinCandidates, 1))
	}
	return ""
}

// binds sets the step's times to a start and names the first limit that forbids it.
func (s *schedule) binds(p *ScheduledStep, m Member, at float64) string {
	p.Start, p.End = at, at+p.WriteGap
	if p.Kind == Replace {
		p.End += s.l.ReplaceTime + s.l.WarmupTime
	}
	if s.l.Deadline > 0 && p.End > s.l.Deadline {
		return fmt.Sprintf("time: it would end at %g s, %g are allowed", p.End, s.l.Deadline)
	}
	away := p.Start + p.WriteGap
	mine := []span{}
	if p.Kind == Replace {
		mine = append(mine, span{away, away + s.l.ReplaceTime, m.Capacity, m},
			span{away + s.l.ReplaceTime, p.End, m.Capacity * (1 - s.l.WarmupCapacity), m})
	}
	if p.ChangesPrimary {
		if limit := s.bindsChange(p, m); limit != "" {
			return limit
		}
	}
	moments := []float64{}
	all := append(slices.Clone(s.spans), mine...)
	for _, x := range all {
		if x.from >= p.Start-1e-9 && x.from < p.End {
			moments = append(moments, x.from)
		}
	}
	p.GroupCapacity = s.left(append([]float64{p.Start}, moments...), all, func(o Member) bool { return o.Group == m.Group })
	if need := s.l.GroupCapacity[m.Group]; p.Kind == Replace && p.GroupCapacity < need-1e-9 {
		return fmt.Sprintf("capacity: group %d would have %g of the %g that it needs", m.Group, p.GroupCapacity, need)
	}
	if need := s.l.ZoneCapacity[m.Zone]; p.Kind == Replace && need > 0 {
		if left := s.left(moments, all, func(o Member) bool { return o.Zone == m.Zone }); left < need-1e-9 {
			return fmt.Sprintf("capacity: zone %s would have %g of the %g that it needs", m.Zone, left, need)
		}
	}
	for _, t := range moments {
		names := map[string]bool{}
		for _, x := range all {
			if x.from <= t+1e-9 && x.to > t+1e-9 {
				names[x.member.Name] = true
			}
		}
		if len(names) > s.l.MaxUnavailable {
			return fmt.Sprintf("cold members: %d at %g s, %d are allowed", len(names), t, s.l.MaxUnavailable)
		}
	}
	return ""
}

// left is the least capacity of some members at given moments.
func (s *schedule) left(moments []float64, spans []span, of func(Member) bool) float64 {
	least := math.Inf(1)
	for _, t := range moments {
		sum := 0.0
		for _, m := range s.members {
			if of(m) {
				sum += m.Capacity
			}
		}
		for _, x := range spans {
			if of(x.member) && x.from <= t+1e-9 && x.to > t+1e-9 {
				sum -= x.loss
			}
		}
		least = min(least, sum)
	}
	return least
}

func (s *schedule) take(p ScheduledStep, m Member) {
	if p.ChangesPrimary {
		s.changes = append(s.changes, p.Start)
		s.gaps[m.Group] += p.WriteGap
		s.primary[m.Group] = ""
	}
	if p.Kind == Replace {
		away := p.Start + p.WriteGap
		s.spans = append(s.spans, span{away, away + s.l.ReplaceTime, m.Capacity, m},
			span{away + s.l.ReplaceTime, p.End, m.Capacity * (1 - s.l.WarmupCapacity), m})
	}
	s.all = append(s.all, p)
}

// String is a plan as a table's lines.
func Format(all []ScheduledStep) string {
	var b strings.Builder
	for _, p := range all {
		fmt.Fprintf(&b, "%8.1f s to %8.1f s  %-8s %-12s group %d", p.Start, p.End, p.Kind, p.Member, p.Group)
		if p.ChangesPrimary {
			fmt.Fprintf(&b, "  its primary changes, %.1f s without writes", p.WriteGap)
		}
		if p.Kind == Replace {
			fmt.Fprintf(&b, "  capacity left %.3g", p.GroupCapacity)
		}
		b.WriteByte('\n')
	}
	return b.String()
}
