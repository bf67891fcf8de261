package wire

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"weirwind/internal/standin/golden"
)

// render writes what each kind of message parses to, the limits, the errors' texts and the words on the wire, one a
// line.
func render() string {
	var b strings.Builder
	line := func(kind string, in, out any) { fmt.Fprintf(&b, "%s\t%q\t%v\n", kind, in, out) }

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
		t := ParseStatement(s)
		line("text", s, fmt.Sprintf("verb %q name %q rest %q kind %q fetch %t valid %t", t.Verb, t.Name, t.Args, t.PreparedVerb, t.ReadOnly, t.Valid))
	}
	for _, s := range []string{"3.1207", "0.0", "0.1", "-", "", "3.", ".3", "a.1", "3", "1.2.3", "+1.2", "1.-2", "18446744073709551615.1",
		"576460752303423488.9", "5764607523034234880.1", "5764607523034234890.1", "99999999999999999999.1", "007.08"} {
		p, ok := ParsePosition(s)
		line("position", s, fmt.Sprintf("%v %d.%d none %v ok %v", p, p.Term, p.Number, p.IsZero(), ok))
	}
	for _, s := range []string{"primary 3 3.1209 3 0 2 17", "replica 3 3.1209 0 12 2 17", "replica 3 - 4 12 2 17 more fields", "replica 0 - 0 0 0 0",
		"leader 3 3.1209 0 12 2 17", "replica 3 3.1209 0 12 2", "replica x 3.1209 0 12 2 17", "replica 3 3 0 12 2 17", "replica 3 3.1 x 12 2 17",
		"replica 3 3.1 0 x 2 17", "replica 3 3.1 0 12 x 17", "replica 3 3.1 0 12 2 x", ""} {
		st, ok := ParseMemberStatus(s)
		line("status", s, fmt.Sprintf("primary %t term %d received %v held %d lag %d busy %d conns %d ok %v",
			st.Primary, st.Term, st.Received, st.PromisedTerm, st.LagMillis, st.Busy, st.Conns, ok))
	}
	ps := []Position{{}, {0, 1}, {1, 0}, {1, 7}, {2, 3}, {18446744073709551615, 18446744073709551615}}
	for _, p := range ps {
		less := ""
		for _, q := range ps {
			less += fmt.Sprintf("%t ", p.Less(q))
		}
		line("less", p.String(), less)
	}

	x := strings.Repeat("x", MaxMessageBytes)
	for _, in := range []struct{ name, bytes string }{
		{"one", "READY I -\r\n"}, {"two", "BYE\r\nBYE\r\n"}, {"tab", "a\tb\r\n"}, {"not UTF-8", "a\xff\r\n"}, {"empty", "\r\n"}, {"no return", "BYE\n"}, {"one byte", "\n"},
		{"control", "a\x00b\r\n"}, {"return within", "a\rb\r\n"}, {"no end", "BYE"}, {"none", ""},
		{"just fits", x[:MaxMessageBytes-2] + "\r\n"}, {"too long by one", x[:MaxMessageBytes-1] + "\r\n"}, {"too long", x + x + "\r\nBYE\r\n"},
		{"long without return", x[:5000] + "\n"}, {"long without end", x[:5000]}, {"long with control", x[:5000] + "\x01\r\n"},
	} {
		for _, shared := range []int64{-1, 4000, 1 << 22} {
			r := NewReader(strings.NewReader(in.bytes))
			if shared >= 0 {
				r.WithBudget(NewBufferBudget(shared))
			}
			var got []string
			for {
				l, err := r.ReadMessage()
				if err != nil {
					got = append(got, fmt.Sprintf("%v, %d buffered", err, r.Buffered()))
					if err == io.EOF || err == ErrBufferBudget || len(got) > 3 {
						break
					}
					continue
				}
				got = append(got, fmt.Sprintf("%d bytes %.12q, %d buffered", len(l), l, r.Buffered()))
			}
			line("line", in.name, fmt.Sprintf("of %d: %s", shared, strings.Join(got, "; ")))
		}
	}
	r := NewReader(strings.NewReader("BYE\r\n"))
	line("wait", "BYE", fmt.Sprint(r.Buffered(), r.Wait(), r.Buffered()))
	line("wait", "", NewReader(strings.NewReader("")).Wait())
	return b.String()
}

// What is read of each kind of message, and the limits and errors, stay as they were when the golden file was written.
func TestMessagesMatchTheGoldenFile(t *testing.T) {
	golden.Lines(t, "testdata/messages.golden", render())
}

// A position and a message's text come out of the bytes that they were written to.
func TestPositionsAreReadBackAsWritten(t *testing.T) {
	for _, p := range []Position{{1, 0}, {0, 1}, {3, 1207}, {1 << 59, 1 << 59}} {
		if q, ok := ParsePosition(p.String()); !ok || p != q {
			t.Errorf("%v was read back as %v, %v", p, q, ok)
		}
	}
}
