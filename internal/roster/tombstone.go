package roster

import (
	"maps"
	"slices"
)

const (
	maxTombstones     = 50000  // maximum number of tombstones; the oldest are evicted
	tombstoneMaxAgeMs = 3600e3 // an eviction also removes all older tombstones
)

// tombstone records that a member drains or was removed. It restricts the member whichever source leads.
type tombstone struct {
	source      Source
	epochNumber int // of the source
	revision    int64
	at          float64
	removed     bool // otherwise the member drains
}

// tombstones holds the tombstones by member.
type tombstones map[string]tombstone

// add records that a source, in one of its epochs, listed a member as draining or removed. For a member that is missing
// from a snapshot, entry is its last known entry.
func (t tombstones) add(now float64, epochNumber int, source Source, entry Entry) {
	if len(t) >= maxTombstones {
		t.evict(now)
	}
	old, found := t[entry.ID]
	if found && old.source == source && old.epochNumber == epochNumber && old.revision > entry.ModRevision {
		return
	}
	t[entry.ID] = tombstone{
		source:      source,
		epochNumber: epochNumber,
		revision:    entry.ModRevision,
		at:          now,
		removed:     entry.Phase != PhaseDraining,
	}
}

// evict makes room: it removes the oldest tenth, and all tombstones older than tombstoneMaxAgeMs.
func (t tombstones) evict(now float64) {
	times := make([]float64, 0, len(t))
	for _, stone := range t {
		times = append(times, stone.at)
	}
	slices.Sort(times)
	limit := max(times[len(times)/10], now-tombstoneMaxAgeMs)
	maps.DeleteFunc(t, func(_ string, stone tombstone) bool { return stone.at <= limit })
}

// liftTombstone removes a member's tombstone if the entry is newer: by a later revision of the same source, or by a
// later start of the member. In a later epoch of the source, only entries written since the epoch began are newer, as a
// registry restored from a backup has entries from before the drain; a source without named epochs writes all entries
// anew in each snapshot. A tombstone of an earlier run, whose source is unknown, yields to the preferred source.
func (r *Roster) liftTombstone(step *step, entry Entry) {
	stone, found := r.tombstones[entry.ID]
	if !found {
		return
	}
	v, source := step.view, step.update.Source
	sameSource := stone.source == source
	laterRevision := sameSource && stone.epochNumber == v.epochNumber && entry.ModRevision > stone.revision
	laterEpoch := sameSource && stone.epochNumber < v.epochNumber && (entry.ModRevision > v.epochStart || v.epoch == "")
	fromEarlierRun := stone.source == SourceKnown && source == r.options.Preferred
	startedSince := entry.StartedAt > stone.at
	if laterRevision || laterEpoch || fromEarlierRun || startedSince {
		delete(r.tombstones, entry.ID)
	}
}
