package directory

import (
	"maps"
	"slices"
)

// Role is what a member says that it is.
type Role uint8

// Roles. Their values go over the wire.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Member is a member's record. It goes over the wire as CBOR, by the keys of its tags.
type Member struct {
	ID         string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"` // replication group
	Addr       string `cbor:"3,keyasint"`
	Zone       string `cbor:"4,keyasint"`
	Generation string `cbor:"5,keyasint"` // as its heartbeats say; the higher text is the better candidate
	Slots      int    `cbor:"6,keyasint"` // as its heartbeats say; nothing decides by it
	Role       Role   `cbor:"7,keyasint"`

	// Draining is set by the control plane: drivers send the member nothing new. It implies Leaving or Tombstone, and
	// lasts while the same incarnation says that it is leaving.
	Draining bool `cbor:"8,keyasint,omitempty"`
	// Tombstone marks a member that left or expired: the record is kept so that late words of it don't revive it. It
	// implies Draining, and is lifted only by a higher incarnation. With Leaving the member left by its own word, and
	// no heartbeat of the same process counts any more.
	Tombstone bool `cbor:"9,keyasint,omitempty"`
	// Leaving is the member's own wish to leave. Drivers still use it: its role may have to be handed over first.
	Leaving bool `cbor:"10,keyasint,omitempty"`

	Incarnation uint64 `cbor:"11,keyasint"` // from 1; rises when Seq starts again
	Seq         uint64 `cbor:"12,keyasint"` // of its last heartbeat
	Revision    uint64 `cbor:"13,keyasint"` // rises with what the control plane adds to the member's own word
}

// HasLeft says that the member left by its own word.
func (m *Member) HasLeft() bool { return m.Tombstone && m.Leaving }

// supersedes says whether m is the later one of two records of the same member. That it left is its incarnation's last
// word, though heartbeats that it sent before, or goes on sending, have higher numbers.
func (m *Member) supersedes(other *Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.HasLeft() != other.HasLeft() {
		return m.HasLeft()
	}
	if m.Seq != other.Seq {
		return m.Seq > other.Seq
	}
	return m.Revision > other.Revision
}

// equivalent says whether nothing that matters differs.
func (m *Member) equivalent(other *Member) bool {
	a, b := *m, *other
	a.Seq, b.Seq, a.Revision, b.Revision = 0, 0, 0, 0
	return a == b
}

// Members is a table of members by id.
type Members struct {
	entries     map[string]*entry
	digest      uint64 // valid while digestValid
	digestValid bool
}

type entry struct {
	record        Member
	lastHeartbeat float64 // when a heartbeat arrived here or was passed on
	tombstoneAt   float64 // when record became a tombstone here; 0: it is none
}

// NewMembers gives an empty table.
func NewMembers() *Members { return &Members{entries: map[string]*entry{}} }

// Heartbeat takes a member's own heartbeat. fresh is false for one that is late, and changed says whether anything
// that matters to drivers changed; current is the record in place afterwards. A sequence that starts again begins a
// new incarnation where the member was silent for longer than timeout.
func (t *Members) Heartbeat(record Member, now, timeout float64) (current Member, fresh, changed bool) {
	e := t.entries[record.ID]
	if e == nil {
		record.Incarnation = 1
		t.entries[record.ID] = &entry{record: record, lastHeartbeat: now}
		t.digestValid = false
		return record, true, true
	}
	old := &e.record
	if record.Incarnation, fresh = e.incarnationOf(record.Seq, now, timeout); !fresh {
		return *old, false, false
	}
	record.Revision = old.Revision
	record.Draining = record.Leaving && old.Draining && record.Incarnation == old.Incarnation
	changed = !record.equivalent(old)
	*e = entry{record: record, lastHeartbeat: now}
	if changed {
		t.digestValid = false
	}
	return record, true, changed
}

// returnAfter is for how long, in milliseconds, nothing was heard of a member that left before a lower number is
// taken for its next process: heartbeats may come seconds late, and out of order.
const returnAfter = 15_000.0

// incarnationOf says which incarnation a heartbeat is of; fresh is false for one that is late.
func (e *entry) incarnationOf(seq uint64, now, timeout float64) (incarnation uint64, fresh bool) {
	old := &e.record
	if old.HasLeft() {
		if seq >= old.Seq { // the process that left goes on for a while
			e.record.Seq, e.lastHeartbeat = seq, max(e.lastHeartbeat, now)
			return old.Incarnation, false
		}
		return old.Incarnation + 1, now-max(e.tombstoneAt, e.lastHeartbeat) > returnAfter // else it is a late one
	}
	switch {
	case seq < old.Seq && (now-e.lastHeartbeat > timeout || old.Tombstone): // its sequence started again
		return old.Incarnation + 1, true
	case seq > old.Seq && old.Tombstone && now-e.tombstoneAt > timeout: // it was only silent: no heartbeat is that late
		return old.Incarnation + 1, true
	}
	return old.Incarnation, seq > old.Seq && !old.Tombstone
}

// ObserveHeartbeat notes that a heartbeat arrived in another process and changed nothing but its number.
func (t *Members) ObserveHeartbeat(id string, incarnation, seq uint64, now float64) {
	if e := t.entries[id]; e != nil && e.record.Incarnation == incarnation && seq >= e.record.Seq {
		e.record.Seq, e.lastHeartbeat = seq, max(e.lastHeartbeat, now)
	}
}

// Leave notes that a member left by its own word; false where there is none, or it did already.
func (t *Members) Leave(id string, now float64) (Member, bool) {
	e := t.entries[id]
	if e == nil || e.record.HasLeft() {
		return Member{}, false
	}
	e.record.Leaving = true
	return t.bury(e, now), true
}

// Remove makes a member's record a tombstone, as it is silent or its address is another's; false where there is none,
// or is one already.
func (t *Members) Remove(id string, now float64) (Member, bool) {
	e := t.entries[id]
	if e == nil || e.record.Tombstone {
		return Member{}, false
	}
	return t.bury(e, now), true
}

// bury makes a record a tombstone.
func (t *Members) bury(e *entry, now float64) Member {
	e.record.Tombstone, e.record.Draining, e.tombstoneAt = true, true, now
	e.record.Revision++
	t.digestValid = false
	return e.record
}

// StartDraining makes the drain of a leaving member take effect at drivers; false where it isn't leaving, or drains
// already.
func (t *Members) StartDraining(id string) (Member, bool) {
	e := t.entries[id]
	if e == nil || e.record.Draining || !e.record.Leaving {
		return Member{}, false
	}
	e.record.Draining = true
	e.record.Revision++
	t.digestValid = false
	return e.record, true
}

// Merge takes another process's records, and gives those that changed anything that matters here.
func (t *Members) Merge(records []Member, now float64) (changed []Member) {
	for _, m := range records {
		e := t.entries[m.ID]
		if e == nil {
			t.entries[m.ID] = &entry{record: m, lastHeartbeat: now, tombstoneAt: now}
			changed = append(changed, m)
			continue
		}
		if !m.supersedes(&e.record) {
			continue
		}
		if !m.equivalent(&e.record) {
			changed = append(changed, m)
		}
		if m.Tombstone && !e.record.Tombstone {
			e.tombstoneAt = now
		}
		if m.Seq > e.record.Seq || m.Incarnation > e.record.Incarnation {
			e.lastHeartbeat = now
		}
		e.record = m
	}
	if changed != nil {
		t.digestValid = false
	}
	return changed
}

// Expire purges tombstones older than keep, and makes tombstones of the members that were silent for longer: it gives
// these, in no order. Only a process that heartbeats reach may call it.
func (t *Members) Expire(now, keep float64) (expired []Member) {
	t.PurgeTombstones(now, keep)
	for id, e := range t.entries {
		if e.record.Tombstone || now-e.lastHeartbeat <= keep {
			continue
		}
		if m, ok := t.Remove(id, now); ok {
			expired = append(expired, m)
		}
	}
	return expired
}

// PurgeTombstones deletes tombstones older than keep. Members that are silent stay.
func (t *Members) PurgeTombstones(now, keep float64) {
	for id, e := range t.entries {
		since := e.tombstoneAt
		if e.record.HasLeft() {
			since = max(since, e.lastHeartbeat) // its process may go on
		}
		if e.record.Tombstone && now-since > keep {
			delete(t.entries, id)
		}
	}
}

// Get gives a member's record.
func (t *Members) Get(id string) (Member, bool) {
	if e := t.entries[id]; e != nil {
		return e.record, true
	}
	return Member{}, false
}

// HeartbeatAge is the time since a member's last heartbeat, 0 for a member that is unknown.
func (t *Members) HeartbeatAge(id string, now float64) float64 {
	if e := t.entries[id]; e != nil {
		return now - e.lastHeartbeat
	}
	return 0
}

// Snapshot gives all records, tombstones included, by id.
func (t *Members) Snapshot() []Member {
	out := make([]Member, 0, len(t.entries))
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		out = append(out, t.entries[id].record)
	}
	return out
}
