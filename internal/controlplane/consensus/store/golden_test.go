package store

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/pebble"

	"weirwind/internal/controlplane/consensus"
)

var update = flag.Bool("update", false, "rewrite testdata/folder")

// recordedState returns the state stored in testdata/folder.
func recordedState() consensus.HardState {
	voters := []consensus.Voter{{ID: "0@a:1", Addr: "a:1"}, {ID: "7f3a@b:2", Addr: "b:2"}}
	return consensus.HardState{ID: "0@a:1", Term: 5, Vote: "7f3a@b:2", Commit: 7, CommitTerm: 3,
		Last: consensus.Entry{Term: 3, Index: 7, Voters: voters, Value: []byte("value")}}
}

const (
	recordedMeta  = "a601653040613a31020503683766336140623a320407050306820307"
	recordedEntry = "a4010302070382a201653040613a310263613a31a201683766336140623a320263623a32044576616c7565"
)

// TestStoredFormat reads a folder that an earlier build wrote, and compares the records written by the current build
// with that build's.
func TestStoredFormat(t *testing.T) {
	const folder = "testdata/folder"
	if *update {
		if err := os.RemoveAll(folder); err != nil {
			t.Fatal(err)
		}
		writeRecorded(t, folder)
	}
	earlierDir, currentDir := filepath.Join(t.TempDir(), "earlier"), filepath.Join(t.TempDir(), "today")
	if err := os.CopyFS(earlierDir, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	writeRecorded(t, currentDir)
	for name, dir := range map[string]string{"written by an earlier build": earlierDir,
		"written by the current build": currentDir} {
		t.Run(name, func(t *testing.T) {
			state, found, err := Inspect(dir)
			if err != nil || !found || !reflect.DeepEqual(state, recordedState()) {
				t.Fatalf("%+v %v %v", state, found, err)
			}
			s, state, found, err := Open(dir)
			if err != nil || !found || !reflect.DeepEqual(state, recordedState()) {
				t.Fatalf("%+v %v %v", state, found, err)
			}
			for key, want := range map[string]string{"meta": recordedMeta, "entry": recordedEntry} {
				data, closer, err := s.db.Get([]byte(key))
				if err != nil {
					t.Fatal(key, err)
				}
				if got := fmt.Sprintf("%x", data); got != want {
					t.Errorf("%s is %s, want %s", key, got, want)
				}
				_ = closer.Close()
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// writeRecorded saves an entry, a later one in a second save, and a newer term without a new entry in a third.
func writeRecorded(t *testing.T, folder string) {
	t.Helper()
	s, _, found, err := Open(folder)
	if err != nil || found {
		t.Fatal(found, err)
	}
	state := recordedState()
	first := state
	first.Term, first.Vote, first.Last.Index, first.Last.Value = 3, "", 6, []byte("earlier")
	for _, state := range []consensus.HardState{first, {ID: state.ID, Term: 3, Last: state.Last}, state} {
		if err := s.Save(&state); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestErrorTexts checks the messages that operators get if a folder can't be read.
func TestErrorTexts(t *testing.T) {
	for _, c := range []struct {
		name   string
		record string // the damaged record
		value  []byte // its new value; nil: it is deleted
		want   string
	}{
		{"no entry", "entry", nil, "read entry: the record is missing or is not entry [3 7]"},
		{"another entry", "entry", []byte{0xa1, 0x01, 0x02}, "read entry: the record is missing or is not entry [3 7]"},
		{"truncated entry", "entry", []byte{0xa4, 0x01}, "read entry: unexpected EOF"},
		{"invalid meta", "meta", []byte("!"),
			"read meta: cbor: cannot unmarshal negative integer into Go value of type store.meta"},
	} {
		t.Run(c.name, func(t *testing.T) {
			folder := filepath.Join(t.TempDir(), "folder")
			writeRecorded(t, folder)
			s, _, _, err := Open(folder)
			if err != nil {
				t.Fatal(err)
			}
			if c.value == nil {
				err = s.db.Delete([]byte(c.record), pebble.Sync)
			} else {
				err = s.db.Set([]byte(c.record), c.value, pebble.Sync)
			}
			if err := errors.Join(err, s.Close()); err != nil {
				t.Fatal(err)
			}
			for function, open := range map[string]func() error{
				"Look": func() error { _, _, err := Inspect(folder); return err },
				"Open": func() error { _, _, _, err := Open(folder); return err },
			} {
				err := open()
				if err == nil || err.Error() != c.want {
					t.Errorf("%s: %v, want %s", function, err, c.want)
				}
				var corrupt *CorruptError
				if !errors.As(err, &corrupt) || corrupt.Record != c.record {
					t.Errorf("%s: %v is not a CorruptError for %s", function, err, c.record)
				}
			}
		})
	}
	_, _, err := Inspect(filepath.Join(t.TempDir(), "none"))
	var corrupt *CorruptError
	if err == nil || !strings.HasPrefix(err.Error(), "open: ") || errors.As(err, &corrupt) {
		t.Error(err)
	}
}
