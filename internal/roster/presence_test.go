package roster

import "testing"

// The driver's lease is granted, renewed after a third of its time to live, and lost while the process is suspended;
// then another driver takes its name.
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
		t.Error("lease is not valid for its time to live")
	}
	expect(3000, StepRenew)
	p.StepEnded(3000, 3400, StepDone, 9000)
	if ok, _ := p.Status(12000); ok {
		t.Error("lease is valid for longer than its time to live since the renewal was sent")
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
	expect(60000, StepGrant) // suspended until after the lease expired: it is not renewed
	p.StepEnded(60000, 60001, StepNameTaken, 0)
	if _, taken := p.Status(60001); !taken {
		t.Error("a taken name is not reported")
	}
	if step, wait = p.Next(60001); step != StepWait || wait < 4500 || wait > 9000 {
		t.Errorf("while another driver has the name: %d, %g", step, wait)
	}
	expect(69002, StepGrant)
}
