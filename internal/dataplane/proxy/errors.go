package proxy

import (
	"errors"
	"math"
	"strconv"
	"strings"

	"weirwind/internal/member/wire"
	"weirwind/internal/shard/shardnode"
)

// errorKind classifies errors by what they mean for a client.
type errorKind uint8

const (
	// unavailable means that the statement had no effect and the client may retry it.
	unavailable errorKind = iota
	// aborted means that the transaction has ended without an effect.
	aborted
	// outcomeUnknown means that the statement or the transaction may have been committed.
	outcomeUnknown
	// invalid means that the client's message violates the protocol or is not allowed in the session's state.
	invalid
	unknownDatabase
	unknownStatement
	// denied means that the client's key belongs to no tenant. The session ends.
	denied
)

// failCodes maps kinds of errors to codes of FAIL.
var failCodes = [...]string{
	unavailable:      wire.CodeRetry,
	aborted:          wire.CodeAborted,
	outcomeUnknown:   wire.CodeOutcomeUnknown,
	invalid:          wire.CodeMalformed,
	unknownDatabase:  wire.CodeNoDatabase,
	unknownStatement: wire.CodeNoStatement,
	denied:           wire.CodeDenied,
}

// clientError is an error of the proxy that a client is answered with. Its text is part of the protocol.
type clientError struct {
	kind errorKind
	text string
}

// Error returns the text for the client.
func (e *clientError) Error() string { return e.text }

// Errors with a fixed text.
var (
	errRetryLater    = &clientError{unavailable, "come back after 200 ms"}
	errNotConfigured = &clientError{unavailable, "no configuration is known yet"}

	errAttachExpected    = &clientError{invalid, "ATTACH database who begins a session"}
	errQueryExpected     = &clientError{invalid, "QUERY id text, or BYE"}
	errInvalidText       = &clientError{invalid, "no such text"}
	errTooManyValues     = &clientError{invalid, "too many values"}
	errTooManyPrepared   = &clientError{invalid, "too many prepared statements"}
	errTransactionOpen   = &clientError{invalid, "a transaction is open"}
	errNoTransaction     = &clientError{invalid, "no transaction is open"}
	errTransactionFailed = &clientError{invalid, "the transaction has failed and is to be ended"}

	errFailedTransactionCommit = &clientError{aborted, "the transaction had failed"}
	errTransactionIdle         = &clientError{aborted, "it rested for too long"}
	errKeyRevoked              = &clientError{aborted, "its key was taken away"}
	errPrimaryReplaced         = &clientError{aborted, "its primary is being replaced"}

	errUnknownKey = &clientError{denied, "no tenant has this key"}
)

// retryAfterError returns the error of a statement that was not sent to a member, with the time in milliseconds after
// which the client should retry.
func retryAfterError(ms float64) *clientError {
	return &clientError{unavailable, "come back after " + strconv.Itoa(int(math.Ceil(ms))) + " ms"}
}

func databaseError(host string) error  { return &clientError{unknownDatabase, host} }
func statementError(name string) error { return &clientError{unknownStatement, name} }

// unansweredError returns the error of a statement that a member did not answer. kind is its meaning for the client.
func unansweredError(kind errorKind, memberID string) error {
	return &clientError{kind, "no answer came from " + memberID}
}

// commitUnconfirmedError returns the error of a commit that a member answered with success while another one may have
// been promoted.
func commitUnconfirmedError(memberID string) error {
	return &clientError{outcomeUnknown, "the commit at " + memberID + " was not confirmed"}
}

func commitUnansweredError(memberID string) error {
	return &clientError{outcomeUnknown, "no answer to the commit came from " + memberID}
}

func shardOutcomeError(shard string) error {
	return &clientError{outcomeUnknown, "no node that holds " + shard + " could say what came of it"}
}

// isProtocolError reports whether a read failed because the client's bytes are not a valid message.
func isProtocolError(err error) bool {
	return errors.Is(err, wire.ErrMalformedLine) || errors.Is(err, wire.ErrMessageTooLong) ||
		errors.Is(err, wire.ErrBufferBudget)
}

// failCode returns the code of FAIL for an error. An error of an unexpected type becomes CodeOutcomeUnknown, which
// promises nothing.
func failCode(err error) string {
	var clientErr *clientError
	switch {
	case errors.As(err, &clientErr):
		return failCodes[clientErr.kind]
	case isProtocolError(err):
		return wire.CodeMalformed
	}
	return wire.CodeOutcomeUnknown
}

// The codes of FAILs from members are forwarded to clients, except for those that the proxy handles itself.

// isRetryableShardCode reports whether a code of a shard node means no more than that the statement had no effect, so
// that the client may retry it.
func isRetryableShardCode(code string) bool {
	switch strings.ToUpper(code) {
	case shardnode.CodeNoCapacity, shardnode.CodeAborted, shardnode.CodeWrongState:
		return true
	}
	return false
}

// mayHaveRun reports whether a member that failed a statement with the code may still have run it.
func mayHaveRun(code string) bool { return code == wire.CodeFailed || code == wire.CodeTimeout }
