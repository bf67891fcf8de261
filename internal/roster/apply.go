package roster

import (
	"fmt"
	"slices"
)

const (
	maxUnconfirmedLoss = 0.5 // a snapshot without a greater share of the usable members must be confirmed
	minUnconfirmedLoss = 3   // in members: the loss of fewer needs no confirmation
)

// step holds one update while it is applied, and its effects.
type step struct {
	now     float64
	view    *view
	update  *Update
	touched map[string]bool // members whose published entry may change
	notes   []string
}

func (s *step) notef(format string, args ...any) {
	s.notes = append(s.notes, fmt.Sprintf(format, args...))
}

// applyInOrder applies an update that continues from the known revision, or is a snapshot.
func (r *Roster) applyInOrder(step *step) Verdict {
	u := step.update
	step.view.revision = u.Revision
	named := make(map[string]bool, len(u.Entries)+len(u.Invalid))
	for _, e := range u.Entries {
		named[e.ID] = true
		r.applyEntry(step, e)
	}
	for _, e := range u.Invalid {
		named[e.ID] = true
		r.applyInvalid(step, e)
	}
	if !u.Snapshot {
		return VerdictApplied
	}
	step.view.synced = true
	return r.applyAbsences(step, named)
}

func (r *Roster) applyEntry(step *step, entry Entry) {
	v := step.view
	step.touched[entry.ID] = true
	delete(v.unconfirmed, entry.ID)
	if entry.ModRevision == 0 {
		entry.ModRevision = step.update.Revision
	}
	if entry.Phase == PhaseUp {
		v.entries[entry.ID] = entry
		r.liftTombstone(step, entry)
		return
	}
	if entry.Phase == PhaseRemoved {
		delete(v.entries, entry.ID)
	} else {
		v.entries[entry.ID] = entry
	}
	r.tombstones.add(step.now, v.epochNumber, step.update.Source, entry)
}

// applyInvalid keeps the last valid entry of the member, but applies a drain or a removal.
func (r *Roster) applyInvalid(step *step, invalid InvalidEntry) {
	v, id := step.view, invalid.ID
	step.touched[id] = true
	delete(v.unconfirmed, id)
	step.notef("entry %s: %s", id, invalid.Reason)
	if invalid.Phase == PhaseUp {
		return
	}
	e, known := v.entries[id]
	e.ID, e.Phase, e.ModRevision = id, invalid.Phase, step.update.Revision
	r.tombstones.add(step.now, v.epochNumber, step.update.Source, e)
	if known {
		v.entries[id] = e
	}
}

// applyAbsences removes the members that are missing from a snapshot.
func (r *Roster) applyAbsences(step *step, named map[string]bool) Verdict {
	v := step.view
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
	if r.mustConfirm(step, usable, lost) {
		step.notef("%s lost %d of %d members at once: held until it says so again", step.update.Source, len(lost), usable)
		return VerdictUnconfirmed
	}
	slices.Sort(lost)
	for _, id := range lost {
		e := v.entries[id]
		e.ModRevision = step.update.Revision
		step.touched[id] = true
		delete(v.entries, id)
		r.tombstones.add(step.now, v.epochNumber, step.update.Source, e)
	}
	v.unconfirmed = nil
	return VerdictApplied
}

// mustConfirm reports whether a snapshot with missing members must be confirmed by a later one. A source that lost its
// data returns an empty snapshot just like a source without members; only the latter still does so some time later.
func (r *Roster) mustConfirm(step *step, usable int, lost []string) bool {
	v := step.view
	lostUsable := 0
	for _, id := range lost {
		if v.entries[id].Phase == PhaseUp {
			lostUsable++
		}
	}
	few := lostUsable < minUnconfirmedLoss || float64(lostUsable) <= maxUnconfirmedLoss*float64(usable)
	if r.options.ConfirmAfter <= 0 || few {
		return false
	}
	if v.unconfirmed == nil {
		v.firstLossAt = step.now
	} else if step.now-v.firstLossAt >= r.options.ConfirmAfter {
		return false
	}
	v.unconfirmed = make(map[string]bool, len(lost))
	for _, id := range lost {
		v.unconfirmed[id] = true
	}
	return true
}

// applyRestrictions applies the drains and removals of an update after a gap. Its other entries wait for a snapshot, as
// the missing revisions may restrict them.
func (r *Roster) applyRestrictions(step *step) {
	v, u := step.view, step.update
	if u.Epoch == v.epoch && u.Revision < v.revision {
		return
	}
	epochNumber := max(v.epochNumber, 1) // the epoch that the first snapshot will begin
	if v.epochNumber > 0 && u.Epoch != v.epoch {
		epochNumber++
	}
	for _, e := range u.Entries {
		if e.Phase == PhaseUp {
			continue
		}
		step.touched[e.ID] = true
		if e.ModRevision == 0 {
			e.ModRevision = u.Revision
		}
		r.tombstones.add(step.now, epochNumber, u.Source, e)
	}
}
