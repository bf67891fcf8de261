package main

// Tests of restarts against members that changed in the meantime: which parts of its state the driver trusts.

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

// persistState enables persistent state, in a folder of the test.
func (s *platform) persistState(t *testing.T, extraSettings string) (folder string) {
	folder = filepath.Join(t.TempDir(), "state")
	s.operator = fmt.Sprintf("state {\n  folder = %q\n  save_every = \"50ms\"\n  %s\n}", folder, extraSettings)
	return folder
}

// waitForState waits until the state on disk is as wanted.
func waitForState(t *testing.T, folder string, want func(*learned.State) bool) *learned.State {
	t.Helper()
	for limit := time.Now().Add(testTimeout); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		recovered, err := durable.Recover(durable.OS{}, durable.Options{Folder: folder, Tag: learned.Tag})
		if err != nil || recovered.Snapshot == nil {
			continue
		}
		if s, err := learned.Load(recovered.Snapshot, recovered.Records); err == nil && want(s) {
			return s
		}
	}
	t.Fatal("the wanted state is not on disk")
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

// The configured list names a former primary. A run finds the current one; the next run, after SIGTERM or SIGKILL,
// sends its first write only there.
func TestRestartUsesSavedPrimary(t *testing.T) {
	for name, signal := range map[string]os.Signal{"graceful": syscall.SIGTERM, "killed": syscall.SIGKILL} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b, c := newMember(t, "a", rejectsWrites), newMember(t, "b", acceptsWrites), newMember(t, "c", rejectsWrites)
			s := newPlatform(t, a, b, c)
			folder := s.persistState(t, `switch_least = "60s"`)
			p := s.start(t)
			kinds, result := p.connect().query(write(1000))
			expect(t, kinds, result, ackedKinds, "v:INSERT")
			waitForState(t, folder, primaryIs("b"))
			p.stop(signal)
			countWrites(a)
			countWrites(b)
			countWrites(c)
			restarted := s.start(t)
			kinds, result = restarted.connect().query(write(1000))
			expect(t, kinds, result, ackedKinds, "v:INSERT")
			if x, y, z := countWrites(a), countWrites(b), countWrites(c); x != 0 || y != 1 || z != 0 {
				t.Errorf("the first write went to a %d times, to b %d, to c %d", x, y, z)
			}
		})
	}
}

// A saved primary that is older than a switchover, was deposed in the meantime and would still accept a write gets
// none, neither by the state nor by the list that names it.
func TestDeposedPrimaryGetsNoWrite(t *testing.T) {
	a, b, c := newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites), newMember(t, "c", rejectsWrites)
	s := newPlatform(t, a, b, c)
	folder := s.persistState(t, `switch_least = "1ms"`)
	p := s.start(t)
	kinds, result := p.connect().query(write(1000))
	expect(t, kinds, result, ackedKinds, "v:INSERT")
	waitForState(t, folder, primaryIs("a"))
	p.stop(syscall.SIGTERM)
	countWrites(a)
	b.setAnswer(acceptsWrites)
	restarted := s.start(t)
	for range 5 {
		kinds, result = restarted.connect().query(write(1000))
		expect(t, kinds, result, ackedKinds, "v:INSERT")
	}
	if x, y := countWrites(a), countWrites(b); x != 0 || y != 5 {
		t.Errorf("the deposed primary received %d writes, the new one %d", x, y)
	}
}

// If nothing has changed, an old state costs a search: the other members reject the write, then the primary gets it.
func TestStaleStateOfCurrentPrimary(t *testing.T) {
	a, b, c := newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites), newMember(t, "c", rejectsWrites)
	s := newPlatform(t, a, b, c)
	folder := s.persistState(t, `switch_least = "1ms"`)
	p := s.start(t)
	p.connect().query(write(1000))
	waitForState(t, folder, primaryIs("a"))
	p.stop(syscall.SIGKILL)
	kinds, result := s.start(t).connect().query(write(1000))
	expect(t, kinds, result, ackedKinds, "v:INSERT")
}

// A drain stays in force after a kill, even if the start is configured with an older list and discovery is down.
func TestDrainSurvivesKill(t *testing.T) {
	a, b := newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites)
	s := newPlatform(t, a, b)
	folder := s.persistState(t, "")
	p := s.start(t)
	s.changes <- s.list(42, false, "b=draining")
	waitForState(t, folder, func(s *learned.State) bool { return s.Membership["b"].Phase == "draining" && s.Meta.Revision == 42 })
	p.stop(syscall.SIGKILL)
	s.discovery.Close()
	for len(b.queries) > 0 {
		<-b.queries
	}
	restarted := s.start(t)
	if line := restarted.findInLog("state_recalled"); field(line, "from_kept") != "true" || field(line, "revision") != "42" {
		t.Error(line)
	}
	c := restarted.connect()
	for range 20 {
		kinds, result := c.query(read(1000))
		expect(t, kinds, result, ackedKinds, "v:SELECT")
	}
	if len(b.queries) > 0 {
		t.Errorf("%d ops sent to a draining member", len(b.queries))
	}
}

// A session that has written reads its write, also after a kill directly after the answer, with and without state: no
// replica counts as fresh by its position from before the kill.
func TestSessionReadsItsWriteAfterAKill(t *testing.T) {
	for _, persists := range []bool{true, false} {
		a, b := newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites)
		s := newPlatform(t, a, b)
		s.settings["family_info"].(map[string]any)["needs_by_class"] = []string{"causal", "mutate", "eventual"}
		s.settings["family_info"].(map[string]any)["write_marks"] = "kept"
		if persists {
			s.persistState(t, "")
		}
		p := s.start(t)
		c := p.connect()
		c.query(read(1000))
		kinds, result := c.query(write(1000))
		expect(t, kinds, result, ackedKinds, "v:INSERT")
		p.stop(syscall.SIGKILL)
		killedAt := time.Now()
		b.setAnswer(func(q string) []byte { // its position is still from before the kill
			return append(pgwire.AppendSingleRow(nil, "s"), roleStatusAt("reader", killedAt.Add(-time.Millisecond))...)
		})
		c = s.start(t).connect()
		c.query(statement("recent", 1000)) // without a staleness bound: it may report the replica's position
		for range 10 {
			if kinds, result = c.query(read(1000)); kinds != ackedKinds || result == "s" {
				t.Fatalf("state kept: %v: got %q with %q, from a replica that lacks the write", persists, kinds, result)
			}
		}
	}
}

// A disk fault causes a log line and a counter; operations succeed, and saving resumes when the disk recovers.
func TestStateDiskFaultFailsNoOp(t *testing.T) {
	m := newMember(t, "m", acceptsWrites)
	s := newPlatform(t, m)
	folder := s.persistState(t, "")
	os.MkdirAll(filepath.Dir(folder), 0o700)
	if err := os.WriteFile(folder, nil, 0o600); err != nil { // a file at the path of the folder
		t.Fatal(err)
	}
	p := s.start(t)
	p.findInLog("event=state_failed")
	serves := func() {
		t.Helper()
		kinds, result := p.connect().query(write(1000))
		expect(t, kinds, result, ackedKinds, "v:INSERT")
	}
	serves()
	os.Remove(folder)
	p.waitForLog("event=state_saved")
	waitForState(t, folder, primaryIs("m"))
	os.RemoveAll(folder) // the folder is removed while in use
	p.waitForLog("event=state_failed")
	serves()
	p.waitForLog("event=state_saved")
	waitForState(t, folder, primaryIs("m"))
	if line := p.counters(); field(line, "statefailed") < "2" || field(line, "errored") != "0" {
		t.Error(line)
	}

	second := s.start(t) // a second process with the same folder
	second.findInLog("event=state_failed")
	kinds, result := second.connect().query(write(1000))
	expect(t, kinds, result, ackedKinds, "v:INSERT")
	p.stop(syscall.SIGKILL)
	second.waitForLog("event=state_saved")
}

// The driver starts and serves whatever the files contain.
func TestDamagedStateIsReportedAndIgnored(t *testing.T) {
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
	restarted := s.start(t)
	restarted.findInLog("event=state_damaged")
	kinds, result := restarted.connect().query(write(1000))
	expect(t, kinds, result, ackedKinds, "v:INSERT")
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
	os.WriteFile(p.operator, []byte("log {\n  volume = 11\n}"), 0o600) // an invalid file changes nothing
	p.cmd.Process.Signal(syscall.SIGHUP)
	if line := p.waitForLog(`"event":`); !strings.Contains(line, "reload_failed") || !strings.Contains(line, "operator.hcl:2,3") {
		t.Error(line)
	}
	kinds, result := p.connect().query(write(1000))
	expect(t, kinds, result, ackedKinds, "v:INSERT")
}

func TestCommandLine(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	t.Setenv("WEIRWIND_OPERATOR", "")
	dir := t.TempDir()
	invalidFile, folder := filepath.Join(dir, "bad.hcl"), filepath.Join(dir, "state")
	os.WriteFile(invalidFile, []byte("state {\n}"), 0o600)
	table := learned.NewTable(learned.Config{Name: "n0"}, nil, learned.Timestamp{})
	table.StartRun(learned.Timestamp{Wall: 1767225600000})
	table.UpdateMembership(learned.Timestamp{Wall: 1767225600000}, 7, true, []learned.Entry{{ID: "m1", Address: "127.0.0.1:1", Group: 3, Phase: "up"},
		{ID: "m2", Address: "127.0.0.1:2", Group: 3, Phase: "draining"}})
	store, _, err := durable.Open(durable.OS{}, durable.Options{Folder: folder, Tag: learned.Tag})
	if err != nil || store.Compact(table.Snapshot()) != nil {
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
	run(1, "bad.hcl:1,1: Bad value: state wants a folder.", "check", "--operator", invalidFile)
	run(0, `folder       = "/var/lib/weirwind"`, "check", "--operator", "../../deploy/operator.hcl")
	run(1, "no such file", "check", "--config", filepath.Join(dir, "none"))
	run(1, "another process has locked the folder", "state", "forget", folder)
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
