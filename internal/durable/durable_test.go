package durable_test

import (
	"bytes"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	. "weirwind/internal/durable"
	"weirwind/internal/standin/disk"
)

var options = Options{Folder: "d", Tag: "TEST"}

// recoveredState returns the recovered state as text: the snapshot followed by the records.
func recoveredState(r Recovered) string {
	state := string(r.Snapshot)
	for _, x := range r.Records {
		state += string(x)
	}
	return state
}

// runWorkload opens a store, begins a generation, and appends records and snapshots until an error ends it. It returns
// the state of the acknowledged records, and that with the last submitted record, which an error may have kept or lost.
func runWorkload(d *disk.Disk, before string) (acked, submitted string) {
	acked, submitted = before, before
	s, r, err := Open(d, options)
	if err != nil {
		return
	}
	defer s.Close()
	state := recoveredState(r)
	if s.Compact([]byte(state)) != nil {
		return
	}
	for i := range 12 {
		if i%5 == 4 && s.Compact([]byte(state)) != nil {
			return
		}
		record := fmt.Sprintf("%s.%d;", bytes.Repeat([]byte{'x'}, i*7), i)
		submitted = state + record
		if s.Append([]byte(record)) != nil {
			return
		}
		state = submitted
		acked = state
	}
	return
}

// The machine crashes in each file system operation, with every possible outcome for the data that was not synced. The
// recovered state must be the acknowledged one, or that with the submitted record, and the store must continue from it.
func TestCrashAtEveryOperation(t *testing.T) {
	seed := disk.New()
	initial, _ := runWorkload(seed, "")
	crashPoints, crashes := 0, 0
	for crashAt := 1; ; crashAt++ {
		for outcome := range disk.Outcomes {
			for seedValue := range uint64(6) {
				d := seed.Clone()
				d.CrashAt = crashAt
				acked, submitted := runWorkload(d, initial)
				if d.Operations() < crashAt { // the workload has fewer operations
					if crashPoints < 60 {
						t.Fatalf("only %d operations", crashPoints)
					}
					t.Logf("%d operations, %d crashes", crashPoints, crashes)
					return
				}
				crashes++
				recovered := d.AfterCrash(outcome, seedValue)
				r, err := Recover(recovered, options)
				if got := recoveredState(r); err != nil || got != acked && got != submitted {
					t.Fatalf("crash at %d, outcome %d, seed %d: %v, recovered %d bytes, want %d or %d", crashAt, outcome, seedValue, err,
						len(got), len(acked), len(submitted))
				}
				if continued, _ := runWorkload(recovered, recoveredState(r)); len(continued) <= len(acked) {
					t.Fatalf("crash at %d, outcome %d: the store did not continue", crashAt, outcome)
				}
			}
		}
		crashPoints++
	}
}

// Crashes also occur during the recovery from an earlier crash.
func TestRepeatedCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, acked, submitted := disk.New(), "", ""
		for range rapid.IntRange(1, 6).Draw(t, "crashes") {
			d.CrashAt = rapid.IntRange(1, 70).Draw(t, "at")
			acked, submitted = runWorkload(d, acked)
			d = d.AfterCrash(disk.Outcome(rapid.IntRange(0, int(disk.Outcomes)-1).Draw(t, "outcome")), rapid.Uint64().Draw(t, "seed"))
			r, err := Recover(d, options)
			if got := recoveredState(r); err != nil || got != acked && got != submitted {
				t.Fatalf("%v: recovered %d bytes, want %d or %d", err, len(got), len(acked), len(submitted))
			} else {
				acked = got
			}
		}
	})
}

// The file system returns errors from each operation on, for a while. The store must report them and, once they have
// ended, begin a new generation with its complete state.
func TestErrorsAtEveryOperation(t *testing.T) {
	for _, errno := range []error{syscall.ENOSPC, syscall.EROFS, syscall.EIO} {
		for failAt := 4; failAt < 60; failAt++ {
			for length := range 3 {
				d := disk.New()
				d.Fail = func(op string, n int) error {
					if n >= failAt && n <= failAt+length*4 && op != "lock" && op != "mkdir" {
						return errno
					}
					return nil
				}
				s, _, err := Open(d, options)
				if err != nil {
					t.Fatal(err)
				}
				state, acked := "", ""
				for i := range 12 {
					record := fmt.Sprintf("%d;", i)
					state += record
					if s.NeedsCompaction() || i == 6 {
						err = s.Compact([]byte(state))
					} else {
						err = s.Append([]byte(record))
					}
					if err == nil {
						acked = state
					} else if !errors.Is(err, errno) {
						t.Fatalf("at %d: %v", failAt, err)
					}
				}
				for range 20 { // the fault ends
					if err = s.Compact([]byte(state)); err == nil {
						break
					}
				}
				if err != nil || s.Append([]byte("end;")) != nil {
					t.Fatalf("at %d: did not continue: %v", failAt, err)
				}
				if r, err := Recover(d.AfterCrash(disk.LoseUnsynced, 0), options); err != nil || recoveredState(r) != state+"end;" {
					t.Fatalf("at %d: %v: %q, want %q (acknowledged %q)", failAt, err, recoveredState(r), state, acked)
				}
			}
		}
	}
}

// Each byte of each file is flipped, and each file is truncated at each byte. The recovered state must be a prefix of
// the intact one, and flipped bytes must be reported.
func TestDamageAtEveryByte(t *testing.T) {
	d := disk.New()
	runWorkload(d, "")
	intact, err := Recover(d, options)
	if err != nil || len(intact.Damage()) > 0 {
		t.Fatal(err, intact.Damage())
	}
	intactState := recoveredState(intact)
	check := func(what string, changed *disk.Disk) {
		r, err := Recover(changed, options)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		if got := recoveredState(r); len(got) > len(intactState) || got != intactState[:len(got)] {
			t.Fatalf("%s: recovered %q, which is no prefix of the state", what, got)
		}
	}
	for _, f := range intact.Files {
		name := filepath.Join("d", f.Name)
		content := d.FileContent(name)
		for i := range content {
			for _, bit := range []byte{1, 0x80, 0xff} {
				c := d.Clone()
				b := bytes.Clone(content)
				b[i] ^= bit
				c.SetFile(name, b)
				check(fmt.Sprintf("%s byte %d ^%x", f.Name, i, bit), c)
				if r, _ := Recover(c, options); len(r.Damage()) == 0 {
					t.Fatalf("%s byte %d ^%x: no damage is reported", f.Name, i, bit)
				}
			}
			c := d.Clone()
			c.SetFile(name, content[:i])
			check(fmt.Sprintf("%s truncated at %d", f.Name, i), c)
		}
	}
}

// With an unreadable newest snapshot, the previous one and the logs must recover the same state.
func TestFallbackToOlderGeneration(t *testing.T) {
	d := disk.New()
	want, _ := runWorkload(d, "")
	r, _ := Recover(d, options)
	newest := filepath.Join("d", r.Files[0].Name)
	b := d.FileContent(newest)
	b[len(b)-1]++
	d.SetFile(newest, b)
	r, err := Recover(d, options)
	if err != nil || !r.Fallback || r.RecordsLost || recoveredState(r) != want {
		t.Fatalf("%v: fallback %v, lost %v: %q, want %q", err, r.Fallback, r.RecordsLost, recoveredState(r), want)
	}
	if got, _ := runWorkload(d, recoveredState(r)); len(got) <= len(want) {
		t.Fatal("did not continue")
	}
}

func TestOpenRejectsForeignFilesAndOptions(t *testing.T) {
	d := disk.New()
	runWorkload(d, "")
	r, _ := Recover(d, options)
	if o, err := Recover(d, Options{Folder: "d", Tag: "ELSE"}); err != nil || o.Snapshot != nil || !o.RecordsLost ||
		!errors.Is(o.Files[0].Err, ErrTag) {
		t.Errorf("another tag: %+v", o)
	}
	for _, f := range r.Files {
		if f.Snapshot {
			b := d.FileContent(filepath.Join("d", f.Name))
			b[5] = Version + 1
			d.SetFile(filepath.Join("d", f.Name), b)
		}
	}
	if o, err := Recover(d, options); err != nil || o.Snapshot != nil || !errors.Is(o.Files[0].Err, ErrVersion) {
		t.Errorf("newer version: %+v", o)
	}
	if _, _, err := Open(d, Options{Folder: "d", Tag: "long one"}); err == nil {
		t.Error("accepted a tag of eight bytes")
	}
	if _, _, err := Open(d, Options{Folder: "d", Tag: "TEST", Limit: 10}); err == nil {
		t.Error("accepted a size limit of ten bytes")
	}
}

func TestSizeLimit(t *testing.T) {
	d := disk.New()
	s, _, _ := Open(d, Options{Folder: "d", Tag: "TEST", Limit: MinLimit})
	s.Compact(nil)
	record := make([]byte, 1000)
	n := 0
	for err := error(nil); !errors.Is(err, ErrLimit); n++ {
		if err = s.Append(record); err != nil && !errors.Is(err, ErrLimit) || n > 100 {
			t.Fatal(n, err)
		}
	}
	if n < 40 {
		t.Fatalf("only %d records fit", n)
	}
	if err := s.Compact([]byte("all of it")); err != nil {
		t.Fatal(err)
	}
	if err := s.Append(make([]byte, 2<<20)); !errors.Is(err, ErrRecordTooLarge) {
		t.Error(err)
	}
	noise := make([]byte, MinLimit)
	for i, x := 0, uint64(7); i < len(noise); i++ {
		x = x*6364136223846793005 + 1
		noise[i] = byte(x >> 56)
	}
	if err := s.Compact(noise); !errors.Is(err, ErrLimit) {
		t.Error(err)
	}
	if err := s.Append([]byte("continues")); err != nil {
		t.Error(err)
	}
}

// On the operating system's file system: a folder is locked against a second process, concurrent callers share syncs,
// and two generations are kept.
func TestOnOSFileSystem(t *testing.T) {
	o := Options{Folder: filepath.Join(t.TempDir(), "a", "b"), Tag: "TEST"}
	s, _, err := Open(OS{}, o)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(OS{}, o); !errors.Is(err, ErrLocked) {
		t.Fatalf("second open: %v", err)
	}
	for range 4 {
		if err := s.Compact(nil); err != nil {
			t.Fatal(err)
		}
	}
	var wait sync.WaitGroup
	for range 50 {
		wait.Go(func() {
			for range 10 {
				if err := s.Append([]byte("r;")); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wait.Wait()
	r, err := Recover(OS{}, o)
	if err != nil || len(r.Records) != 500 || len(r.Files) != 3 || len(r.Damage()) > 0 {
		t.Fatalf("%v: %d records, files %+v", err, len(r.Records), r.Files)
	}
	s.Close()
	if s.Append([]byte("x")) != ErrClosed || s.Compact(nil) != ErrClosed || s.Close() != nil {
		t.Error("accepts calls after Close")
	}
	if s, r, err = Open(OS{}, o); err != nil || len(r.Records) != 500 {
		t.Fatal(err)
	}
	s.Close()
	if r, err := Recover(OS{}, Options{Folder: o.Folder + "/none", Tag: "TEST"}); err != nil || r.RecordsLost || r.Snapshot != nil {
		t.Fatalf("%v %+v", err, r)
	}
}

// Recovery of arbitrary file contents must not panic, nor return data that isn't covered by a checksum.
func FuzzRecover(f *testing.F) {
	d := disk.New()
	runWorkload(d, "")
	r, _ := Recover(d, options)
	whole := recoveredState(r)
	f.Add(d.FileContent(filepath.Join("d", r.Files[0].Name)), d.FileContent(filepath.Join("d", r.Files[1].Name)))
	f.Fuzz(func(t *testing.T, snapshot, log []byte) {
		c := disk.New()
		c.SetFile(filepath.Join("d", r.Files[0].Name), snapshot)
		c.SetFile(filepath.Join("d", r.Files[1].Name), log)
		got, err := Recover(c, options)
		if text := recoveredState(got); err != nil || len(text) > len(whole) || text != whole[:len(text)] {
			t.Fatalf("%v: %q", err, text)
		}
	})
}
