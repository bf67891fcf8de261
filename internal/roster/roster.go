package roster

import (
	"fmt"
	"maps"
	"slices"
)

// Options configure a Roster. Times are milliseconds.
type Options struct {
	Preferred     Source  // leads while it is connected
	FailoverAfter float64 // a connected source replaces the preferred one after this time without a message from it
	ConfirmAfter  float64 // a snapshot without most members must be confirmed after this time; 0: without confirmation
}

// Roster holds the state of all sources and the published membership. Use New; the zero Roster is not usable.
type Roster struct {
	options    Options
	views      [sourceCount]view
	tombstones tombstones
	published  map[string]Entry // by id; entries have ModRevision 0
	leader     Source           // the source whose view is published
}

// New returns a roster without members.
func New(options Options) *Roster {
	r := &Roster{options: options, tombstones: tombstones{}, published: map[string]Entry{}}
	for i := range r.views {
		r.views[i].entries = map[string]Entry{}
	}
	return r
}

// Apply applies an update. now is in milliseconds, by the same clock as Entry.StartedAt.
func (r *Roster) Apply(now float64, update Update) (out Outcome) {
	v := &r.views[update.Source]
	v.lastMessage, v.connected = now, update.Source != SourceKnown // the list known at the start has no connected source
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

// Tick re-elects the leader as time passes.
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

// SetDisconnected records that a source is unreachable, and drops the fragments of an incomplete revision.
func (r *Roster) SetDisconnected(source Source) {
	v := &r.views[source]
	v.connected = false
	v.dropFragments()
}

// SetConnected records a message from a source without an update.
func (r *Roster) SetConnected(now float64, source Source) {
	r.views[source].lastMessage, r.views[source].connected = now, true
}

// Members returns the published membership, sorted by id.
func (r *Roster) Members() []Entry {
	all := make([]Entry, 0, len(r.published))
	for _, id := range slices.Sorted(maps.Keys(r.published)) {
		all = append(all, r.published[id])
	}
	return all
}

// Leader returns the source whose view is published, its revision, the time since its last message, and the number of
// its epochs.
func (r *Roster) Leader(now float64) (leader Source, revision int64, age float64, epochs int) {
	v := &r.views[r.leader]
	return r.leader, v.revision, now - v.lastMessage, v.epochNumber
}

// Revision returns the epoch of a source and the revision up to which its state is known. synced is false before its
// first snapshot.
func (r *Roster) Revision(source Source) (epoch string, revision int64, synced bool) {
	v := &r.views[source]
	return v.epoch, v.revision, v.synced
}

// elect makes the source with the highest rank the leader.
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

// rank orders the sources: first the preferred one, while it is connected and for FailoverAfter after its last message;
// then connected sources, in the order of Source; then the one with the latest message.
func (r *Roster) rank(source Source, now float64) float64 {
	v := &r.views[source]
	rank := v.lastMessage / 1e15 // less than 1, so that it only breaks ties
	if v.connected {
		rank += 1 + float64(source)
	}
	if source == r.options.Preferred && (v.connected || now-v.lastMessage <= r.options.FailoverAfter) {
		rank += 10
	}
	return rank
}

// publish updates the published membership, for the touched members or for all, and returns the changes.
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
		old, wasPublished := r.published[id]
		e, isPublished := r.publishable(id)
		switch {
		case isPublished && (!wasPublished || old != e):
			r.published[id] = e
			changes = append(changes, e)
		case !isPublished && wasPublished:
			delete(r.published, id)
			old.Phase = PhaseRemoved
			changes = append(changes, old)
		}
	}
	return changes
}

// publishable returns a member's entry in the leader's view, restricted by its tombstone.
func (r *Roster) publishable(id string) (e Entry, ok bool) {
	e, ok = r.views[r.leader].entries[id]
	if t, found := r.tombstones[id]; found && ok && e.Phase == PhaseUp {
		e.Phase = PhaseDraining
		ok = !t.removed
	}
	e.ModRevision = 0
	return e, ok
}
