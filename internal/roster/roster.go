// Package roster decides which members there are: it turns what several sources tell, each with revisions of its own,
// into the one list that the module gets. It does no I/O and reads no clock. docs/registry.md tells the reasons.
//
// This file owns the sources' views, the bars that what was told draining or gone leaves behind, and the list that
// is shown. It must never show a member as usable by something older than what told that it drains or is gone,
// and never apply a revision by halves.
package roster

import (
	"fmt"
	"maps"
	"slices"
)

// Source is where a list comes from, the one that is trusted least first.
type Source uint8

// The sources of a list.
const (
	SourceKnown     Source = iota // what the start was given, or an earlier run has kept
	SourceDiscovery               // the platform's discovery
	SourceRegistry                // a key-value registry
	sources
)

func (s Source) String() string { return [...]string{"known", "discovery", "registry"}[s] }

// Phase is a member's state in a list.
type Phase uint8

// The phases of a member.
const (
	PhaseUp Phase = iota
	PhaseDraining
	PhaseRemoved
)

// Entry is one member as a source tells it. Started is in Unix milliseconds, 0 for long ago.
type Entry struct {
	ID          string
	Address     string
	Zone        string
	Group       int64
	Phase       Phase
	Access      string
	StartedAt   float64
	ModRevision int64 // the revision at which it was written; 0 where the source does not tell
}

// Update is what a source told at once. Epoch names the history that its revisions count in; empty where the
// source has no name for it.
type Update struct {
	Source           Source
	Epoch            string
	Revision         int64
	Snapshot         bool  // a snapshot: what it does not name is not there
	Linearizable     bool  // of the whole: the source answered by its own newest state, not by a follower's
	Fragment         bool  // part of a revision that goes on in the next update
	PreviousRevision int64 // of changes: the revision that they continue from; 0 where the source does not tell
	Entries          []Entry
	Invalid          []InvalidEntry
}

// InvalidEntry is an entry that can't be used as it is. What of it says that the member drains or is gone counts all the same.
type InvalidEntry struct {
	ID     string
	Reason string
	Phase  Phase
}

// Options are what decisions here go by. Times are milliseconds.
type Options struct {
	Preferred     Source  // leads while it speaks
	FailoverAfter float64 // so long after it fell silent another one that speaks leads
	ConfirmAfter  float64 // a list that lost most members must say so again after so long; 0: it is believed at once
}

const (
	mostLost  = 0.5    // share of the usable members whose loss in one list wants to be confirmed
	leastLost = 3      // members: fewer may well go together
	mostBars  = 50000  // members told draining or gone that are remembered; the oldest are forgotten
	mostParts = 200000 // entries of one revision
	barredAt  = 3600e3 // the time for which a bar is remembered at the least while there is room
)

// Verdict says what became of an update.
type Verdict uint8

// The verdicts on an update.
const (
	VerdictApplied     Verdict = iota
	VerdictFragment            // it goes on in the next one
	VerdictStale               // a duplicate, or from before what is known
	VerdictGap                 // something in between is missing: the whole list is wanted
	VerdictUnconfirmed         // it lost most members: the whole list is wanted again, after Rules.Confirm
)

func (v Verdict) String() string { return [...]string{"applied", "partial", "old", "gap", "held"}[v] }

// Outcome is what a step leads to. Changes are what the module is to be told: entries that are new or changed, those
// that are not there any more as Gone.
type Outcome struct {
	Verdict Verdict
	Changes []Entry
	Notes   []string // for the log: what was not taken as it was told
}

type view struct {
	epoch    string
	epochs   int   // counted from 1
	first    int64 // the revision at which this epoch was seen first
	revision int64
	entries  map[string]Entry
	told     bool // a whole list has come
	speaks   bool
	heard    float64
	parts    []Entry
	bads     []InvalidEntry
	spoilt   bool            // the parts are more than can be kept
	missing  map[string]bool // from a list that lost most members, not confirmed yet
	lostAt   float64
}

// bar is what remains of a word that a member drains or is gone.
type bar struct {
	source   Source
	epochs   int
	revision int64
	at       float64
	gone     bool
}

// Roster is the state of all sources. The zero Roster is not one: use New.
type Roster struct {
	rules Options
	views [sources]view
	bars  map[string]bar
	shown map[string]Entry
	lead  Source
}

// New begins without any list.
func New(rules Options) *Roster {
	r := &Roster{rules: rules, bars: map[string]bar{}, shown: map[string]Entry{}}
	for i := range r.views {
		r.views[i].entries = map[string]Entry{}
	}
	return r
}

// Apply takes an update. now is in milliseconds, by the clock in which entries tell their starts.
func (r *Roster) Apply(now float64, u Update) (out Outcome) {
	v := &r.views[u.Source]
	v.heard, v.speaks = now, u.Source != SourceKnown // what was known at the start is nobody's word now
	if v.parts = append(v.parts, u.Entries...); len(v.parts) > mostParts {
		v.parts, v.spoilt = nil, true
	}
	if v.bads = append(v.bads, u.Invalid...); u.Fragment {
		out.Verdict = VerdictFragment
		return out
	}
	u.Entries, u.Invalid = v.parts, v.bads
	spoilt := v.spoilt
	v.parts, v.bads, v.spoilt = nil, nil, false
	touched := map[string]bool{}
	if out.Verdict = r.place(v, &u); spoilt {
		out.Verdict = VerdictGap
	}
	switch out.Verdict {
	case VerdictGap:
		r.restrain(now, v, &u, touched) // a gap hides what makes members usable, not what forbids them
	case VerdictApplied:
		out.Verdict = r.applyInOrder(now, v, &u, touched, &out)
	}
	before := r.lead
	r.choose(now)
	out.Changes = r.show(touched, before != r.lead)
	if before != r.lead {
		out.Notes = append(out.Notes, fmt.Sprintf("%s leads instead of %s", r.lead, before))
	}
	return out
}

// place finds where an update stands in its source's history, and begins an epoch where revisions count anew.
func (r *Roster) place(v *view, u *Update) Verdict {
	another := v.epochs > 0 && u.Epoch != v.epoch
	back := !another && u.Revision < v.revision
	switch {
	case !u.Snapshot && (!v.told || another):
		return VerdictGap
	case !u.Snapshot && back:
		if u.Epoch == "" {
			return VerdictGap // nothing tells a rebuilt source from a late word: the whole list does
		}
		return VerdictStale
	case !u.Snapshot && u.PreviousRevision > v.revision:
		return VerdictGap
	case u.Snapshot && back && !u.Linearizable:
		return VerdictStale // a follower that lags
	case u.Snapshot && (another || back || v.epochs == 0):
		v.epochs++
		v.epoch, v.first = u.Epoch, u.Revision
	}
	return VerdictApplied
}

// applyInOrder takes an update over that stands in its place.
func (r *Roster) applyInOrder(now float64, v *view, u *Update, touched map[string]bool, out *Outcome) Verdict {
	v.revision = u.Revision
	named := make(map[string]bool, len(u.Entries)+len(u.Invalid))
	for _, e := range u.Entries {
		named[e.ID], touched[e.ID] = true, true
		delete(v.missing, e.ID)
		if e.ModRevision == 0 {
			e.ModRevision = u.Revision
		}
		switch e.Phase {
		case PhaseRemoved:
			delete(v.entries, e.ID)
			r.bar(now, v.epochs, u.Source, e)
		case PhaseDraining:
			v.entries[e.ID] = e
			r.bar(now, v.epochs, u.Source, e)
		default:
			v.entries[e.ID] = e
			r.lift(v, u.Source, e)
		}
	}
	for _, b := range u.Invalid {
		named[b.ID], touched[b.ID] = true, true
		delete(v.missing, b.ID)
		e, known := v.entries[b.ID]
		if out.Notes = append(out.Notes, fmt.Sprintf("entry %s: %s", b.ID, b.Reason)); b.Phase != PhaseUp {
			e.ID, e.Phase, e.ModRevision = b.ID, b.Phase, u.Revision
			r.bar(now, v.epochs, u.Source, e)
			if known {
				v.entries[b.ID] = e
			}
		}
	}
	if !u.Snapshot {
		return VerdictApplied
	}
	v.told = true
	var lost []string
	usable := 0
	for id, e := range v.entries {
		if e.Phase == PhaseUp {
			usable++
		}
		if !named[id] {
			lost = append(lost, id)
		}
	}
	if r.doubts(now, v, usable, lost) {
		out.Notes = append(out.Notes, fmt.Sprintf("%s lost %d of %d members at once: held until it says so again", u.Source,
			len(lost), usable))
		return VerdictUnconfirmed
	}
	slices.Sort(lost)
	for _, id := range lost {
		e := v.entries[id]
		e.ModRevision, touched[id] = u.Revision, true
		delete(v.entries, id)
		r.bar(now, v.epochs, u.Source, e)
	}
	v.missing = nil
	return VerdictApplied
}

// doubts says whether a list that lost so many members is to be held. A source that has lost its data tells an
// empty list as surely as a true one; what tells them apart is that the loss is still told some time later.
func (r *Roster) doubts(now float64, v *view, usable int, lost []string) bool {
	up := 0
	for _, id := range lost {
		if v.entries[id].Phase == PhaseUp {
			up++
		}
	}
	if r.rules.ConfirmAfter <= 0 || up < leastLost || float64(up) <= mostLost*float64(usable) {
		return false
	}
	if v.missing == nil {
		v.lostAt = now
	} else if now-v.lostAt >= r.rules.ConfirmAfter {
		return false
	}
	v.missing = make(map[string]bool, len(lost))
	for _, id := range lost {
		v.missing[id] = true
	}
	return true
}

// restrain takes from an update that can't be placed what forbids members.
func (r *Roster) restrain(now float64, v *view, u *Update, touched map[string]bool) {
	for _, e := range u.Entries {
		if e.Phase != PhaseUp && (u.Epoch == v.epoch && u.Revision >= v.revision || u.Epoch != v.epoch) {
			touched[e.ID] = true
			if e.ModRevision == 0 {
				e.ModRevision = u.Revision
			}
			epochs := max(v.epochs, 1) // the one that a whole list will begin, where this is the first word of it
			if v.epochs > 0 && u.Epoch != v.epoch {
				epochs++
			}
			r.bar(now, epochs, u.Source, e)
		}
	}
}

// bar remembers that a member was told draining or gone, in which of its source's epochs.
func (r *Roster) bar(now float64, epochs int, s Source, e Entry) {
	if len(r.bars) >= mostBars {
		r.forget(now)
	}
	if b, barred := r.bars[e.ID]; barred && b.source == s && b.epochs == epochs && b.revision > e.ModRevision {
		return // an older word of the same
	}
	r.bars[e.ID] = bar{source: s, epochs: epochs, revision: e.ModRevision, at: now, gone: e.Phase != PhaseDraining}
}

// forget makes room among the bars: the oldest tenth goes, and all that have stood for long.
func (r *Roster) forget(now float64) {
	at := make([]float64, 0, len(r.bars))
	for _, b := range r.bars {
		at = append(at, b.at)
	}
	slices.Sort(at)
	limit := max(at[len(at)/10], now-barredAt)
	maps.DeleteFunc(r.bars, func(_ string, b bar) bool { return b.at <= limit })
}

// lift ends a bar by a word that is newer: a later revision of the source that told it, or a start since. After an
// epoch has begun only what was written since then is newer: a registry restored from a backup tells what
// was true before the drain. A source without revisions of entries tells all of a whole list anew.
func (r *Roster) lift(v *view, s Source, e Entry) {
	b, barred := r.bars[e.ID]
	if !barred {
		return
	}
	same := b.source == s && b.epochs == v.epochs && e.ModRevision > b.revision
	since := b.source == s && b.epochs < v.epochs && (e.ModRevision > v.first || v.epoch == "")
	kept := b.source == SourceKnown && s == r.rules.Preferred // told in an earlier run, nobody knows by whom
	if same || since || kept || e.StartedAt > b.at {
		delete(r.bars, e.ID)
	}
}

// MarkDisconnected notes that a source can't be heard any more.
func (r *Roster) MarkDisconnected(s Source) {
	v := &r.views[s]
	v.speaks, v.parts, v.bads, v.spoilt = false, nil, nil, false // half a revision is none
}

// MarkAlive notes that a source has spoken without anything new.
func (r *Roster) MarkAlive(now float64, s Source) { r.views[s].heard, r.views[s].speaks = now, true }

// Tick lets time pass: another source may take the lead.
func (r *Roster) Tick(now float64) (out Outcome) {
	before := r.lead
	if r.choose(now); r.lead != before {
		out.Changes = r.show(nil, true)
		out.Notes = append(out.Notes, fmt.Sprintf("%s leads instead of %s", r.lead, before))
	}
	return out
}

// choose finds who leads: the preferred one while it speaks and for some time more; then one that speaks; then the
// one heard last.
func (r *Roster) choose(now float64) {
	best, rank := r.lead, -1.0
	for i := range r.views {
		v, s := &r.views[i], Source(i)
		if !v.told {
			continue
		}
		x := v.heard / 1e15 // of those that are silent the one heard last
		if v.speaks {
			x += 1 + float64(s)
		}
		if s == r.rules.Preferred && (v.speaks || now-v.heard <= r.rules.FailoverAfter) {
			x += 10
		}
		if x > rank {
			best, rank = s, x
		}
	}
	r.lead = best
}

// show brings the list that is shown up to date, for members touched or for all, and gives what changed.
func (r *Roster) show(touched map[string]bool, all bool) (changes []Entry) {
	if all {
		touched = make(map[string]bool, len(r.shown))
		for id := range r.shown {
			touched[id] = true
		}
		for id := range r.views[r.lead].entries {
			touched[id] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		e, there := r.views[r.lead].entries[id]
		if b, barred := r.bars[id]; barred && there && e.Phase == PhaseUp {
			if e.Phase = PhaseDraining; b.gone {
				there = false
			}
		}
		was, before := r.shown[id]
		e.ModRevision = 0
		switch {
		case there && (!before || was != e):
			r.shown[id] = e
			changes = append(changes, e)
		case !there && before:
			delete(r.shown, id)
			was.Phase = PhaseRemoved
			changes = append(changes, was)
		}
	}
	return changes
}

// Members is what is shown, ordered by id.
func (r *Roster) Members() []Entry {
	all := make([]Entry, 0, len(r.shown))
	for _, id := range slices.Sorted(maps.Keys(r.shown)) {
		all = append(all, r.shown[id])
	}
	return all
}

// Leader tells who leads, at which revision, how long ago it was heard, and how many epochs it has had.
func (r *Roster) Leader(now float64) (lead Source, revision int64, age float64, epochs int) {
	v := &r.views[r.lead]
	return r.lead, v.revision, now - v.heard, v.epochs
}

// Revision is up to where a source's list is known, and in which epoch; told is false while none has come.
func (r *Roster) Revision(s Source) (epoch string, revision int64, told bool) {
	v := &r.views[s]
	return v.epoch, v.revision, v.told
}
