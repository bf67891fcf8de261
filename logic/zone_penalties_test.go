package logic

import "testing"

// A plan's zone penalties move reads out of the driver's own zone or into it, until the plan ends. A zone that the plan
// doesn't name has its default penalty.
func TestZonePenaltiesSteerReads(t *testing.T) {
	f := newFixture(t, testOpening())
	remote := memberList(ListChanges, "f", "r")
	remote.Members[0].Zone = "b"
	f.step(remote)
	reads := func() (n map[string]int) {
		n = map[string]int{}
		for i := range 60 {
			id := string(rune('A'+i%26)) + string(rune('a'+i/26)) + string(rune('a'+len(f.allActions)%26))
			m := f.submit(id, anyRead, 1200)
			n[m]++
			f.answer(id, m, OK, Replica, f.now)
			f.wait(20)
		}
		return n
	}
	f.step(Event{Kind: EvTolls, Tolls: map[string]float64{"a": 60}})
	if n := reads(); n["f"] < 50 {
		t.Errorf("own zone penalised: reads %v, want at least 50 at f", n)
	}
	f.step(Event{Kind: EvTolls, Tolls: map[string]float64{"b": 60}})
	if n := reads(); n["f"] > 5 {
		t.Errorf("other zone penalised: reads %v, want at most 5 at f", n)
	}
	f.step(Event{Kind: EvTolls})
	if n := reads(); n["f"] == 0 || n["r"]+n["s"] == 0 {
		t.Errorf("without a plan: reads %v, want some in both zones", n)
	}
}
