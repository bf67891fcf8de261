package membership

import (
	"cmp"
	"maps"
	"slices"
)

// Drain is the state of one member in one source's member list at a revision of that list: draining or removed, or up
// again.
type Drain struct {
	Member   string `json:"member"`
	Source   uint8  `json:"source"`   // index of the list's source
	Revision int64  `json:"revision"` // of the list
	Up       bool   `json:"up,omitempty"`
}

type drainKey struct {
	member string
	source uint8
}

// storedDrain is a drain with the time at which this driver recorded it.
type storedDrain struct {
	Drain
	recordedAt float64 // milliseconds
}

// Drains holds the drains that peers have announced, and those of this driver's own lists, which it announces to peers.
// A drain ends only by a list that is at least as new as the one that announced it, whether this driver or a peer read
// that list. Neither a healed partition nor the failure of the announcing peer ends it.
type Drains struct {
	limit        int
	retainFor    float64 // milliseconds
	drains       map[drainKey]storedDrain
	ownRevisions map[uint8]int64 // revisions of the own lists, by source
	draining     map[string]bool // members that are draining only according to peers
}

// NewDrains returns an empty set with room for limit drains. A drain with a revision that the own list, though it is
// read, has not reached after retainFor milliseconds is dropped: it was announced from a list with other revisions.
func NewDrains(limit int, retainFor float64) *Drains {
	return &Drains{limit: limit, retainFor: retainFor, drains: map[drainKey]storedDrain{}, ownRevisions: map[uint8]int64{},
		draining: map[string]bool{}}
}

// ApplyList records a revision of an own list and its drains. It returns the members that start (true) or stop (false)
// draining according to peers, and whether there are changes to announce to peers.
func (d *Drains) ApplyList(now float64, source uint8, revision int64, drains []Drain) (
	changes map[string]bool, isNew bool,
) {
	d.ownRevisions[source] = revision
	for _, drain := range drains {
		isNew = d.record(now, drain) || isNew
	}
	for key, stored := range d.drains {
		if key.source == source && stored.Revision > revision && now-stored.recordedAt > d.retainFor {
			delete(d.drains, key)
		}
	}
	return d.updateDraining(), isNew
}

// maxMemberBytes bounds the member names that peers announce.
const maxMemberBytes = 256

// ApplyPeer records a drain announced by a peer. It returns the changes as ApplyList does, and whether it was new.
func (d *Drains) ApplyPeer(now float64, drain Drain) (changes map[string]bool, isNew bool) {
	valid := drain.Member != "" && len(drain.Member) <= maxMemberBytes && drain.Revision >= 0
	if !valid || !d.record(now, drain) {
		return nil, false
	}
	return d.updateDraining(), true
}

// record stores a drain if it supersedes the stored one, and reports whether it did.
func (d *Drains) record(now float64, drain Drain) bool {
	key := drainKey{drain.Member, drain.Source}
	stored, known := d.drains[key]
	if known {
		older := drain.Revision < stored.Revision
		// At equal revisions draining wins over up: it sends less traffic to the member.
		if older || drain.Revision == stored.Revision && (drain.Up || !stored.Up) {
			return false
		}
	} else if drain.Up || len(d.drains) >= d.limit && !d.evictOldest() {
		return false
	}
	d.drains[key] = storedDrain{drain, now}
	return true
}

// evictOldest drops the oldest drain that the own list covers. Drains known only from peers are kept.
func (d *Drains) evictOldest() bool {
	var oldest drainKey
	found := false
	for key, stored := range d.drains {
		if stored.Revision > d.ownRevisions[key.source] {
			continue
		}
		byRevision := cmp.Compare(stored.Revision, d.drains[oldest].Revision)
		if !found || cmp.Or(byRevision, cmp.Compare(key.member, oldest.member), cmp.Compare(key.source, oldest.source)) < 0 {
			oldest, found = key, true
		}
	}
	delete(d.drains, oldest)
	return found
}

// updateDraining recomputes the members that peers announced as draining from a newer list than the own one.
func (d *Drains) updateDraining() (changes map[string]bool) {
	draining := map[string]bool{}
	for key, stored := range d.drains {
		if !stored.Up && stored.Revision > d.ownRevisions[key.source] {
			draining[key.member] = true
		}
	}
	changes = map[string]bool{}
	for member := range draining {
		if !d.draining[member] {
			changes[member] = true
		}
	}
	for member := range d.draining {
		if !draining[member] {
			changes[member] = false
		}
	}
	d.draining = draining
	return changes
}

// Since returns the drains recorded at or after a time, sorted, for peers that already know the earlier ones.
func (d *Drains) Since(from float64) (drains []Drain) {
	for _, stored := range d.drains {
		if stored.recordedAt >= from {
			drains = append(drains, stored.Drain)
		}
	}
	slices.SortFunc(drains, func(a, b Drain) int {
		return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Source, b.Source))
	})
	return drains
}

// Draining returns the members that are draining only according to peers, sorted.
func (d *Drains) Draining() []string { return slices.Sorted(maps.Keys(d.draining)) }
