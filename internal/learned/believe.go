package learned

// This file owns what a run that starts may believe of what is kept: which list it begins with, and what the
// module is told, with which dates. It must never make knowledge younger than it is, or let a doubt about
// clocks, names or lists pass for certainty.

import (
	"cmp"
	"fmt"
	"slices"

	"weirwind/logic"
)

// List is a member list as a start knows it.
type List struct {
	Revision int64
	Entries  []Entry
}

// Verdict is the one word for what became of a state, for logs and tests.
type Verdict string

// The verdicts.
const (
	Believed  Verdict = "believed"   // all of it, each part by its age
	Unsure    Verdict = "unsure"     // its age is not certain: a primary is to be asked first
	Future    Verdict = "future"     // dated after the present: only what was told holds
	OtherName Verdict = "other_name" // another driver's: nothing holds
	Nothing   Verdict = "nothing"    // there is none
)

// Belief is what a run starts with.
type Belief struct {
	Verdict  Verdict
	Age      float64 // milliseconds since the state was last renewed, as far as can be told
	FromKept bool    // the list is the one that was kept; else the one that was given
	List     List
	Memory   logic.Memory
	Dropped  []string // what was left out, and why
}

// Believe decides what holds of a state at a start: s is what is kept, nil for nothing, and given the list that
// the start was told.
func Believe(s *State, r Rules, now Moment, given List) Belief {
	b := Belief{Verdict: Nothing, List: given}
	b.Memory.Ceiling = now.Wall + aheadMost // whoever ran before may have answered for writes up to now
	if s == nil {
		return b
	}
	if s.Meta.Name != r.Name {
		b.Verdict = OtherName
		b.drop("all of it is of driver %q", s.Meta.Name)
		return b
	}
	if ahead := s.Meta.Reserved - now.Wall; ahead < reserveMost {
		b.Memory.Ceiling = max(b.Memory.Ceiling, s.Meta.Reserved)
	} else {
		b.drop("the ceiling lies %.0f s ahead: that clock was wrong", ahead/1000)
	}
	b.list(s, given)
	p := between(s.Meta.At, now)
	b.Age = p.ms
	switch {
	case p.future:
		b.Verdict = Future
		b.drop("evidence and hints: dated after the present")
		return b
	case p.sure:
		b.Verdict, b.Memory.Trust = Believed, r.trust()
	default:
		b.Verdict = Unsure // the machine has started since, or does not tell: a switch may fit into what is not known
		b.drop("trust in primaries: their age is by a clock that may have been stepped")
	}
	b.evidence(s, r, now, p)
	b.hints(s, r, p)
	return b
}

func (b *Belief) drop(format string, args ...any) {
	b.Dropped = append(b.Dropped, fmt.Sprintf(format, args...))
}

// list chooses between the list that was kept and the one that was given: what was told last binds, and that is
// the one with the higher revision, as whoever starts a driver gives it what that driver held at some time. Where
// revisions have gone back, one up to the highest of before does not tell which it is of: what was kept holds, and
// discovery's first whole list mends it.
func (b *Belief) list(s *State, given List) {
	newer := given.Revision > s.Meta.Revision && (s.Meta.Epoch == 0 || given.Revision > s.Meta.EpochMost)
	if len(s.List) == 0 || newer {
		if len(s.List) > 0 {
			b.drop("the kept list: %d is newer than %d", given.Revision, s.Meta.Revision)
		}
		return
	}
	b.FromKept = true
	b.List = List{Revision: s.Meta.Revision}
	for _, e := range s.List {
		b.List.Entries = append(b.List.Entries, e)
	}
	slices.SortFunc(b.List.Entries, func(x, y Entry) int { return cmp.Compare(x.ID, y.ID) })
}

// evidence gives the module what was seen, each with its date by this run's clock.
func (b *Belief) evidence(s *State, r Rules, now Moment, p passage) {
	listed := make(map[string]Entry, len(b.List.Entries))
	for _, e := range b.List.Entries {
		listed[e.ID] = e
	}
	replaced := map[string]bool{}
	for _, e := range b.List.Entries {
		m, ok := s.Members[e.ID]
		if !ok {
			continue
		}
		was, known := s.List[e.ID]
		if known && was.Address != e.Address || m.Group != e.Group {
			replaced[e.ID] = true
			b.drop("member %s: it has moved", e.ID)
			continue
		}
		b.Memory.Members = append(b.Memory.Members, memberEvidence(e, m, s.Meta.At, r, now, p))
	}
	for id, g := range s.Groups {
		k := logic.GroupMemory{Group: id, Rate: g.Rate * r.fade(p.ms)}
		if e, ok := listed[g.Slot]; ok && !replaced[g.Slot] && e.Group == id && g.Seen > 0 {
			k.Slot, k.Held, k.Seen = g.Slot, g.Held, redate(g.Seen, s.Meta.At, now, p)
		}
		b.Memory.Groups = append(b.Memory.Groups, k)
	}
	slices.SortFunc(b.Memory.Groups, func(x, y logic.GroupMemory) int { return cmp.Compare(x.Group, y.Group) })
}

// memberEvidence is what was seen of a member, at saved, as far as it still holds: a restart ends most of it.
func memberEvidence(e Entry, m Member, saved Moment, r Rules, now Moment, p passage) logic.MemberMemory {
	k := logic.MemberMemory{Member: e.ID, Group: e.Group, Position: -1}
	restarted := e.Started > m.Started
	if age := p.ms + saved.Wall - m.Position; m.Position > 0 && p.sure && !p.stepped && !restarted && age < r.trust() {
		k.Position = m.Position // none has been rebuilt under its old name in so little time
	}
	if m.Started > 0 && !restarted {
		if started := redate(m.Started, saved, now, p); now.Wall-started < r.ColdFor {
			k.Started = m.Started
			if p.stepped && e.Started != m.Started { // told by a clock that is not this one any more
				k.Started = started
			}
		}
	}
	if aside := redate(m.Aside, saved, now, p); m.Aside > 0 && !restarted && now.Wall-aside < r.warmUp() {
		k.Aside, k.Cut = aside, m.Cut
	}
	if w := m.Window * r.fade(p.ms); w >= windowLeast {
		k.Window = w
	}
	return k
}

// hints gives the usual times, drawn toward what a start without them assumes as they age: a third of the latency
// target. A type whose target has changed is another.
func (b *Belief) hints(s *State, r Rules, p passage) {
	w := r.fade(p.ms)
	for _, o := range r.OpTypes {
		k := logic.TypeMemory{}
		if t, ok := s.Types[o.Name]; ok && t.Target == o.Target && w > 0 && t.Took > 0 {
			rest := o.Target / 3
			k.Took, k.Best = rest+(t.Took-rest)*w, rest+(t.Best-rest)*w
		}
		b.Memory.OpTypes = append(b.Memory.OpTypes, k)
	}
}
