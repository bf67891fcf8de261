package pgwire

// This file parses message bodies in place.

import "encoding/binary"

// Body returns a message without its header.
func Body(message []byte) []byte { return message[headerBytes:] }

// splitString splits off one zero-terminated string.
func splitString(b []byte) (text, rest []byte, ok bool) {
	for i, c := range b {
		if c == 0 {
			return b[:i], b[i+1:], true
		}
	}
	return nil, nil, false
}

// QueryText returns the text of a Query's body without its terminating zero byte.
func QueryText(body []byte) ([]byte, bool) {
	s, rest, ok := splitString(body)
	return s, ok && len(rest) == 0
}

// ParseParameterStatus returns the name and the value of a ParameterStatus.
func ParseParameterStatus(body []byte) (name, value []byte, ok bool) {
	if name, body, ok = splitString(body); ok {
		value, _, ok = splitString(body)
	}
	return name, value, ok
}

// ErrorCode returns the SQLSTATE of an ErrorResponse, or "" if it has none.
func ErrorCode(body []byte) string {
	for len(body) > 1 {
		value, rest, ok := splitString(body[1:])
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

// IsBinaryColumn reports whether a RowDescription describes rows of one column in binary format.
func IsBinaryColumn(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	_, rest, ok := splitString(body[2:])
	return ok && len(rest) == 18 && rest[16] == 0 && rest[17] == 1
}

// ParseDataRow returns the value of a row's only column. It returns false if there are more columns or the value is
// null.
func ParseDataRow(body []byte) ([]byte, bool) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 {
		return nil, false
	}
	valueLength := int32(binary.BigEndian.Uint32(body[2:]))
	return body[6:], valueLength >= 0 && int(valueLength) == len(body)-6
}
