package learned

import (
	"testing"
)

func TestBackoff(t *testing.T) {
	var r Backoff
	if !r.Ready(at(0)) || r.RecordSuccess() {
		t.Error("at the start")
	}
	total := 0.0
	for range 10 {
		total += r.RecordFailure(at(0))
	}
	if total != 1e3+2e3+4e3+8e3+16e3+5*30e3 || r.Ready(at(29e3)) || !r.Ready(at(30e3)) || !r.RecordSuccess() || !r.Ready(at(0)) {
		t.Errorf("%g ms in all, then %+v", total, r)
	}
}
