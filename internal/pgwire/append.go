package pgwire

// This file owns the writing of messages.

import "encoding/binary"

// begin starts a message and returns where its length stands.
func begin(b []byte, kind byte) ([]byte, int) {
	return append(b, kind, 0, 0, 0, 0), len(b) + 1
}

// end fills in the length of the message that ends the buffer.
func end(b []byte, lengthAt int) []byte {
	binary.BigEndian.PutUint32(b[lengthAt:], uint32(len(b)-lengthAt))
	return b
}

func appendString(b []byte, text string) []byte { return append(append(b, text...), 0) }

// AppendReadyForQuery appends ReadyForQuery.
func AppendReadyForQuery(b []byte) []byte { return append(b, 'Z', 0, 0, 0, 5, 'I') }

// AppendEmptyQuery appends EmptyQueryResponse.
func AppendEmptyQuery(b []byte) []byte { return append(b, 'I', 0, 0, 0, 4) }

// AppendStartupResponse appends what opens a client's session: AuthenticationOk, a few parameters, and a cancel key
// that is not used.
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

// AppendErrorResponse appends an ErrorResponse; an empty detail is left out.
func AppendErrorResponse(b []byte, severity, code, message, detail string) []byte {
	b, at := begin(b, 'E')
	for _, f := range [...]struct {
		kind  byte
		value string
	}{{'S', severity}, {'V', severity}, {'C', code}, {'M', message}, {'D', detail}} {
		if f.value != "" {
			b = appendString(append(b, f.kind), f.value)
		}
	}
	return end(append(b, 0), at)
}

// AppendSingleRow appends a result up to CommandComplete: one row of one column, in binary format.
func AppendSingleRow(b []byte, value string) []byte {
	b, at := begin(b, 'T')
	b = end(append(b, "\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"...), at)
	b, at = begin(b, 'D')
	b = binary.BigEndian.AppendUint32(append(b, 0, 1), uint32(len(value)))
	b = end(append(b, value...), at)
	b, at = begin(b, 'C')
	return end(appendString(b, "SELECT 1"), at)
}

// AppendParameterStatus appends a ParameterStatus.
func AppendParameterStatus(b []byte, name, value string) []byte {
	b, at := begin(b, 'S')
	return end(appendString(appendString(b, name), value), at)
}

// AppendStartupMessage appends the message that opens a connection to a member.
func AppendStartupMessage(b []byte, user, database string) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	b = binary.BigEndian.AppendUint32(b, codeProtocol3)
	b = appendString(appendString(b, "user"), user)
	b = appendString(appendString(b, "database"), database)
	return end(append(b, 0), at)
}

// AppendQuery appends a Query with the given text.
func AppendQuery(b []byte, text string) []byte {
	return appendString(AppendQueryHeader(b, len(text)), text)
}

// AppendQueryHeader appends the header of a Query whose text has n bytes.
func AppendQueryHeader(b []byte, length int) []byte {
	return binary.BigEndian.AppendUint32(append(b, 'Q'), uint32(length+5))
}
