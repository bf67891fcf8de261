package membership

import (
	"cmp"
	"maps"
	"slices"
)

// Drain is the state of one member in one source's list, at a revision of that list: it is draining or was removed, or
// it is up again.
type Drain struct {
	Member   string `json:"member"`
	Source   uint8  `json:"source"`   // number of the list's source
	Revision int64  `json:"revision"` // of the list
	Up       bool   `json:"up,omitempty"`
}

type drainKey struct {
	member string
	source uint8
}

// storedDrain is a drain, and when it was recorded here.
type storedDrain struct {
	Drain
	at float64 // milliseconds
}

// Drains holds the drains that peers have announced, and those of this driver's own lists, which it announces to them.
// A drain ends only by a list that is at least as new as the one that announced it, read here or by a peer: neither
// the heal of a partition nor the failure of the announcing peer ends it.
type Drains struct {
	limit        int
	retainFor    float64 // milliseconds
	all          map[drainKey]storedDrain
	ownRevisions map[uint8]int64 // of the own lists, by source
	draining     map[string]bool // members that count as draining by peers' messages alone
}

// NewDrains makes room for so many. A drain that the own list never came to, though it is read, is dropped
// after retainFor milliseconds: its revisions are of another list than the one that told of it.
func NewDrains(limit int, retainFor float64) *Drains {
	return &Drains{limit: limit, retainFor: retainFor, all: map[drainKey]storedDrain{}, ownRevisions: map[uint8]int64{},
		draining: map[string]bool{}}
}

// ApplyList takes what an own list says: its revision, and drains of members. It gives the members whose
// draining by peers' messages changes (true: it begins), and whether there is news for peers.
func (d *Drains) ApplyList(now float64, source uint8, revision int64, drains []Drain) (
	changes map[string]bool, isNew bool,
) {
	d.ownRevisions[source] = revision
	for _, drain := range drains {
		isNew = d.record(now, drain) || isNew
	}
	for key, stored := range d.all {
		if key.source == source && stored.Revision > revision && now-stored.at > d.retainFor {
			delete(d.all, key)
		}
	}
	return d.updateDraining(), isNew
}

// maxMemberBytes bounds the names of members that peers tell of.
const maxMemberBytes = 256

// ApplyPeer takes a peer's message, and gives the changes as ApplyList does, and whether it was news.
func (d *Drains) ApplyPeer(now float64, drain Drain) (changes map[string]bool, isNew bool) {
	valid := drain.Member != "" && len(drain.Member) <= maxMemberBytes && drain.Revision >= 0
	if !valid || !d.record(now, drain) {
		return nil, false
	}
	return d.updateDraining(), true
}

// record stores a drain that says more than what is stored, and says whether it does.
func (d *Drains) record(now float64, drain Drain) bool {
	key := drainKey{drain.Member, drain.Source}
	stored, known := d.all[key]
	if known {
		older := drain.Revision < stored.Revision
		// Of one revision the message by which less is sent holds.
		if older || drain.Revision == stored.Revision && (drain.Up || !stored.Up) {
			return false
		}
	} else if drain.Up || len(d.all) >= d.limit && !d.evictOldest() {
		return false
	}
	d.all[key] = storedDrain{drain, now}
	return true
}

// evictOldest forgets the oldest drain that the own list covers; one that only peers told of stays.
func (d *Drains) evictOldest() bool {
	var oldest drainKey
	found := false
	for key, stored := range d.all {
		if stored.Revision > d.ownRevisions[key.source] {
			continue
		}
		byAge := cmp.Compare(stored.Revision, d.all[oldest].Revision)
		if !found || cmp.Or(byAge, cmp.Compare(key.member, oldest.member), cmp.Compare(key.source, oldest.source)) < 0 {
			oldest, found = key, true
		}
	}
	delete(d.all, oldest)
	return found
}

// updateDraining works out who drains: a member of which a peer told so by a list newer than the own one.
func (d *Drains) updateDraining() (changes map[string]bool) {
	draining := map[string]bool{}
	for key, stored := range d.all {
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

// Since are the drains that came here from a time on, sorted: what a peer should know that heard of the earlier ones.
func (d *Drains) Since(from float64) (drains []Drain) {
	for _, stored := range d.all {
		if stored.at >= from {
			drains = append(drains, stored.Drain)
		}
	}
	slices.SortFunc(drains, func(a, b Drain) int {
		return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Source, b.Source))
	})
	return drains
}

// Draining are the members that count as draining by peers' messages alone, sorted.
func (d *Drains) Draining() []string { return slices.Sorted(maps.Keys(d.draining)) }
