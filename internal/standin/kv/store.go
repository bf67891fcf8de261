package kv

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// Item is a key's value with the revision that wrote it, or the event of its removal.
type Item struct {
	Key         string
	Value       []byte
	ModRevision int64
	Deleted     bool
}

// Store is a registry's content and its history since the last compaction.
type Store struct {
	mu        sync.Mutex
	Cluster   string // the cluster's id
	revision  int64
	compacted int64 // events up to this revision are discarded
	keys      map[string]Item
	events    []Item        // ordered by revision
	changed   chan struct{} // closed and replaced at each change
	leases    map[string]*lease
	serial    int // number of the last lease
}

// NewStore returns an empty store with a cluster id.
func NewStore(cluster string) *Store {
	return &Store{Cluster: cluster, revision: 1, keys: map[string]Item{}, changed: make(chan struct{})}
}

// Put writes pairs of key and string value, and removes keys paired with nil, all at one revision, which it returns.
func (s *Store) Put(pairs ...any) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	for i := 0; i < len(pairs); i += 2 {
		x := Item{Key: pairs[i].(string), ModRevision: s.revision}
		if text, ok := pairs[i+1].(string); ok {
			x.Value = []byte(text)
			s.keys[x.Key] = x
		} else {
			x.Deleted = true
			delete(s.keys, x.Key)
		}
		s.events = append(s.events, x)
	}
	s.notify()
	return s.revision
}

// notify wakes all goroutines that wait for a change. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact discards the events up to a revision.
func (s *Store) Compact(rev int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted = rev
	s.events = slices.DeleteFunc(s.events, func(item Item) bool { return item.ModRevision <= rev })
}

// Snapshot returns a copy of the content and the history.
func (s *Store) Snapshot() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Store{
		Cluster:   s.Cluster,
		revision:  s.revision,
		compacted: s.compacted,
		keys:      maps.Clone(s.keys),
		events:    slices.Clone(s.events),
	}
}

// Restore replaces the content and the history by those of a snapshot, and sets the cluster id.
func (s *Store) Restore(from *Store, cluster string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Cluster, s.revision, s.compacted, s.keys, s.events = cluster, from.revision, from.compacted, maps.Clone(from.keys),
		slices.Clone(from.events)
	s.notify()
}

// Revision returns the newest revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// list returns the items under a prefix, ordered by key. The caller holds the lock.
func (s *Store) list(prefix string) (items []Item) {
	for _, k := range slices.Sorted(maps.Keys(s.keys)) {
		if strings.HasPrefix(k, prefix) {
			items = append(items, s.keys[k])
		}
	}
	return items
}

// eventsSince returns the events of keys under a prefix from a revision on, the newest revision, the compacted
// revision, and a channel that is closed at the next change.
func (s *Store) eventsSince(
	revision int64,
	prefix string,
) (events []Item, newest, compacted int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.events {
		if x.ModRevision >= revision && strings.HasPrefix(x.Key, prefix) {
			events = append(events, x)
		}
	}
	return events, s.revision, s.compacted, s.changed
}
