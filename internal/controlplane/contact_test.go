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

// newExpiredState returns the soft state of a machine that has run for an hour, with an expired driver lease and a
// member that was silent for twice its timeout.
func newExpiredState() (*Server, *softState) {
	srv := newServer(context.Background(), &settings.Settings{}, events.Discard())
	Reset(func() { srv.cancel(nil) })
	srv.start = time.Now().Add(-time.Hour)
	s := newSoftState(srv)
	now := srv.now()
	s.drivers.table.Renew(directory.Driver{Name: "front", Incarnation: 1}, now-1)
	s.members.table.Heartbeat(directory.Member{ID: "member", Service: "svc", Seq: 1}, now-2*ms(memberTimeout), 1000)
	return srv, s
}

// Members and drivers expire only after contact has lasted for a driver lease. The test fails without the condition
// directoryComplete in tick; each half of the condition is covered by a case.
func TestExpiryRequiresContact(t *testing.T) {
	Convey("A machine with an expired driver and member", t, func() {
		srv, state := newExpiredState()
		knownAfterTick := func() (drivers, members int) {
			state.tick()
			for _, m := range state.members.table.Snapshot() {
				if !m.Tombstone {
					members++
				}
			}
			return len(state.drivers.table.Drivers()), members
		}
		Convey("removes both after long contact", func() {
			srv.contact.set(srv.now())
			state.contact = contactState{inContact: true, since: srv.now() - 2*ms(driverLeaseDuration)}
			drivers, members := knownAfterTick()
			So(drivers, ShouldEqual, 0)
			So(members, ShouldEqual, 0)
		})
		Convey("keeps both without contact", func() {
			srv.contact.set(srv.now() - 2*consensus.ContactLease)
			state.contact = contactState{inContact: true, since: srv.now() - 2*ms(driverLeaseDuration)}
			drivers, members := knownAfterTick()
			So(drivers, ShouldEqual, 1)
			So(members, ShouldEqual, 1)
			So(state.contact.inContact, ShouldBeFalse)
		})
		Convey("keeps both just after contact was regained", func() {
			srv.contact.set(srv.now())
			state.contact = contactState{inContact: false, since: srv.now() - 2*ms(driverLeaseDuration)}
			drivers, members := knownAfterTick()
			So(drivers, ShouldEqual, 1)
			So(members, ShouldEqual, 1)
			So(state.contact.inContact, ShouldBeTrue)
		})
	})
}
