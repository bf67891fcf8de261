package wire

import (
	"io"
	"strings"
	"testing"
)

func TestReadMessage(t *testing.T) {
	long := strings.Repeat("x", 100_000)
	r := NewReader(strings.NewReader("ATTACH a b\r\n" + long + "\r\nno return\nBYE\r\n"))
	for _, want := range []string{"ATTACH a b", long} {
		if line, err := r.ReadMessage(); line != want || err != nil {
			t.Fatalf("read %.20q, %v, want %.20q", line, err, want)
		}
	}
	if _, err := r.ReadMessage(); err != ErrMalformedLine {
		t.Errorf("line without a return: %v", err)
	}
	if line, err := r.ReadMessage(); line != "BYE" || err != nil {
		t.Errorf("after a malformed line: read %q, %v, want BYE", line, err)
	}
	if _, err := r.ReadMessage(); err != io.EOF {
		t.Errorf("at the end: %v, want EOF", err)
	}
	if _, err := NewReader(strings.NewReader(strings.Repeat("x", MaxMessageBytes+9) + "\r\n")).ReadMessage(); err != ErrMessageTooLong {
		t.Errorf("message above the maximum length: %v", err)
	}
	budget := NewBufferBudget(150_000)
	endless := NewReader(io.LimitReader(endlessZeros{}, 140_000)).WithBudget(budget)
	if _, err := endless.ReadMessage(); err != io.EOF {
		t.Errorf("message without an end: %v, want EOF", err)
	}
	if line, err := NewReader(strings.NewReader(long + "\r\n")).WithBudget(budget).ReadMessage(); len(line) != len(long) || err != nil {
		t.Error("the bytes reserved for an earlier message were not released", err)
	}
	if _, err := NewReader(strings.NewReader(long + long + "\r\n")).WithBudget(budget).ReadMessage(); err != ErrBufferBudget {
		t.Errorf("message above the budget: %v", err)
	}
	if left := budget.available.Load(); left != 150_000 {
		t.Errorf("%d bytes available in the budget, want 150000", left)
	}
}

// endlessZeros is a reader of an endless line of zeros.
type endlessZeros struct{}

func (endlessZeros) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = '0'
	}
	return len(b), nil
}

func TestParse(t *testing.T) {
	for text, want := range map[string]bool{"BEGIN": true, "BEGIN FETCH": true, "BEGIN STORE": false, "BEGIN ": false, "COMMIT": true, "COMMIT x": false,
		"FETCH a": true, "FETCH": false, "FETCH a b": false, "STORE a": true, "STORE a b c": true, "STORE": false, "SET a": true, "SET a b c": true, "SET": false,
		"PREP p FETCH q": true, "PREP p DROP q": false, "PREP p STORE": false, "EXEC p a": true, "EXEC p": false, "UNPREP p": true, "UNPREP p q": false,
		"AFTER 1.2 FETCH a": false, "STAT": false, "PAUSE 3": false, "RESET": false, "": false} {
		if got := ParseStatement(text).Valid; got != want {
			t.Errorf("%q: valid %v, want %v", text, got, want)
		}
	}
	for s, want := range map[string]bool{"3.1207": true, "-": false, "3.": false, ".3": false, "a.1": false, "3": false, "99999999999999999999.1": false} {
		if p, ok := ParsePosition(s); ok != want || ok && p.String() != s {
			t.Errorf("position %q: parsed as %v, %v, want %v", s, p, ok, want)
		}
	}
	if s, ok := ParseMemberStatus("replica 3 3.1209 0 12 2 17"); !ok || s.Primary || s.Term != 3 || s.Received != (Position{3, 1209}) || s.LagMillis != 12 || s.Conns != 17 {
		t.Errorf("status parsed as %+v, %v", s, ok)
	}
	if _, ok := ParseMemberStatus("leader 3 3.1209 0 12 2 17"); ok {
		t.Error("a status with an unknown role was accepted")
	}
}

func TestIsField(t *testing.T) {
	for text, want := range map[string]bool{"north": true, "n-1.x": true, "nörd": true, "": false, "a b": false,
		" a": false, "a\tb": false, "a\r\nBYE": false, "a\x00": false, "a\x7f": false} {
		if got := IsField(text); got != want {
			t.Errorf("%q: %v", text, got)
		}
	}
}
