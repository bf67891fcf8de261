package failover

import (
	"strings"
	"testing"
)

// Guards against a switchover from a member that leads no more: its late heartbeat, sent while it led and drained,
// arrives at a new leader of the control plane that can't reach the primary. As the member had long lost the lead, it
// passed for one that had just stepped down, and was promoted without the primary's commits.
func TestLateHeartbeatBeginsNoSwitchover(t *testing.T) {
	c := New(0)
	view := &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{
		{ID: "a"}, {ID: "b", Primary: true}, {ID: "c"}}}
	const cutAt, lateAt, until = 800.0, 975.0, 8000.0 // b is cut off from the control plane
	var transcript []string
	for now := 0.0; now < until; now += 25 {
		view.Members[1].SinceHeartbeat = max(now-cutAt, 0)
		if now == lateAt {
			view.Members[0] = Member{ID: "a", Primary: true, Draining: true}
		} else if now > lateAt {
			view.Members[0].SinceHeartbeat = now - lateAt
		}
		for _, a := range c.Step(view, now) {
			if a.Kind == Log {
				transcript = append(transcript, a.ID+" "+a.Reason)
			}
			switch {
			case a.Kind == Promote && c.oldPrimary != "b":
				t.Fatalf("%s is promoted at %.0f ms without what b has acknowledged: %s", a.ID, now, strings.Join(transcript, "\n"))
			case a.Kind == Log || a.Kind == EnforceDrain || a.Kind == Promote || applyToView(view, a):
			case a.Kind == RelayStepDown || a.Kind == RelayStatus:
				c.HandleRelayFailure(a.ID)
			case a.ID == "b":
				c.HandleStatusFailure("b", false, now)
			default:
				c.HandleStatus(a.ID, a.Kind, now, statusAfter(a, newStatus(false, 9)))
			}
		}
	}
	if c.oldPrimary == "a" {
		t.Errorf("a switchover from a began: %s", strings.Join(transcript, "\n"))
	}
}

// Guards against drivers' reports on a former primary that count against its successor: a failover from a healthy primary
// began, as one reply of it took 200 ms.
func TestReportsOnFormerPrimaryBeginNoFailover(t *testing.T) {
	c := New(-5000)
	onFormer := DriverReports{Suspect: 6, Stalled: 6}
	view := &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{
		{ID: "a", Reports: onFormer}, {ID: "b", Primary: true, SinceHeartbeat: 600}, {ID: "c"}}}
	c.Step(view, 0)
	for id, number := range map[string]uint64{"a": 8, "b": 9, "c": 8} {
		c.HandleStatus(id, QueryStatus, 0, newStatus(id == "b", number))
	}
	for now := 25.0; now < 700; now += 25 {
		for _, a := range c.Step(view, now) {
			if a.Kind == PauseReplication {
				t.Fatalf("a failover begins at %.0f ms", now)
			}
			if a.ID != "b" { // b's reply is on its way
				c.HandleStatus(a.ID, a.Kind, now, newStatus(false, 8))
			}
		}
	}
	view.Members[0].Reports, view.Members[1].Reports = DriverReports{}, onFormer
	if actions := c.Step(view, 700); !includes(actions, PauseReplication, "a") {
		t.Error("no failover begins although the drivers report this primary")
	}
}
