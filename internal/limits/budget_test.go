package limits

import "testing"

func TestRetryBudgetNeverExceedsItsRate(t *testing.T) {
	b := RetryBudget{Rate: 2, Burst: 5}
	now, taken := 0.0, 0
	for now < 60000 { // taken as fast as it allows
		now += b.Reserve(now)
		taken++
	}
	if taken < 120 || taken > 127 {
		t.Errorf("%d attempts in a minute", taken)
	}
	if b.Reserve(now+1e9) != 0 {
		t.Error("does not fill up again")
	}
	if b.Reserve(0) != 0 || b.tokens > 5 {
		t.Error("a clock that goes back fills it")
	}
}
