package failover

import (
	"slices"
	"testing"

	"weirwind/internal/member/wire"
)

func newStatus(primary bool, number uint64) wire.MemberStatus {
	return wire.MemberStatus{Primary: primary, Term: 1, Received: wire.Position{Term: 1, Number: number}}
}

func allowsRemoval(actions []Action, id string) bool {
	return slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == AllowRemoval && a.ID == id })
}

// A member that has departed leaves the roster only once a position that the primary gave afterwards is at a replica on
// the roster.
func TestDepartedMemberStaysOnRosterUntilCovered(t *testing.T) {
	c := New(-5000)
	v := &View{Service: "s", SyncReplicas: 1, Members: []Member{{ID: "a", Primary: true}, {ID: "b", Replica: true}, {ID: "c", Replica: true}}}
	c.Step(v, 0)
	for _, id := range []string{"a", "b", "c"} {
		c.HandleStatus(id, QueryStatus, 0, newStatus(id == "a", 9))
	}
	v.Members[2] = Member{ID: "c", Absent: true, Departed: true}
	if allowsRemoval(c.Step(v, 100), "c") {
		t.Fatal("covered by what the primary had said before it ended")
	}
	c.HandleStatus("a", QueryStatus, 100, newStatus(true, 12))
	c.HandleStatus("b", QueryStatus, 100, newStatus(false, 11))
	if allowsRemoval(c.Step(v, 150), "c") {
		t.Fatal("covered by a replica that lacks a commit")
	}
	c.HandleStatus("b", QueryStatus, 160, newStatus(false, 12))
	v.Members[1].Unlisted = true
	if allowsRemoval(c.Step(v, 200), "c") {
		t.Fatal("covered by a replica that is not on the roster")
	}
	v.Members[1].Unlisted = false
	if !allowsRemoval(c.Step(v, 250), "c") {
		t.Fatal("not covered, though a replica has all that the primary had")
	}
}

// Where the primary left before it was succeeded, it counts among those that may hold a commit.
func TestDepartedPrimaryCountsTowardQuorum(t *testing.T) {
	c := New(-5000)
	v := &View{Service: "s", SyncReplicas: 1, Members: []Member{{ID: "a", Absent: true, Departed: true}, {ID: "b", Replica: true}, {ID: "c", Replica: true}}}
	actions := stepThrough(c, v, 0, 3000, "b")
	if slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Promote }) {
		t.Fatal("one of two replicas was read, and a successor named: the other may alone hold a commit")
	}
	actions = stepThrough(c, v, 3000, 5000, "b", "c")
	if !slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Promote }) {
		t.Fatal("nobody was named, though both replicas were read")
	}
}

// A leader that knows nothing of a member on the roster doesn't take it for one that doesn't lead; for long it waits
// for it, and then only the replicas that hold every commit between them may do without it.
func TestFailoverWaitsForUnknownMember(t *testing.T) {
	c := New(-5000)
	v := &View{Service: "s", SyncReplicas: 1, Members: []Member{{ID: "a", Absent: true}, {ID: "b", Replica: true}, {ID: "c", Absent: true}}}
	if actions := stepThrough(c, v, 0, 60000, "b"); slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == PauseReplication || a.Kind == Promote }) {
		t.Fatal("a succession was begun by one of three members")
	}
	v.Members[2] = Member{ID: "c", Replica: true}
	if actions := stepThrough(c, v, 60000, 62000, "b", "c"); !slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Promote }) {
		t.Fatal("nobody was named, though one of both has every commit")
	}
}

// While membership is uncertain, a switchover doesn't rely on pauses: the old primary steps down first.
func TestUncertainMembershipRequiresStepDown(t *testing.T) {
	for _, uncertain := range []bool{false, true} {
		c := New(-5000)
		v := &View{Service: "s", SyncReplicas: 1, MembershipUncertain: uncertain, Members: []Member{{ID: "a", Primary: true, Draining: true}, {ID: "b", Replica: true}, {ID: "c", Replica: true}}}
		oldPrimaryLeads, promoted, promotedWhileLed := true, false, false
		for now := 0.0; now < 3000 && !promoted; now += 50 {
			for _, a := range c.Step(v, now) {
				status := newStatus(a.ID == "a" && oldPrimaryLeads, 9)
				switch a.Kind {
				case Promote:
					promoted, promotedWhileLed = true, oldPrimaryLeads
				case StepDown:
					oldPrimaryLeads = false
					c.HandleStatus("a", StepDown, now, newStatus(false, 9))
				case PauseReplication:
					status.PromisedTerm = a.Term + 1
					c.HandleStatus(a.ID, PauseReplication, now, status)
				case QueryStatus, ResumeReplication:
					c.HandleStatus(a.ID, a.Kind, now, status)
				}
			}
		}
		if !promoted || promotedWhileLed == uncertain {
			t.Errorf("membership uncertain %v: called %v, while the old primary led %v", uncertain, promoted, promotedWhileLed)
		}
	}
}

// stepThrough answers for those that are up, as replicas, until then, and gives all actions.
func stepThrough(c *Controller, v *View, from, until float64, reachable ...string) (all []Action) {
	for now := from; now < until; now += 50 {
		for _, a := range c.Step(v, now) {
			all = append(all, a)
			status := newStatus(false, 9)
			if a.Kind == PauseReplication {
				status.PromisedTerm = a.Term + 1
			}
			switch {
			case a.Kind == Log || a.Kind == Promote:
			case slices.Contains(reachable, a.ID):
				c.HandleStatus(a.ID, a.Kind, now, status)
			default:
				c.HandleStatusFailure(a.ID, false, now)
			}
		}
	}
	return all
}
