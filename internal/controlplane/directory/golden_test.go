package directory

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// The records are encoded as CBOR with exactly these bytes, as processes of other versions read them.
func TestWireForms(t *testing.T) {
	for name, c := range map[string]struct {
		value any
		hex   string
	}{
		"member, full": {&Member{ID: "i-1", Service: "orders", Addr: "10.0.0.1:8080", Zone: "z1", Generation: "v3",
			Slots: 7, Role: RoleReplica,
			Draining: true, Tombstone: true, Leaving: true, Incarnation: 3, Seq: 300, Revision: 2},
			"ad0163692d3102666f7264657273036d31302e302e302e313a38303830" +
				"04627a31056276330607070208f509f50af50b030c19012c0d02"},
		"member, sparse": {&Member{ID: "i-2", Service: "s", Role: RolePrimary, Incarnation: 1, Seq: 1},
			"aa0163692d32026173036004600560060007010b010c010d00"},
		"driver": {&Driver{Name: "d1", Addr: "10.0.0.9:7440", Zone: "z2", Incarnation: 1764600000000},
			"a401626431026d31302e302e302e393a3734343003627a32041b0000019ada5b2e00"},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := cbor.Marshal(c.value)
			if got := hex.EncodeToString(raw); err != nil || got != c.hex {
				t.Fatalf("%s (%v), recorded %s", got, err, c.hex)
			}
			if err := decodesTo(raw, c.value); err != nil {
				t.Error(err)
			}
		})
	}
}

func decodesTo(raw []byte, want any) error {
	var got any
	switch want := want.(type) {
	case *Member:
		var m Member
		if err := cbor.Unmarshal(raw, &m); err != nil {
			return err
		}
		if m == *want {
			return nil
		}
		got = m
	case *Driver:
		var d Driver
		if err := cbor.Unmarshal(raw, &d); err != nil {
			return err
		}
		if d == *want {
			return nil
		}
		got = d
	}
	return fmt.Errorf("decoded to %+v", got)
}

// Processes compare digests with each other, so their values are part of the protocol.
func TestDigestValues(t *testing.T) {
	members := NewMembers()
	if got := members.Digest(); got != 0xcbf29ce484222325 {
		t.Errorf("no members: %#x", got)
	}
	members.Merge([]Member{
		{ID: "b", Service: "s", Addr: "x:1", Role: RoleReplica, Incarnation: 2, Seq: 9, Revision: 1, Leaving: true},
		{ID: "a", Service: "s", Addr: "x:2", Role: RolePrimary, Incarnation: 1, Seq: 4, Draining: true, Leaving: true},
		{ID: "c", Service: "s", Addr: "x:3", Role: RolePrimary, Incarnation: 1, Seq: 4, Tombstone: true},
	}, 0)
	if got := members.Digest(); got != wantMembersDigest {
		t.Errorf("members: %#x", got)
	}
	drivers := []Driver{
		{Name: "a", Addr: "y:1", Zone: "z", Incarnation: 1},
		{Name: "b", Addr: "y:2", Zone: "z", Incarnation: 2},
	}
	if got := DriversDigest(drivers); got != wantDriversDigest {
		t.Errorf("drivers: %#x", got)
	}
}

// Hashes of the outputs of the tests below. They change with any decision, record or digest.
const (
	wantMembersDigest uint64 = 0x45843f2d5771eeea
	wantDriversDigest uint64 = 0x14ec016a0b180991
	wantMemberHistory uint64 = 0xb837a5e1af33765e
	wantDriverHistory uint64 = 0x4f8056062cb71c14
)

// Two tables of members process random heartbeats, forwarded heartbeats, merges, departures, drains and expiry; every
// output is hashed. Expire returns its members in no particular order, so they are sorted here.
func TestMemberHistories(t *testing.T) {
	hash := fnv.New64a()
	byID := func(a, b Member) int { return cmp.Compare(a.ID, b.ID) }
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 7))
		tables := []*Members{NewMembers(), NewMembers()}
		seqs := make([]uint64, 6)
		now := 0.0
		for range 150 {
			now += 900 * rng.Float64()
			i, n := rng.IntN(len(tables)), rng.IntN(len(seqs))
			table, id := tables[i], fmt.Sprint("m", n)
			switch rng.IntN(12) {
			case 0, 1, 2, 3:
				if seqs[n]++; rng.IntN(12) == 0 {
					seqs[n] = 1
				}
				m := Member{ID: id, Service: "s", Addr: "x", Role: Role(rng.IntN(3)), Leaving: rng.IntN(3) == 0,
					Seq: seqs[n] - uint64(rng.IntN(10)/9)}
				cur, fresh, changed := table.Heartbeat(m, now, 3000)
				fmt.Fprintln(hash, cur, fresh, changed)
			case 4:
				m, _ := table.Get(id)
				table.ObserveHeartbeat(id, m.Incarnation, m.Seq+uint64(rng.IntN(4))-1, now)
			case 5:
				m, ok := table.Leave(id, now)
				fmt.Fprintln(hash, m, ok)
			case 6, 7:
				m, ok := table.StartDraining(id)
				fmt.Fprintln(hash, m, ok)
			case 8, 9:
				fmt.Fprintln(hash, table.Merge(tables[1-i].Snapshot(), now))
			case 10:
				fmt.Fprintln(hash, slices.SortedFunc(slices.Values(table.Expire(now, 12000)), byID))
			case 11:
				table.PurgeTombstones(now, 8000)
				fmt.Fprintln(hash, table.HeartbeatAge(id, now))
			}
			if rng.IntN(3) == 0 {
				fmt.Fprintln(hash, table.Digest(), table.Snapshot())
			}
		}
		fmt.Fprintln(hash, tables[0].Snapshot(), tables[1].Snapshot(), tables[0].Digest(), tables[1].Digest())
	}
	if got := hash.Sum64(); got != wantMemberHistory {
		t.Errorf("%#x, recorded %#x", got, wantMemberHistory)
	}
}

// A table of leases processes random renewals, releases and expiry, and its changes are sent as diffs; every output is
// hashed.
func TestDriverHistories(t *testing.T) {
	hash := fnv.New64a()
	byName := func(a, b Driver) int { return cmp.Compare(a.Name, b.Name) }
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 8))
		leases, received, now := NewLeases(), []Driver(nil), 0.0
		for range 120 {
			now += 700 * rng.Float64()
			d := Driver{Name: fmt.Sprint("d", rng.IntN(7)), Addr: fmt.Sprint("y", rng.IntN(2)), Incarnation: uint64(1 + rng.IntN(4))}
			switch rng.IntN(8) {
			case 0, 1, 2, 3:
				fmt.Fprintln(hash, leases.Renew(d, now+4000*rng.Float64()), leases.Expiry(d.Name))
			case 4:
				fmt.Fprintln(hash, leases.Release(d.Name, d.Incarnation))
			case 5:
				fmt.Fprintln(hash, slices.SortedFunc(slices.Values(leases.Expire(now)), byName))
			case 6:
				joined, left := Diff(received, leases.Drivers())
				received = ApplyDiff(received, joined, left)
				fmt.Fprintln(hash, joined, left, received, DriversDigest(received), leases.Digest())
			case 7:
				fmt.Fprintln(hash, GossipPeers(leases.Drivers(), d.Name, 1+rng.IntN(3)), leases.Digest())
			}
		}
	}
	if got := hash.Sum64(); got != wantDriverHistory {
		t.Errorf("%#x, recorded %#x", got, wantDriverHistory)
	}
}
