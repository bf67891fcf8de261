package driver

import (
	"strconv"
	"time"

	"weirwind/internal/pgwire"
)

// Replies that clients get in place of a member's answer, each followed by ReadyForQuery.
var (
	duplicateID = errorAnswer(pgwire.CodeProtocolViolation, "an op of this id is open")
	opFailed    = errorAnswer(pgwire.CodeSystemError, "the op failed and may have taken effect")

	invalidKey  = errorAnswer(pgwire.CodeProtocolViolation, "a key is 1 to 128 bytes of text without spaces and quotes")
	keyConflict = errorAnswer(pgwire.CodeProtocolViolation, "this key was another statement's")
	answerLost  = errorAnswer(pgwire.CodeSystemError,
		"the op with this key was done; its answer was too long to be kept")
	outcomeInDoubt = errorAnswer(pgwire.CodeSystemError,
		"an op with this key may have taken effect, and it can't be known; it is not sent again")
)

// unsupportedAnswer answers the extended protocol; ReadyForQuery follows at Sync.
var unsupportedAnswer = pgwire.AppendErrorResponse(nil, "ERROR", pgwire.CodeProtocolViolation,
	"only simple queries are served", "")

func errorAnswer(code, text string) []byte {
	return pgwire.AppendReadyForQuery(pgwire.AppendErrorResponse(nil, "ERROR", code, text, ""))
}

// busyAnswer returns a reply that asks the client to retry, which is safe, and has the module's advised delay in
// milliseconds, if any, as its detail.
func busyAnswer(wait float64) []byte {
	detail := ""
	if ms := duration(wait).Round(time.Millisecond).Milliseconds(); ms > 0 {
		detail = strconv.FormatInt(ms, 10)
	}
	return pgwire.AppendReadyForQuery(
		pgwire.AppendErrorResponse(nil, "ERROR", pgwire.CodeTooManyConnections, "busy, try again", detail))
}
