package failover

import (
	"slices"
	"testing"

	"weirwind/internal/member/wire"
)

// newStatus returns the status of a member with term 1 and the given end of its log.
func newStatus(primary bool, number uint64) wire.MemberStatus {
	return wire.MemberStatus{Primary: primary, Term: 1, Received: wire.Position{Term: 1, Number: number}}
}

// statusAfter returns the status with which a member replies to an action, from the one that it had before: a paused
// replica promises the term of the pause.
func statusAfter(a Action, before wire.MemberStatus) wire.MemberStatus {
	if a.Kind == PauseReplication {
		before.PromisedTerm = a.Term + 1
	}
	return before
}

// applyToView carries out an action that changes the view alone, and reports whether it was one: it replicates or removes
// the record of a promote, or assigns the writer, which all proxies confirm at once.
func applyToView(view *View, a Action) bool {
	switch a.Kind {
	case RecordPromote:
		view.PendingPromote = &a.Record
	case ClearPromote:
		view.PendingPromote = nil
	case AssignWriter:
		view.Writer = Writer{Assigned: true, ID: a.ID, Confirmed: true}
	default:
		return false
	}
	return true
}

func allowsRemoval(actions []Action, id string) bool {
	return slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == AllowRemoval && a.ID == id })
}

// A departed member may be removed from the roster only once a replica on the roster has reached a position that the
// primary reported after the departure.
func TestDepartedMemberStaysOnRosterUntilCovered(t *testing.T) {
	c := New(-5000)
	v := &View{Service: "s", SyncReplicas: 1, Members: []Member{
		{ID: "a", Primary: true}, {ID: "b"}, {ID: "c"}}}
	c.Step(v, 0)
	for _, id := range []string{"a", "b", "c"} {
		c.HandleStatus(id, QueryStatus, 0, newStatus(id == "a", 9))
	}
	v.Members[2] = Member{ID: "c", Absent: true, Departed: true}
	if allowsRemoval(c.Step(v, 100), "c") {
		t.Fatal("covered by a position that the primary reported before the departure")
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
		t.Fatal("not covered, though a replica has the primary's whole log")
	}
}

// A primary that departed before it was replaced counts as a member that may have a commit.
func TestDepartedPrimaryCountsTowardQuorum(t *testing.T) {
	c := New(-5000)
	v := &View{Service: "s", SyncReplicas: 1, Members: []Member{
		{ID: "a", Absent: true, Departed: true}, {ID: "b"}, {ID: "c"}}}
	actions := stepThrough(c, v, 0, 3000, "b")
	if slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Promote }) {
		t.Fatal("promoted after the reply of one of two replicas, though the other may be the only one with a commit")
	}
	actions = stepThrough(c, v, 3000, 5000, "b", "c")
	if !slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == Promote }) {
		t.Fatal("no promote, though both replicas replied")
	}
}

// A member on the roster that is unknown to a new leader of the control plane may be the primary. No failover begins
// without its reply, except after a long wait if the members that replied together have every commit.
func TestFailoverWaitsForUnknownMember(t *testing.T) {
	c := New(-5000)
	v := &View{Service: "s", SyncReplicas: 1, Members: []Member{
		{ID: "a", Absent: true}, {ID: "b"}, {ID: "c", Absent: true}}}
	if actions := stepThrough(c, v, 0, 60000, "b"); slices.ContainsFunc(actions, func(a Action) bool {
		return a.Kind == PauseReplication || a.Kind == Promote
	}) {
		t.Fatal("a failover began after the reply of one of three members")
	}
	v.Members[2] = Member{ID: "c"}
	if actions := stepThrough(c, v, 60000, 62000, "b", "c"); !slices.ContainsFunc(actions, func(a Action) bool {
		return a.Kind == Promote
	}) {
		t.Fatal("no promote, though the two replicas have every commit between them")
	}
}

// A switchover does not rely on pauses, as members may start: the old primary steps down before the promote.
func TestSwitchoverRequiresStepDown(t *testing.T) {
	for _, uncertain := range []bool{false, true} {
		c := New(-5000)
		v := &View{Service: "s", SyncReplicas: 1, MembershipUncertain: uncertain, Members: []Member{
			{ID: "a", Primary: true, Draining: true}, {ID: "b"}, {ID: "c"}}}
		oldPrimaryActive, promoted, promotedBeforeStepDown := true, false, false
		for now := 0.0; now < 3000 && !promoted; now += 50 {
			for _, a := range c.Step(v, now) {
				applyToView(v, a)
				status := newStatus(a.ID == "a" && oldPrimaryActive, 9)
				switch a.Kind {
				case Promote:
					promoted, promotedBeforeStepDown = true, oldPrimaryActive
				case StepDown:
					oldPrimaryActive = false
					c.HandleStatus("a", StepDown, now, newStatus(false, 9))
				case PauseReplication, QueryStatus, ResumeReplication:
					c.HandleStatus(a.ID, a.Kind, now, statusAfter(a, status))
				}
			}
		}
		if !promoted || promotedBeforeStepDown {
			t.Errorf("membership uncertain %v: promoted %v, before the step-down %v", uncertain, promoted, promotedBeforeStepDown)
		}
	}
}

// stepThrough steps the controller from one time until another and returns all actions. Reachable members reply as
// replicas; queries to others fail.
func stepThrough(c *Controller, v *View, from, until float64, reachable ...string) (all []Action) {
	for now := from; now < until; now += 50 {
		for _, a := range c.Step(v, now) {
			all = append(all, a)
			switch {
			case a.Kind == Log || a.Kind == Promote || applyToView(v, a):
			case a.Kind == RelayStepDown || a.Kind == RelayStatus:
				c.HandleRelayFailure(a.ID)
			case slices.Contains(reachable, a.ID):
				c.HandleStatus(a.ID, a.Kind, now, statusAfter(a, newStatus(false, 9)))
			default:
				c.HandleStatusFailure(a.ID, false, now)
			}
		}
	}
	return all
}
