package proxy

import (
	"errors"
	"fmt"
	"testing"

	"weirwind/internal/member/wire"
)

func TestFailCode(t *testing.T) {
	for _, c := range []struct {
		err  error
		code string
	}{
		{errRetryLater, "RETRY"},
		{errNotConfigured, "RETRY"},
		{unansweredError(aborted, "m"), "ABORTED"},
		{unansweredError(outcomeUnknown, "m"), "UNKNOWN"},
		{errTransactionOpen, "MALFORMED"},
		{databaseError("db"), "NODB"},
		{statementError("p"), "NOSTMT"},
		{errUnknownKey, "DENIED"},
		{errKeyRevoked, "ABORTED"},
		{fmt.Errorf("wrapped: %w", errRetryLater), "RETRY"},
		{wire.ErrMalformedLine, "MALFORMED"},
		{wire.ErrMessageTooLong, "MALFORMED"},
		{wire.ErrBufferBudget, "MALFORMED"},
		{errors.New("not made for clients"), "UNKNOWN"},
	} {
		t.Run(c.err.Error(), func(t *testing.T) {
			if got := failCode(c.err); got != c.code {
				t.Errorf("code %s, want %s", got, c.code)
			}
		})
	}
}
