package controlmsg

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/directory"
)

func encodedSize(f *Frame) float64 {
	b, _ := cbor.Marshal(f)
	return float64(len(b) + 4)
}

// The encoded size of the control plane's messages by fleet size. Traffic at a core machine must not grow with drivers
// times members or with the square of drivers, except once when the whole fleet starts. docs/scale.md has the table.
func TestCostsBySize(t *testing.T) {
	const cores = 5
	var previousPerDriver float64
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
		stateDigest := StateDigest{ConfigVersion: 7, MembersHash: members.Digest(),
			DriversHash: directory.DriversDigest(drivers)}
		renew := encodedSize(&Frame{LeaseRenewal: &LeaseRenewal{Driver: drivers[0], Digest: stateDigest}})
		addrs := []string{"10.1.0.10:8782", "10.2.0.8:8782", "10.3.0.9:8782", "10.4.0.8:8782", "10.5.0.8:8782"}
		answer := encodedSize(&Frame{Update: &StateUpdate{CoreAddrs: addrs}})
		digest := encodedSize(&Frame{Digest: &stateDigest})
		heartbeat := encodedSize(&Frame{Heartbeats: []Heartbeat{{MemberID: "i-00000001", Incarnation: 1, Seq: 40}}})
		lease := encodedSize(&Frame{Leases: []DriverLease{{Driver: drivers[0], RemainingMs: 3500}}})
		memberUpdate := encodedSize(&Frame{Update: &StateUpdate{Members: members.Snapshot()[:1]}})
		perMachine := float64(n) / cores // agents, and members, at a core machine
		coreBytes := perMachine*(renew+answer) + (cores-1)*2*perMachine*lease + (cores-1)*2*perMachine/1.2*heartbeat
		agentBytes := renew + answer + 2*2*digest/3
		joinBytes := perMachine * encodedSize(&Frame{Update: &StateUpdate{DriversAdded: drivers[:1]}})
		allLists := encodedSize(&Frame{Update: &StateUpdate{Members: members.Snapshot(), Drivers: drivers}})
		t.Logf("%4d drivers, %4d members: a core machine %8.0f bytes/s, an agent %4.0f; one that joins %7.0f at a core "+
			"machine; a member's record %6.0f; all lists once %7.0f", n, n, coreBytes, agentBytes, joinBytes,
			perMachine*memberUpdate, allLists)
		if previousPerDriver > 0 && coreBytes/float64(n) > 1.2*previousPerDriver {
			t.Errorf("%d drivers: %f bytes a driver, %f in the smaller fleet", n, coreBytes/float64(n), previousPerDriver)
		}
		previousPerDriver = coreBytes / float64(n)
	}
}
