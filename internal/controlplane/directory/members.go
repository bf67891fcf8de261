package directory

import (
	"maps"
	"slices"
)

// Role is the role that a member reports.
type Role uint8

// Roles. Their values are part of the wire format.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Member is a member's record. It is encoded as CBOR on the wire, with the keys in its tags.
type Member struct {
	ID         string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"` // replication group
	Addr       string `cbor:"3,keyasint"`
	Zone       string `cbor:"4,keyasint"`
	Generation string `cbor:"5,keyasint"` // reported by its heartbeats; the higher text is preferred for promotion
	Slots      int    `cbor:"6,keyasint"` // reported by its heartbeats; informational only
	Role       Role   `cbor:"7,keyasint"`

	// Draining is set by the control plane: drivers send the member no new requests. It implies Leaving or Tombstone, and
	// lasts while the same incarnation reports that it is leaving.
	Draining bool `cbor:"8,keyasint,omitempty"`
	// Tombstone marks a member that left or expired: the record is kept so that late messages don't revive the member. It
	// implies Draining, and is cleared only by a higher incarnation. Together with Leaving it means that the member
	// announced its departure; then no further heartbeat of the same process counts.
	Tombstone bool `cbor:"9,keyasint,omitempty"`
	// Leaving is the member's own request to leave. Drivers still use it, as its role may have to be handed over first.
	Leaving bool `cbor:"10,keyasint,omitempty"`

	Incarnation uint64 `cbor:"11,keyasint"` // from 1 on; rises when Seq starts again
	Seq         uint64 `cbor:"12,keyasint"` // of its last heartbeat
	Revision    uint64 `cbor:"13,keyasint"` // rises with each change by the control plane
}

// HasLeft reports whether the member announced its departure.
func (m *Member) HasLeft() bool { return m.Tombstone && m.Leaving }

// supersedes reports whether m is the later one of two records of the same member. The announced departure is the last
// state of its incarnation, although heartbeats that the member sent before, or keeps sending, have higher numbers.
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

// equivalent reports whether the records differ at most in Seq and Revision.
func (m *Member) equivalent(other *Member) bool {
	a, b := *m, *other
	a.Seq, b.Seq, a.Revision, b.Revision = 0, 0, 0, 0
	return a == b
}

// Members is a table of members by ID.
type Members struct {
	entries     map[string]*entry
	digest      uint64 // valid if digestValid
	digestValid bool
}

type entry struct {
	record        Member
	lastHeartbeat float64 // when a heartbeat was received here or forwarded by another process
	tombstoneAt   float64 // when record became a tombstone here; 0 if it isn't one
}

// NewMembers returns an empty table.
func NewMembers() *Members { return &Members{entries: map[string]*entry{}} }

// Heartbeat processes a member's own heartbeat. It returns the record in place afterwards, whether the heartbeat was
// fresh rather than late, and whether anything but its number changed. A sequence that starts again after a silence
// longer than timeout begins a new incarnation.
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

// rejoinDelayMs is how long a member that left must have been silent before a lower sequence number is attributed to
// its next process: heartbeats may arrive seconds late and out of order.
const rejoinDelayMs = 15_000.0

// incarnationOf returns the incarnation that a heartbeat belongs to, and whether it is fresh rather than late.
func (e *entry) incarnationOf(seq uint64, now, timeout float64) (incarnation uint64, fresh bool) {
	old := &e.record
	if old.HasLeft() {
		if seq >= old.Seq { // the process that left may keep sending heartbeats for a while
			e.record.Seq, e.lastHeartbeat = seq, max(e.lastHeartbeat, now)
			return old.Incarnation, false
		}
		// within the delay it is a late heartbeat
		return old.Incarnation + 1, now-max(e.tombstoneAt, e.lastHeartbeat) > rejoinDelayMs
	}
	switch {
	case seq < old.Seq && (now-e.lastHeartbeat > timeout || old.Tombstone): // the sequence started again
		return old.Incarnation + 1, true
	case seq > old.Seq && old.Tombstone && now-e.tombstoneAt > timeout: // only silent: no heartbeat is this late
		return old.Incarnation + 1, true
	}
	return old.Incarnation, seq > old.Seq && !old.Tombstone
}

// ObserveHeartbeat records a heartbeat that another process received and that changed nothing but its number.
func (t *Members) ObserveHeartbeat(id string, incarnation, seq uint64, now float64) {
	if e := t.entries[id]; e != nil && e.record.Incarnation == incarnation && seq >= e.record.Seq {
		e.record.Seq, e.lastHeartbeat = seq, max(e.lastHeartbeat, now)
	}
}

// Leave makes a tombstone of the record of a member that announced its departure. It returns false if there is no
// record, or the departure was recorded before.
func (t *Members) Leave(id string, now float64) (Member, bool) {
	e := t.entries[id]
	if e == nil || e.record.HasLeft() {
		return Member{}, false
	}
	e.record.Leaving = true
	return t.makeTombstone(e, now), true
}

// Remove makes a tombstone of the record of a member that is silent or whose address now belongs to another member. It
// returns false if there is no record, or it is a tombstone already.
func (t *Members) Remove(id string, now float64) (Member, bool) {
	e := t.entries[id]
	if e == nil || e.record.Tombstone {
		return Member{}, false
	}
	return t.makeTombstone(e, now), true
}

// makeTombstone makes a record a tombstone.
func (t *Members) makeTombstone(e *entry, now float64) Member {
	e.record.Tombstone, e.record.Draining, e.tombstoneAt = true, true, now
	e.record.Revision++
	t.digestValid = false
	return e.record
}

// StartDraining makes drivers drain a leaving member. It returns false if the member isn't leaving, or is draining
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

// Merge merges another process's records into the table. It returns those that changed anything but Seq and Revision.
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

// Expire purges tombstones older than retention, and makes tombstones of the members that have been silent for longer
// than that; it returns these in no particular order. It must be called only in a process that receives heartbeats.
func (t *Members) Expire(now, retention float64) (expired []Member) {
	t.PurgeTombstones(now, retention)
	for id, e := range t.entries {
		if e.record.Tombstone || now-e.lastHeartbeat <= retention {
			continue
		}
		if m, ok := t.Remove(id, now); ok {
			expired = append(expired, m)
		}
	}
	return expired
}

// PurgeTombstones deletes tombstones older than retention. It keeps silent members.
func (t *Members) PurgeTombstones(now, retention float64) {
	for id, e := range t.entries {
		since := e.tombstoneAt
		if e.record.HasLeft() {
			since = max(since, e.lastHeartbeat) // the process may still be sending heartbeats
		}
		if e.record.Tombstone && now-since > retention {
			delete(t.entries, id)
		}
	}
}

// Get returns a member's record, and whether there is one.
func (t *Members) Get(id string) (Member, bool) {
	if e := t.entries[id]; e != nil {
		return e.record, true
	}
	return Member{}, false
}

// HeartbeatAge returns the time since a member's last heartbeat, 0 for an unknown member.
func (t *Members) HeartbeatAge(id string, now float64) float64 {
	if e := t.entries[id]; e != nil {
		return now - e.lastHeartbeat
	}
	return 0
}

// Snapshot returns all records, tombstones included, sorted by ID.
func (t *Members) Snapshot() []Member {
	out := make([]Member, 0, len(t.entries))
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		out = append(out, t.entries[id].record)
	}
	return out
}
