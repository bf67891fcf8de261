package roster

// maxFragmentEntries is the maximum number of entries kept of an incomplete revision.
const maxFragmentEntries = 200000

// view is the member list of one source.
type view struct {
	epoch       string
	epochNumber int   // counts epochs from 1; 0 before the first update
	epochStart  int64 // the revision at which this epoch was first seen
	revision    int64 // the entries include everything up to it
	entries     map[string]Entry
	synced      bool // a snapshot was applied

	connected   bool // as of the source's last call or update
	lastMessage float64

	// The fragments of an incomplete revision.
	fragments        []Entry
	invalidFragments []InvalidEntry
	oversized        bool // there were more than maxFragmentEntries

	// The members missing from unconfirmed snapshots; nil if there is none, or if it was confirmed.
	unconfirmed map[string]bool
	firstLossAt float64 // time of the first of those snapshots
}

// assemble stores a fragment, or completes an update with the fragments before it. An oversized revision loses its
// entries.
func (v *view) assemble(update *Update) (complete, oversized bool) {
	if v.fragments = append(v.fragments, update.Entries...); len(v.fragments) > maxFragmentEntries {
		v.fragments, v.oversized = nil, true
	}
	v.invalidFragments = append(v.invalidFragments, update.Invalid...)
	if update.Fragment {
		return false, false
	}
	update.Entries, update.Invalid, oversized = v.fragments, v.invalidFragments, v.oversized
	v.dropFragments()
	return true, oversized
}

func (v *view) dropFragments() { v.fragments, v.invalidFragments, v.oversized = nil, nil, false }

// order determines an update's position in the source's history, and begins an epoch if revisions restarted. It returns
// VerdictApplied if the update may be applied.
func (v *view) order(update *Update) Verdict {
	otherEpoch := v.epochNumber > 0 && update.Epoch != v.epoch
	older := !otherEpoch && update.Revision < v.revision
	if update.Snapshot {
		if older && !update.Linearizable {
			return VerdictStale // from a lagging follower
		}
		if otherEpoch || older || v.epochNumber == 0 {
			v.epochNumber++
			v.epoch, v.epochStart = update.Epoch, update.Revision
		}
		return VerdictApplied
	}
	switch {
	case !v.synced || otherEpoch:
		return VerdictGap
	case older && update.Epoch == "":
		return VerdictGap // an old message or a source that was rebuilt: only a snapshot distinguishes them
	case older:
		return VerdictStale
	case update.PreviousRevision > v.revision:
		return VerdictGap
	}
	return VerdictApplied
}
