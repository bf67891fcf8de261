package controlplane

import (
	"slices"
	"testing"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

// partitionedFollowers starts three machines, with an agent at each follower that renews every second, and breaks the
// link between the two followers. From then on frames for which alsoDropped returns true are dropped too. It returns
// the followers.
func partitionedFollowers(t *testing.T, alsoDropped func(frame *controlmsg.Frame) bool) []*Server {
	t.Helper()
	record := newTranscript()
	machines := newTestCluster(t, record)
	time.Sleep(6 * time.Second)
	all := machines.leaderFirst(t, "")
	leader, followers := all[0], all[1:]
	agents := []*fakePeer{newFakePeer(t, followers[0], "agent", record), newFakePeer(t, followers[1], "agent", record)}
	renewFor := func(seconds int) {
		for range seconds {
			for i, agent := range agents {
				driver := directory.Driver{Name: driverNames[i], Addr: "10.0.1.1:7100", Zone: "z1", Incarnation: 1}
				agent.send(t, &controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: driver}})
			}
			time.Sleep(time.Second)
		}
	}
	renewFor(3)
	machines.setDrops(func(from, to *Server, frame *controlmsg.Frame) bool {
		return from != leader && to != leader || alsoDropped(frame)
	})
	renewFor(15)
	return followers
}

var driverNames = []string{"front-1", "front-2"}

// knownDrivers returns the drivers that a machine knows, and whether it considers its list complete.
func knownDrivers(t *testing.T, srv *Server) (names []string, complete bool) {
	t.Helper()
	err := srv.state.call(func() {
		for _, driver := range srv.state.drivers.table.Drivers() {
			names = append(names, driver.Name)
		}
		complete = srv.state.directoryComplete(srv.now())
	})
	if err != nil {
		t.Fatal(err)
	}
	return names, complete
}

// Two followers that reach the leader but not each other learn each other's drivers from the leader, and have complete
// lists. The test fails without requestLeases, as lists are then never complete. It also fails without requestLeases
// and leasesKnown in directoryComplete, as each follower then expires the other's driver and sends a list without it.
func TestPartitionedFollowersKnowAllDrivers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		followers := partitionedFollowers(t, func(*controlmsg.Frame) bool { return false })
		for _, srv := range followers {
			if names, complete := knownDrivers(t, srv); !slices.Equal(names, driverNames) || !complete {
				t.Errorf("%s knows %v, complete %v", srv.settings.ControlAddr, names, complete)
			}
		}
	})
}

// If the leader sends no answer, as an earlier version does, no driver expires and no list is complete.
func TestFollowersWithoutLeaseSyncExpireNoDriver(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		followers := partitionedFollowers(t, func(frame *controlmsg.Frame) bool { return frame.LeaseSync != nil })
		for _, srv := range followers {
			if names, complete := knownDrivers(t, srv); !slices.Equal(names, driverNames) || complete {
				t.Errorf("%s knows %v, complete %v", srv.settings.ControlAddr, names, complete)
			}
		}
	})
}

// The leader answers a list that equals its own with the digest and one remaining time, unless a lease is about to
// expire. It answers any other list with all leases.
func TestLeaderConfirmsEqualListsByDigest(t *testing.T) {
	leases := driverLeases{table: directory.NewLeases()}
	leases.table.Renew(directory.Driver{Name: "front-1", Incarnation: 1}, 4000)
	leases.table.Renew(directory.Driver{Name: "front-2", Incarnation: 1}, 3000)
	same := leases.table.Digest()
	if answer := leases.syncAnswer(same, 500); answer.LeaseSync.DriversHash != same ||
		answer.LeaseSync.RemainingMs != 2500 || answer.Leases != nil {
		t.Errorf("the same list: %+v", answer)
	}
	if answer := leases.syncAnswer(same, 1600); answer.LeaseSync.DriversHash != 0 || len(answer.Leases) != 2 {
		t.Errorf("a lease that is about to expire: %+v", answer)
	}
	if answer := leases.syncAnswer(same+1, 500); answer.LeaseSync.DriversHash != 0 || len(answer.Leases) != 2 {
		t.Errorf("another list: %+v", answer)
	}
}
