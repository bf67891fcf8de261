package logic

import "testing"

// A plan's tolls send reads elsewhere, to the own zone or out of it, and are gone with the plan; a zone that the plan does
// not name costs what it costs without one.
func TestZonePenaltiesSteerReads(t *testing.T) {
	r := newFixture(t, testOpening())
	remote := memberList(ListChanges, "f", "r")
	remote.Members[0].Zone = "b"
	r.step(remote)
	reads := func() (n map[string]int) {
		n = map[string]int{}
		for i := range 60 {
			id := string(rune('A'+i%26)) + string(rune('a'+i/26)) + string(rune('a'+len(r.allActions)%26))
			m := r.submit(id, anyRead, 1200)
			n[m]++
			r.answer(id, m, OK, Replica, r.now)
			r.wait(20)
		}
		return n
	}
	r.step(Event{Kind: EvTolls, Tolls: map[string]float64{"a": 60}})
	if n := reads(); n["f"] < 50 {
		t.Errorf("the own zone is away: %v", n)
	}
	r.step(Event{Kind: EvTolls, Tolls: map[string]float64{"b": 60}})
	if n := reads(); n["f"] > 5 {
		t.Errorf("the other zone is away: %v", n)
	}
	r.step(Event{Kind: EvTolls})
	if n := reads(); n["f"] == 0 || n["r"]+n["s"] == 0 {
		t.Errorf("without a plan: %v", n)
	}
}
