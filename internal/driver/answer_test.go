package driver

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// What a member writes becomes an outcome, with what it reports of itself; what is malformed is discarded.
func TestAnswersOfMembers(t *testing.T) {
	status := func(name, value string) []byte {
		b := append(append([]byte(name), 0), append([]byte(value), 0)...)
		return frame('S', b)
	}
	rowOf := func(v string) []byte {
		b := append(bytes.Clone(described), frame('D', append([]byte{0, 1, 0, 0, 0, byte(len(v))}, v...))...)
		return append(b, frame('C', []byte("SELECT 1\x00"))...)
	}
	fail := func(code string) []byte { return pgwire.AppendErrorResponse(nil, "ERROR", code, "x", "") }
	ready := pgwire.AppendReadyForQuery(nil)
	for name, x := range map[string]struct {
		in    [][]byte
		want  result
		clean bool
	}{
		"ok": {[][]byte{rowOf("v"), status("server_role", "writer"), status("commit_clock", "123"), ready},
			result{outcome: logic.OK, role: logic.Primary, position: 123}, true},
		"report": {[][]byte{status("usage", "x0=1.5,inflight=7,x1=0"), rowOf("v"), ready},
			result{outcome: logic.OK, reportRole: logic.Replica, reportPosition: 1500}, true},
		"probe": {[][]byte{rowOf("x0=2,x1=1"), ready},
			result{outcome: logic.OK, reportRole: logic.Primary, reportPosition: 2000}, true},
		"value alike": {[][]byte{rowOf("x0=2,x1=1"), ready}, result{outcome: logic.OK}, true},
		"spoilt": {[][]byte{rowOf("v"), status("server_role", "wr"), status("commit_clock", "12x"),
			status("usage", "x0=9,x1=x"), ready}, result{outcome: logic.OK}, true},
		"spoilt report": {[][]byte{rowOf("v"), status("usage", "x0=9,x1=1,x2"), ready}, result{outcome: logic.OK}, true},
		"cut note":      {[][]byte{rowOf("v"), frame('S', []byte("server_role")), ready}, result{outcome: logic.OK}, true},
		"miss": {[][]byte{fail("25006"), status("server_role", "reader"), ready},
			result{outcome: logic.Miss, role: logic.Replica}, true},
		"behind":        {[][]byte{fail("72000"), ready}, result{outcome: logic.Miss}, true},
		"error":         {[][]byte{fail("XX000"), ready}, result{outcome: logic.Fault}, true},
		"turned away":   {[][]byte{fail("53300"), ready}, result{outcome: logic.Full}, true},
		"and closed":    {[][]byte{fail("53300")}, result{outcome: logic.Full}, false},
		"error in row":  {[][]byte{described, fail("53300"), ready}, result{outcome: logic.Fault}, true},
		"nothing":       {[][]byte{ready}, result{outcome: noOutcome}, false},
		"notices":       {[][]byte{frame('N', nil), rowOf("v"), frame('N', nil), ready}, result{outcome: logic.OK}, true},
		"a second copy": {[][]byte{rowOf("v"), rowOf("w"), ready}, result{outcome: logic.OK}, false},
		"noise behind":  {[][]byte{rowOf("v"), []byte("D\xff\xff\xff\xff")}, result{outcome: logic.OK}, false},
		"then an error": {[][]byte{rowOf("v"), fail("53300"), ready}, result{outcome: logic.OK}, false},
		"wrong order":   {[][]byte{rowOf("v")[len(described):], described, ready}, result{outcome: noOutcome}, false},
		"no row end":    {[][]byte{rowOf("v")[:len(rowOf("v"))-14], ready}, result{outcome: noOutcome}, false},
		"in text": {[][]byte{bytes.Replace(rowOf("v"), []byte{0, 1, 'D'}, []byte{0, 0, 'D'}, 1), ready},
			result{outcome: noOutcome}, false},
		"lying length": {[][]byte{bytes.Replace(rowOf("v"), []byte{0, 1, 0, 0, 0, 1}, []byte{0, 1, 0, 0, 0, 9}, 1), ready},
			result{outcome: noOutcome}, false},
		"3 GB": {[][]byte{described, []byte("D\xb2\xd0\x5e\x0a\x00\x01")}, result{outcome: noOutcome}, false},
		"spoilt miss": {[][]byte{fail("25006"), status("server_role", "reader"), frame('K', nil)},
			result{outcome: noOutcome}, false},
		"spoilt full":   {[][]byte{fail("53300"), []byte("x\xff\xff\xff\xff")}, result{outcome: noOutcome}, false},
		"no end":        {[][]byte{rowOf("v")}, result{outcome: logic.OK}, false},
		"begun":         {[][]byte{rowOf("v")[:12]}, result{outcome: noOutcome}, false},
		"of no use":     {[][]byte{frame('W', nil)}, result{outcome: noOutcome}, false},
		"without a row": {[][]byte{frame('C', []byte("INSERT 0 0\x00")), ready}, result{outcome: noOutcome}, false},
	} {
		t.Run(name, func(t *testing.T) {
			all := bytes.Join(x.in, nil)
			got, clean, err := readAnswer(bufio.NewReader(bytes.NewReader(all)), func() {})
			if clean != x.clean || clean == (err != nil) {
				t.Errorf("clean %v, %v", clean, err)
			}
			if ok := got.outcome == logic.OK; ok != (got.rows != nil) {
				t.Errorf("rows %q with outcome %d", got.rows, got.outcome)
			} else if ok && !bytes.Contains(all, got.rows) && name != "report" {
				t.Errorf("%q is not what the member gave", got.rows)
			}
			if got.rows = nil; name == "probe" {
				got.parseUsage(got.value)
			}
			if got.outcome != x.want.outcome || got.role != x.want.role || got.position != x.want.position ||
				got.reportRole != x.want.reportRole || got.reportPosition != x.want.reportPosition {
				t.Errorf("%+v, want %+v", got, x.want)
			}
		})
	}
}

var described = frame('T',
	[]byte("\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"))

func frame(kind byte, body []byte) []byte {
	n := len(body) + 4
	return append([]byte{kind, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, body...)
}

// An answer that never ends is cut off.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	row := string(frame('N', make([]byte, pgwire.MaxMessage-8)))
	if r, clean, err := readAnswer(bufio.NewReader(strings.NewReader(string(described)+strings.Repeat(row, 9)+"x")),
		func() {}); clean || err == nil ||
		r.outcome != noOutcome {
		t.Errorf("outcome %d, clean %v, %v", r.outcome, clean, err)
	}
}
