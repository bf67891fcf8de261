package store

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/standin/disk"
)

// folderSize returns the total size of the files in a folder in bytes.
func folderSize(t *testing.T, folder string) (size int64) {
	t.Helper()
	err := filepath.Walk(folder, func(_ string, i fs.FileInfo, err error) error {
		if err == nil {
			size += i.Size()
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return size
}

// filesMatching returns the files of a folder whose names match a pattern. There must be at least one.
func filesMatching(folder, pattern string) []string {
	names, err := filepath.Glob(filepath.Join(folder, pattern))
	So(err, ShouldBeNil)
	So(names, ShouldNotBeEmpty)
	return names
}

// appendTo appends text to a file.
func appendTo(name, text string) {
	f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0)
	So(err, ShouldBeNil)
	_, err = f.WriteString(text)
	So(err, ShouldBeNil)
	So(f.Close(), ShouldBeNil)
}

// corruptHead flips bits at the beginning of a file.
func corruptHead(name string) {
	b, err := os.ReadFile(name)
	So(err, ShouldBeNil)
	for i := range min(len(b)/2, 200) {
		b[i] ^= 0x5a
	}
	So(os.WriteFile(name, b, 0o600), ShouldBeNil)
}

func TestStore(t *testing.T) {
	Convey("A folder", t, func() {
		dir := t.TempDir()
		s, _, found, err := Open(dir)
		So(err, ShouldBeNil)
		So(found, ShouldBeFalse)
		state := consensus.HardState{ID: "me", Term: 4, Vote: "you", Commit: 7, CommitTerm: 3,
			Last: consensus.Entry{Term: 3, Index: 7, Voters: []consensus.Voter{{ID: "me", Addr: "a"}}, Value: []byte("word")}}
		So(s.Save(&state), ShouldBeNil)
		Convey("returns what was saved", func() {
			state.Term, state.Vote = 5, ""
			So(s.Save(&state), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			loaded, found, err := Inspect(dir)
			So(err, ShouldBeNil)
			So(found, ShouldBeTrue)
			So(loaded, ShouldResemble, state)
		})
		Convey("with a torn record at the end of its log returns the complete last save", func() {
			So(s.Close(), ShouldBeNil)
			logs := filesMatching(dir, "*.log")
			appendTo(logs[len(logs)-1], "half a record that was torn")
			_, loaded, found, err := Open(dir)
			So(err, ShouldBeNil)
			So(found, ShouldBeTrue)
			So(loaded.Last.Index, ShouldEqual, 7)
		})
		Convey("with a damaged table is an error, or still found, but never empty", func() {
			So(s.db.Flush(), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			for _, name := range filesMatching(dir, "*.sst") {
				corruptHead(name)
			}
			_, _, found, err := Open(dir)
			So(err != nil || found, ShouldBeTrue)
		})
		Convey("stays small over hundreds of large changes", func() {
			state.Last.Value = []byte(strings.Repeat("route ", 20000))
			for i := range 300 {
				state.Last.Index = uint64(8 + i)
				So(s.Save(&state), ShouldBeNil)
			}
			So(s.Close(), ShouldBeNil)
			So(folderSize(t, dir), ShouldBeLessThan, 40<<20)
		})
	})
}

// TestLargestState saves the largest accepted configuration many times. It logs how long a save and an open take, and
// checks the size on disk.
func TestLargestState(t *testing.T) {
	dir := t.TempDir()
	s, _, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	value := []byte(strings.Repeat("0123456789abcdef", 4<<20/16))
	state := consensus.HardState{ID: "me", Term: 1, Last: consensus.Entry{Term: 1, Value: value}}
	const changes = 25
	startedAt := time.Now()
	for i := range changes {
		state.Last.Index = uint64(i + 1)
		if err := s.Save(&state); err != nil {
			t.Fatal(err)
		}
	}
	saveTime := time.Since(startedAt) / changes
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	size := folderSize(t, dir)
	startedAt = time.Now()
	s, loaded, found, err := Open(dir)
	if err != nil || !found || loaded.Last.Index != changes || len(loaded.Last.Value) != 4<<20 {
		t.Fatal(err, found, loaded.Last.Index)
	}
	t.Logf("4 MB: %v per save, %d MB on disk after %d saves, reopened in %v", saveTime.Round(time.Millisecond),
		size>>20, changes, time.Since(startedAt).Round(time.Millisecond))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if size > 100<<20 {
		t.Errorf("%d bytes on disk", size)
	}
}

// TestFolderStaysSmallOverManySaves saves some hundreds of changes, each longer than the one before. The folder must
// stay small, and must open with the latest state after each hundred saves.
func TestFolderStaysSmallOverManySaves(t *testing.T) {
	dir := t.TempDir()
	state := consensus.HardState{ID: "me", Term: 1, Last: consensus.Entry{Term: 1}}
	for range 6 {
		s, loaded, found, err := Open(dir)
		if err != nil || found && (loaded.Last.Index != state.Last.Index || len(loaded.Last.Value) != len(state.Last.Value)) {
			t.Fatal(err, found, loaded.Last.Index, state.Last.Index)
		}
		for range 100 {
			state.Last.Index++
			state.Last.Value = append(state.Last.Value, strings.Repeat("x", 200)...)
			if err := s.Save(&state); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	size := folderSize(t, dir)
	t.Logf("%d KB on disk after %d saves, the last of %d KB", size>>10, state.Last.Index, len(state.Last.Value)>>10)
	if size > 32<<20 {
		t.Errorf("%d bytes on disk", size)
	}
}

// TestWritesAreRetriedWhileDiskIsFull fills the disk temporarily while a folder is created, written to and reopened:
// each refused write is retried, and nothing is lost or written twice. It fails without retryFS.Create, or if Write
// repeats bytes that a partial write already stored.
func TestWritesAreRetriedWhileDiskIsFull(t *testing.T) {
	dir, control := t.TempDir(), filepath.Join(t.TempDir(), "disk")
	FS = disk.FaultyFS(control)
	defer func() { FS = vfs.Default }()
	fill := func() {
		if err := os.WriteFile(control, []byte(disk.Full), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var refusals atomic.Int64
	onDiskFull := func(err error) bool {
		if !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("retry after %v", err)
		}
		if refusals.Add(1)%3 == 0 { // every third refusal frees the disk
			_ = os.Remove(control)
		}
		return true
	}
	state := consensus.HardState{ID: "me", Term: 4, Last: consensus.Entry{Term: 3, Value: make([]byte, 20_000)}}
	for range 4 {
		fill()
		s, loaded, found, err := OpenWithRetry(dir, onDiskFull)
		if err != nil || found && !reflect.DeepEqual(loaded, state) {
			t.Fatal(err, found, loaded.Last.Index, state.Last.Index)
		}
		for range 300 { // enough for a number of logs and tables
			state.Last.Index++
			if state.Last.Index%7 == 0 {
				fill()
			}
			if err := s.Save(&state); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	_ = os.Remove(control)
	if loaded, found, err := Inspect(dir); err != nil || !found || !reflect.DeepEqual(loaded, state) {
		t.Error(err, found, loaded.Last.Index, state.Last.Index)
	}
	if refusals.Load() < 100 {
		t.Errorf("only %d writes were refused", refusals.Load())
	}
}

// A process that stops declines further retries: its write must fail, and its store is broken as after any other fault.
func TestWriteFailsWhenRetryIsDeclined(t *testing.T) {
	dir, control := t.TempDir(), filepath.Join(t.TempDir(), "disk")
	FS = disk.FaultyFS(control)
	defer func() { FS = vfs.Default }()
	s, _, _, err := OpenWithRetry(dir, func(error) bool { return false })
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(control, []byte(disk.Full), 0o600); err != nil {
		t.Fatal(err)
	}
	err = s.Save(&consensus.HardState{ID: "me", Term: 1})
	if !errors.Is(err, ErrBroken) || !errors.Is(err, syscall.ENOSPC) {
		t.Error(err)
	}
}

// TestSaveAfterFailedWriteReturnsError lets the disk refuse writes for a while: the save that meets the fault fails,
// each later save fails at once, and another process finds what was saved before. Without the check of broken in Save
// or Close, pebble would block forever, as it did in an incident with a full disk.
func TestSaveAfterFailedWriteReturnsError(t *testing.T) {
	Convey("A folder on a disk that refuses writes", t, func() {
		dir, control := t.TempDir(), filepath.Join(t.TempDir(), "disk")
		FS = disk.FaultyFS(control)
		defer func() { FS = vfs.Default }()
		s, _, _, err := Open(dir)
		So(err, ShouldBeNil)
		state := consensus.HardState{ID: "me", Term: 4, Last: consensus.Entry{Term: 3, Index: 7, Value: make([]byte, 20_000)}}
		So(s.Save(&state), ShouldBeNil)
		So(os.WriteFile(control, []byte(disk.Refuse), 0o600), ShouldBeNil)
		refusedState := state
		for i := range 20 { // at this size pebble's fifth commit would block forever
			refusedState.Last.Index++
			err := s.Save(&refusedState)
			So(errors.Is(err, ErrBroken), ShouldBeTrue)
			if i == 0 {
				So(err.Error(), ShouldEqual, "pebble: fatal commit error: disk: refused: the store is broken")
				So(errors.Is(err, disk.ErrRefused), ShouldBeTrue)
			}
		}
		So(s.Close(), ShouldBeNil)
		copyFolder := func() string { // a copy, as this process holds the lock of the folder
			to := filepath.Join(t.TempDir(), "copy")
			So(os.CopyFS(to, os.DirFS(dir)), ShouldBeNil)
			return to
		}
		_, _, _, err = Open(copyFolder())
		So(err, ShouldNotBeNil)
		So(os.Remove(control), ShouldBeNil)
		_, loaded, found, err := Open(copyFolder())
		So(err, ShouldBeNil)
		So(found, ShouldBeTrue)
		So(loaded, ShouldResemble, state)
	})
}
