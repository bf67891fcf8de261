package controlmsg

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/directory"
)

func size(f *Frame) float64 {
	b, _ := cbor.Marshal(f)
	return float64(len(b) + 4)
}

// What the control plane's messages cost by fleet size, in bytes as they are encoded: nothing at a core machine may
// grow by drivers times members, or by drivers times drivers, but for the one start of all. docs/scale.md has the
// table.
func TestCostsBySize(t *testing.T) {
	const cores = 5
	var last float64
	for _, n := range []int{10, 30, 90, 300, 1000} {
		var drivers []directory.Driver
		for i := range n {
			drivers = append(drivers, directory.Driver{
				Name: fmt.Sprintf("front-seoul-gangnam-%d", i), Addr: fmt.Sprintf("10.%d.0.%d:7440", i/250, i%250),
				Zone: "seoul-gangnam", Incarnation: 1764600000000 + uint64(i),
			})
		}
		members := directory.NewMembers()
		for i := range n { // as many members as drivers
			members.Heartbeat(directory.Member{
				ID: fmt.Sprintf("i-%08x", i), Service: fmt.Sprint("svc", i/3), Addr: fmt.Sprintf("10.9.%d.%d:8080", i/250, i%250),
				Zone: "seoul-gangnam", Generation: "v1", Slots: 7, Role: directory.RoleReplica, Seq: 40,
			}, 0, 1)
		}
		has := StateDigest{ConfigVersion: 7, MembersHash: members.Digest(), DriversHash: directory.DriversDigest(drivers)}
		renew := size(&Frame{LeaseRenewal: &LeaseRenewal{Driver: drivers[0], Digest: has}})
		addrs := []string{"10.1.0.10:8782", "10.2.0.8:8782", "10.3.0.9:8782", "10.4.0.8:8782", "10.5.0.8:8782"}
		answer := size(&Frame{Update: &StateUpdate{CoreAddrs: addrs}})
		digest := size(&Frame{Digest: &has})
		heartbeat := size(&Frame{Heartbeats: []Heartbeat{{MemberID: "i-00000001", Incarnation: 1, Seq: 40}}})
		lease := size(&Frame{Leases: []DriverLease{{Driver: drivers[0], RemainingMs: 3500}}})
		one := size(&Frame{Update: &StateUpdate{Members: members.Snapshot()[:1]}})
		per := float64(n) / cores // agents, and members, at a core machine
		core := per*(renew+answer) + (cores-1)*2*per*lease + (cores-1)*2*per/1.2*heartbeat
		agent := renew + answer + 2*2*digest/3
		join := per * size(&Frame{Update: &StateUpdate{DriversAdded: drivers[:1]}})
		all := size(&Frame{Update: &StateUpdate{Members: members.Snapshot(), Drivers: drivers}})
		t.Logf("%4d drivers, %4d members: a core machine %8.0f bytes/s, an agent %4.0f; one that joins %7.0f at a core machine; "+
			"a member's record %6.0f; all lists once %7.0f", n, n, core, agent, join, per*one, all)
		if last > 0 && core/float64(n) > 1.2*last {
			t.Errorf("%d drivers: %f bytes a driver, %f in the smaller fleet", n, core/float64(n), last)
		}
		last = core / float64(n)
	}
}
