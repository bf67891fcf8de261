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

// ledger is a state for tests: the numbers of the records taken so far, as text.
func fold(r Recovered) string {
	state := string(r.Snapshot)
	for _, x := range r.Records {
		state += string(x)
	}
	return state
}

// work opens a store, begins a generation, and goes on for some records and snapshots until an error ends it. It
// gives the state as it was promised and as it may be.
func work(d *disk.Disk, before string) (promised, taken string) {
	promised, taken = before, before
	s, r, err := Open(d, options)
	if err != nil {
		return
	}
	defer s.Close()
	state := fold(r)
	if s.Compact([]byte(state)) != nil {
		return
	}
	for i := range 12 {
		if i%5 == 4 && s.Compact([]byte(state)) != nil {
			return
		}
		record := fmt.Sprintf("%s.%d;", bytes.Repeat([]byte{'x'}, i*7), i)
		taken = state + record
		if s.Append([]byte(record)) != nil {
			return
		}
		state = taken
		promised = state
	}
	return
}

// Every operation of the file system is the one in which the machine crashes, with every fate of what was not
// synced: what is found then is the state as it was promised or the one that was about to be, never another, and
// the store goes on from there.
func TestCrashAtEveryOperation(t *testing.T) {
	seed := disk.New()
	before, _ := work(seed, "")
	points, cases := 0, 0
	for at := 1; ; at++ {
		for fate := range disk.Outcomes {
			for draw := range uint64(6) {
				d := seed.Clone()
				d.CrashAt = at
				promised, taken := work(d, before)
				if d.Operations() < at { // it never came so far
					if points < 60 {
						t.Fatalf("only %d operations", points)
					}
					t.Logf("%d operations, %d crashes", points, cases)
					return
				}
				cases++
				found := d.AfterCrash(fate, draw)
				r, err := Recover(found, options)
				if got := fold(r); err != nil || got != promised && got != taken {
					t.Fatalf("crash at %d, fate %d, draw %d: %v, found %d bytes, want %d or %d", at, fate, draw, err,
						len(got), len(promised), len(taken))
				}
				if goesOn, _ := work(found, fold(r)); len(goesOn) <= len(promised) {
					t.Fatalf("crash at %d, fate %d: the store did not go on", at, fate)
				}
			}
		}
		points++
	}
}

// A crash in the recovery after a crash.
func TestCrashesInARow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, promised, taken := disk.New(), "", ""
		for range rapid.IntRange(1, 6).Draw(t, "crashes") {
			d.CrashAt = rapid.IntRange(1, 70).Draw(t, "at")
			promised, taken = work(d, promised)
			d = d.AfterCrash(disk.Outcome(rapid.IntRange(0, int(disk.Outcomes)-1).Draw(t, "fate")), rapid.Uint64().Draw(t, "draw"))
			r, err := Recover(d, options)
			if got := fold(r); err != nil || got != promised && got != taken {
				t.Fatalf("%v: found %d bytes, want %d or %d", err, len(got), len(promised), len(taken))
			} else {
				promised = got
			}
		}
	})
}

// Errors of the file system at every operation: the store says so and, once they are over, begins anew with all
// that it holds.
func TestErrorsAtEveryOperation(t *testing.T) {
	for _, errno := range []error{syscall.ENOSPC, syscall.EROFS, syscall.EIO} {
		for at := 4; at < 60; at++ {
			for length := range 3 {
				d := disk.New()
				d.Fail = func(op string, n int) error {
					if n >= at && n <= at+length*4 && op != "lock" && op != "mkdir" {
						return errno
					}
					return nil
				}
				s, _, err := Open(d, options)
				if err != nil {
					t.Fatal(err)
				}
				state, promised := "", ""
				for i := range 12 {
					record := fmt.Sprintf("%d;", i)
					state += record
					if s.NeedsCompaction() || i == 6 {
						err = s.Compact([]byte(state))
					} else {
						err = s.Append([]byte(record))
					}
					if err == nil {
						promised = state
					} else if !errors.Is(err, errno) {
						t.Fatalf("at %d: %v", at, err)
					}
				}
				for range 20 { // the fault passes
					if err = s.Compact([]byte(state)); err == nil {
						break
					}
				}
				if err != nil || s.Append([]byte("end;")) != nil {
					t.Fatalf("at %d: did not go on: %v", at, err)
				}
				if r, err := Recover(d.AfterCrash(disk.LoseUnsynced, 0), options); err != nil || fold(r) != state+"end;" {
					t.Fatalf("at %d: %v: %q, want %q (promised %q)", at, err, fold(r), state, promised)
				}
			}
		}
	}
}

// Every byte of every file flipped, and every file cut at every byte: what is found is a state that was true, and
// what is lost of it is reported.
func TestEveryByteAndEveryLength(t *testing.T) {
	d := disk.New()
	work(d, "")
	whole, err := Recover(d, options)
	if err != nil || len(whole.Damage()) > 0 {
		t.Fatal(err, whole.Damage())
	}
	true_ := fold(whole)
	check := func(what string, changed *disk.Disk) {
		r, err := Recover(changed, options)
		if err != nil {
			t.Fatalf("%s: %v", what, err)
		}
		if got := fold(r); len(got) > len(true_) || got != true_[:len(got)] {
			t.Fatalf("%s: found %q, which was never true", what, got)
		}
	}
	for _, f := range whole.Files {
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
					t.Fatalf("%s byte %d ^%x: nothing is told", f.Name, i, bit)
				}
			}
			c := d.Clone()
			c.SetFile(name, content[:i])
			check(fmt.Sprintf("%s cut at %d", f.Name, i), c)
		}
	}
}

// The newest snapshot can't be read: the one before it and the logs recover the same state.
func TestOlderGenerationGivesTheSame(t *testing.T) {
	d := disk.New()
	want, _ := work(d, "")
	r, _ := Recover(d, options)
	newest := filepath.Join("d", r.Files[0].Name)
	b := d.FileContent(newest)
	b[len(b)-1]++
	d.SetFile(newest, b)
	r, err := Recover(d, options)
	if err != nil || !r.Fallback || r.RecordsLost || fold(r) != want {
		t.Fatalf("%v: fallback %v, lost %v: %q, want %q", err, r.Fallback, r.RecordsLost, fold(r), want)
	}
	if got, _ := work(d, fold(r)); len(got) <= len(want) {
		t.Fatal("did not go on")
	}
}

func TestRefusesOthers(t *testing.T) {
	d := disk.New()
	work(d, "")
	r, _ := Recover(d, options)
	if o, err := Recover(d, Options{Folder: "d", Tag: "ELSE"}); err != nil || o.Snapshot != nil || !o.RecordsLost ||
		!errors.Is(o.Files[0].Err, ErrTag) {
		t.Errorf("another's: %+v", o)
	}
	for _, f := range r.Files {
		if f.Snapshot {
			b := d.FileContent(filepath.Join("d", f.Name))
			b[5] = Version + 1
			d.SetFile(filepath.Join("d", f.Name), b)
		}
	}
	if o, err := Recover(d, options); err != nil || o.Snapshot != nil || !errors.Is(o.Files[0].Err, ErrVersion) {
		t.Errorf("newer: %+v", o)
	}
	if _, _, err := Open(d, Options{Folder: "d", Tag: "long one"}); err == nil {
		t.Error("a tag of eight bytes")
	}
	if _, _, err := Open(d, Options{Folder: "d", Tag: "TEST", Limit: 10}); err == nil {
		t.Error("a cap of ten bytes")
	}
}

func TestCapOnSize(t *testing.T) {
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
	if err := s.Append([]byte("goes on")); err != nil {
		t.Error(err)
	}
}

// On the machine's own file system: one process at a time, callers share syncs, two generations are kept.
func TestOnTheMachine(t *testing.T) {
	o := Options{Folder: filepath.Join(t.TempDir(), "a", "b"), Tag: "TEST"}
	s, _, err := Open(OS{}, o)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := Open(OS{}, o); !errors.Is(err, ErrLocked) {
		t.Fatalf("a second one: %v", err)
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
		t.Error("goes on when closed")
	}
	if s, r, err = Open(OS{}, o); err != nil || len(r.Records) != 500 {
		t.Fatal(err)
	}
	s.Close()
	if r, err := Recover(OS{}, Options{Folder: o.Folder + "/none", Tag: "TEST"}); err != nil || r.RecordsLost || r.Snapshot != nil {
		t.Fatalf("%v %+v", err, r)
	}
}

// Whatever the files hold, recovery ends without a panic, and returns nothing that no checksum covers.
func FuzzRecover(f *testing.F) {
	d := disk.New()
	work(d, "")
	r, _ := Recover(d, options)
	whole := fold(r)
	f.Add(d.FileContent(filepath.Join("d", r.Files[0].Name)), d.FileContent(filepath.Join("d", r.Files[1].Name)))
	f.Fuzz(func(t *testing.T, snapshot, log []byte) {
		c := disk.New()
		c.SetFile(filepath.Join("d", r.Files[0].Name), snapshot)
		c.SetFile(filepath.Join("d", r.Files[1].Name), log)
		got, err := Recover(c, options)
		if text := fold(got); err != nil || len(text) > len(whole) || text != whole[:len(text)] {
			t.Fatalf("%v: %q", err, text)
		}
	})
}
