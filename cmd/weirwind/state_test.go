package main

// Restarts against stand-ins that have changed meanwhile: what the driver believes then, and what it does not.

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"weirwind/internal/durable"
	"weirwind/internal/learned"
	"weirwind/internal/pgwire"
)

// persistState switches state on, in a folder of the test's own.
func (s *platform) persistState(t *testing.T, more string) (folder string) {
	folder = filepath.Join(t.TempDir(), "state")
	s.operator = fmt.Sprintf("state {\n  folder = %q\n  save_every = \"50ms\"\n  %s\n}", folder, more)
	return folder
}

// waitForState waits until what is on disk is as wanted.
func waitForState(t *testing.T, folder string, want func(*learned.State) bool) *learned.State {
	t.Helper()
	for limit := time.Now().Add(patience); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		found, err := durable.Recover(durable.OS{}, durable.Options{Folder: folder, Tag: learned.Tag})
		if err != nil || found.Snapshot == nil {
			continue
		}
		if s, err := learned.Load(found.Snapshot, found.Records); err == nil && want(s) {
			return s
		}
	}
	t.Fatal("what was learned is not on disk")
	return nil
}

func primaryIs(id string) func(*learned.State) bool {
	return func(s *learned.State) bool { return s.Groups[3].Primary == id && s.Groups[3].InSlot }
}

// acceptsWrites answers as a primary, rejectsWrites as a replica.
var acceptsWrites = answersAs("writer")

func rejectsWrites(q string) []byte {
	if strings.HasPrefix(q, "INSERT") {
		return errorAnswer("25006", "reader")
	}
	return row("v:"+q[:6], "reader")
}

func countWrites(m *member) (n int) {
	for {
		select {
		case q := <-m.queries:
			if strings.HasPrefix(q, "INSERT") {
				n++
			}
		default:
			return n
		}
	}
}

// The list names the primary of the day's start. A run finds the one of now; the next one, after SIGTERM or SIGKILL,
// sends its first write there and nowhere else.
func TestRestartKnowsThePrimary(t *testing.T) {
	for name, signal := range map[string]os.Signal{"graceful": syscall.SIGTERM, "killed": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b, c := newMember(t, "a", rejectsWrites), newMember(t, "b", acceptsWrites), newMember(t, "c", rejectsWrites)
			s := newPlatform(t, a, b, c)
			folder := s.persistState(t, `switch_least = "60s"`)
			p := s.start(t)
			kinds, said := p.connect().query(write(1000))
			expect(t, kinds, said, acked, "v:INSERT")
			waitForState(t, folder, primaryIs("b"))
			p.stop(signal)
			countWrites(a)
			countWrites(b)
			countWrites(c)
			q := s.start(t)
			kinds, said = q.connect().query(write(1000))
			expect(t, kinds, said, acked, "v:INSERT")
			if x, y, z := countWrites(a), countWrites(b), countWrites(c); x != 0 || y != 1 || z != 0 {
				t.Errorf("the first write went to a %d times, to b %d, to c %d", x, y, z)
			}
		})
	}
}

// A kept primary older than any switch, which was deposed meanwhile and would still take a write, gets none: not
// by the state, nor by the list that names it.
func TestDeposedPrimaryGetsNoWrite(t *testing.T) {
	a, b, c := newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites), newMember(t, "c", rejectsWrites)
	s := newPlatform(t, a, b, c)
	folder := s.persistState(t, `switch_least = "1ms"`)
	p := s.start(t)
	kinds, said := p.connect().query(write(1000))
	expect(t, kinds, said, acked, "v:INSERT")
	waitForState(t, folder, primaryIs("a"))
	p.stop(syscall.SIGTERM)
	countWrites(a)
	b.setAnswer(acceptsWrites)
	q := s.start(t)
	for range 5 {
		kinds, said = q.connect().query(write(1000))
		expect(t, kinds, said, acked, "v:INSERT")
	}
	if x, y := countWrites(a), countWrites(b); x != 0 || y != 5 {
		t.Errorf("the deposed primary got %d writes, the new one %d", x, y)
	}
}

// Where nothing has changed, an old state costs a search: the others deny, and then the primary gets its writes.
func TestOldStateOfAPrimaryThatStillIs(t *testing.T) {
	a, b, c := newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites), newMember(t, "c", rejectsWrites)
	s := newPlatform(t, a, b, c)
	folder := s.persistState(t, `switch_least = "1ms"`)
	p := s.start(t)
	p.connect().query(write(1000))
	waitForState(t, folder, primaryIs("a"))
	p.stop(syscall.SIGKILL)
	kinds, said := s.start(t).connect().query(write(1000))
	expect(t, kinds, said, acked, "v:INSERT")
}

// A drain stays in force after a kill, though the start is configured with an older list and discovery is down.
func TestDrainToldBeforeAKillBindsAfterIt(t *testing.T) {
	a, b := newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites)
	s := newPlatform(t, a, b)
	folder := s.persistState(t, "")
	p := s.start(t)
	s.changes <- s.list(42, false, "b=draining")
	waitForState(t, folder, func(s *learned.State) bool { return s.Membership["b"].Phase == "draining" && s.Meta.Revision == 42 })
	p.stop(syscall.SIGKILL)
	s.lists.Close()
	for len(b.queries) > 0 {
		<-b.queries
	}
	q := s.start(t)
	if line := q.findInLog("state_recalled"); field(line, "from_kept") != "true" || field(line, "revision") != "42" {
		t.Error(line)
	}
	c := q.connect()
	for range 20 {
		kinds, said := c.query(read(1000))
		expect(t, kinds, said, acked, "v:SELECT")
	}
	if len(b.queries) > 0 {
		t.Errorf("%d ops sent to a member that was told to drain", len(b.queries))
	}
}

// A session that has written reads what it wrote, also after a kill right behind the answer, with state and
// without: no replica counts as fresh for it by what it said before.
func TestSessionReadsItsWriteAfterAKill(t *testing.T) {
	for _, keeps := range []bool{true, false} {
		a, b := newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites)
		s := newPlatform(t, a, b)
		s.settings["family_info"].(map[string]any)["needs_by_class"] = []string{"causal", "mutate", "eventual"}
		s.settings["family_info"].(map[string]any)["write_marks"] = "kept"
		if keeps {
			s.persistState(t, "")
		}
		p := s.start(t)
		c := p.connect()
		c.query(read(1000))
		kinds, said := c.query(write(1000))
		expect(t, kinds, said, acked, "v:INSERT")
		p.stop(syscall.SIGKILL)
		old := time.Now()
		b.setAnswer(func(q string) []byte { // its position stands still from before the kill
			return append(pgwire.AppendSingleRow(nil, "s"), roleStatusAt("reader", old.Add(-time.Millisecond))...)
		})
		c = s.start(t).connect()
		c.query(statement("recent", 1000)) // of any age: it may show the replica's position
		for range 10 {
			if kinds, said = c.query(read(1000)); kinds != acked || said == "s" {
				t.Fatalf("state kept: %v: heard %q saying %q, from a replica that lacks the write", keeps, kinds, said)
			}
		}
	}
}

// A disk fault is one log line and a counter; operations succeed, and saving resumes when it can.
func TestDiskTroubleHurtsNoOp(t *testing.T) {
	m := newMember(t, "m", acceptsWrites)
	s := newPlatform(t, m)
	folder := s.persistState(t, "")
	os.MkdirAll(filepath.Dir(folder), 0o700)
	if err := os.WriteFile(folder, nil, 0o600); err != nil { // where the folder should be stands a file
		t.Fatal(err)
	}
	p := s.start(t)
	p.findInLog("event=state_failed")
	serves := func() {
		t.Helper()
		kinds, said := p.connect().query(write(1000))
		expect(t, kinds, said, acked, "v:INSERT")
	}
	serves()
	os.Remove(folder)
	p.waitForLog("event=state_saved")
	waitForState(t, folder, primaryIs("m"))
	os.RemoveAll(folder) // gone while the driver is at it
	p.waitForLog("event=state_failed")
	serves()
	p.waitForLog("event=state_saved")
	waitForState(t, folder, primaryIs("m"))
	if line := p.counters(); field(line, "statefailed") < "2" || field(line, "errored") != "0" {
		t.Error(line)
	}

	q := s.start(t) // a second process at the same folder
	q.findInLog("event=state_failed")
	kinds, said := q.connect().query(write(1000))
	expect(t, kinds, said, acked, "v:INSERT")
	p.stop(syscall.SIGKILL)
	q.waitForLog("event=state_saved")
}

// Whatever stands in the files, the driver starts and serves.
func TestDamagedStateIsToldAndServedWithout(t *testing.T) {
	m := newMember(t, "m", acceptsWrites)
	s := newPlatform(t, m)
	folder := s.persistState(t, "")
	p := s.start(t)
	p.connect().query(write(1000))
	waitForState(t, folder, primaryIs("m"))
	p.stop(syscall.SIGTERM)
	names, _ := filepath.Glob(folder + "/*.*")
	for _, name := range names {
		b, _ := os.ReadFile(name)
		b[len(b)/2] ^= 0x55
		os.WriteFile(name, b, 0o600)
	}
	var out, problems bytes.Buffer
	if code := run([]string{"state", "verify", folder}, &out, &problems); code != 1 || !strings.Contains(out.String(), "damaged") {
		t.Errorf("verify: %d\n%s%s", code, &out, &problems)
	}
	q := s.start(t)
	q.findInLog("event=state_damaged")
	kinds, said := q.connect().query(write(1000))
	expect(t, kinds, said, acked, "v:INSERT")
	waitForState(t, folder, primaryIs("m"))
}

func TestLogAsJSON(t *testing.T) {
	s := newPlatform(t, newMember(t, "m", acceptsWrites))
	s.operator = "log {\n  format = \"json\"\n}"
	text, _ := json.Marshal(s.config)
	p := launch(t, string(text), s.operator)
	var line struct{ Time, Level, Event, Listen string }
	if err := json.Unmarshal([]byte(p.waitForLog(`"event":"serving"`)), &line); err != nil || line.Listen == "" || line.Level != "INFO" {
		t.Fatal(err, line)
	}
	p.address = line.Listen
	os.WriteFile(p.operator, []byte("log {\n  format = \"json\"\n  level = \"error\"\n}"), 0o600)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitForLog(`"event":"reloaded"`)
	os.WriteFile(p.operator, []byte("log {\n  volume = 11\n}"), 0o600) // a mistake changes nothing
	p.cmd.Process.Signal(syscall.SIGHUP)
	if line := p.waitForLog(`"event":`); !strings.Contains(line, "reload_failed") || !strings.Contains(line, "operator.hcl:2,3") {
		t.Error(line)
	}
	kinds, said := p.connect().query(write(1000))
	expect(t, kinds, said, acked, "v:INSERT")
}

func TestCommandLine(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	t.Setenv("WEIRWIND_OPERATOR", "")
	dir := t.TempDir()
	bad, folder := filepath.Join(dir, "bad.hcl"), filepath.Join(dir, "state")
	os.WriteFile(bad, []byte("state {\n}"), 0o600)
	b := learned.NewTable(learned.Config{Name: "n0"}, nil, learned.Timestamp{})
	b.StartRun(learned.Timestamp{Wall: 1767225600000})
	b.UpdateMembership(learned.Timestamp{Wall: 1767225600000}, 7, true, []learned.Entry{{ID: "m1", Address: "127.0.0.1:1", Group: 3, Phase: "up"},
		{ID: "m2", Address: "127.0.0.1:2", Group: 3, Phase: "draining"}})
	store, _, err := durable.Open(durable.OS{}, durable.Options{Folder: folder, Tag: learned.Tag})
	if err != nil || store.Compact(b.Snapshot()) != nil {
		t.Fatal(err)
	}
	run := func(code int, want string, args ...string) {
		t.Helper()
		var out, problems bytes.Buffer
		if got := run(args, &out, &problems); got != code || !strings.Contains(out.String()+problems.String(), want) {
			t.Errorf("%q: exit code %d, want %d with %q\n%s%s", args, got, code, want, &out, &problems)
		}
	}
	run(1, "PROXY_CONFIG names no file")
	run(1, "PROXY_CONFIG names no file", "run")
	run(0, "weirwind ", "version")
	run(0, "Examples:", "--help")
	run(2, "unknown flag --colour", "run", "--colour")
	run(2, "", "state", "show")
	run(2, "", "state", "forget", "--group", "three", folder)
	run(1, "nothing to check", "check")
	run(1, "bad.hcl:1,1: Bad value: state wants a folder.", "check", "--operator", bad)
	run(0, `folder       = "/var/lib/weirwind"`, "check", "--operator", "../../deploy/operator.hcl")
	run(1, "no such file", "check", "--config", filepath.Join(dir, "none"))
	run(1, "another process holds the folder", "state", "forget", folder)
	store.Close()
	run(0, "member m2: group 3 at 127.0.0.1:2, draining", "state", "show", folder)
	run(0, `"Revision": 7`, "state", "show", "--json", folder)
	run(0, "good, ", "state", "verify", folder)
	run(0, "1 entries forgotten", "state", "forget", "--member", "m2", folder)
	run(1, "nothing of that is kept", "state", "forget", "--member", "m2", folder)
	run(1, "no state", "state", "verify", filepath.Join(dir, "none"))
	run(1, "no state", "state", "forget", filepath.Join(dir, "none"))
	s := waitForState(t, folder, func(*learned.State) bool { return true })
	if len(s.Membership) != 1 || s.Meta.Revision != 7 {
		t.Errorf("%+v", s)
	}
}
