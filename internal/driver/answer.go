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

// result is the result of an attempt or a health check.
type result struct {
	member                   string
	outcome                  logic.Outcome
	connOpenedAt             time.Time
	rows                     []byte // the messages of a successful answer, as received
	value                    []byte // the value in the row
	role, reportRole         logic.Role
	position, reportPosition float64 // Unix milliseconds; 0 if unknown
}

// noOutcome stands for an answer that has not arrived or is malformed.
const noOutcome = logic.Outcome(255)

// readAnswer reads one answer up to ReadyForQuery. clean reports whether the connection can be used again; if not, err
// is the reason, and the outcome is the one that was received before, or noOutcome. An answer that deviates from the
// expected sequence of messages is malformed: it has no outcome, whatever it contains, unless a complete successful
// answer came before the fault. onFirstByte is called when the answer begins.
func readAnswer(reader *bufio.Reader, onFirstByte func()) (r result, clean bool, err error) {
	a := memberAnswer{result: result{outcome: noOutcome}}
	if _, err := reader.Peek(1); err != nil {
		return a.result, false, err
	}
	onFirstByte()
	for {
		previousBytes := len(a.messages)
		kind, messages, err := pgwire.Read(reader, a.messages)
		if errors.Is(err, pgwire.ErrFraming) || len(messages) > 2*pgwire.MaxMessage { // longer than any valid answer
			return a.malformed(), false, pgwire.ErrFraming
		}
		if err != nil {
			return a.result, false, err
		}
		switch a.addMessage(kind, messages, pgwire.Body(messages[previousBytes:])) {
		case answerComplete:
			return a.result, true, nil
		case answerMalformed:
			return a.malformed(), false, pgwire.ErrFraming
		}
	}
}

// memberAnswer is the part of an answer that has been read.
type memberAnswer struct {
	result
	messages []byte // the messages of the answer
	lastKind byte   // kind of the last of them: T, D, then C or E; 0 if none
}

type answerProgress uint8

const (
	answerIncomplete answerProgress = iota
	answerComplete
	answerMalformed
)

// addMessage processes one message. messages ends with it, after the earlier ones; body is its body.
func (a *memberAnswer) addMessage(kind byte, messages, body []byte) answerProgress {
	switch {
	case kind == 'T' && a.lastKind == 0 && pgwire.IsBinaryColumn(body):
		a.messages, a.lastKind = messages, kind
	case kind == 'D' && a.lastKind == 'T':
		var ok bool
		if a.value, ok = pgwire.ParseDataRow(body); !ok {
			return answerMalformed
		}
		a.messages, a.lastKind = messages, kind
	case kind == 'C' && a.lastKind == 'D' && len(body) > 0 && body[len(body)-1] == 0:
		a.messages, a.lastKind = messages, kind
		a.outcome, a.rows = logic.OK, messages
	case kind == 'E' && (a.lastKind == 0 || a.lastKind == 'T' || a.lastKind == 'D'):
		a.outcome = errorOutcome(a.lastKind, body)
		a.lastKind = kind
	case kind == 'S':
		a.parseParameter(body)
	case kind == 'Z' && (a.lastKind == 'C' || a.lastKind == 'E') && len(body) == 1:
		return answerComplete
	case kind == 'N':
	default:
		return answerMalformed
	}
	return answerIncomplete
}

// errorOutcome returns the outcome of an error message; lastKind is the kind of the message of the answer before it.
// Only an error without one can mean that nothing was executed.
func errorOutcome(lastKind byte, body []byte) logic.Outcome {
	if lastKind != 0 {
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

// malformed returns the result of a malformed answer.
func (a *memberAnswer) malformed() result {
	if a.outcome == logic.OK {
		return a.result
	}
	return result{outcome: noOutcome}
}

// parseParameter reads a parameter that a member reports about itself. A parameter that can't be parsed is skipped.
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

// parseUsage reads a load report: x0 is a position in seconds, and x1 is 1 for a primary, 0 for a replica. A report
// that can't be parsed completely is ignored. Only a parameter or the row of a health check is a report: the value of
// an op belongs to its client, even if it looks like a report.
func (r *result) parseUsage(text []byte) {
	position, role := 0.0, logic.RoleUnknown
	for len(text) > 0 {
		var field []byte
		field, text, _ = bytes.Cut(text, []byte(","))
		name, value, _ := bytes.Cut(field, []byte("="))
		number, ok := parseFloat(value)
		if !ok {
			return
		}
		switch {
		case string(name) == "x0":
			position = number * 1000
		case string(name) == "x1" && number == 1:
			role = logic.Primary
		case string(name) == "x1" && number == 0:
			role = logic.Replica
		}
	}
	r.reportPosition, r.reportRole = position, role
}

// parseFloat parses a finite number sent by a member.
func parseFloat(text []byte) (value float64, ok bool) {
	value, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
		return 0, false
	}
	return value, true
}
