package limits

import "testing"

func TestRetryBudgetNeverExceedsItsRate(t *testing.T) {
	b := RetryBudget{Rate: 2, Burst: 5}
	now, attempts := 0.0, 0
	for now < 60000 { // as fast as the budget allows
		now += b.Reserve(now)
		attempts++
	}
	if attempts < 120 || attempts > 127 {
		t.Errorf("%d attempts in a minute", attempts)
	}
	if b.Reserve(now+1e9) != 0 {
		t.Error("the budget is not refilled")
	}
	if b.Reserve(0) != 0 || b.tokens > 5 {
		t.Error("a clock that goes backwards refills the budget")
	}
}
