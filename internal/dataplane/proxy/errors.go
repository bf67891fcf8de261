package proxy

import (
	"errors"
	"math"
	"strconv"
	"strings"

	"weirwind/internal/member/wire"
	"weirwind/internal/shard/shardnode"
)

// errorKind is what an error means for a client.
type errorKind uint8

const (
	// unavailable: nothing of the statement was kept, and the client may retry it.
	unavailable errorKind = iota
	// aborted: the transaction has ended, and nothing of it was kept.
	aborted
	// outcomeUnknown: the statement, or the transaction, may have been kept or not.
	outcomeUnknown
	// invalid: the client's message, or its place, is against the protocol.
	invalid
	unknownDatabase
	unknownStatement
	// denied: the client's key is no tenant's, and the session ends.
	denied
)

// failCodes are the codes of FAIL by kind.
var failCodes = [...]string{
	unavailable:      wire.CodeRetry,
	aborted:          wire.CodeAborted,
	outcomeUnknown:   wire.CodeOutcomeUnknown,
	invalid:          wire.CodeMalformed,
	unknownDatabase:  wire.CodeNoDatabase,
	unknownStatement: wire.CodeNoStatement,
	denied:           wire.CodeDenied,
}

// clientError is an error of the proxy's own that a client is answered with. Its text is part of the protocol.
type clientError struct {
	kind errorKind
	text string
}

// Error is the text that the client is answered with.
func (e *clientError) Error() string { return e.text }

// Errors with texts that never differ.
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

	errCommitOfFailed = &clientError{aborted, "the transaction had failed"}
	errIdleTooLong    = &clientError{aborted, "it rested for too long"}
	errKeyWithdrawn   = &clientError{aborted, "its key was taken away"}

	errUnknownKey = &clientError{denied, "no tenant has this key"}
)

// retryAfterError says that nothing of the statement was sent, and when to come back.
func retryAfterError(ms float64) *clientError {
	return &clientError{unavailable, "come back after " + strconv.Itoa(int(math.Ceil(ms))) + " ms"}
}

func databaseError(host string) error  { return &clientError{unknownDatabase, host} }
func statementError(name string) error { return &clientError{unknownStatement, name} }

// unansweredError says that a member did not answer. kind says what that means for the client.
func unansweredError(kind errorKind, memberID string) error {
	return &clientError{kind, "no answer came from " + memberID}
}

func commitUnansweredError(memberID string) error {
	return &clientError{outcomeUnknown, "no answer to the commit came from " + memberID}
}

func shardOutcomeError(shard string) error {
	return &clientError{outcomeUnknown, "no node that holds " + shard + " could say what came of it"}
}

// isProtocolError says whether a client's bytes were no message.
func isProtocolError(err error) bool {
	return errors.Is(err, wire.ErrMalformedLine) || errors.Is(err, wire.ErrMessageTooLong) ||
		errors.Is(err, wire.ErrBufferBudget)
}

// failCode maps an error to the code of FAIL that a client is answered with. No other place does. An error that was
// not made for clients promises nothing.
func failCode(err error) string {
	var own *clientError
	switch {
	case errors.As(err, &own):
		return failCodes[own.kind]
	case isProtocolError(err):
		return wire.CodeMalformed
	}
	return wire.CodeOutcomeUnknown
}

// The codes of members' own FAILs are forwarded to clients, but for those that the proxy acts on itself:

// isRetryableShardCode says whether a shard node's refusal only means that nothing was kept: the client may
// retry.
func isRetryableShardCode(code string) bool {
	switch strings.ToUpper(code) {
	case shardnode.CodeNoRoom, shardnode.CodeVoid, shardnode.CodeState:
		return true
	}
	return false
}

// mayHaveRun says whether a member that failed a statement with the code may have run it all the same.
func mayHaveRun(code string) bool { return code == wire.CodeFailed || code == wire.CodeTimeout }
