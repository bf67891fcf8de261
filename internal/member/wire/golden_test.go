package wire

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"weirwind/internal/standin/golden"
)

// renderCases returns one line for each case: the words of the protocol, the limits, the texts of errors, and what
// messages of each kind parse to.
func renderCases() string {
	var b strings.Builder
	line := func(kind string, input, output any) { fmt.Fprintf(&b, "%s\t%q\t%v\n", kind, input, output) }

	for _, word := range []string{MsgAttach, MsgReady, MsgFail, MsgQuery, MsgRow, MsgDone, MsgBye, NoStamp, StateIdle, StateInTransaction, StateFailedTransaction, CodeRetry, CodeAborted, CodeLagging,
		CodeReadOnly, CodeWrongHost, CodeFull, CodeNoStatement, CodeMalformed, CodeNoDatabase, CodeFailed, CodeTimeout, CodeOutcomeUnknown} {
		line("word", word, len(word))
	}
	line("limit", "message", MaxMessageBytes)
	for _, err := range []error{ErrMessageTooLong, ErrBufferBudget, ErrMalformedLine} {
		line("error", err.Error(), "")
	}

	for _, s := range []string{"", "ATTACH", "ATTACH a b c", " x", "x ", "a  b", "QUERY 1 FETCH k"} {
		field, rest := CutField(s)
		line("cut", s, fmt.Sprintf("%q %q", field, rest))
	}
	for _, s := range []string{"BEGIN", "BEGIN FETCH", "BEGIN STORE", "BEGIN ", "COMMIT", "COMMIT x", "ABORT", "ABORT ", "FETCH a", "FETCH", "FETCH a ",
		"FETCH a b", "STORE a", "STORE a b c", "STORE", "SET a", "SET a b c", "SET", "PREP p FETCH q", "PREP p STORE q r", "PREP p DROP q", "PREP p STORE", "PREP",
		"EXEC p a", "EXEC p a b", "EXEC p", "EXEC", "UNPREP p", "UNPREP p q", "UNPREP", "AFTER 1.2 FETCH a", "STAT", "PAUSE 3", "begin", ""} {
		statement := ParseStatement(s)
		line("text", s, fmt.Sprintf("verb %q name %q args %q prepared %q read-only %t valid %t", statement.Verb, statement.Name, statement.Args, statement.PreparedVerb, statement.ReadOnly, statement.Valid))
	}
	for _, s := range []string{"3.1207", "0.0", "0.1", "-", "", "3.", ".3", "a.1", "3", "1.2.3", "+1.2", "1.-2", "18446744073709551615.1",
		"576460752303423488.9", "5764607523034234880.1", "5764607523034234890.1", "99999999999999999999.1", "007.08"} {
		position, ok := ParsePosition(s)
		line("position", s, fmt.Sprintf("%v %d.%d zero %v ok %v", position, position.Term, position.Number, position.IsZero(), ok))
	}
	for _, s := range []string{"primary 3 3.1209 3 0 2 17", "replica 3 3.1209 0 12 2 17", "replica 3 - 4 12 2 17 more fields", "replica 0 - 0 0 0 0",
		"leader 3 3.1209 0 12 2 17", "replica 3 3.1209 0 12 2", "replica x 3.1209 0 12 2 17", "replica 3 3 0 12 2 17", "replica 3 3.1 x 12 2 17",
		"replica 3 3.1 0 x 2 17", "replica 3 3.1 0 12 x 17", "replica 3 3.1 0 12 2 x", ""} {
		status, ok := ParseMemberStatus(s)
		line("status", s, fmt.Sprintf("primary %t term %d received %v promised %d lag %d busy %d conns %d ok %v",
			status.Primary, status.Term, status.Received, status.PromisedTerm, status.LagMillis, status.Busy, status.Conns, ok))
	}
	positions := []Position{{}, {0, 1}, {1, 0}, {1, 7}, {2, 3}, {18446744073709551615, 18446744073709551615}}
	for _, p := range positions {
		less := ""
		for _, q := range positions {
			less += fmt.Sprintf("%t ", p.Less(q))
		}
		line("less", p.String(), less)
	}

	filler := strings.Repeat("x", MaxMessageBytes)
	for _, input := range []struct{ name, bytes string }{
		{"one", "READY I -\r\n"}, {"two", "BYE\r\nBYE\r\n"}, {"tab", "a\tb\r\n"}, {"not UTF-8", "a\xff\r\n"}, {"empty", "\r\n"}, {"no return", "BYE\n"}, {"one byte", "\n"},
		{"control", "a\x00b\r\n"}, {"return within", "a\rb\r\n"}, {"no end", "BYE"}, {"none", ""},
		{"just fits", filler[:MaxMessageBytes-2] + "\r\n"}, {"too long by one", filler[:MaxMessageBytes-1] + "\r\n"}, {"too long", filler + filler + "\r\nBYE\r\n"},
		{"long without return", filler[:5000] + "\n"}, {"long without end", filler[:5000]}, {"long with control", filler[:5000] + "\x01\r\n"},
	} {
		for _, budget := range []int64{-1, 4000, 1 << 22} {
			r := NewReader(strings.NewReader(input.bytes))
			if budget >= 0 {
				r.WithBudget(NewBufferBudget(budget))
			}
			var got []string
			for {
				message, err := r.ReadMessage()
				if err != nil {
					got = append(got, fmt.Sprintf("%v, %d buffered", err, r.Buffered()))
					if err == io.EOF || err == ErrBufferBudget || len(got) > 3 {
						break
					}
					continue
				}
				got = append(got, fmt.Sprintf("%d bytes %.12q, %d buffered", len(message), message, r.Buffered()))
			}
			line("line", input.name, fmt.Sprintf("of %d: %s", budget, strings.Join(got, "; ")))
		}
	}
	r := NewReader(strings.NewReader("BYE\r\n"))
	line("wait", "BYE", fmt.Sprint(r.Buffered(), r.Wait(), r.Buffered()))
	line("wait", "", NewReader(strings.NewReader("")).Wait())
	return b.String()
}

// Words, limits, errors and the parsing of each kind of message must not change.
func TestMessagesMatchTheGoldenFile(t *testing.T) {
	golden.Lines(t, "testdata/messages.golden", renderCases())
}

// A position that is formatted and parsed again must be unchanged.
func TestPositionsRoundTrip(t *testing.T) {
	for _, p := range []Position{{1, 0}, {0, 1}, {3, 1207}, {1 << 59, 1 << 59}} {
		if q, ok := ParsePosition(p.String()); !ok || p != q {
			t.Errorf("%v was parsed as %v, %v", p, q, ok)
		}
	}
}
