package limits

import (
	"math/rand/v2"
	"testing"
)

func TestPausesSpreadOutAndEnd(t *testing.T) {
	for row := range 60 { // of 1000 users that failed together so often
		limit, sum, most := min(100*float64(uint64(1)<<min(row, 30)), 10000), 0.0, 0.0
		for user := range uint64(1000) {
			p, draw := Pauses{Least: 100, Most: 10000}, rand.New(rand.NewPCG(user, 1))
			x := 0.0
			for range row + 1 {
				x = p.Failed(draw)
			}
			sum, most = sum+x, max(most, x)
		}
		if mean := sum / 1000; most > limit || mean < limit*0.45 || mean > limit*0.55 {
			t.Errorf("failure %d: mean %g, most %g, limit %g", row+1, mean, most, limit)
		}
	}
	p, draw := Pauses{Least: 100, Most: 10000}, rand.New(rand.NewPCG(1, 1))
	for range 9 {
		p.Failed(draw)
	}
	if p.Done(); p.Row() != 0 || p.Failed(draw) > 100 {
		t.Error("a success does not end the row")
	}
}

func TestBudgetHoldsWhateverIsAsked(t *testing.T) {
	b := Budget{Rate: 2, Most: 5}
	at, taken := 0.0, 0
	for at < 60000 { // taken as fast as it allows
		at += b.Take(at)
		taken++
	}
	if taken < 120 || taken > 127 {
		t.Errorf("%d tries in a minute", taken)
	}
	if b.Take(at+1e9) != 0 {
		t.Error("does not fill up again")
	}
	if b.Take(0) != 0 || b.left > 5 {
		t.Error("a clock that goes back fills it")
	}
}
