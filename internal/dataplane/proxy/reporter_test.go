package proxy

import (
	"testing"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/wire"
)

// A primary first does not answer, then answers, then accepts no connection. There is a report at each interval while it
// is unhealthy, and one when it is healthy again.
func TestReporter(t *testing.T) {
	g := group.NewGroup("s", func(string) group.Distance { return group.SameZone })
	g.UpdateMember(directory.Member{ID: "a", Role: directory.RolePrimary, Incarnation: 1, Seq: 1}, 1000)
	primary := g.Members["a"]
	var r reporter
	expect := func(now float64, want *controlmsg.PrimaryReport) {
		t.Helper()
		switch got := r.next(g, now); {
		case got == nil || want == nil:
			if got != want {
				t.Errorf("at %.0f: %+v, want %+v", now, got, want)
			}
		case *got != *want:
			t.Errorf("at %.0f: %+v, want %+v", now, *got, *want)
		}
	}
	expect(1000, nil)
	g.RecordSend(primary, 1000, false)
	g.SuspectPrimary(1300)
	expect(1300, &controlmsg.PrimaryReport{Service: "s", MemberID: "a", UnresponsiveMs: 300})
	expect(1600, nil)
	expect(1700, &controlmsg.PrimaryReport{Service: "s", MemberID: "a", UnresponsiveMs: 700})
	g.RecordOutcome(primary, 1000, 1800, group.Answered, wire.Position{})
	expect(1900, nil)
	expect(2100, &controlmsg.PrimaryReport{Service: "s", MemberID: "a"})
	expect(2600, nil)
	g.RecordOutcome(primary, 2700, 2800, group.ConnectFailed, wire.Position{})
	expect(2800, &controlmsg.PrimaryReport{Service: "s", MemberID: "a", Unreachable: true})
	g.UpdateMember(directory.Member{ID: "a", Role: directory.RoleReplica, Incarnation: 1, Seq: 2}, 2900)
	expect(3200, nil) // the member itself announced that it is no longer the primary
}
