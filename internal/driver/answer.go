package driver

// This file owns the reading of a member's answer, and of what the member tells of itself beside it. What is not
// exactly of the form is no answer.

import (
	"bufio"
	"bytes"
	"errors"
	"math"
	"strconv"
	"time"

	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// result is how a send or a probe ended.
type result struct {
	member                   string
	outcome                  logic.Outcome
	connOpenedAt             time.Time // when the connection was
	rows                     []byte    // a good answer's messages, as they came
	value                    []byte    // the value in it
	role, reportRole         logic.Role
	position, reportPosition float64 // Unix ms; 0 for unknown
}

const noOutcome = logic.Outcome(255)

// readAnswer takes one answer up to ReadyForQuery. clean says that the connection can serve again; where it is not,
// err tells what ended it, and the outcome is the one that had come by then, or noOutcome. What is not exactly
// of the form is spoilt: it has no outcome, whatever it says, but for a good answer that was whole before.
// begins is called when the first byte has come.
func readAnswer(from *bufio.Reader, onFirstByte func()) (r result, clean bool, err error) {
	r.outcome = noOutcome
	if _, err := from.Peek(1); err != nil {
		return r, false, err
	}
	onFirstByte()
	malformed := func() (result, bool, error) {
		if r.outcome != logic.OK {
			r = result{outcome: noOutcome}
		}
		return r, false, pgwire.ErrFraming
	}
	var rows []byte
	var last byte // of the messages that make an answer: T, D, then C or E
	for {
		before := len(rows)
		kind, message, err := pgwire.Read(from, rows)
		if errors.Is(err, pgwire.ErrFraming) || len(message) > 2*pgwire.MaxMessage { // no answer is so long
			return malformed()
		}
		if err != nil {
			return r, false, err
		}
		body := pgwire.Body(message[before:])
		switch {
		case kind == 'T' && last == 0 && pgwire.IsBinaryColumn(body):
			rows, last = message, kind
		case kind == 'D' && last == 'T':
			var ok bool
			if r.value, ok = pgwire.ParseDataRow(body); !ok {
				return malformed()
			}
			rows, last = message, kind
		case kind == 'C' && last == 'D' && len(body) > 0 && body[len(body)-1] == 0:
			rows, last = message, kind
			r.outcome, r.rows = logic.OK, rows
		case kind == 'E' && (last == 0 || last == 'T' || last == 'D'):
			r.outcome = logic.Fault
			switch code := pgwire.ErrorCode(body); {
			case last != 0:
			case code == pgwire.CodeReadOnlyTransaction || code == pgwire.CodeSnapshotTooOld:
				r.outcome = logic.Miss
			case code == pgwire.CodeTooManyConnections:
				r.outcome = logic.Full
			}
			last = kind
		case kind == 'S':
			r.parseParameter(body)
		case kind == 'Z' && (last == 'C' || last == 'E') && len(body) == 1:
			return r, true, nil
		case kind == 'N':
		default:
			return malformed()
		}
	}
}

// note reads what a member tells of itself beside an answer. What does not parse is skipped.
func (r *result) parseParameter(body []byte) {
	name, value, ok := pgwire.ParseParameterStatus(body)
	if !ok {
		return
	}
	switch string(name) {
	case "server_role":
		switch string(value) {
		case "writer":
			r.role = logic.Primary
		case "reader":
			r.role = logic.Replica
		}
	case "commit_clock":
		r.position, _ = parseFloat(value)
	case "usage":
		r.parseUsage(value)
	}
}

// usage reads a load report: x0 is a position, in seconds, and x1 is 1 from a primary, 0 from a replica. One that
// can't be read in full tells nothing. Only a note or a probe's row is one: an op's value is its client's,
// whatever it looks like.
func (r *result) parseUsage(text []byte) {
	position, role := 0.0, logic.RoleUnknown
	for len(text) > 0 {
		var item []byte
		item, text, _ = bytes.Cut(text, []byte(","))
		name, value, _ := bytes.Cut(item, []byte("="))
		f, ok := parseFloat(value)
		if !ok {
			return
		}
		switch {
		case string(name) == "x0":
			position = f * 1000
		case string(name) == "x1" && f == 1:
			role = logic.Primary
		case string(name) == "x1" && f == 0:
			role = logic.Replica
		}
	}
	r.reportPosition, r.reportRole = position, role
}

// parseFigure reads a figure that a member wrote; 0 where it is none.
func parseFloat(text []byte) (f float64, ok bool) {
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, false
	}
	return f, true
}
