package driver

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

// result is how an attempt or a health check ended.
type result struct {
	member                   string
	outcome                  logic.Outcome
	connOpenedAt             time.Time
	rows                     []byte // a good answer's messages, as they came
	value                    []byte // the value in it
	role, reportRole         logic.Role
	position, reportPosition float64 // Unix milliseconds; 0 for unknown
}

// noOutcome is that of an answer that has not come, or is malformed.
const noOutcome = logic.Outcome(255)

// readAnswer reads one answer up to ReadyForQuery. clean says that the connection can be used again; where it can't,
// err is why, and the outcome is the one that had come by then, or noOutcome. An answer that is not exactly of the form
// is malformed: it has no outcome, whatever it says, unless a complete good answer came before the fault. onFirstByte
// is called when the answer begins.
func readAnswer(from *bufio.Reader, onFirstByte func()) (r result, clean bool, err error) {
	a := memberAnswer{result: result{outcome: noOutcome}}
	if _, err := from.Peek(1); err != nil {
		return a.result, false, err
	}
	onFirstByte()
	for {
		before := len(a.messages)
		kind, messages, err := pgwire.Read(from, a.messages)
		if errors.Is(err, pgwire.ErrFraming) || len(messages) > 2*pgwire.MaxMessage { // no answer is so long
			return a.malformed(), false, pgwire.ErrFraming
		}
		if err != nil {
			return a.result, false, err
		}
		switch a.take(kind, messages, pgwire.Body(messages[before:])) {
		case answerComplete:
			return a.result, true, nil
		case answerMalformed:
			return a.malformed(), false, pgwire.ErrFraming
		}
	}
}

// memberAnswer is an answer as far as it has been read.
type memberAnswer struct {
	result
	messages []byte // those that make the answer
	last     byte   // kind of the last of them: T, D, then C or E; 0 for none
}

type answerPhase uint8

const (
	answerGoesOn answerPhase = iota
	answerComplete
	answerMalformed
)

// take takes one message. messages has it behind those before, and body is its body.
func (a *memberAnswer) take(kind byte, messages, body []byte) answerPhase {
	switch {
	case kind == 'T' && a.last == 0 && pgwire.IsBinaryColumn(body):
		a.messages, a.last = messages, kind
	case kind == 'D' && a.last == 'T':
		var ok bool
		if a.value, ok = pgwire.ParseDataRow(body); !ok {
			return answerMalformed
		}
		a.messages, a.last = messages, kind
	case kind == 'C' && a.last == 'D' && len(body) > 0 && body[len(body)-1] == 0:
		a.messages, a.last = messages, kind
		a.outcome, a.rows = logic.OK, messages
	case kind == 'E' && (a.last == 0 || a.last == 'T' || a.last == 'D'):
		a.outcome = errorOutcome(a.last, body)
		a.last = kind
	case kind == 'S':
		a.parseParameter(body)
	case kind == 'Z' && (a.last == 'C' || a.last == 'E') && len(body) == 1:
		return answerComplete
	case kind == 'N':
	default:
		return answerMalformed
	}
	return answerGoesOn
}

// errorOutcome is what an error means. Only one in place of an answer can say that nothing was executed.
func errorOutcome(last byte, body []byte) logic.Outcome {
	if last != 0 {
		return logic.Fault
	}
	switch pgwire.ErrorCode(body) {
	case pgwire.CodeReadOnlyTransaction, pgwire.CodeSnapshotTooOld:
		return logic.Miss
	case pgwire.CodeTooManyConnections:
		return logic.Full
	}
	return logic.Fault
}

// malformed is the result of an answer that breaks the form.
func (a *memberAnswer) malformed() result {
	if a.outcome == logic.OK {
		return a.result
	}
	return result{outcome: noOutcome}
}

// parseParameter reads what a member reports of itself beside an answer. What can't be parsed is skipped.
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

// parseUsage reads a load report: x0 is a position, in seconds, and x1 is 1 from a primary, 0 from a replica. One that
// can't be parsed completely reports nothing. Only a parameter or a health check's row is a report: an op's value is
// its client's, whatever it looks like.
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

// parseFloat parses a finite number that a member wrote.
func parseFloat(text []byte) (value float64, ok bool) {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return 0, false
	}
	return value, true
}
