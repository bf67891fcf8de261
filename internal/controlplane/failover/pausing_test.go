package failover

import (
	"strings"
	"testing"

	"weirwind/internal/member/wire"
)

// Guards against a pause that counts although a resume was sent after it: with the candidate of a switchover given up
// and the next one being resumed, the old primary fell silent, and a promote relied on the pause that was just ended.
func TestPauseDoesNotCountOnceResumeWasSent(t *testing.T) {
	c := New(-5000)
	view := &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{{ID: "a", Primary: true},
		{ID: "b"}, {ID: "c"}, {ID: "d"}}}
	// b does not reply from the first until the last, and a refuses connections from the second on.
	const drainAt, refusesAt, candidateBackAt = 1000.0, 1600.0, 1740.0
	resumed := "" // the member whose resume is on its way
	var transcript []string
	for now := 0.0; now < 6000; now += 25 {
		view.Members[0].Draining = now >= drainAt
		for _, a := range c.Step(view, now) {
			transcript = append(transcript, actionNames[a.Kind]+" "+a.ID+" "+a.Reason)
			switch {
			case a.Kind == Log || a.Kind == EnforceDrain || applyToView(view, a):
			case a.Kind == RelayStepDown || a.Kind == RelayStatus:
				c.HandleRelayFailure(a.ID)
			case a.Kind == Promote:
				if resumed == "" {
					t.Fatalf("promoted before any replica was resumed: %s", strings.Join(transcript, "\n"))
				}
				t.Fatalf("%s may receive again, but counts as paused: %s", resumed, strings.Join(transcript, "\n"))
			case a.Kind == ResumeReplication:
				resumed = a.ID // it is carried out, and its reply is on its way until the end of the test
			case a.ID == "a" && now >= refusesAt, a.ID == "b" && now >= drainAt && now < candidateBackAt:
				c.HandleStatusFailure(a.ID, a.ID == "a", now)
			default:
				c.HandleStatus(a.ID, a.Kind, now, statusAfter(a, newStatus(a.ID == "a", 9)))
			}
		}
	}
	if resumed == "" {
		t.Fatalf("no replica was resumed: %s", strings.Join(transcript, "\n"))
	}
}

// Guards against a switchover that waits without end for a candidate that has left, with all replicas paused, so that
// no commit is acknowledged any more.
func TestSwitchoverReplacesCandidateThatLeft(t *testing.T) {
	c := New(-5000)
	remaining := []Member{{ID: "a", Primary: true, Draining: true}, {ID: "c"}, {ID: "d"}}
	view := &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: append(remaining[:1:1], Member{ID: "b"},
		remaining[1], remaining[2])}
	promoted, steppedDown := "", false
	for now := 0.0; now < 6000 && promoted == ""; now += 25 {
		if now == 1000 {
			view.Members = remaining
		}
		for _, a := range c.Step(view, now) {
			status := newStatus(a.ID == "a" && !steppedDown, 9)
			steppedDown = steppedDown || a.Kind == StepDown
			applyToView(view, a)
			switch a.Kind {
			case Log, EnforceDrain, RecordPromote:
			case Promote:
				promoted = a.ID
			default:
				if a.ID == "b" { // it lags behind
					status = newStatus(false, 8)
				}
				c.HandleStatus(a.ID, a.Kind, now, statusAfter(a, status))
			}
		}
	}
	if promoted != "c" {
		t.Errorf("promoted %q; %s", promoted, c.State())
	}
}

// Guards against a failover that waits without end for a departed replica, after agents have made the old primary step down,
// of which this leader had only a heartbeat.
func TestOldPrimaryLeadsAgainAfterRelayedStepDown(t *testing.T) {
	c := New(-5000)
	view := &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{
		{ID: "a", Primary: true, SinceHeartbeat: 1000}, {ID: "b"}, {ID: "c", Absent: true, Departed: true}}}
	const reachableAt = 4000.0 // a is cut off from the control plane until then, and not from agents
	statuses := map[string]wire.MemberStatus{"a": newStatus(true, 9), "b": newStatus(false, 8)}
	promoted := ""
	for now := 0.0; now < 8000 && promoted == ""; now += 50 {
		for _, action := range c.Step(view, now) {
			id := action.ID
			switch {
			case action.Kind == Log || action.Kind == EnforceDrain || applyToView(view, action):
			case action.Kind == Promote:
				promoted = id
			case id == "a" && action.Kind != RelayStatus && action.Kind != RelayStepDown && now < reachableAt:
				c.HandleStatusFailure("a", false, now)
			case action.Kind == RelayStatus:
				c.HandleRelayedStatus(id, now, statuses[id])
			case action.Kind == RelayStepDown:
				statuses[id] = newStatus(false, 9)
				c.HandleRelayedStatus(id, now, statuses[id])
			default:
				statuses[id] = statusAfter(action, statuses[id])
				c.HandleStatus(id, action.Kind, now, statuses[id])
			}
		}
	}
	if promoted != "a" {
		t.Errorf("promoted %q: %s", promoted, c.State())
	}
}
