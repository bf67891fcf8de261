// Package pgwire reads and writes the messages of PostgreSQL's wire protocol, version 3, that a driver needs
// on its two sides: toward clients and toward members. It owns framing and the form of messages. It must never
// decide what becomes of an op, hold more than one bounded message, or keep state from one message to the next.
package pgwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// MaxMessage bounds a message: a value of 64 KiB written in hex, and room for the statement around it.
	MaxMessage = 2*65536 + 4096
	maxStartup = 8192
	step       = 16384

	codeProtocol3 = 3 << 16
	codeCancel    = 80877102
	codeSSL       = 80877103
	codeGSS       = 80877104
)

// SQLSTATE codes that a driver gives or understands.
const (
	CodeTooManyConnections    = "53300" // too_many_connections: trying again is harmless
	CodeSystemError           = "58000" // system_error: no promise about the effect
	CodeProtocolViolation     = "08P01" // protocol_violation
	CodeInvalidParameterValue = "22023" // invalid_parameter_value: an op type or group that nobody listed
	CodeReadOnlyTransaction   = "25006" // read_only_sql_transaction: a write, and this is no primary
	CodeSnapshotTooOld        = "72000" // snapshot_too_old: too far behind for the read
)

// ErrFraming says that the length or kind of a message makes no sense: what follows can't be told apart.
var ErrFraming = errors.New("framing lost")

// Startup is the first message on a connection.
type StartupKind uint8

// The kinds of startup messages.
const (
	StartupSession StartupKind = iota
	StartupEncrypt             // SSLRequest or GSSENCRequest, answered by one byte N
	StartupCancel              // CancelRequest; the connection ends
)

// ReadStartup reads the message that opens a connection. The minor version is that of a StartupSession.
func ReadStartup(r *bufio.Reader) (kind StartupKind, minor uint32, err error) {
	var head [8]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, 0, err
	}
	n, code := binary.BigEndian.Uint32(head[:]), binary.BigEndian.Uint32(head[4:])
	if n < 8 || n > maxStartup {
		return 0, 0, fmt.Errorf("%w: startup of %d bytes", ErrFraming, n)
	}
	if _, err := r.Discard(int(n) - 8); err != nil {
		return 0, 0, noEOF(err)
	}
	switch {
	case code == codeSSL || code == codeGSS:
		return StartupEncrypt, 0, nil
	case code == codeCancel:
		return StartupCancel, 0, nil
	case code>>16 != codeProtocol3>>16:
		return 0, 0, fmt.Errorf("%w: protocol version %d.%d", ErrFraming, code>>16, code&0xffff)
	}
	return StartupSession, code & 0xffff, nil
}

// ReadHead reads the kind of the next message and the length of its body. A clean end before it is io.EOF.
func ReadHeader(r *bufio.Reader) (kind byte, n int, err error) {
	var head [5]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, 0, err
	}
	n = int(binary.BigEndian.Uint32(head[1:]))
	if n < 4 || n > MaxMessage || head[0] < 'A' || head[0] > 'z' {
		return 0, 0, fmt.Errorf("%w: kind %q, length %d", ErrFraming, head[0], n)
	}
	return head[0], n - 4, nil
}

// Whole says whether a message that begins with a head lies within the first n bytes.
func Buffered(head []byte, n int) bool {
	return len(head) == 5 && uint64(binary.BigEndian.Uint32(head[1:])) < uint64(n)
}

// ReadBody appends the n bytes that follow a head.
func ReadBody(r *bufio.Reader, buf []byte, n int) ([]byte, error) {
	for n > 0 { // grown as bytes arrive: a length alone must not cost memory
		part := min(n, step)
		buf = append(buf, make([]byte, part)...)
		if _, err := io.ReadFull(r, buf[len(buf)-part:]); err != nil {
			return buf, noEOF(err)
		}
		n -= part
	}
	return buf, nil
}

// Read appends the next message to buf: kind, length and body, as they came. A clean end before it is io.EOF.
func Read(r *bufio.Reader, buf []byte) (kind byte, message []byte, err error) {
	kind, n, err := ReadHeader(r)
	if err != nil {
		return 0, buf, err
	}
	buf = binary.BigEndian.AppendUint32(append(buf, kind), uint32(n+4))
	buf, err = ReadBody(r, buf, n)
	return kind, buf, err
}

func noEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Body is a message without its kind and length.
func Body(message []byte) []byte { return message[5:] }

// text splits off one string that ends in a zero byte.
func text(b []byte) (s, rest []byte, ok bool) {
	for i, c := range b {
		if c == 0 {
			return b[:i], b[i+1:], true
		}
	}
	return nil, nil, false
}

// QueryText is the text of a Query's body, without the zero byte that ends it.
func QueryText(body []byte) ([]byte, bool) {
	s, rest, ok := text(body)
	return s, ok && len(rest) == 0
}

// Parameter takes a ParameterStatus apart.
func ParseParameterStatus(body []byte) (name, value []byte, ok bool) {
	if name, body, ok = text(body); ok {
		value, _, ok = text(body)
	}
	return name, value, ok
}

// ErrorCode is the SQLSTATE of an ErrorResponse; empty where it holds none.
func ErrorCode(body []byte) string {
	for len(body) > 1 {
		value, rest, ok := text(body[1:])
		if !ok {
			return ""
		}
		if body[0] == 'C' {
			return string(value)
		}
		body = rest
	}
	return ""
}

// RowDescription says whether a row is described that has one column, in binary.
func IsBinaryColumn(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	_, rest, ok := text(body[2:])
	return ok && len(rest) == 18 && rest[16] == 0 && rest[17] == 1
}

// DataRow takes the only column of a row.
func ParseDataRow(body []byte) ([]byte, bool) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return nil, false
	}
	n := int32(binary.BigEndian.Uint32(body[2:]))
	return body[6:], n >= 0 && int(n) == len(body)-6
}

// begin starts a message; end fills in its length.
func begin(b []byte, kind byte) ([]byte, int) {
	return append(b, kind, 0, 0, 0, 0), len(b) + 1
}

func end(b []byte, at int) []byte {
	binary.BigEndian.PutUint32(b[at:], uint32(len(b)-at))
	return b
}

func appendText(b []byte, s string) []byte { return append(append(b, s...), 0) }

// AppendReady adds ReadyForQuery.
func AppendReadyForQuery(b []byte) []byte { return append(b, 'Z', 0, 0, 0, 5, 'I') }

// AppendEmptyQuery adds EmptyQueryResponse.
func AppendEmptyQuery(b []byte) []byte { return append(b, 'I', 0, 0, 0, 4) }

// AppendWelcome adds what lets a client in: no password, a few parameters, a cancel key of no use.
func AppendStartupResponse(b []byte, minor uint32) []byte {
	var at int
	if minor > 0 {
		b, at = begin(b, 'v')
		b = end(append(b, 0, 0, 0, 0, 0, 0, 0, 0), at)
	}
	b = append(b, 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, p := range [...][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		b = AppendParameterStatus(b, p[0], p[1])
	}
	b = append(b, 'K', 0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 0)
	return AppendReadyForQuery(b)
}

// AppendError adds an ErrorResponse; an empty detail is left out.
func AppendErrorResponse(b []byte, severity, code, message, detail string) []byte {
	b, at := begin(b, 'E')
	for _, f := range [...]struct {
		kind  byte
		value string
	}{{'S', severity}, {'V', severity}, {'C', code}, {'M', message}, {'D', detail}} {
		if f.value != "" {
			b = appendText(append(b, f.kind), f.value)
		}
	}
	return end(append(b, 0), at)
}

// AppendRow adds a good answer up to CommandComplete: one column, binary, with one value.
func AppendSingleRow(b []byte, value string) []byte {
	b, at := begin(b, 'T')
	b = end(append(b, "\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"...), at)
	b, at = begin(b, 'D')
	b = binary.BigEndian.AppendUint32(append(b, 0, 1), uint32(len(value)))
	b = end(append(b, value...), at)
	b, at = begin(b, 'C')
	return end(appendText(b, "SELECT 1"), at)
}

// AppendParameter adds a ParameterStatus.
func AppendParameterStatus(b []byte, name, value string) []byte {
	b, at := begin(b, 'S')
	return end(appendText(appendText(b, name), value), at)
}

// AppendStartup adds the message that opens a connection to a member.
func AppendStartupMessage(b []byte, user, database string) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, codeProtocol3)
	b = appendText(appendText(b, "user"), user)
	b = appendText(appendText(b, "database"), database)
	return end(append(b, 0), at)
}

// AppendQuery adds a Query with the given text.
func AppendQuery(b []byte, s string) []byte {
	return appendText(AppendQueryHeader(b, len(s)), s)
}

// QueryHead is the head of a Query whose text has n bytes.
func AppendQueryHeader(b []byte, n int) []byte {
	return binary.BigEndian.AppendUint32(append(b, 'Q'), uint32(n+5))
}
