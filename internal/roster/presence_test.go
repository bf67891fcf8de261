package roster

import "testing"

// The driver's lease is granted, renewed at a third of its time, lost while the process is frozen, and its name
// taken.
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
		t.Error("not valid for its time")
	}
	expect(3000, StepRenew)
	p.StepEnded(3000, 3400, StepDone, 9000)
	if ok, _ := p.Status(12000); ok {
		t.Error("valid for longer than from the sending of the renewal")
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
	expect(60000, StepGrant) // frozen meanwhile: its lease expired, so it is not renewed
	p.StepEnded(60000, 60001, StepNameTaken, 0)
	if _, taken := p.Status(60001); !taken {
		t.Error("does not report that its name is taken")
	}
	if step, wait = p.Next(60001); step != StepWait || wait < 4500 || wait > 9000 {
		t.Errorf("while another has the name: %d, %g", step, wait)
	}
	expect(69002, StepGrant)
}
