package pgwire

// This file parses the two forms of statements, a read and a write of one record, each with a comment.

import (
	"bytes"
	"errors"
	"net"
	"strconv"
)

// Statement is an operation as its client wrote it. Its slices refer to the text that it was parsed from, which must
// not be modified while the statement is in use.
type Statement struct {
	Text   []byte
	Key    []byte // as written, with doubled quotes
	ID     []byte
	OpType []byte
	// IdempotencyKey is the client's key, nil for none. It is not validated here.
	IdempotencyKey []byte
	Timeout        float64 // how long the client waits, in milliseconds
	Group          int64
	MinPosition    float64 // minimum replication position that a read must see; 0 for any
	Write          bool

	timeoutStart, timeoutEnd int // offsets of the timeout's digits in Text
}

var (
	selectStart  = []byte("SELECT v FROM records WHERE k = '")
	insertStart  = []byte("INSERT INTO records (k, v) VALUES ('")
	insertValue  = []byte(", '\\x")
	insertEnd    = []byte("')")
	returning    = []byte(" RETURNING v")
	commentStart = []byte(" /* ")
	commentEnd   = []byte(" */")

	errUnsupportedStatement = errors.New("not a statement of the known forms")
)

// ParseStatement parses a statement in place.
func ParseStatement(text []byte) (Statement, error) {
	s := Statement{Text: text}
	rest, ok := bytes.CutPrefix(text, selectStart)
	if !ok {
		if rest, s.Write = bytes.CutPrefix(text, insertStart); !s.Write {
			return s, errUnsupportedStatement
		}
	}
	keyLength := quotedLength(rest)
	if keyLength < 0 {
		return s, errUnsupportedStatement
	}
	s.Key, rest = rest[:keyLength], rest[keyLength+1:]
	if s.Write {
		if rest, ok = skipInsertValue(rest); !ok {
			return s, errUnsupportedStatement
		}
	}
	if rest, ok = bytes.CutPrefix(rest, commentStart); !ok {
		return s, errUnsupportedStatement
	}
	if rest, ok = bytes.CutSuffix(rest, commentEnd); !ok || bytes.Contains(rest, []byte("*/")) {
		return s, errComment
	}
	return s, s.parseComment(rest, len(text)-len(commentEnd)-len(rest))
}

// skipInsertValue skips a write's value in hex and the end of the INSERT, up to the comment.
func skipInsertValue(b []byte) (rest []byte, ok bool) {
	if b, ok = bytes.CutPrefix(b, insertValue); !ok {
		return nil, false
	}
	digits := hexLength(b)
	if digits%2 != 0 {
		return nil, false
	}
	if b, ok = bytes.CutPrefix(b[digits:], insertEnd); !ok {
		return nil, false
	}
	return bytes.CutPrefix(b, returning)
}

// quotedLength returns the length of the text before its closing quote, or -1 if there is none. A doubled quote is part
// of the text.
func quotedLength(b []byte) int {
	for i := 0; i < len(b); i++ {
		if b[i] == '\'' {
			if i+1 < len(b) && b[i+1] == '\'' {
				i++
				continue
			}
			return i
		}
	}
	return -1
}

// hexLength returns the number of hexadecimal digits at the start of the text.
func hexLength(b []byte) int {
	for i, c := range b {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return i
		}
	}
	return len(b)
}

// Query returns the statement as a Query message with another timeout in milliseconds, for which the driver waits. The
// rest of the text is unchanged.
func (s *Statement) Query(timeout int64) net.Buffers {
	digits := strconv.AppendInt(nil, max(timeout, 1), 10)
	length := s.timeoutStart + len(digits) + len(s.Text) - s.timeoutEnd
	header := AppendQueryHeader(make([]byte, 0, headerBytes), length)
	return net.Buffers{header, s.Text[:s.timeoutStart], digits, s.Text[s.timeoutEnd:], {0}}
}
