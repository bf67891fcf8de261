package pgwire

// This file has the protocol's constants, and the error of framing.

import "errors"

const (
	// MaxMessage is the maximum size of a message in bytes: a value of 64 KiB in hex, and the statement around it.
	MaxMessage = 2*65536 + 4096

	maxStartup   = 8192  // maximum bytes of a startup message
	readStep     = 16384 // maximum bytes by which a buffer grows ahead of the bytes read
	headerBytes  = 5     // kind and length of a message
	lengthBytes  = 4     // the length counts itself, but not the kind
	startupBytes = 8     // minimum of a startup message: length and code

	codeProtocol3  = 3 << 16
	codeCancel     = 80877102
	codeSSLRequest = 80877103
	codeGSSRequest = 80877104
)

// SQLSTATE codes that a driver sends or handles.
const (
	CodeTooManyConnections    = "53300" // rejected before any effect: a retry is safe
	CodeSystemError           = "58000" // the statement may or may not have taken effect
	CodeProtocolViolation     = "08P01"
	CodeInvalidParameterValue = "22023" // an operation's type or group that is not configured
	CodeReadOnlyTransaction   = "25006" // a write sent to a member that is not primary
	CodeSnapshotTooOld        = "72000" // a replica that lags too far behind for the read
)

// ErrFraming is the error of an invalid length or kind, after which the start of the next message is unknown.
var ErrFraming = errors.New("framing lost")
