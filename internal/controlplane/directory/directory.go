// Package directory is the soft state: which members and which drivers there are.
//
// This file owns the tables, how two of them become one, and the digests by which two processes see whether theirs differ. It
// does no I/O and reads no clock. Nothing here is ever written to disk: members and drivers tell it again.
package directory

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
)

// Role is what a member says that it is.
type Role uint8

const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Member is a record of one, as it told it last.
type Member struct {
	ID         string `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Addr       string `cbor:"3,keyasint"`
	Zone       string `cbor:"4,keyasint"`
	Generation string `cbor:"5,keyasint"`
	Slots      int    `cbor:"6,keyasint"`
	Role       Role   `cbor:"7,keyasint"`

	Draining    bool   `cbor:"8,keyasint,omitempty"` // binds at drivers
	Tombstone   bool   `cbor:"9,keyasint,omitempty"`
	Leaving     bool   `cbor:"10,keyasint,omitempty"` // it says that it drains; its lead may still have to be handed over
	Incarnation uint64 `cbor:"11,keyasint"`           // rises when its own count starts again
	Seq         uint64 `cbor:"12,keyasint"`
	Revision    uint64 `cbor:"13,keyasint"` // rises with what the core adds to its word
}

func (m *Member) newer(o *Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	if m.Seq != o.Seq {
		return m.Seq > o.Seq
	}
	return m.Revision > o.Revision
}

// same says whether nothing that matters differs.
func (m *Member) same(o *Member) bool {
	a, b := *m, *o
	a.Seq, b.Seq, a.Revision, b.Revision = 0, 0, 0, 0
	return a == b
}

// Members is a table of them.
type Members struct {
	all    map[string]*entry
	digest uint64
	valid  bool
}

type entry struct {
	m     Member
	heard float64 // when its own word came here or was passed on
	gone  float64 // since when
}

// NewMembers is empty.
func NewMembers() *Members { return &Members{all: map[string]*entry{}} }

// Heartbeat takes a member's own word at now; fresh is false for one that came late. changed says whether drivers must know.
// A count that starts again is a new life where the member was silent for longer than silence.
func (t *Members) Heartbeat(m Member, now, silence float64) (cur Member, fresh, changed bool) {
	old := t.all[m.ID]
	if old == nil {
		m.Incarnation = 1
		t.all[m.ID] = &entry{m: m, heard: now}
		t.valid = false
		return m, true, true
	}
	m.Incarnation, m.Revision = old.m.Incarnation, old.m.Revision
	switch {
	case m.Seq < old.m.Seq && (now-old.heard > silence || old.m.Tombstone):
		m.Incarnation++
	case m.Seq > old.m.Seq && old.m.Tombstone && now-old.gone > silence: // it was only silent: no word is that late
		m.Incarnation++
	case m.Seq <= old.m.Seq:
		return old.m, false, false
	}
	if old.m.Tombstone && m.Incarnation == old.m.Incarnation {
		return old.m, false, false
	}
	m.Draining = m.Leaving && old.m.Draining && m.Incarnation == old.m.Incarnation
	changed = !m.same(&old.m)
	old.m, old.heard, old.gone = m, now, 0
	if changed {
		t.valid = false
	}
	return m, true, changed
}

// ObserveHeartbeat notes that the member's word number seq came in somewhere.
func (t *Members) ObserveHeartbeat(id string, life, seq uint64, now float64) {
	if e := t.all[id]; e != nil && e.m.Incarnation == life && seq >= e.m.Seq {
		e.m.Seq, e.heard = seq, max(e.heard, now)
	}
}

// Leave notes that a member has ended.
func (t *Members) Leave(id string, now float64) (Member, bool) {
	e := t.all[id]
	if e == nil || e.m.Tombstone {
		return Member{}, false
	}
	e.m.Tombstone, e.m.Draining, e.gone = true, true, now
	e.m.Revision++
	t.valid = false
	return e.m, true
}

// StartDraining makes a leaving member's drain bind at drivers.
func (t *Members) StartDraining(id string) (Member, bool) {
	e := t.all[id]
	if e == nil || e.m.Draining || !e.m.Leaving {
		return Member{}, false
	}
	e.m.Draining = true
	e.m.Revision++
	t.valid = false
	return e.m, true
}

// Merge takes records that another process had. It gives those that were news here.
func (t *Members) Merge(records []Member, now float64) (news []Member) {
	for _, m := range records {
		e := t.all[m.ID]
		if e == nil {
			t.all[m.ID] = &entry{m: m, heard: now, gone: now}
			news = append(news, m)
			continue
		}
		if !m.newer(&e.m) {
			continue
		}
		if !m.same(&e.m) {
			news = append(news, m)
		}
		if m.Tombstone && !e.m.Tombstone {
			e.gone = now
		}
		if m.Seq > e.m.Seq || m.Incarnation > e.m.Incarnation {
			e.heard = now
		}
		e.m = m
	}
	if news != nil {
		t.valid = false
	}
	return news
}

// Expire lets go of those that ended, or were silent, for longer than keep. It gives the silent ones.
func (t *Members) Expire(now, keep float64) (gone []Member) {
	t.PurgeTombstones(now, keep)
	for id, e := range t.all {
		if !e.m.Tombstone && now-e.heard > keep {
			if m, ok := t.Leave(id, now); ok {
				gone = append(gone, m)
			}
		}
	}
	return gone
}

// PurgeTombstones lets go of those that ended longer ago than keep. Whether a silent one has ended is said by who hears its words.
func (t *Members) PurgeTombstones(now, keep float64) {
	for id, e := range t.all {
		if e.m.Tombstone && now-e.gone > keep {
			delete(t.all, id)
		}
	}
}

// Get gives one.
func (t *Members) Get(id string) (Member, bool) {
	if e := t.all[id]; e != nil {
		return e.m, true
	}
	return Member{}, false
}

// HeartbeatAge is for how long none of a member's own words has come.
func (t *Members) HeartbeatAge(id string, now float64) float64 {
	if e := t.all[id]; e != nil {
		return now - e.heard
	}
	return 0
}

// Snapshot gives all, by id.
func (t *Members) Snapshot() []Member {
	out := make([]Member, 0, len(t.all))
	for _, id := range slices.Sorted(maps.Keys(t.all)) {
		out = append(out, t.all[id].m)
	}
	return out
}

// Digest is the same for two tables in which nothing that matters differs. Members that are gone don't count.
func (t *Members) Digest() uint64 {
	if t.valid {
		return t.digest
	}
	h := fnv.New64a()
	for _, m := range t.Snapshot() {
		if m.Tombstone {
			continue
		}
		var b [11]byte
		binary.BigEndian.PutUint64(b[:], m.Incarnation)
		b[8], b[9], b[10] = byte(m.Role), flag(m.Draining), flag(m.Leaving)
		h.Write([]byte(m.ID + "\x00" + m.Service + "\x00" + m.Addr))
		h.Write(b[:])
	}
	t.digest, t.valid = h.Sum64(), true
	return t.digest
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// Driver is a machine that takes clients, by its agent.
type Driver struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint"` // where other agents reach it
	Zone        string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"` // of its process
}

// Leases are the drivers that the core knows: each is a member while it renews.
type Leases struct {
	all    map[string]*lease
	list   []Driver // by name; nil: to be made anew
	digest uint64   // of list
}

type lease struct {
	d     Driver
	until float64
}

// NewLeases is empty.
func NewLeases() *Leases { return &Leases{all: map[string]*lease{}} }

// Renew takes a driver's renewal, which holds until then. changed says whether others should know.
func (l *Leases) Renew(d Driver, until float64) (changed bool) {
	old := l.all[d.Name]
	if old != nil && old.d.Incarnation > d.Incarnation {
		return false
	}
	if old == nil || old.d != d {
		l.all[d.Name] = &lease{d, until}
		l.list = nil
		return true
	}
	old.until = max(old.until, until)
	return false
}

// Release ends a lease that its holder gave back.
func (l *Leases) Release(name string, life uint64) bool {
	if old := l.all[name]; old == nil || old.d.Incarnation != life {
		return false
	}
	delete(l.all, name)
	l.list = nil
	return true
}

// Expire drops those that ran out, and gives them.
func (l *Leases) Expire(now float64) (out []Driver) {
	for name, e := range l.all {
		if now >= e.until {
			delete(l.all, name)
			l.list = nil
			out = append(out, e.d)
		}
	}
	return out
}

// Expiry is when a driver's lease ends.
func (l *Leases) Expiry(name string) float64 {
	if e := l.all[name]; e != nil {
		return e.until
	}
	return 0
}

// Drivers gives the drivers that hold one, by name. It is shared: nobody may change it.
func (l *Leases) Drivers() []Driver {
	if l.list == nil {
		l.list = make([]Driver, 0, len(l.all))
		for _, e := range l.all {
			l.list = append(l.list, e.d)
		}
		slices.SortFunc(l.list, func(a, b Driver) int { return cmp.Compare(a.Name, b.Name) })
		l.digest = DriversDigest(l.list)
	}
	return l.list
}

// Digest is the list's. It is kept until the list changes, as each renewal compares it.
func (l *Leases) Digest() uint64 {
	l.Drivers()
	return l.digest
}

// ApplyDiff gives a list of drivers, in the order of names, behind what joined and left.
func ApplyDiff(all, joined []Driver, left []string) []Driver {
	replaced := make(map[string]bool, len(joined)+len(left))
	for _, d := range joined {
		replaced[d.Name] = true
	}
	for _, name := range left {
		replaced[name] = true
	}
	out := slices.DeleteFunc(slices.Clone(all), func(d Driver) bool { return replaced[d.Name] })
	out = append(out, joined...)
	slices.SortFunc(out, func(a, b Driver) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Diff tells what of now was not in before, and which names of before are not in now.
func Diff(before, now []Driver) (joined []Driver, left []string) {
	was := map[string]Driver{}
	for _, d := range before {
		was[d.Name] = d
	}
	for _, d := range now {
		if was[d.Name] != d {
			joined = append(joined, d)
		}
		delete(was, d.Name)
	}
	for name := range was {
		left = append(left, name)
	}
	slices.Sort(left)
	return joined, left
}

// DriversDigest is the same for two lists of the same drivers.
func DriversDigest(all []Driver) uint64 {
	h := fnv.New64a()
	for _, d := range all {
		h.Write([]byte(d.Name + " " + d.Addr + "\n"))
	}
	return h.Sum64()
}

// GossipPeers picks the few that a driver passes news on to: the one that follows it in the order of names, so that word from
// anywhere reaches all, and others drawn by its name, so that it does so in few steps.
func GossipPeers(all []Driver, self string, few int) []Driver {
	i, found := slices.BinarySearchFunc(all, self, func(d Driver, name string) int { return cmp.Compare(d.Name, name) })
	if found {
		i++
	}
	var out []Driver
	for k := 0; len(out) < few && k < 16*few && len(all) > 0; k++ {
		step := 0
		if k > 0 {
			h := fnv.New32a()
			h.Write([]byte{byte(k)})
			h.Write([]byte(self))
			step = int(h.Sum32() >> 8)
		}
		d := all[(i+step)%len(all)]
		if d.Name != self && !slices.ContainsFunc(out, func(o Driver) bool { return o.Name == d.Name }) {
			out = append(out, d)
		}
	}
	return out
}
