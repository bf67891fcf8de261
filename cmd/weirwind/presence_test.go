package main

// Tests of drivers that detect each other through a registry.

import (
	"strings"
	"syscall"
	"testing"
)

// startPeer starts another driver of the same platform under its own name.
func (s *platform) startPeer(t *testing.T, name string) *program {
	t.Helper()
	s.config["name"], s.config["peer_listen"] = name, "127.0.0.1:0"
	s.settings["policy_limits"].(map[string]any)["peers"] = true
	return s.start(t)
}

// Drivers start, exchange messages, stop, and lose their leases: the others must count them correctly.
func TestDriversFindEachOther(t *testing.T) {
	for _, dialect := range []string{"etcd", "consul"} {
		t.Run(dialect, func(t *testing.T) {
			t.Parallel()
			a, b := newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites)
			s := newPlatform(t, a, b)
			store, v := s.useRegistry(t, dialect, "drivers_prefix = \"weirwind/drivers/\"\n  lease = \""+map[string]string{"etcd": "1s", "consul": "10s"}[dialect]+"\"")
			p := s.startPeer(t, "n0")
			p.findInLog("event=presence announced=true")
			second := s.startPeer(t, "n1")
			p.findInLog("event=drivers count=2")
			second.findInLog("event=drivers count=2")
			c := second.connect()
			for range 50 {
				c.query(read(1000))
			}
			waitCounter(t, p, "messagesin")
			store.EndAllLeases() // as after a pause, or by a registry that lost its data
			p.waitForLog("event=presence announced=false")
			p.waitForLog("event=presence announced=true")
			v.Down.Store(true) // an unavailable registry makes no driver conclude that it is alone
			v.CloseConnections()
			p.waitForLog("event=registry_failed")
			v.Down.Store(false)
			third := s.startPeer(t, "n2")
			line := p.findInLog("event=drivers count=3")
			if strings.Contains(strings.Join(p.earlierLines, "\n"), "count=1") {
				t.Errorf("counted one driver before %s", line)
			}
			third.stop(syscall.SIGTERM) // which revokes its lease

		})
	}
}

func waitCounter(t *testing.T, p *program, name string) {
	t.Helper()
	for range 1000 {
		if n := field(p.counters(), name); n != "0" {
			return
		}
	}
	t.Fatalf("%s is still 0", name)
}

// Of two drivers with the same name, the second one reports it and serves.
func TestDuplicateDriverName(t *testing.T) {
	m := newMember(t, "m", acceptsWrites)
	s := newPlatform(t, m)
	s.useRegistry(t, "etcd", "drivers_prefix = \"weirwind/drivers/\"\n  lease = \"5s\"")
	s.startPeer(t, "n0").findInLog("event=presence announced=true")
	second := s.startPeer(t, "n0")
	if line := second.findInLog("another driver has the name"); !strings.Contains(line, "announced=false") {
		t.Error(line)
	}
	kinds, result := second.connect().query(write(1000))
	expect(t, kinds, result, ackedKinds, "v:INSERT")
}

// A driver is suspended for longer than its lease: its peers count without it, and it registers itself again.
func TestLeaseLostDuringPause(t *testing.T) {
	m := newMember(t, "m", acceptsWrites)
	s := newPlatform(t, m)
	s.useRegistry(t, "etcd", "drivers_prefix = \"weirwind/drivers/\"\n  lease = \"1s\"")
	p := s.startPeer(t, "n0")
	before := field(p.findInLog("event=presence announced=true"), "lease")
	second := s.startPeer(t, "n1")
	second.findInLog("event=drivers count=2")
	p.cmd.Process.Signal(syscall.SIGSTOP)
	second.waitForLog("event=drivers count=1")
	p.cmd.Process.Signal(syscall.SIGCONT)
	if line := p.waitForLog("event=presence announced=true"); field(line, "lease") == before {
		t.Error(line)
	}
	second.waitForLog("event=drivers count=2")
}
