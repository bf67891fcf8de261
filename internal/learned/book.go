package learned

// This file owns what a running driver keeps: it compares what is known now with what is kept and says what is
// worth a write. Facts are, at once; evidence as it changes; hints seldom. It must never give a record that makes
// the state say something that was not known.

import (
	"math"
	"slices"

	"weirwind/logic"
)

// The phases of entries that matter here.
const (
	PhaseUp      = "up"
	PhaseRemoved = "removed"
)

const chunk = 4000 // entries in one record

// Book is the state of a run as it is kept. One goroutine uses it.
type Book struct {
	rules  Rules
	state  *State
	hinted float64 // when hints were last written, by the wall clock
	kept   float64 // and anything
}

// NewBook begins a run with what is kept so far, nil for nothing, or what another driver's was.
func NewBook(rules Rules, before *State, now Moment) *Book {
	b := &Book{rules: rules, state: newState(), hinted: math.Inf(-1), kept: now.Wall}
	run := uint64(0)
	if before != nil && before.Meta.Name == rules.Name {
		b.state = before
		run = before.Meta.Run
	}
	m := &b.state.Meta
	m.Schema, m.Name, m.Run, m.Closed = Schema, rules.Name, run+1, false
	return b
}

// Begin redates the state by a new run's clock, after Believe has read it: dates become those of the new wall clock,
// and what is dated beyond the present is dropped.
func (b *Book) Begin(now Moment) {
	s := b.state
	if p := between(s.Meta.At, now); s.Meta.At != (Moment{}) {
		for id, g := range s.Groups {
			if g.Seen = redate(g.Seen, s.Meta.At, now, p); p.future {
				g.Slot, g.Held, g.Seen = "", false, 0
			}
			s.Groups[id] = g
		}
		for id, m := range s.Members {
			m.Aside = redate(m.Aside, s.Meta.At, now, p)
			if p.future {
				m.Aside, m.Cut = 0, false
			}
			if p.stepped || p.future {
				m.Position = 0
			}
			s.Members[id] = m
		}
	}
	s.Meta.At = now
	s.Meta.Reserved = max(b.rules.reserve(now), b.held(now))
}

// held is the ceiling of before, where it can be true.
func (b *Book) held(now Moment) float64 {
	if r := b.state.Meta.Reserved; r-now.Wall < reserveMost {
		return r
	}
	return 0
}

// redate gives a date of an earlier run by this run's wall clock; 0 stays 0.
func redate(date float64, then, now Moment, p passage) float64 {
	if date == 0 {
		return 0
	}
	return now.Wall - (p.ms + max(then.Wall-date, 0))
}

// Snapshot is all that is kept, as one record.
func (b *Book) Snapshot() []byte { return b.state.Snapshot() }

// State is what is kept, for reading.
func (b *Book) State() *State { return b.state }

// List takes what the member list has told: a whole list, or changes in it. What it gives is worth a write at
// once, as it binds whoever was told. A revision that goes back begins an epoch.
func (b *Book) List(now Moment, revision int64, whole bool, entries []Entry) [][]byte {
	s := b.state
	var r record
	named := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.Phase == PhaseRemoved {
			if _, ok := s.List[e.ID]; ok {
				r.Unlisted = append(r.Unlisted, e.ID)
			}
			continue
		}
		if named[e.ID] = true; s.List[e.ID] != e {
			r.Listed = append(r.Listed, e)
		}
	}
	if whole {
		for id := range s.List {
			if !named[id] && !slices.Contains(r.Unlisted, id) {
				r.Unlisted = append(r.Unlisted, id)
			}
		}
		slices.Sort(r.Unlisted)
	}
	meta := s.Meta
	if revision < meta.Revision {
		meta.Epoch++
		meta.EpochMost = max(meta.EpochMost, meta.Revision)
	}
	if r.empty() && revision == meta.Revision {
		return nil
	}
	meta.Revision = revision
	return b.write(now, meta, &r)
}

// Tick takes what the module knows and gives what of it is worth a write now. With last, all of it is, as nothing
// will follow.
func (b *Book) Tick(now Moment, k *logic.Memory, last bool) [][]byte {
	var r record
	hints := last || now.Wall-b.hinted >= hintEvery
	b.recordGroups(&r, now, k, last, hints)
	b.recordMembers(&r, k, last, hints)
	if hints {
		b.recordTypes(&r, k)
		b.hinted = now.Wall
	}
	meta := b.state.Meta
	meta.Closed = last
	if r.empty() && !last && !b.renew(now) {
		return nil
	}
	return b.write(now, meta, &r)
}

// recordGroups puts into a record which groups are new, have changed or are gone.
func (b *Book) recordGroups(r *record, now Moment, k *logic.Memory, last, hints bool) {
	s := b.state
	groups := make(map[int64]bool, len(k.Groups))
	for _, g := range k.Groups {
		is, was := Group{g.Group, g.Slot, g.Held, math.Floor(g.Seen), g.Rate, g.Commit}, s.Groups[g.Group]
		if groups[g.Group] = true; math.IsInf(g.Seen, 0) {
			is.Seen = 0
		}
		switch _, known := s.Groups[g.Group]; {
		case !known || is.Slot != was.Slot || is.Held != was.Held || is.Commit != was.Commit && last ||
			hints && changed(is.Rate, was.Rate):
			r.Groups = append(r.Groups, is)
		case is.Seen > was.Seen+1 && (b.rules.trust() > 0 || last):
			r.Sightings = append(r.Sightings, Sighting{Group: is.ID, Ago: int64(math.Ceil(now.Wall - is.Seen))})
		}
	}
	for id := range s.Groups {
		if !groups[id] {
			r.Left = append(r.Left, id)
		}
	}
	slices.Sort(r.Left)
}

// recordMembers does so for members.
func (b *Book) recordMembers(r *record, k *logic.Memory, last, hints bool) {
	s := b.state
	members := make(map[string]bool, len(k.Members))
	for _, m := range k.Members {
		is, was := Member{m.Member, m.Group, math.Floor(max(m.Position, 0)), m.Started, m.Aside, m.Cut, m.Window},
			s.Members[m.Member]
		members[m.Member] = true
		if _, known := s.Members[m.Member]; !known || is.Started != was.Started || is.Aside != was.Aside ||
			is.Cut != was.Cut || is.Group != was.Group || hints && changed(is.Window, was.Window) ||
			is.Position > was.Position && (last || b.rules.positionsKept()) {
			r.Members = append(r.Members, is)
		}
	}
	for id := range s.Members {
		if !members[id] {
			r.Forgotten = append(r.Forgotten, id)
		}
	}
	slices.Sort(r.Forgotten)
}

// recordTypes does so for op types, whose usual times are hints alone.
func (b *Book) recordTypes(r *record, k *logic.Memory) {
	for i, t := range k.OpTypes {
		if i >= len(b.rules.OpTypes) {
			break
		}
		o := b.rules.OpTypes[i]
		was := b.state.Types[o.Name]
		if changed(t.Took, was.Took) || changed(t.Best, was.Best) || was.Target != o.Target {
			r.Types = append(r.Types, Type{o.Name, o.Target, t.Took, t.Best})
		}
	}
}

// renew says whether the moment alone is worth a write: the ceilings' is, before they run out, where sessions
// count on them; else only so that the state's age is known.
func (b *Book) renew(now Moment) bool {
	if !b.rules.SessionsCarried {
		return b.state.Meta.Reserved < b.rules.reserve(now)-b.rules.SaveEvery/2
	}
	return now.Wall-b.kept >= pauseTimes*b.rules.SaveEvery
}

func changed(is, was float64) bool {
	return math.Abs(is-was) > hintChange*max(math.Abs(was), math.Abs(is))
}

// write makes the records, takes them over, and dates the state by them. The moment goes first: what follows is
// dated by it.
func (b *Book) write(now Moment, meta Meta, r *record) (records [][]byte) {
	meta.At = now
	meta.Reserved = max(b.rules.reserve(now), b.held(now))
	parts := split(r)
	for i, part := range parts {
		m := meta
		if i < len(parts)-1 {
			m.Revision = b.state.Meta.Revision // the new one only when all of it is there
		}
		part.Meta = &m
		records = append(records, part.encode())
		b.state.apply(part)
	}
	b.kept = now.Wall
	return records
}

// split cuts a record that is too long for one into several that may be applied one after the other, so that a
// crash between two leaves a state that was true of some members a little earlier than of others: removals and
// drains come first.
func split(r *record) (parts []*record) {
	if len(r.Listed)+len(r.Groups)+len(r.Members)+len(r.Unlisted)+len(r.Sightings) <= chunk {
		return []*record{r}
	}
	slices.SortStableFunc(r.Listed, func(x, y Entry) int { return rank(x) - rank(y) })
	parts = append(parts, &record{Unlisted: r.Unlisted, Forgotten: r.Forgotten, Left: r.Left, Types: r.Types})
	for x := range slices.Chunk(r.Listed, chunk) {
		parts = append(parts, &record{Listed: x})
	}
	for x := range slices.Chunk(r.Groups, chunk) {
		parts = append(parts, &record{Groups: x})
	}
	for x := range slices.Chunk(r.Members, chunk) {
		parts = append(parts, &record{Members: x})
	}
	for x := range slices.Chunk(r.Sightings, chunk) {
		parts = append(parts, &record{Sightings: x})
	}
	return parts
}

func rank(e Entry) int {
	if e.Phase == PhaseUp {
		return 1
	}
	return 0
}

// Retry says when a save that failed is tried again: after a pause that doubles up to a limit.
type Retry struct {
	pause, at float64
}

const retryFirst, retryMost = 1e3, 30e3 // milliseconds

// Failed notes a failure and gives how long to wait, in milliseconds.
func (r *Retry) Failed(now Moment) float64 {
	r.pause = min(max(2*r.pause, retryFirst), retryMost)
	r.at = now.Up + r.pause
	return r.pause
}

// Due says whether it is time to try.
func (r *Retry) Due(now Moment) bool { return r.pause == 0 || now.Up >= r.at }

// Done notes that a save has succeeded, and says whether it ends a row of failures.
func (r *Retry) Done() (mended bool) {
	mended = r.pause > 0
	*r = Retry{}
	return mended
}
