package controlplane

import (
	"slices"
	"testing"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

// followersCutApart starts three machines, with an agent at each follower that renews every second, and cuts the link
// between the two followers; lost adds to what is lost from then on. It gives the followers.
func followersCutApart(t *testing.T, lost func(frame *controlmsg.Frame) bool) []*Server {
	t.Helper()
	record := newTranscript()
	machines := newTrio(t, record)
	time.Sleep(6 * time.Second)
	all := machines.elected(t, "")
	leader, followers := all[0], all[1:]
	agents := []*peer{newPeer(t, followers[0], "agent", record), newPeer(t, followers[1], "agent", record)}
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
		return from != leader && to != leader || lost(frame)
	})
	renewFor(15)
	return followers
}

var driverNames = []string{"front-1", "front-2"}

// knownDrivers gives the drivers that a machine knows, and whether it gives its list out as complete.
func knownDrivers(t *testing.T, h *Server) (names []string, complete bool) {
	t.Helper()
	err := h.state.call(func() {
		for _, driver := range h.state.drivers.table.Drivers() {
			names = append(names, driver.Name)
		}
		complete = h.state.directoryComplete(h.now())
	})
	if err != nil {
		t.Fatal(err)
	}
	return names, complete
}

// Two followers that don't reach each other, but the leader, know each other's drivers by it, and give out complete
// lists. It fails without requestLeases, where lists are not complete, and without leasesKnown in directoryComplete as
// well, where each lets the other's driver expire and gives out a list without it.
func TestFollowersCutApartKnowAllDrivers(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		followers := followersCutApart(t, func(*controlmsg.Frame) bool { return false })
		for _, h := range followers {
			if names, complete := knownDrivers(t, h); !slices.Equal(names, driverNames) || !complete {
				t.Errorf("%s knows %v, complete %v", h.settings.ControlAddr, names, complete)
			}
		}
	})
}

// Where the leader gives no answer, as one of an earlier version, nobody expires and no list is complete.
func TestFollowersWithoutTheLeadersLeasesLetNobodyGo(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		followers := followersCutApart(t, func(frame *controlmsg.Frame) bool { return frame.LeaseSync != nil })
		for _, h := range followers {
			if names, complete := knownDrivers(t, h); !slices.Equal(names, driverNames) || complete {
				t.Errorf("%s knows %v, complete %v", h.settings.ControlAddr, names, complete)
			}
		}
	})
}

// A machine whose list is the leader's is told so in one figure, unless some lease is nearly over; any other list is
// answered with all leases.
func TestLeaderConfirmsEqualListsInOneFigure(t *testing.T) {
	leases := driverLeases{table: directory.NewLeases()}
	leases.table.Renew(directory.Driver{Name: "front-1", Incarnation: 1}, 4000)
	leases.table.Renew(directory.Driver{Name: "front-2", Incarnation: 1}, 3000)
	same := leases.table.Digest()
	if answer := leases.syncAnswer(same, 500); answer.LeaseSync.DriversHash != same ||
		answer.LeaseSync.RemainingMs != 2500 || answer.Leases != nil {
		t.Errorf("the same list: %+v", answer)
	}
	if answer := leases.syncAnswer(same, 1600); answer.LeaseSync.DriversHash != 0 || len(answer.Leases) != 2 {
		t.Errorf("a lease that is nearly over: %+v", answer)
	}
	if answer := leases.syncAnswer(same+1, 500); answer.LeaseSync.DriversHash != 0 || len(answer.Leases) != 2 {
		t.Errorf("another list: %+v", answer)
	}
}
