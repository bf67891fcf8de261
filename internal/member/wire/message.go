package wire

import "strings"

// Words that start a message and tell its kind.
const (
	MsgAttach = "ATTACH"
	MsgReady  = "READY"
	MsgFail   = "FAIL"
	MsgQuery  = "QUERY"
	MsgRow    = "ROW"
	MsgDone   = "DONE"
	MsgBye    = "BYE"
)

// NoStamp is the stamp of DONE where a success bears none: replies that the system makes itself, and replies to its
// own queries.
const NoStamp = "-"

// States of a session, as READY reports them.
const (
	StateIdle              = "I"
	StateInTransaction     = "T"
	StateFailedTransaction = "E" // a statement of the open transaction failed
)

// Codes of FAIL which promise that nothing of the attempt has an effect.
const (
	CodeRetry     = "RETRY"   // not attempted; it may be sent again
	CodeAborted   = "ABORTED" // the transaction was rolled back
	CodeLagging   = "LAGGING" // the member has not received the position that the query asks for
	CodeReadOnly  = "RDONLY"  // the member is a replica
	CodeWrongHost = "WRONGHOST"
	CodeFull      = "FULL" // the member has no place for another session
)

// Codes of FAIL which promise nothing of the kind.
const (
	CodeNoStatement    = "NOSTMT" // there is no such prepared statement
	CodeMalformed      = "MALFORMED"
	CodeNoDatabase     = "NODB"
	CodeDenied         = "DENIED" // the key that the client attached with is no tenant's
	CodeFailed         = "FAILED"
	CodeTimeout        = "TIMEOUT"
	CodeOutcomeUnknown = "UNKNOWN" // a write whose reply was lost
)

const deleteByte = 0x7f

// IsField reports whether a text can stand as a single field within a message.
func IsField(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == deleteByte {
			return false
		}
	}
	return text != ""
}

// CutField splits a text around its first blank, into the next field and the rest.
func CutField(text string) (field, rest string) {
	field, rest, _ = strings.Cut(text, " ")
	return field, rest
}
