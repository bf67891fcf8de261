package roster

// maxFragmentEntries bounds the entries of one revision that are kept until its last fragment.
const maxFragmentEntries = 200000

// view is what one source says.
type view struct {
	epoch       string
	epochNumber int   // counts epochs from 1; 0: nothing was applied yet
	epochStart  int64 // the revision at which this epoch was first seen
	revision    int64 // everything up to it is in entries
	entries     map[string]Entry
	synced      bool // a snapshot was applied

	connected   bool // by the last call of the source, or its last update
	lastMessage float64

	// The fragments of a revision so far.
	fragments        []Entry
	invalidFragments []InvalidEntry
	oversized        bool // there were more than can be kept

	// The members that unconfirmed snapshots lost; nil: there was none, or it was confirmed.
	unconfirmed map[string]bool
	lossAt      float64 // when the first of those snapshots came
}

// assemble keeps a fragment, or completes an update by those before it. An oversized revision has no entries any
// more.
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

// order finds where an update stands in the source's history, and begins an epoch where revisions count anew. It
// gives VerdictApplied for one that may be applied.
func (v *view) order(update *Update) Verdict {
	otherEpoch := v.epochNumber > 0 && update.Epoch != v.epoch
	older := !otherEpoch && update.Revision < v.revision
	if update.Snapshot {
		if older && !update.Linearizable {
			return VerdictStale // of a follower that lags
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
		return VerdictGap // nothing tells a rebuilt source from a late message: a snapshot does
	case older:
		return VerdictStale
	case update.PreviousRevision > v.revision:
		return VerdictGap
	}
	return VerdictApplied
}
