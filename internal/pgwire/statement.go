package pgwire

import (
	"bytes"
	"errors"
	"net"
	"strconv"
	"unicode/utf8"
)

// Statement is an op as its client wrote it: one of two forms, and a comment with names and values. Its parts
// lie in the text that it was parsed from, which must stay as it is while the statement is in use.
type Statement struct {
	Text           []byte
	Key            []byte // quoted, as written
	ID             []byte
	OpType         []byte
	IdempotencyKey []byte  // the client's own key for the op, of the form "key=..."; nil for none. Checked by who uses it.
	Timeout        float64 // milliseconds that the client waits
	Group          int64
	MinPosition    float64 // position that the read must see; 0 for none
	Write          bool
	from, to       int // where the figure of d stands in Text
}

var (
	selectHead = []byte("SELECT v FROM records WHERE k = '")
	insertHead = []byte("INSERT INTO records (k, v) VALUES ('")
	insertMid  = []byte(", '\\x")
	insertTail = []byte(" RETURNING v")
	open       = []byte(" /* ")
	shut       = []byte(" */")

	errForm    = errors.New("not a statement of the known forms")
	errComment = errors.New("the comment does not parse")
)

const (
	maxTimeout  = 24 * 3600 * 1000 // a day: more is no time that anybody waits
	maxPosition = 1e15
	maxID       = 64
)

// ParseStatement takes a statement apart in place.
func ParseStatement(s []byte) (Statement, error) {
	st := Statement{Text: s}
	rest, ok := bytes.CutPrefix(s, selectHead)
	if !ok {
		if rest, st.Write = bytes.CutPrefix(s, insertHead); !st.Write {
			return st, errForm
		}
	}
	n := quoted(rest)
	if n < 0 {
		return st, errForm
	}
	st.Key, rest = rest[:n], rest[n+1:]
	if st.Write {
		if rest, ok = bytes.CutPrefix(rest, insertMid); !ok {
			return st, errForm
		}
		if n = hexadecimal(rest); n%2 != 0 {
			return st, errForm
		}
		if rest, ok = bytes.CutPrefix(rest[n:], []byte("')")); !ok {
			return st, errForm
		}
		if rest, ok = bytes.CutPrefix(rest, insertTail); !ok {
			return st, errForm
		}
	}
	if rest, ok = bytes.CutPrefix(rest, open); !ok {
		return st, errForm
	}
	if rest, ok = bytes.CutSuffix(rest, shut); !ok || bytes.Contains(rest, []byte("*/")) {
		return st, errComment
	}
	return st, st.comment(rest, len(s)-len(shut)-len(rest))
}

// quoted is the length of the text up to the quote that ends it; a doubled quote stands for one.
func quoted(b []byte) int {
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

func hexadecimal(b []byte) int {
	for i, c := range b {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return i
		}
	}
	return len(b)
}

// comment reads the names and values, which begin at the offset at in the text.
func (st *Statement) comment(b []byte, at int) error {
	var seen [5]bool
	for len(b) > 0 {
		item, rest, _ := bytes.Cut(b, []byte(","))
		name, value, ok := bytes.Cut(item, []byte("="))
		if !ok || len(name) == 0 {
			return errComment
		}
		from := at + len(name) + 1
		at, b = at+len(item)+1, rest
		which, err := -1, error(nil)
		switch string(name) {
		case "id":
			if which, st.ID = 0, value; len(value) > maxID || !utf8.Valid(value) || bytes.ContainsAny(value, " '\"\x00\r\n") {
				return errComment
			}
		case "c":
			which, st.OpType = 1, value
		case "d":
			which = 2
			st.from, st.to = from, from+len(value)
			if st.Timeout, err = number(value); st.Timeout > maxTimeout {
				return errComment
			}
		case "cluster":
			which = 3
			st.Group, err = strconv.ParseInt(string(value), 10, 64)
		case "key":
			if st.IdempotencyKey == nil {
				st.IdempotencyKey = value
			}
		case "after":
			which = 4
			if st.MinPosition, err = number(value); st.MinPosition > maxPosition {
				return errComment
			}
		}
		if err != nil || which >= 0 && (seen[which] || len(value) == 0) {
			return errComment
		}
		if which >= 0 {
			seen[which] = true
		}
	}
	if !seen[0] || !seen[1] || !seen[2] || !seen[3] {
		return errComment
	}
	return nil
}

// number reads a figure of digits and at most one point: what else Go takes for a number is none here.
func number(b []byte) (float64, error) {
	for _, c := range b {
		if (c < '0' || c > '9') && c != '.' {
			return 0, errComment
		}
	}
	return strconv.ParseFloat(string(b), 64)
}

// Query is the statement as a Query message whose d says how many milliseconds the driver waits. The text
// around that figure goes out as it came in.
func (st *Statement) Query(wait int64) net.Buffers {
	d := strconv.AppendInt(nil, max(wait, 1), 10)
	head := AppendQueryHeader(make([]byte, 0, 5), st.from+len(d)+len(st.Text)-st.to)
	return net.Buffers{head, st.Text[:st.from], d, st.Text[st.to:], {0}}
}
