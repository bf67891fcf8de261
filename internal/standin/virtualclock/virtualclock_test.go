package virtualclock

import (
	"slices"
	"testing"
)

// Events run in order of time, events of the same time in the order in which they were scheduled, and none after the
// end.
func TestOrder(t *testing.T) {
	var s Scheduler
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	s.After(2, record("c"))
	s.After(1, func() {
		record("a")()
		s.After(0, record("b"))
		s.After(1, record("d"))
	})
	s.After(3.5, record("late"))
	s.RunUntil(3)
	if want := []string{"a", "b", "c", "d"}; !slices.Equal(ran, want) || s.Now != 3 || s.Scheduled != 5 {
		t.Errorf("ran %v, want %v; time %v, %d events scheduled", ran, want, s.Now, s.Scheduled)
	}
	s.Discard()
	s.RunUntil(9)
	if len(ran) != 4 || s.Now != 9 {
		t.Errorf("discarded events ran: %v", ran)
	}
}
