package learned

import (
	"testing"
)

func TestBackoff(t *testing.T) {
	var backoff Backoff
	if !backoff.Ready(at(0)) || backoff.RecordSuccess() {
		t.Error("initial backoff is not ready, or reports a recovery")
	}
	total := 0.0
	for range 10 {
		total += backoff.RecordFailure(at(0))
	}
	if total != 1e3+2e3+4e3+8e3+16e3+5*30e3 || backoff.Ready(at(29e3)) || !backoff.Ready(at(30e3)) || !backoff.RecordSuccess() || !backoff.Ready(at(0)) {
		t.Errorf("total delay %g ms, then %+v", total, backoff)
	}
}
