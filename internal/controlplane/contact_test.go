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

// silentTables gives the tables of a machine that has run for an hour, at which a driver's lease is over and a member was silent for long.
func silentTables() (*Server, *tables) {
	ctx, cancel := context.WithCancelCause(context.Background())
	Reset(func() { cancel(nil) })
	h := &Server{set: &settings.Settings{}, log: events.Discard(), ctx: ctx, cancel: cancel, start: time.Now().Add(-time.Hour)}
	t := newTables(h)
	now := h.now()
	t.leases.Renew(directory.Driver{Name: "front", Incarnation: 1}, now-1)
	t.members.Heartbeat(directory.Member{ID: "member", Service: "svc", Seq: 1}, now-2*ms(memberKeep), 1000)
	return h, t
}

// It fails without tableComplete's condition in tick, in one case or another for each half of it.
func TestNobodyIsTakenForGoneWithoutContact(t *testing.T) {
	Convey("A machine at which a driver and a member were silent for too long", t, func() {
		h, tables := silentTables()
		known := func() (drivers, members int) {
			tables.tick()
			for _, m := range tables.members.Snapshot() {
				if !m.Tombstone {
					members++
				}
			}
			return len(tables.leases.Drivers()), members
		}
		Convey("lets both go where it has had contact for long", func() {
			h.contact.set(h.now())
			tables.contact = contactEdge{held: true, since: h.now() - 2*ms(leaseFor)}
			drivers, members := known()
			So(drivers, ShouldEqual, 0)
			So(members, ShouldEqual, 0)
		})
		Convey("keeps both without contact", func() {
			h.contact.set(h.now() - 2*consensus.ContactLease)
			tables.contact = contactEdge{held: true, since: h.now() - 2*ms(leaseFor)}
			drivers, members := known()
			So(drivers, ShouldEqual, 1)
			So(members, ShouldEqual, 1)
			So(tables.contact.held, ShouldBeFalse)
		})
		Convey("keeps both where contact has just come back", func() {
			h.contact.set(h.now())
			tables.contact = contactEdge{held: false, since: h.now() - 2*ms(leaseFor)}
			drivers, members := known()
			So(drivers, ShouldEqual, 1)
			So(members, ShouldEqual, 1)
			So(tables.contact.held, ShouldBeTrue)
		})
	})
}
