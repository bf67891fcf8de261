// Package wire is the line wire that clients, members and the system share.
//
// This file owns how a message is told from bytes: a word and fields with blanks between them, CR LF at the end, at most
// Most bytes. It must never keep more than that of a peer that doesn't end its line.
package wire

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"sync/atomic"
)

// MaxMessageBytes is the longest message, in bytes.
const MaxMessageBytes = 1 << 20

// ErrMessageTooLong is the error of a message that is longer.
var ErrMessageTooLong = errors.New("message longer than 1 MiB")

// ErrBufferBudget is the error of a message for which there is no room beside those of others.
var ErrBufferBudget = errors.New("too many long messages at a time")

// ErrMalformedLine is the error of bytes that are no line of text.
var ErrMalformedLine = errors.New("not a line of text")

// Words that start a message.
const (
	MsgAttach = "ATTACH"
	MsgReady  = "READY"
	MsgFail   = "FAIL"
	MsgQuery  = "QUERY"
	MsgRow    = "ROW"
	MsgDone   = "DONE"
	MsgBye    = "BYE"
)

// NoStamp stands where a success bears no stamp, as what the system answers itself and what it asks for itself.
const NoStamp = "-"

// States of a session.
const (
	StateIdle              = "I"
	StateInTransaction     = "T" // inside a transaction
	StateFailedTransaction = "E" // in one that failed
)

// Codes of FAIL. Those up to CodeFull promise that nothing of the try is kept.
const (
	CodeRetry          = "RETRY"
	CodeAborted        = "ABORTED"
	CodeLagging        = "LAGGING"
	CodeReadOnly       = "RDONLY"
	CodeWrongHost      = "WRONGHOST"
	CodeFull           = "FULL"
	CodeNoStatement    = "NOSTMT"
	CodeMalformed      = "MALFORMED"
	CodeNoDatabase     = "NODB"
	CodeFailed         = "FAILED"
	CodeTimeout        = "TIMEOUT"
	CodeOutcomeUnknown = "UNKNOWN"
)

// BufferBudget bounds what all readers that share it hold of long messages that have not ended.
type BufferBudget struct{ available atomic.Int64 }

// NewBufferBudget gives room for so many bytes.
func NewBufferBudget(bytes int64) *BufferBudget {
	r := &BufferBudget{}
	r.available.Store(bytes)
	return r
}

// Reader reads messages.
type Reader struct {
	b      *bufio.Reader
	long   []byte
	budget *BufferBudget // nil: not shared
}

// WithBudget makes the reader share a room, and gives it back.
func (r *Reader) WithBudget(room *BufferBudget) *Reader {
	r.budget = room
	return r
}

// NewReader reads from r with a small buffer, as most sessions are idle.
func NewReader(r io.Reader) *Reader { return &Reader{b: bufio.NewReaderSize(r, 1024)} }

// Buffered is how many bytes have come that no message was made of yet.
func (r *Reader) Buffered() int { return r.b.Buffered() }

// Wait returns when there is something to read, or an error.
func (r *Reader) Wait() error {
	_, err := r.b.Peek(1)
	return err
}

// ReadMessage reads one message without its end. What it returns stays as it is.
func (r *Reader) ReadMessage() (string, error) {
	part, err := r.b.ReadSlice('\n')
	if err == nil {
		return clean(part)
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return "", err
	}
	r.long = append(r.long[:0], part...)
	if r.budget != nil {
		held := int64(0)
		defer func() { r.budget.available.Add(held) }()
		for errors.Is(err, bufio.ErrBufferFull) && len(r.long) <= MaxMessageBytes {
			held += int64(len(part))
			if r.budget.available.Add(-int64(len(part))) < 0 {
				r.long = nil
				return "", ErrBufferBudget
			}
			part, err = r.b.ReadSlice('\n')
			r.long = append(r.long, part...)
		}
	}
	for errors.Is(err, bufio.ErrBufferFull) && len(r.long) <= MaxMessageBytes {
		part, err = r.b.ReadSlice('\n')
		r.long = append(r.long, part...)
	}
	if len(r.long) > MaxMessageBytes {
		r.long = nil
		return "", ErrMessageTooLong
	}
	line := r.long
	if cap(r.long) > 16<<10 {
		r.long = nil // a long one is rare: its room is not kept
	}
	if err != nil {
		return "", err
	}
	return clean(line)
}

func clean(line []byte) (string, error) {
	n := len(line)
	if n < 2 || line[n-2] != '\r' {
		return "", ErrMalformedLine
	}
	for _, b := range line[:n-2] {
		if b < ' ' && b != '\t' {
			return "", ErrMalformedLine
		}
	}
	return string(line[:n-2]), nil
}

// CutField takes the next field off: what is before the first blank, and the rest.
func CutField(s string) (field, rest string) {
	field, rest, _ = strings.Cut(s, " ")
	return field, rest
}

// Statement is a query's text, taken apart.
type Statement struct {
	Verb         string // BEGIN, COMMIT, ABORT, FETCH, STORE, SET, PREP, EXEC, UNPREP or none of them
	Name         string // of a value, a prepared statement, or the thing
	Args         string // what follows the name
	PreparedVerb string // PREP: FETCH or STORE
	ReadOnly     bool   // BEGIN FETCH
	Valid        bool
}

// ParseStatement takes a query's text apart. Texts that no client may send are not valid.
func ParseStatement(text string) Statement {
	verb, rest := CutField(text)
	t := Statement{Verb: verb}
	switch verb {
	case "BEGIN":
		t.ReadOnly = rest == "FETCH"
		t.Valid = rest == "" && !strings.HasSuffix(text, " ") || t.ReadOnly
	case "COMMIT", "ABORT":
		t.Valid = text == verb
	case "FETCH":
		t.Name, t.Args = CutField(rest)
		t.Valid = t.Name != "" && t.Args == ""
	case "STORE":
		t.Name, t.Args = CutField(rest)
		t.Valid = t.Name != ""
	case "SET":
		t.Name, t.Args = CutField(rest)
		t.Valid = t.Name != ""
	case "PREP":
		t.Name, rest = CutField(rest)
		t.PreparedVerb, t.Args = CutField(rest)
		t.Valid = t.Name != "" && (t.PreparedVerb == "FETCH" || t.PreparedVerb == "STORE") && t.Args != ""
	case "EXEC":
		t.Name, t.Args = CutField(rest)
		t.Valid = t.Name != "" && t.Args != ""
	case "UNPREP":
		t.Name = rest
		t.Valid = rest != "" && !strings.Contains(rest, " ")
	}
	return t
}

// Position is how far a log goes: TERM.NUMBER. Zero is none.
type Position struct {
	Term   uint64 `cbor:"1,keyasint"`
	Number uint64 `cbor:"2,keyasint"`
}

// ParsePosition reads one; "-" and what is none give false.
func ParsePosition(s string) (Position, bool) {
	term, number, ok := strings.Cut(s, ".")
	t, ok1 := digits(term)
	n, ok2 := digits(number)
	return Position{t, n}, ok && ok1 && ok2
}

func digits(s string) (uint64, bool) {
	n := uint64(0)
	for _, c := range s {
		if c < '0' || c > '9' || n > 1<<59 {
			return 0, false
		}
		n = n*10 + uint64(c-'0')
	}
	return n, s != ""
}

// Less orders positions by term, then by number.
func (p Position) Less(q Position) bool {
	return p.Term < q.Term || p.Term == q.Term && p.Number < q.Number
}

// IsZero says whether it is no position.
func (p Position) IsZero() bool { return p == Position{} }

func (p Position) String() string {
	if p.IsZero() {
		return "-"
	}
	return utoa(p.Term) + "." + utoa(p.Number)
}

func utoa(n uint64) string {
	var b [20]byte
	i := len(b)
	for {
		i--
		b[i] = byte('0' + n%10)
		if n /= 10; n == 0 {
			return string(b[i:])
		}
	}
}

// MemberStatus is a member's row for STAT, PAUSE, CONT and STEPDOWN.
type MemberStatus struct {
	Primary      bool
	Term         uint64 // newest that it knows
	Received     Position
	PromisedTerm uint64 // term that it was paused with; 0: it is not paused
	LagMillis    uint64
	Busy         uint64
	Conns        uint64
}

// ParseMemberStatus reads the row's fields.
func ParseMemberStatus(row string) (MemberStatus, bool) {
	f := strings.Fields(row)
	if len(f) < 7 || f[0] != "primary" && f[0] != "replica" {
		return MemberStatus{}, false
	}
	s := MemberStatus{Primary: f[0] == "primary"}
	var ok [6]bool
	s.Term, ok[0] = digits(f[1])
	s.Received, ok[1] = ParsePosition(f[2])
	s.PromisedTerm, ok[2] = digits(f[3])
	s.LagMillis, ok[3] = digits(f[4])
	s.Busy, ok[4] = digits(f[5])
	s.Conns, ok[5] = digits(f[6])
	if f[2] == "-" {
		ok[1] = true
	}
	return s, ok == [6]bool{true, true, true, true, true, true}
}
