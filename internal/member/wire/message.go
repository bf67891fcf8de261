package wire

import "strings"

// Words at the start of a message, one for each kind.
const (
	MsgAttach = "ATTACH"
	MsgReady  = "READY"
	MsgFail   = "FAIL"
	MsgQuery  = "QUERY"
	MsgRow    = "ROW"
	MsgDone   = "DONE"
	MsgBye    = "BYE"
)

// NoStamp stands in DONE for a missing stamp: in replies that this system itself makes, and in replies to queries of
// its own.
const NoStamp = "-"

// States of a session, as READY reports them.
const (
	StateIdle              = "I"
	StateInTransaction     = "T"
	StateFailedTransaction = "E" // a statement of the open transaction failed
)

// Codes of FAIL that promise that the attempt has no effect.
const (
	CodeRetry     = "RETRY"     // the statement was not attempted and may be sent again
	CodeAborted   = "ABORTED"   // the transaction was rolled back
	CodeLagging   = "LAGGING"   // the member has not received the position in AFTER
	CodeReadOnly  = "RDONLY"    // the member is a replica
	CodeWrongHost = "WRONGHOST" // the server is not the member that ATTACH names
	CodeFull      = "FULL"      // the member has no capacity for another session
)

// Codes of FAIL that don't promise that the attempt has no effect.
const (
	CodeNoStatement    = "NOSTMT"    // there is no such prepared statement
	CodeMalformed      = "MALFORMED" // the message violates the protocol
	CodeNoDatabase     = "NODB"      // there is no such database
	CodeDenied         = "DENIED"    // the key in the client's ATTACH belongs to no tenant
	CodeFailed         = "FAILED"
	CodeTimeout        = "TIMEOUT"
	CodeOutcomeUnknown = "UNKNOWN" // the reply to a write was lost
)

const deleteByte = 0x7f

// IsField reports whether a text is valid as a single field of a message.
func IsField(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] == deleteByte {
			return false
		}
	}
	return text != ""
}

// CutField splits a text at its first blank into the first field and the rest.
func CutField(text string) (field, rest string) {
	field, rest, _ = strings.Cut(text, " ")
	return field, rest
}
