package cluster

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/standin/replicaset"
)

// The address of a crashed member is reused by a member of another service, or by another member of the same one.
// Proxies and the core name service and member on each connection, so that no statement runs at the wrong member; and
// the service continues without the crashed member.
func TestReusedMemberAddresses(t *testing.T) {
	for _, c := range []struct{ name, service, member string }{
		{"by a member of another service", "other", "a"},
		{"by another member of the same service", "svc", "d"},
	} {
		Convey("A primary crashes, and its address is reused "+c.name, t, func() {
			d := New(t, 3, 2)
			defer d.Stop()
			d.Configure(2)
			first := d.Service.Leader()
			stop := startWrites(d, 2, 2)
			d.Service.Crash(first)
			d.Service.TakeOver(first, c.service, c.member)
			d.Eventually("another member leads", func() bool {
				leader := d.Service.Leader()
				return leader != "" && leader != first
			})
			client, _ := d.Attach(0, "prim")
			d.Eventually("a write succeeds", func() bool {
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
