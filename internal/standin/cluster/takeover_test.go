package cluster

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/standin/replicaset"
)

// Other services, and other members of the same one, take over the addresses of members that crashed. Whoever dials
// there, proxies and the core, names service and member each time, so that nothing runs at the wrong one; and the
// service goes on without the members that are gone.
func TestAddressesOfCrashedMembersAreTakenOver(t *testing.T) {
	for _, c := range []struct{ name, service, member string }{
		{"by a member of another service", "other", "a"},
		{"by another member of the same service", "svc", "d"},
	} {
		Convey("A primary crashes, and its address is taken over "+c.name, t, func() {
			d := New(t, 3, 2)
			defer d.Stop()
			d.Configure(2)
			first := d.Service.Leader()
			stop := startWrites(d, 2, 2)
			d.Service.Crash(first)
			d.Service.TakeOver(first, c.service, c.member)
			d.Eventually("another primary", func() bool {
				leader := d.Service.Leader()
				return leader != "" && leader != first
			})
			client, _ := d.Attach(0, "prim")
			d.Eventually("a write", func() bool {
				_, answer := client.Query("STORE after takeover")
				return len(answer) > 4 && answer[:4] == "DONE"
			})
			done, undone := stop()
			auditWrites(d, done, undone)
			d.Service.With(func(*replicaset.Group) {
				So(d.Service.Misdirected.Unnamed, ShouldBeEmpty)
				So(d.Service.Misdirected.Rejected, ShouldBeGreaterThan, 0)
			})
		})
	}
}
