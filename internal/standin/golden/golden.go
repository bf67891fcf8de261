// Package golden compares the encoded forms of values with those recorded in a file, so that a change of a stored or
// wire format fails a test.
//
// A file has a line for each case: its name, a tab and the encoded form, in hexadecimal if it is binary; the files of
// Lines are plain text. With GOLDEN=write in the environment a missing file is written; an existing one is never
// overwritten.
package golden

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Case is a value whose encoded form is recorded under a name.
type Case[T any] struct {
	Name  string
	Value T
}

// Of returns a case of a name and a value.
func Of[T any](name string, value T) Case[T] { return Case[T]{Name: name, Value: value} }

// CBOR encodes each case as CBOR and decodes the recorded bytes, and checks that the results equal the recorded bytes
// and the case's value.
func CBOR[T any](t *testing.T, file string, cases []Case[T]) {
	t.Helper()
	checkRecorded(t, file, cases, func(v T) (string, error) {
		b, err := cbor.Marshal(v)
		return hex.EncodeToString(b), err
	}, func(form string, v *T) error {
		b, err := hex.DecodeString(form)
		if err != nil {
			return err
		}
		return cbor.Unmarshal(b, v)
	})
}

// JSON does the same as CBOR, with JSON.
func JSON[T any](t *testing.T, file string, cases []Case[T]) {
	t.Helper()
	checkRecorded(t, file, cases, func(v T) (string, error) {
		b, err := json.Marshal(v)
		return string(b), err
	}, func(form string, v *T) error { return json.Unmarshal([]byte(form), v) })
}

// Text compares plain texts, recorded as JSON strings.
func Text(t *testing.T, file string, cases []Case[string]) {
	t.Helper()
	checkRecorded(t, file, cases, func(v string) (string, error) {
		b, err := json.Marshal(v)
		return string(b), err
	}, func(form string, v *string) error { return json.Unmarshal([]byte(form), v) })
}

// Lines compares a text with a recorded file, line by line.
func Lines(t *testing.T, file, got string) {
	t.Helper()
	recorded, err := os.ReadFile(file)
	if os.IsNotExist(err) && os.Getenv("GOLDEN") == "write" {
		create(t, file, got)
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(recorded), "\n")
	if len(gotLines) != len(wantLines) {
		t.Errorf("%d lines, recorded %d", len(gotLines), len(wantLines))
	}
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Errorf("line %d:\n%s\nrecorded\n%s", i+1, gotLines[i], wantLines[i])
		}
	}
}

func checkRecorded[T any](
	t *testing.T,
	file string,
	cases []Case[T],
	encode func(T) (string, error),
	decode func(string, *T) error,
) {
	t.Helper()
	recorded := read(t, file)
	if recorded == nil {
		write(t, file, cases, encode)
		return
	}
	if len(recorded) != len(cases) {
		t.Errorf("%s records %d cases, want %d", file, len(recorded), len(cases))
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			form, found := recorded[c.Name]
			if !found {
				t.Fatalf("%s records no such case", file)
			}
			if got, err := encode(c.Value); err != nil || got != form {
				t.Errorf("encoded as\n%s\nrecorded as\n%s\n%v", got, form, err)
			}
			var decoded T
			if err := decode(form, &decoded); err != nil || !reflect.DeepEqual(decoded, c.Value) {
				t.Errorf("decoded as\n%+v\nnot\n%+v\n%v", decoded, c.Value, err)
			}
		})
	}
}

// read returns a file's encoded forms by name; nil if the file is missing and is to be written.
func read(t *testing.T, file string) map[string]string {
	t.Helper()
	b, err := os.ReadFile(file)
	if os.IsNotExist(err) && os.Getenv("GOLDEN") == "write" {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	recorded := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		name, form, _ := strings.Cut(line, "\t")
		recorded[name] = form
	}
	return recorded
}

func write[T any](t *testing.T, file string, cases []Case[T], encode func(T) (string, error)) {
	t.Helper()
	var b strings.Builder
	for _, c := range cases {
		form, err := encode(c.Value)
		if err != nil {
			t.Fatal(err)
		}
		b.WriteString(c.Name + "\t" + form + "\n")
	}
	create(t, file, b.String())
}

func create(t *testing.T, file, text string) {
	t.Helper()
	if err := os.MkdirAll("testdata", 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	t.Logf("wrote %s", file)
}
