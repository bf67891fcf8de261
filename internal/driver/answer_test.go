package driver

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// An answer is read into an outcome and the member's reports about itself; malformed reports are discarded.
func TestReadAnswer(t *testing.T) {
	status := func(name, value string) []byte {
		body := append(append([]byte(name), 0), append([]byte(value), 0)...)
		return frame('S', body)
	}
	rowAnswer := func(v string) []byte {
		answer := append(bytes.Clone(rowDescription), frame('D', append([]byte{0, 1, 0, 0, 0, byte(len(v))}, v...))...)
		return append(answer, frame('C', []byte("SELECT 1\x00"))...)
	}
	errorMessage := func(code string) []byte { return pgwire.AppendErrorResponse(nil, "ERROR", code, "x", "") }
	ready := pgwire.AppendReadyForQuery(nil)
	for name, test := range map[string]struct {
		in    [][]byte
		want  result
		clean bool
	}{
		"ok": {[][]byte{rowAnswer("v"), status("server_role", "writer"), status("commit_clock", "123"), ready},
			result{outcome: logic.OK, role: logic.Primary, position: 123}, true},
		"report": {[][]byte{status("usage", "x0=1.5,inflight=7,x1=0"), rowAnswer("v"), ready},
			result{outcome: logic.OK, reportRole: logic.Replica, reportPosition: 1500}, true},
		"health check": {[][]byte{rowAnswer("x0=2,x1=1"), ready},
			result{outcome: logic.OK, reportRole: logic.Primary, reportPosition: 2000}, true},
		"value like a report": {[][]byte{rowAnswer("x0=2,x1=1"), ready}, result{outcome: logic.OK}, true},
		"malformed parameters": {[][]byte{rowAnswer("v"), status("server_role", "wr"), status("commit_clock", "12x"),
			status("usage", "x0=9,x1=x"), ready}, result{outcome: logic.OK}, true},
		"malformed report": {[][]byte{rowAnswer("v"), status("usage", "x0=9,x1=1,x2"), ready},
			result{outcome: logic.OK}, true},
		"truncated parameter": {[][]byte{rowAnswer("v"), frame('S', []byte("server_role")), ready},
			result{outcome: logic.OK}, true},
		"read-only": {[][]byte{errorMessage("25006"), status("server_role", "reader"), ready},
			result{outcome: logic.Miss, role: logic.Replica}, true},
		"snapshot too old":                  {[][]byte{errorMessage("72000"), ready}, result{outcome: logic.Miss}, true},
		"error":                             {[][]byte{errorMessage("XX000"), ready}, result{outcome: logic.Fault}, true},
		"too many connections":              {[][]byte{errorMessage("53300"), ready}, result{outcome: logic.Full}, true},
		"too many connections, then closed": {[][]byte{errorMessage("53300")}, result{outcome: logic.Full}, false},
		"error in place of a row": {[][]byte{rowDescription, errorMessage("53300"), ready},
			result{outcome: logic.Fault}, true},
		"no answer": {[][]byte{ready}, result{outcome: noOutcome}, false},
		"notices": {[][]byte{frame('N', nil), rowAnswer("v"), frame('N', nil), ready},
			result{outcome: logic.OK}, true},
		"second answer": {[][]byte{rowAnswer("v"), rowAnswer("w"), ready},
			result{outcome: logic.OK}, false},
		"garbage after the answer": {[][]byte{rowAnswer("v"), []byte("D\xff\xff\xff\xff")},
			result{outcome: logic.OK}, false},
		"error after the answer": {[][]byte{rowAnswer("v"), errorMessage("53300"), ready},
			result{outcome: logic.OK}, false},
		"wrong order": {[][]byte{rowAnswer("v")[len(rowDescription):], rowDescription, ready},
			result{outcome: noOutcome}, false},
		"no command completion": {[][]byte{rowAnswer("v")[:len(rowAnswer("v"))-14], ready},
			result{outcome: noOutcome}, false},
		"text column": {[][]byte{bytes.Replace(rowAnswer("v"), []byte{0, 1, 'D'}, []byte{0, 0, 'D'}, 1), ready},
			result{outcome: noOutcome}, false},
		"wrong value length": {[][]byte{
			bytes.Replace(rowAnswer("v"), []byte{0, 1, 0, 0, 0, 1}, []byte{0, 1, 0, 0, 0, 9}, 1), ready},
			result{outcome: noOutcome}, false},
		"length of 3 GB": {[][]byte{rowDescription, []byte("D\xb2\xd0\x5e\x0a\x00\x01")}, result{outcome: noOutcome}, false},
		"malformed after an error": {[][]byte{errorMessage("25006"), status("server_role", "reader"), frame('K', nil)},
			result{outcome: noOutcome}, false},
		"garbage after an error": {[][]byte{errorMessage("53300"), []byte("x\xff\xff\xff\xff")},
			result{outcome: noOutcome}, false},
		"no ReadyForQuery":   {[][]byte{rowAnswer("v")}, result{outcome: logic.OK}, false},
		"truncated":          {[][]byte{rowAnswer("v")[:12]}, result{outcome: noOutcome}, false},
		"unexpected message": {[][]byte{frame('W', nil)}, result{outcome: noOutcome}, false},
		"without a row":      {[][]byte{frame('C', []byte("INSERT 0 0\x00")), ready}, result{outcome: noOutcome}, false},
	} {
		t.Run(name, func(t *testing.T) {
			all := bytes.Join(test.in, nil)
			got, clean, err := readAnswer(bufio.NewReader(bytes.NewReader(all)), func() {})
			if clean != test.clean || clean == (err != nil) {
				t.Errorf("clean %v, %v", clean, err)
			}
			if ok := got.outcome == logic.OK; ok != (got.rows != nil) {
				t.Errorf("rows %q with outcome %d", got.rows, got.outcome)
			} else if ok && !bytes.Contains(all, got.rows) && name != "report" {
				t.Errorf("%q is not what the member sent", got.rows)
			}
			if got.rows = nil; name == "health check" {
				got.parseUsage(got.value)
			}
			if got.outcome != test.want.outcome || got.role != test.want.role || got.position != test.want.position ||
				got.reportRole != test.want.reportRole || got.reportPosition != test.want.reportPosition {
				t.Errorf("%+v, want %+v", got, test.want)
			}
		})
	}
}

var rowDescription = frame('T',
	[]byte("\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"))

func frame(kind byte, body []byte) []byte {
	n := len(body) + 4
	return append([]byte{kind, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, body...)
}

// Reading stops when an answer exceeds the size limit.
func TestReadAnswerBoundsAnswerSize(t *testing.T) {
	notice := string(frame('N', make([]byte, pgwire.MaxMessage-8)))
	if r, clean, err := readAnswer(
		bufio.NewReader(strings.NewReader(string(rowDescription)+strings.Repeat(notice, 9)+"x")),
		func() {}); clean || err == nil ||
		r.outcome != noOutcome {
		t.Errorf("outcome %d, clean %v, %v", r.outcome, clean, err)
	}
}
