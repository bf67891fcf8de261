package driver

import (
	"strconv"
	"time"

	"weirwind/internal/pgwire"
)

// What clients get in place of an answer, each with ReadyForQuery behind it.
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

// busyAnswer says that a retry is harmless, and after how many milliseconds if the module advises some.
func busyAnswer(wait float64) []byte {
	detail := ""
	if ms := duration(wait).Round(time.Millisecond).Milliseconds(); ms > 0 {
		detail = strconv.FormatInt(ms, 10)
	}
	return pgwire.AppendReadyForQuery(
		pgwire.AppendErrorResponse(nil, "ERROR", pgwire.CodeTooManyConnections, "busy, try again", detail))
}
