package pgwire

// This file owns the protocol's constants, and the errors of framing.

import "errors"

const (
	// MaxMessage bounds a message in bytes: a value of 64 KiB written in hex, and room for the statement around it.
	MaxMessage = 2*65536 + 4096

	maxStartup   = 8192  // bytes of a startup message
	readStep     = 16384 // bytes by which a buffer grows ahead of what has been read
	headerBytes  = 5     // of a message: its kind, and its length with the length's own four bytes
	lengthBytes  = 4
	startupBytes = 8 // of a startup message, at least: length and code

	codeProtocol3  = 3 << 16
	codeCancel     = 80877102
	codeSSLRequest = 80877103
	codeGSSRequest = 80877104
)

// SQLSTATE codes that a driver sends or understands.
const (
	CodeTooManyConnections    = "53300" // rejected before any effect: a retry is harmless
	CodeSystemError           = "58000" // nothing is promised about the effect
	CodeProtocolViolation     = "08P01"
	CodeInvalidParameterValue = "22023" // an operation's type or group that is not configured
	CodeReadOnlyTransaction   = "25006" // a write, and this is no primary
	CodeSnapshotTooOld        = "72000" // a replica that lags too far behind for the read
)

// ErrFraming says that a message's length or kind is invalid: where the next message begins is not known.
var ErrFraming = errors.New("framing lost")
