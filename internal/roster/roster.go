package roster

import (
	"fmt"
	"maps"
	"slices"
)

// Options of a roster. Times are milliseconds.
type Options struct {
	Preferred     Source  // leads while it is connected
	FailoverAfter float64 // a connected source leads instead once the preferred one was silent for so long
	ConfirmAfter  float64 // a snapshot that lost most members must be confirmed after so long; 0: none must
}

// Roster is the state of all sources and the membership that is published. The zero Roster is not usable: use New.
type Roster struct {
	options    Options
	views      [sources]view
	tombstones tombstones
	published  map[string]Entry // by id; its entries have no ModRevision
	leader     Source           // whose view is published
}

// New gives a roster without any members.
func New(options Options) *Roster {
	r := &Roster{options: options, tombstones: tombstones{}, published: map[string]Entry{}}
	for i := range r.views {
		r.views[i].entries = map[string]Entry{}
	}
	return r
}

// Apply takes an update. now is in milliseconds, by the clock of Entry.StartedAt.
func (r *Roster) Apply(now float64, update Update) (out Outcome) {
	v := &r.views[update.Source]
	v.lastMessage, v.connected = now, update.Source != SourceKnown // nobody stands for what was known at the start
	complete, oversized := v.assemble(&update)
	if !complete {
		out.Verdict = VerdictFragment
		return out
	}
	applied := &step{now: now, view: v, update: &update, touched: map[string]bool{}}
	if out.Verdict = v.order(&update); oversized {
		out.Verdict = VerdictGap
	}
	switch out.Verdict {
	case VerdictGap:
		r.applyRestrictions(applied)
	case VerdictApplied:
		out.Verdict = r.applyInOrder(applied)
	}
	before := r.leader
	r.elect(now)
	out.Changes = r.publish(applied.touched, before != r.leader)
	out.Notes = applied.notes
	if before != r.leader {
		out.Notes = append(out.Notes, leaderChange(r.leader, before))
	}
	return out
}

// Tick lets time pass: another source may become the leader.
func (r *Roster) Tick(now float64) (out Outcome) {
	before := r.leader
	if r.elect(now); r.leader != before {
		out.Changes = r.publish(nil, true)
		out.Notes = append(out.Notes, leaderChange(r.leader, before))
	}
	return out
}

func leaderChange(leader, before Source) string {
	return fmt.Sprintf("%s leads instead of %s", leader, before)
}

// SetDisconnected notes that a source can't be reached any more. Fragments of a revision are dropped.
func (r *Roster) SetDisconnected(source Source) {
	v := &r.views[source]
	v.connected = false
	v.dropFragments()
}

// SetConnected notes a message of a source without an update.
func (r *Roster) SetConnected(now float64, source Source) {
	r.views[source].lastMessage, r.views[source].connected = now, true
}

// Members gives the published membership, by id.
func (r *Roster) Members() []Entry {
	all := make([]Entry, 0, len(r.published))
	for _, id := range slices.Sorted(maps.Keys(r.published)) {
		all = append(all, r.published[id])
	}
	return all
}

// Leader gives the source whose view is published, its revision, the time since its last message, and how many
// epochs it has had.
func (r *Roster) Leader(now float64) (leader Source, revision int64, age float64, epochs int) {
	v := &r.views[r.leader]
	return r.leader, v.revision, now - v.lastMessage, v.epochNumber
}

// Revision gives the epoch and the revision up to which a source's state is known; synced is false before its first
// snapshot.
func (r *Roster) Revision(source Source) (epoch string, revision int64, synced bool) {
	v := &r.views[source]
	return v.epoch, v.revision, v.synced
}

// elect makes the source of the highest rank the leader.
func (r *Roster) elect(now float64) {
	best, bestRank := r.leader, -1.0
	for i := range r.views {
		if !r.views[i].synced {
			continue
		}
		if rank := r.rank(Source(i), now); rank > bestRank {
			best, bestRank = Source(i), rank
		}
	}
	r.leader = best
}

// rank puts the preferred source first, while it is connected and for FailoverAfter behind its last message; then
// connected sources, in the order of Source; then the one whose last message is the latest.
func (r *Roster) rank(source Source, now float64) float64 {
	v := &r.views[source]
	rank := v.lastMessage / 1e15 // far below 1
	if v.connected {
		rank += 1 + float64(source)
	}
	if source == r.options.Preferred && (v.connected || now-v.lastMessage <= r.options.FailoverAfter) {
		rank += 10
	}
	return rank
}

// publish brings the published membership up to date, for members that were touched or for all, and gives what
// changed.
func (r *Roster) publish(touched map[string]bool, all bool) (changes []Entry) {
	if all {
		touched = make(map[string]bool, len(r.published))
		for id := range r.published {
			touched[id] = true
		}
		for id := range r.views[r.leader].entries {
			touched[id] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(touched)) {
		old, wasThere := r.published[id]
		e, there := r.publishable(id)
		switch {
		case there && (!wasThere || old != e):
			r.published[id] = e
			changes = append(changes, e)
		case !there && wasThere:
			delete(r.published, id)
			old.Phase = PhaseRemoved
			changes = append(changes, old)
		}
	}
	return changes
}

// publishable gives a member's entry in the leader's view, restricted by its tombstone.
func (r *Roster) publishable(id string) (e Entry, there bool) {
	e, there = r.views[r.leader].entries[id]
	if t, found := r.tombstones[id]; found && there && e.Phase == PhaseUp {
		e.Phase = PhaseDraining
		there = !t.removed
	}
	e.ModRevision = 0
	return e, there
}
