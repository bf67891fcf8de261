package pgwire

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"

	"weirwind/internal/standin/golden"
)

// Compares encoded messages and parsed statements with those recorded from the build before a refactoring.
func TestRecordedMessages(t *testing.T) {
	var cases []golden.Case[string]
	for _, c := range []struct {
		name    string
		message []byte
	}{
		{"ready", AppendReadyForQuery(nil)}, {"empty query", AppendEmptyQuery(nil)}, {"welcome 3.0", AppendStartupResponse(nil, 0)},
		{"welcome 3.2", AppendStartupResponse([]byte("x"), 2)}, {"error", AppendErrorResponse(nil, "ERROR", CodeTooManyConnections, "busy", "40")},
		{"error without detail", AppendErrorResponse([]byte("x"), "FATAL", CodeProtocolViolation, "m", "")},
		{"row", AppendSingleRow([]byte("x"), "value")}, {"parameter", AppendParameterStatus(nil, "server_role", "writer")},
		{"startup", AppendStartupMessage([]byte("x"), "svc", "main")}, {"query", AppendQuery([]byte("x"), "SELECT 1")},
	} {
		cases = append(cases, golden.Of(c.name, fmt.Sprintf("%x", c.message)))
		if kind, m, err := Read(bufio.NewReader(bytes.NewReader(c.message)), nil); err == nil && c.message[0] != 'x' &&
			(kind != c.message[0] || !bytes.HasPrefix(c.message, m)) {
			t.Errorf("%s: read back as %x", c.name, m)
		}
	}
	for i, in := range []string{"Q\x00\x00\x00\x03", "Q\xff\xff\xff\xff", "\x00\x00\x00\x00\x08\x00", "Q\x00", "",
		"Q\x00\x00\x00\x09ab"} {
		kind, m, err := Read(bufio.NewReader(strings.NewReader(in)), []byte("b"))
		cases = append(cases, golden.Of(fmt.Sprintf("read %d", i), fmt.Sprintf("%d %x %v", kind, m, err)))
	}
	for i, in := range []string{"\x00\x00\x00\x07\x00\x03\x00\x00", "\x00\x00\x00\x08\x00\x02\x00\x00",
		"\x00\x00\x00\x08\x04\xd2\x16\x2f", "\x00\x00\x00\x10\x04\xd2\x16\x2e12345678", "\x00\x00\x00\x09\x00\x03\x00\x02\x00",
		"\x00\x00\x00\x09\x00\x03\x00\x02", "\x00"} {
		kind, minor, err := ReadStartup(bufio.NewReader(strings.NewReader(in)))
		cases = append(cases, golden.Of(fmt.Sprintf("startup %d", i), fmt.Sprintf("%d %d %v", kind, minor, err)))
	}
	replacer := strings.NewReplacer
	for i, text := range []string{sampleRead, sampleWrite, "", "SELECT 1", sampleRead + ";", replacer("d=480", "d=NaN").Replace(sampleRead),
		replacer("d=480", "d=1e300").Replace(sampleRead), replacer("d=480", "d=86400001").Replace(sampleRead), replacer("d=480,", "").Replace(sampleRead),
		replacer("d=480", "d=480,d=1").Replace(sampleRead), replacer("cluster=2", "cluster=2.5").Replace(sampleRead),
		replacer("after=1", "after=9999999").Replace(sampleRead), replacer("basket", "bas*/ket").Replace(sampleRead),
		replacer("'7f", "''7f").Replace(sampleRead), replacer("'7f", "'7f'").Replace(sampleRead), replacer(`\x9`, `\x`).Replace(sampleWrite),
		replacer(" RETURNING v", "").Replace(sampleWrite), replacer("id=9b", "key=k1,key=k2,id=9b").Replace(sampleRead),
		replacer("id=9b", "id="+strings.Repeat("9", 70)).Replace(sampleRead), replacer("id=9b", `id="`).Replace(sampleRead)} {
		statement, err := ParseStatement([]byte(text))
		text := fmt.Sprintf("%q %q %q %q %g %d %g %v %v", statement.Key, statement.ID, statement.OpType, statement.IdempotencyKey, statement.Timeout, statement.Group, statement.MinPosition, statement.Write, err)
		if err == nil {
			text += fmt.Sprintf(" %q", statement.Query(73))
		}
		cases = append(cases, golden.Of(fmt.Sprintf("statement %02d", i), text))
	}
	for i, body := range []string{"C53300\x00\x00", "SERROR\x00C25006\x00\x00", "", "C", "Mx\x00\x00"} {
		cases = append(cases, golden.Of(fmt.Sprintf("code %d", i), ErrorCode([]byte(body))))
	}
	row := Body(AppendSingleRow(nil, "v"))[:27]
	cases = append(cases, golden.Of("row description", fmt.Sprint(IsBinaryColumn(row[:len(row)-3]), IsBinaryColumn(row),
		IsBinaryColumn(nil))))
	golden.Text(t, "testdata/messages.txt", cases)
}
