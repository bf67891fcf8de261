package roster

import (
	"slices"
	"testing"
)

// The own lease: granted, renewed at a third, lost while the driver stood still, taken by another.
func TestPresence(t *testing.T) {
	p := NewPresence(9000, 1)
	expect := func(now float64, want PresenceStep) {
		t.Helper()
		if step, _ := p.Next(now); step != want {
			t.Fatalf("at %g: step %d, want %d", now, step, want)
		}
	}
	expect(0, StepGrant)
	p.StepEnded(0, 500, StepDone, 0)
	expect(500, StepWait)
	if ok, _ := p.Status(8999); !ok {
		t.Error("does not stand for its time")
	}
	expect(3000, StepRenew)
	p.StepEnded(3000, 3400, StepDone, 9000)
	if ok, _ := p.Status(12000); ok {
		t.Error("stands for longer than from the sending of the renewal")
	}
	expect(6000, StepRenew)
	p.StepEnded(6000, 6001, StepFailed, 0)
	step, wait := p.Next(6001)
	if step != StepWait || wait > 200 {
		t.Errorf("after a failure: %d, %g", step, wait)
	}
	expect(6300, StepRenew)
	p.StepEnded(6300, 6301, StepLeaseLost, 0)
	expect(6301, StepGrant)
	p.StepEnded(6301, 6400, StepDone, 9000)
	expect(60000, StepGrant) // it stood still meanwhile: others may have taken it for gone, so it does not renew
	p.StepEnded(60000, 60001, StepNameTaken, 0)
	if _, taken := p.Status(60001); !taken {
		t.Error("does not say that its name is taken")
	}
	if step, wait = p.Next(60001); step != StepWait || wait < 4500 || wait > 9000 {
		t.Errorf("while another has the name: %d, %g", step, wait)
	}
	expect(69002, StepGrant)
}

func TestFellows(t *testing.T) {
	f := Peers{Self: "n0", ShrinkAfter: 5000, MessageTimeout: 3000}
	count := func(now float64, speaks bool, want int, ids ...string) {
		t.Helper()
		if got := f.Count(now, up(ids...), speaks); got != want {
			t.Errorf("at %g: %d drivers, want %d", now, got, want)
		}
	}
	count(0, false, 1)
	count(10, true, 3, "n0", "n1", "n2")
	count(20, true, 3, "n1", "n2")         // without the own entry too
	count(100, true, 3, "n0", "n1")        // one has gone: for a restart, maybe
	count(4000, true, 3, "n0", "n1", "n2") // so it was
	count(5000, true, 3, "n0")
	count(9999, true, 3, "n0", "n1")
	count(10001, true, 2, "n0") // the most there have been since
	count(11000, false, 2)      // a registry that says nothing makes nobody fewer
	count(99000, false, 2)
	count(99001, true, 2)
	count(104002, true, 1)
	fellows := up("n0", "n1", "n2")
	f.CheckTimeouts(0, fellows)
	f.Observe(2000, "n1")
	if fell, _ := f.CheckTimeouts(4000, fellows); !slices.Equal(fell, []string{"n2"}) {
		t.Errorf("silent: %v", fell)
	}
	f.Observe(4500, "n2")
	f.Observe(4500, "n1")
	if fell, back := f.CheckTimeouts(5000, fellows); len(fell) > 0 || !slices.Equal(back, []string{"n2"}) {
		t.Errorf("silent %v, back %v", fell, back)
	}
	if f.CheckTimeouts(6000, up("n1")); len(f.lastMessage) != 1 {
		t.Errorf("who has left is kept in mind: %v", f.lastMessage)
	}
}
