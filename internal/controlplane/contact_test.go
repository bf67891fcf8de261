package controlplane

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// silentState gives the soft state of a machine that has run for an hour, at which a driver's lease is over and a
// member was silent for long.
func silentState() (*Server, *softState) {
	h := newServer(context.Background(), &settings.Settings{}, events.Discard())
	Reset(func() { h.cancel(nil) })
	h.start = time.Now().Add(-time.Hour)
	s := newSoftState(h)
	now := h.now()
	s.drivers.table.Renew(directory.Driver{Name: "front", Incarnation: 1}, now-1)
	s.members.table.Heartbeat(directory.Member{ID: "member", Service: "svc", Seq: 1}, now-2*ms(memberTimeout), 1000)
	return h, s
}

// It fails without directoryComplete's condition in tick, in one case or another for each half of it.
func TestNobodyExpiresWithoutContact(t *testing.T) {
	Convey("A machine at which a driver and a member were silent for too long", t, func() {
		h, state := silentState()
		known := func() (drivers, members int) {
			state.tick()
			for _, m := range state.members.table.Snapshot() {
				if !m.Tombstone {
					members++
				}
			}
			return len(state.drivers.table.Drivers()), members
		}
		Convey("lets both go where it has had contact for long", func() {
			h.contact.set(h.now())
			state.contact = contactState{established: true, since: h.now() - 2*ms(driverLeaseDuration)}
			drivers, members := known()
			So(drivers, ShouldEqual, 0)
			So(members, ShouldEqual, 0)
		})
		Convey("keeps both without contact", func() {
			h.contact.set(h.now() - 2*consensus.ContactLease)
			state.contact = contactState{established: true, since: h.now() - 2*ms(driverLeaseDuration)}
			drivers, members := known()
			So(drivers, ShouldEqual, 1)
			So(members, ShouldEqual, 1)
			So(state.contact.established, ShouldBeFalse)
		})
		Convey("keeps both where contact has just come back", func() {
			h.contact.set(h.now())
			state.contact = contactState{established: false, since: h.now() - 2*ms(driverLeaseDuration)}
			drivers, members := known()
			So(drivers, ShouldEqual, 1)
			So(members, ShouldEqual, 1)
			So(state.contact.established, ShouldBeTrue)
		})
	})
}
