package main

// Tests of the program with a registry beside discovery, as observed at the members' sockets.

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"weirwind/internal/learned"
	"weirwind/internal/standin/kv"
)

const membersPrefix = "weirwind/members/"

// useRegistry starts a registry that holds the platform's members, and names it in the operators' file.
func (s *platform) useRegistry(t *testing.T, dialect, extraSettings string) (*kv.Store, *kv.Server) {
	t.Helper()
	store := kv.NewStore("c1")
	v := kv.Serve(store)
	t.Cleanup(func() { v.CloseConnections(); v.Close() })
	for i, m := range s.members {
		store.Put(membersPrefix+m.id, s.entry(i, "up"))
	}
	s.operator += fmt.Sprintf("registry %q {\n  endpoints = [%q]\n  silence = \"1s\"\n  %s\n}\n", dialect, v.URL, extraSettings)
	return store, v
}

func (s *platform) entry(i int, phase string) string {
	return fmt.Sprintf(`{"host_port":%q,"locality":"a","cell":3,"phase":%q,"access":%q}`, s.members[i].ln.Addr(), phase,
		[]string{"writer", "reader"}[min(i, 1)])
}

// A drain that is announced while the registry is unreachable applies when it is read: the member gets no operation
// after the grace period.
func TestDrainDuringRegistryOutage(t *testing.T) {
	for _, dialect := range []string{"etcd", "consul"} {
		t.Run(dialect, func(t *testing.T) {
			t.Parallel()
			var lastQueryAt atomic.Int64
			a := newMember(t, "a", acceptsWrites)
			b := newMember(t, "b", func(q string) []byte { lastQueryAt.Store(time.Now().UnixNano()); return rejectsWrites(q) })
			s := newPlatform(t, a, b)
			store, v := s.useRegistry(t, dialect, "")
			p := s.start(t)
			c := p.connect()
			reads := func(n int) {
				t.Helper()
				for range n {
					kinds, result := c.query(read(1000))
					expect(t, kinds, result, ackedKinds, "v:SELECT")
				}
			}
			reads(20)
			if lastQueryAt.Load() == 0 {
				t.Fatal("b is not used")
			}
			v.Down.Store(true)
			v.CloseConnections()
			p.waitForLog("event=registry_failed")
			store.Put(membersPrefix+"b", s.entry(1, "draining"))
			reads(20)
			v.Down.Store(false)
			for learned := false; !learned; {
				reads(1)
				select {
				case line := <-p.lines:
					learned = strings.Contains(line, "b=draining")
				default:
				}
			}
			learned := time.Now()
			reads(200)
			if late := time.Unix(0, lastQueryAt.Load()).Sub(learned); late > 0 {
				t.Errorf("an op reached the member %v after its drain was learned", late)
			}
			store.Put(membersPrefix+"b", s.entry(1, "up"))
			p.waitForLog("b=up")
			lastBefore := lastQueryAt.Load()
			if reads(50); lastQueryAt.Load() == lastBefore {
				t.Error("b is not used again")
			}
		})
	}
}

// A drain from the registry stays in force after a kill, without the registry and with discovery contradicting it.
func TestRegistryDrainSurvivesKill(t *testing.T) {
	a, b := newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites)
	s := newPlatform(t, a, b)
	folder := s.persistState(t, "")
	s.operator += "\n"
	store, v := s.useRegistry(t, "etcd", "")
	p := s.start(t)
	p.findInLog("registry leads")
	store.Put(membersPrefix+"b", s.entry(1, "draining"))
	waitForState(t, folder, func(s *learned.State) bool { return s.Membership["b"].Phase == "draining" })
	p.stop(syscall.SIGKILL)
	s.waitIdle()
	v.Down.Store(true)
	v.CloseConnections()
	for len(b.queries) > 0 {
		<-b.queries
	}
	s.changes <- s.list(50, true, "")
	restarted := s.start(t)
	restarted.findInLog("discovery leads")
	c := restarted.connect()
	for range 20 {
		kinds, result := c.query(read(1000))
		expect(t, kinds, result, ackedKinds, "v:SELECT")
	}
	if len(b.queries) > 0 {
		t.Errorf("%d ops sent to a draining member", len(b.queries))
	}
	store.Put(membersPrefix+"b", s.entry(1, "up"))
	v.Down.Store(false)
	restarted.waitForLog("b=up")
}

// The registry leads over an unchanged discovery, which takes over after the registry has been unreachable for a time.
func TestDiscoveryTakesOver(t *testing.T) {
	a, b, c := newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites), newMember(t, "c", rejectsWrites)
	s := newPlatform(t, a, b)
	s.members = append(s.members, c)
	store, v := s.useRegistry(t, "etcd", `take_over = "300ms"`)
	s.members = s.members[:2]
	p := s.start(t)
	s.changes <- s.list(50, true, "")
	if line := p.findInLog("c=up"); field(line, "source") != "registry" {
		t.Error(line)
	}
	store.Put(membersPrefix+"b", s.entry(1, "draining"))
	p.waitForLog("b=draining")
	v.Down.Store(true)
	v.CloseConnections()
	p.waitForLog("discovery leads instead of registry")
	if line := p.waitForLog("event=list "); !strings.Contains(line, "c=removed") || strings.Contains(line, "b=up") {
		t.Errorf("the registry's drain of b is lifted: %s", line)
	}
	v.Down.Store(false)
	p.waitForLog("registry leads instead of discovery")
}

// The driver serves if its registry was never reachable.
func TestServesWithoutItsRegistry(t *testing.T) {
	m := newMember(t, "m", acceptsWrites)
	s := newPlatform(t, m)
	s.operator = "registry \"etcd\" {\n  endpoints = [\"http://127.0.0.1:1\"]\n}"
	p := s.start(t)
	p.findInLog("event=registry_failed")
	kinds, result := p.connect().query(write(1000))
	expect(t, kinds, result, ackedKinds, "v:INSERT")
	p.stop(syscall.SIGTERM)
}

func TestRegistryCommands(t *testing.T) {
	t.Setenv("PROXY_CONFIG", "")
	s := newPlatform(t, newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites))
	store, _ := s.useRegistry(t, "etcd", "")
	file := filepath.Join(t.TempDir(), "operator.hcl")
	os.WriteFile(file, []byte(s.operator), 0o600)
	run := func(code int, want string, args ...string) {
		t.Helper()
		var out, problems bytes.Buffer
		if got := run(args, &out, &problems); got != code || !strings.Contains(out.String()+problems.String(), want) {
			t.Errorf("%q: exit code %d, want %d with %q\n%s%s", args, got, code, want, &out, &problems)
		}
	}
	run(0, "2 good entries", "registry", "check", "--operator", file)
	run(0, "member=b phase=up cell=3", "registry", "watch", "--for", "300ms", "--operator", file)
	store.Put(membersPrefix+"b", `{"host_port":"nowhere"}`)
	run(1, `entry b: unknown phase ""`, "registry", "check", "--operator", file)
	run(1, "no block registry", "registry", "check", "--operator", "")
}

// TestMeasureRegistry measures the time from a write in the registry to the driver's list, in steady state and after an
// interruption, as logged; and the idle memory with a registry.
func TestMeasureRegistry(t *testing.T) {
	for _, dialect := range []string{"etcd", "consul"} {
		s := newPlatform(t, newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites))
		store, v := s.useRegistry(t, dialect, "")
		p := s.start(t)
		p.findInLog("registry leads")
		idleMemory := residentMemory(t, p.cmd.Process.Pid)
		var steady, reconnected []time.Duration
		for i := range max(20, 10**restartCount) {
			phase := []string{"draining", "up"}[i%2]
			startedAt := time.Now()
			store.Put(membersPrefix+"b", s.entry(1, phase))
			p.waitForLog("b=" + phase)
			steady = append(steady, time.Since(startedAt))
		}
		for i := range max(2, *restartCount) {
			v.Down.Store(true)
			v.CloseConnections()
			p.waitForLog("registry_failed")
			phase := []string{"draining", "up"}[i%2]
			store.Put(membersPrefix+"b", s.entry(1, phase))
			v.Down.Store(false)
			startedAt := time.Now()
			p.waitForLog("b=" + phase)
			reconnected = append(reconnected, time.Since(startedAt))
			if *restartCount > 1 {
				time.Sleep(1500 * time.Millisecond) // consecutive interruptions use up the retry budget, which then adds a second each
			}
		}
		slices.Sort(steady)
		slices.Sort(reconnected)
		ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
		t.Logf("%s: from write to list, ms: steady median %.2f, p99 %.2f (%d); from the end of an interruption median %.1f, maximum %.1f (%d); idle memory, total and anonymous: %v KiB",
			dialect, ms(steady[len(steady)/2]), ms(steady[len(steady)*99/100]), len(steady), ms(reconnected[len(reconnected)/2]), ms(reconnected[len(reconnected)-1]), len(reconnected), idleMemory)
		p.stop(syscall.SIGKILL)
	}
}
