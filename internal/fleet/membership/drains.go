package membership

// This file owns drains that peers tell of. It must never let one end but by a list that is at least as new as the one
// that told it, or by word of such a list: not by a heal, and not because who told it has failed.

import (
	"cmp"
	"maps"
	"slices"
)

// Drain says what one source's list told of a member at a revision: that it drains or is gone, or that it is up again.
type Drain struct {
	Member   string `json:"member"`
	Source   uint8  `json:"source"`
	Revision int64  `json:"revision"`
	Up       bool   `json:"up,omitempty"`
}

type drainKey struct {
	member string
	source uint8
}

// heldDrain is a drain, and when it came here.
type heldDrain struct {
	Drain
	at float64
}

// Drains holds what peers told, and what the own lists tell others.
type Drains struct {
	limit        int
	retainFor    float64
	all          map[drainKey]heldDrain
	ownRevisions map[uint8]int64 // revision held, by source
	draining     map[string]bool
}

// NewDrains makes a book of at most so many. A drain that the own list never came to, though it speaks, is let go after
// keep: its revisions are of another list than the one that told it.
func NewDrains(most int, keep float64) *Drains {
	return &Drains{limit: most, retainFor: keep, all: map[drainKey]heldDrain{}, ownRevisions: map[uint8]int64{}, draining: map[string]bool{}}
}

// record notes a message that says more than what is held.
func (d *Drains) record(now float64, t Drain) bool {
	key := drainKey{t.Member, t.Source}
	h, known := d.all[key]
	switch {
	// of one revision the message by which less is sent holds
	case known && t.Revision < h.Revision, known && t.Revision == h.Revision && (t.Up || !h.Up):
		return false
	case !known && (t.Up || len(d.all) >= d.limit && !d.evictOldest()):
		return false
	}
	d.all[key] = heldDrain{t, now}
	return true
}

// ApplyList takes what an own list told: the revision up to which it is held now, and what it told of members. It gives
// the members whose marks change (true: counts as draining now) and whether there is news for peers.
func (d *Drains) ApplyList(now float64, source uint8, revision int64, told []Drain) (marks map[string]bool, news bool) {
	d.ownRevisions[source] = revision
	for _, t := range told {
		news = d.record(now, t) || news
	}
	for k, h := range d.all {
		if k.source == source && h.Revision > revision && now-h.at > d.retainFor {
			delete(d.all, k)
		}
	}
	return d.updateDraining(), news
}

// ApplyPeer takes a peer's word, and says whether it was news.
func (d *Drains) ApplyPeer(now float64, t Drain) (marks map[string]bool, news bool) {
	if t.Member == "" || len(t.Member) > 256 || t.Revision < 0 || !d.record(now, t) {
		return nil, false
	}
	return d.updateDraining(), true
}

// evictOldest forgets the oldest drain that the own list covers; one that only peers told stays.
func (d *Drains) evictOldest() bool {
	var oldest drainKey
	found := false
	for k, t := range d.all {
		if t.Revision <= d.ownRevisions[k.source] && (!found || t.Revision < d.all[oldest].Revision ||
			t.Revision == d.all[oldest].Revision && k.member < oldest.member) {
			oldest, found = k, true
		}
	}
	delete(d.all, oldest)
	return found
}

// updateDraining works out the marks: a member counts as draining where a peer told so by a list newer than the own one.
func (d *Drains) updateDraining() (changes map[string]bool) {
	want := map[string]bool{}
	for k, t := range d.all {
		if !t.Up && t.Revision > d.ownRevisions[k.source] {
			want[k.member] = true
		}
	}
	changes = map[string]bool{}
	for m := range want {
		if !d.draining[m] {
			changes[m] = true
		}
	}
	for m := range d.draining {
		if !want[m] {
			changes[m] = false
		}
	}
	d.draining = want
	return changes
}

// Since are the drains that came here from a time on, sorted: what a peer should know that heard of the earlier ones.
func (d *Drains) Since(from float64) (all []Drain) {
	for _, h := range d.all {
		if h.at >= from {
			all = append(all, h.Drain)
		}
	}
	slices.SortFunc(all, func(a, b Drain) int {
		return cmp.Or(cmp.Compare(a.Member, b.Member), cmp.Compare(a.Source, b.Source))
	})
	return all
}

// Draining are the members that count as draining by peers' word alone, sorted.
func (d *Drains) Draining() []string { return slices.Sorted(maps.Keys(d.draining)) }
