package idempotency

import (
	"errors"
	"fmt"
	"testing"
)

func TestMayRetry(t *testing.T) {
	cause := errors.New("reset")
	for _, c := range []struct {
		name             string
		err              error
		text             string
		ran              bool
		once, idempotent bool
	}{
		{"some of it may have come", &NoResponseError{Progress: MaybeSent, Err: cause}, "reset (it may have run)", true, false, true},
		{"none left", &NoResponseError{Progress: NotSent, Err: cause}, "reset (nothing of it was sent)", false, true, true},
		{"none left, wrapped", fmt.Errorf("call: %w", &NoResponseError{Progress: NotSent, Err: cause}), "call: reset (nothing of it was sent)", false, true, true},
		{"an error that says nothing of it", cause, "reset", true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.err.Error() != c.text || MayHaveRun(c.err) != c.ran || AtMostOnce.MayRetry(c.err) != c.once || Idempotent.MayRetry(c.err) != c.idempotent {
				t.Errorf("%q, ran %v, once %v, idempotent %v", c.err, MayHaveRun(c.err), AtMostOnce.MayRetry(c.err), Idempotent.MayRetry(c.err))
			}
			if !errors.Is(c.err, cause) {
				t.Error("its cause is lost")
			}
		})
	}
	if got := fmt.Sprint(AtMostOnce, Idempotent); got != "once idempotent" {
		t.Error(got)
	}
}
