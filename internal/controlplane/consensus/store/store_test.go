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

// folderSize is that of all files in a folder, in bytes.
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

// filesIn are those of a folder whose names match.
func filesIn(folder, pattern string) []string {
	names, err := filepath.Glob(filepath.Join(folder, pattern))
	So(err, ShouldBeNil)
	So(names, ShouldNotBeEmpty)
	return names
}

// appendTo writes behind the end of a file.
func appendTo(name, text string) {
	f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0)
	So(err, ShouldBeNil)
	_, err = f.WriteString(text)
	So(err, ShouldBeNil)
	So(f.Close(), ShouldBeNil)
}

// damage flips bits of a file's beginning.
func damage(name string) {
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
		h := consensus.HardState{ID: "me", Term: 4, Vote: "you", Commit: 7, CommitTerm: 3,
			Last: consensus.Entry{Term: 3, Index: 7, Voters: []consensus.Voter{{ID: "me", Addr: "a"}}, Value: []byte("word")}}
		So(s.Save(&h), ShouldBeNil)
		Convey("gives back what was saved", func() {
			h.Term, h.Vote = 5, ""
			So(s.Save(&h), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			back, found, err := Inspect(dir)
			So(err, ShouldBeNil)
			So(found, ShouldBeTrue)
			So(back, ShouldResemble, h)
		})
		Convey("whose log lost its end holds all that was saved before, complete", func() {
			So(s.Close(), ShouldBeNil)
			logs := filesIn(dir, "*.log")
			appendTo(logs[len(logs)-1], "half a record that was torn")
			_, back, found, err := Open(dir)
			So(err, ShouldBeNil)
			So(found, ShouldBeTrue)
			So(back.Last.Index, ShouldEqual, 7)
		})
		Convey("in which a table is damaged is an error, never empty", func() {
			So(s.db.Flush(), ShouldBeNil)
			So(s.Close(), ShouldBeNil)
			for _, name := range filesIn(dir, "*.sst") {
				damage(name)
			}
			_, _, found, err := Open(dir)
			So(err != nil || found, ShouldBeTrue)
		})
		Convey("grows by no more than a few changes' size over thousands", func() {
			h.Last.Value = []byte(strings.Repeat("route ", 20000))
			for i := range 300 {
				h.Last.Index = uint64(8 + i)
				So(s.Save(&h), ShouldBeNil)
			}
			So(s.Close(), ShouldBeNil)
			So(folderSize(t, dir), ShouldBeLessThan, 40<<20)
		})
	})
}

// TestLargestState saves the largest configuration that is accepted, many times over: how long a change and a
// start take, and what is on the disk.
func TestLargestState(t *testing.T) {
	dir := t.TempDir()
	s, _, _, err := Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	value := []byte(strings.Repeat("0123456789abcdef", 4<<20/16))
	h := consensus.HardState{ID: "me", Term: 1, Last: consensus.Entry{Term: 1, Value: value}}
	const changes = 25
	began := time.Now()
	for i := range changes {
		h.Last.Index = uint64(i + 1)
		if err := s.Save(&h); err != nil {
			t.Fatal(err)
		}
	}
	each := time.Since(began) / changes
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	size := folderSize(t, dir)
	began = time.Now()
	s, back, found, err := Open(dir)
	if err != nil || !found || back.Last.Index != changes || len(back.Last.Value) != 4<<20 {
		t.Fatal(err, found, back.Last.Index)
	}
	t.Logf("4 MB: %v a change, %d MB on disk behind %d, open again in %v", each.Round(time.Millisecond), size>>20, changes,
		time.Since(began).Round(time.Millisecond))
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if size > 100<<20 {
		t.Errorf("%d bytes on disk", size)
	}
}

// TestManyChanges saves some hundreds of changes, each with a longer list behind it: the folder stays small,
// and opens with the newest after each hundred.
func TestManyChanges(t *testing.T) {
	dir := t.TempDir()
	h := consensus.HardState{ID: "me", Term: 1, Last: consensus.Entry{Term: 1}}
	for range 6 {
		s, back, found, err := Open(dir)
		if err != nil || found && (back.Last.Index != h.Last.Index || len(back.Last.Value) != len(h.Last.Value)) {
			t.Fatal(err, found, back.Last.Index, h.Last.Index)
		}
		for range 100 {
			h.Last.Index++
			h.Last.Value = append(h.Last.Value, strings.Repeat("x", 200)...)
			if err := s.Save(&h); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	size := folderSize(t, dir)
	t.Logf("%d KB on disk behind %d changes, %d KB the last", size>>10, h.Last.Index, len(h.Last.Value)>>10)
	if size > 32<<20 {
		t.Errorf("%d bytes on disk", size)
	}
}

// TestAFullDiskIsWaitedFor has a disk full for a while, as a folder is made, as changes are written, and as it is opened
// again: each write that meets it is held, and nothing is lost or written twice. It fails without fullFS's Create, and
// where Write begins anew behind a part that was taken.
func TestAFullDiskIsWaitedFor(t *testing.T) {
	dir, control := t.TempDir(), filepath.Join(t.TempDir(), "disk")
	FS = disk.FaultyFS(control)
	defer func() { FS = vfs.Default }()
	fill := func() {
		if err := os.WriteFile(control, []byte(disk.Full), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var refusals atomic.Int64
	full := func(err error) bool {
		if !errors.Is(err, syscall.ENOSPC) {
			t.Errorf("waits for %v", err)
		}
		if refusals.Add(1)%3 == 0 { // room comes as somebody clears the disk up
			_ = os.Remove(control)
		}
		return true
	}
	h := consensus.HardState{ID: "me", Term: 4, Last: consensus.Entry{Term: 3, Value: make([]byte, 20_000)}}
	for range 4 {
		fill()
		s, back, found, err := OpenWithRetry(dir, full)
		if err != nil || found && !reflect.DeepEqual(back, h) {
			t.Fatal(err, found, back.Last.Index, h.Last.Index)
		}
		for range 300 { // some logs and tables
			h.Last.Index++
			if h.Last.Index%7 == 0 {
				fill()
			}
			if err := s.Save(&h); err != nil {
				t.Fatal(err)
			}
		}
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	_ = os.Remove(control)
	if back, found, err := Inspect(dir); err != nil || !found || !reflect.DeepEqual(back, h) {
		t.Error(err, found, back.Last.Index, h.Last.Index)
	}
	if refusals.Load() < 100 {
		t.Errorf("only %d writes were refused", refusals.Load())
	}
}

// A process that is stopped waits no longer: its write fails, and its store is broken as by any fault.
func TestAFullDiskEndsWithItsProcess(t *testing.T) {
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

// TestAFullDiskHangsNobody has a disk full for a while: the change that meets it is refused, the next one too
// and at once, and what was saved before is found by another process. It fails without broken in Save or in
// Close, as pebble then waits for ever (incident on a full disk).
func TestAFullDiskHangsNobody(t *testing.T) {
	Convey("A folder on a disk that is full", t, func() {
		dir, control := t.TempDir(), filepath.Join(t.TempDir(), "disk")
		FS = disk.FaultyFS(control)
		defer func() { FS = vfs.Default }()
		s, _, _, err := Open(dir)
		So(err, ShouldBeNil)
		h := consensus.HardState{ID: "me", Term: 4, Last: consensus.Entry{Term: 3, Index: 7, Value: make([]byte, 20_000)}}
		So(s.Save(&h), ShouldBeNil)
		So(os.WriteFile(control, []byte(disk.Refuse), 0o600), ShouldBeNil)
		refused := h
		for i := range 20 { // with changes of this size pebble's fifth commit would wait for ever
			refused.Last.Index++
			err := s.Save(&refused)
			So(errors.Is(err, ErrBroken), ShouldBeTrue)
			if i == 0 {
				So(err.Error(), ShouldEqual, "pebble: fatal commit error: disk: refused: the store is broken")
				So(errors.Is(err, disk.ErrRefused), ShouldBeTrue)
			}
		}
		So(s.Close(), ShouldBeNil)
		copyOf := func() string { // as another process finds it: this one holds the folder's lock
			to := filepath.Join(t.TempDir(), "copy")
			So(os.CopyFS(to, os.DirFS(dir)), ShouldBeNil)
			return to
		}
		_, _, _, err = Open(copyOf())
		So(err, ShouldNotBeNil)
		So(os.Remove(control), ShouldBeNil)
		_, back, found, err := Open(copyOf())
		So(err, ShouldBeNil)
		So(found, ShouldBeTrue)
		So(back, ShouldResemble, h)
	})
}
