package idempotency

import (
	"errors"
	"fmt"
	"testing"
)

func TestWhatMayBeRetried(t *testing.T) {
	cause := errors.New("reset")
	for _, c := range []struct {
		name             string
		err              error
		text             string
		ran              bool
		once, idempotent bool
	}{
		{"some of it may have come", &Unanswered{Progress: Sent, Err: cause}, "reset (it may have run)", true, false, true},
		{"none left", &Unanswered{Progress: Unsent, Err: cause}, "reset (nothing of it was sent)", false, true, true},
		{"none left, wrapped", fmt.Errorf("call: %w", &Unanswered{Progress: Unsent, Err: cause}), "call: reset (nothing of it was sent)", false, true, true},
		{"an error that says nothing of it", cause, "reset", true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.err.Error() != c.text || Ran(c.err) != c.ran || Once.May(c.err) != c.once || Idempotent.May(c.err) != c.idempotent {
				t.Errorf("%q, ran %v, once %v, idempotent %v", c.err, Ran(c.err), Once.May(c.err), Idempotent.May(c.err))
			}
			if !errors.Is(c.err, cause) {
				t.Error("its cause is lost")
			}
		})
	}
	if got := fmt.Sprint(Once, Idempotent); got != "once idempotent" {
		t.Error(got)
	}
}
