package pgwire

// This file encodes messages.

import "encoding/binary"

// beginMessage starts a message and returns the offset of its length.
func beginMessage(b []byte, kind byte) ([]byte, int) {
	return append(b, kind, 0, 0, 0, 0), len(b) + 1
}

// endMessage sets the length of the last message in the buffer.
func endMessage(b []byte, lengthAt int) []byte {
	binary.BigEndian.PutUint32(b[lengthAt:], uint32(len(b)-lengthAt))
	return b
}

func appendString(b []byte, text string) []byte { return append(append(b, text...), 0) }

// AppendReadyForQuery appends a ReadyForQuery outside a transaction.
func AppendReadyForQuery(b []byte) []byte { return append(b, 'Z', 0, 0, 0, 5, 'I') }

// AppendEmptyQuery appends an EmptyQueryResponse.
func AppendEmptyQuery(b []byte) []byte { return append(b, 'I', 0, 0, 0, 4) }

// AppendStartupResponse appends the response to a client's startup message: AuthenticationOk, a few parameters, a
// cancel key of zeros, which is not used, and ReadyForQuery. For a minor version above 0 a NegotiateProtocolVersion,
// which offers version 3.0, comes first.
func AppendStartupResponse(b []byte, minor uint32) []byte {
	var lengthAt int
	if minor > 0 {
		b, lengthAt = beginMessage(b, 'v')
		b = endMessage(append(b, 0, 0, 0, 0, 0, 0, 0, 0), lengthAt)
	}
	b = append(b, 'R', 0, 0, 0, 8, 0, 0, 0, 0)
	for _, p := range [...][2]string{{"server_version", "15.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		b = AppendParameterStatus(b, p[0], p[1])
	}
	b = append(b, 'K', 0, 0, 0, 12, 0, 0, 0, 0, 0, 0, 0, 0)
	return AppendReadyForQuery(b)
}

// AppendErrorResponse appends an ErrorResponse; an empty detail is left out.
func AppendErrorResponse(b []byte, severity, code, message, detail string) []byte {
	b, lengthAt := beginMessage(b, 'E')
	for _, f := range [...]struct {
		kind  byte
		value string
	}{{'S', severity}, {'V', severity}, {'C', code}, {'M', message}, {'D', detail}} {
		if f.value != "" {
			b = appendString(append(b, f.kind), f.value)
		}
	}
	return endMessage(append(b, 0), lengthAt)
}

// AppendSingleRow appends a RowDescription, a DataRow and a CommandComplete: one row of one column in binary format.
func AppendSingleRow(b []byte, value string) []byte {
	b, lengthAt := beginMessage(b, 'T')
	b = endMessage(append(b, "\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"...),
		lengthAt)
	b, lengthAt = beginMessage(b, 'D')
	b = binary.BigEndian.AppendUint32(append(b, 0, 1), uint32(len(value)))
	b = endMessage(append(b, value...), lengthAt)
	b, lengthAt = beginMessage(b, 'C')
	return endMessage(appendString(b, "SELECT 1"), lengthAt)
}

// AppendParameterStatus appends a ParameterStatus.
func AppendParameterStatus(b []byte, name, value string) []byte {
	b, lengthAt := beginMessage(b, 'S')
	return endMessage(appendString(appendString(b, name), value), lengthAt)
}

// AppendStartupMessage appends the StartupMessage for a connection to a member.
func AppendStartupMessage(b []byte, user, database string) []byte {
	lengthAt := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, codeProtocol3)
	b = appendString(appendString(b, "user"), user)
	b = appendString(appendString(b, "database"), database)
	return endMessage(append(b, 0), lengthAt)
}

// AppendQuery appends a Query with the given text.
func AppendQuery(b []byte, text string) []byte {
	return appendString(AppendQueryHeader(b, len(text)), text)
}

// AppendQueryHeader appends the header of a Query whose text has length bytes.
func AppendQueryHeader(b []byte, length int) []byte {
	return binary.BigEndian.AppendUint32(append(b, 'Q'), uint32(length+5))
}
