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
		{"some bytes may have been sent", &NoResponseError{Progress: MaybeSent, Err: cause}, "reset (it may have run)", true, false, true},
		{"nothing sent", &NoResponseError{Progress: NotSent, Err: cause}, "reset (nothing of it was sent)", false, true, true},
		{"nothing sent, wrapped", fmt.Errorf("call: %w", &NoResponseError{Progress: NotSent, Err: cause}), "call: reset (nothing of it was sent)", false, true, true},
		{"an error without progress", cause, "reset", true, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.err.Error() != c.text || MayHaveRun(c.err) != c.ran || AtMostOnce.MayRetry(c.err) != c.once || Idempotent.MayRetry(c.err) != c.idempotent {
				t.Errorf("%q, ran %v, once %v, idempotent %v", c.err, MayHaveRun(c.err), AtMostOnce.MayRetry(c.err), Idempotent.MayRetry(c.err))
			}
			if !errors.Is(c.err, cause) {
				t.Error("the cause is lost")
			}
		})
	}
	if got := fmt.Sprint(AtMostOnce, Idempotent); got != "once idempotent" {
		t.Error(got)
	}
}
