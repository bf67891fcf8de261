package roster

import (
	"maps"
	"slices"
)

const (
	maxTombstones     = 50000  // beyond that the oldest are evicted
	tombstoneMaxAgeMs = 3600e3 // on an eviction, all older than this go along
)

// tombstone is what remains of a word that a member drains or is removed. It restricts the member in whatever view
// leads.
type tombstone struct {
	source      Source
	epochNumber int // of the source
	revision    int64
	at          float64
	removed     bool // else it drains
}

// tombstones are kept by member.
type tombstones map[string]tombstone

// add remembers that a source said in one of its epochs that a member drains or is removed. The entry of a member that
// a snapshot lacks is the last one known.
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

// evict makes room: the oldest tenth goes, and all that have stood for long.
func (t tombstones) evict(now float64) {
	times := make([]float64, 0, len(t))
	for _, stone := range t {
		times = append(times, stone.at)
	}
	slices.Sort(times)
	limit := max(times[len(times)/10], now-tombstoneMaxAgeMs)
	maps.DeleteFunc(t, func(_ string, stone tombstone) bool { return stone.at <= limit })
}

// liftTombstone ends a member's tombstone where its entry is newer: by a later revision of the source that said it,
// or by a start since. In a later epoch of that source only what was written since the epoch began is newer, as a
// registry that was restored from a backup has entries from before the drain; a source without named epochs writes
// everything anew in each snapshot. A tombstone of an earlier run, whose source is not known any more, gives way to the
// preferred source.
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
