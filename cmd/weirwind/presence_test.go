package main

// Drivers that find each other in a registry.

import (
	"strings"
	"syscall"
	"testing"
)

// peer starts another driver of the same platform under a name of its own.
func (s *platform) startPeer(t *testing.T, name string) *program {
	t.Helper()
	s.config["name"], s.config["peer_listen"] = name, "127.0.0.1:0"
	s.settings["policy_limits"].(map[string]any)["peers"] = true
	return s.start(t)
}

// Drivers come, talk, go in order, are lost, and lose their leases: each of the others counts them.
func TestDriversFindEachOther(t *testing.T) {
	for _, dialect := range []string{"etcd", "consul"} {
		t.Run(dialect, func(t *testing.T) {
			t.Parallel()
			a, b := newMember(t, "a", acceptsWrites), newMember(t, "b", rejectsWrites)
			s := newPlatform(t, a, b)
			store, v := s.useRegistry(t, dialect, "drivers_prefix = \"weirwind/drivers/\"\n  lease = \""+map[string]string{"etcd": "1s", "consul": "10s"}[dialect]+"\"")
			p := s.startPeer(t, "n0")
			p.findInLog("event=presence announced=true")
			q := s.startPeer(t, "n1")
			p.findInLog("event=drivers count=2")
			q.findInLog("event=drivers count=2")
			c := q.connect()
			for range 50 {
				c.query(read(1000))
			}
			waitCounter(t, p, "messagesin")
			store.EndAllLeases() // as behind a pause, or a registry that forgot
			p.waitForLog("event=presence announced=false")
			p.waitForLog("event=presence announced=true")
			v.Down.Store(true) // a silent registry makes no driver conclude that it is alone
			v.CloseConnections()
			p.waitForLog("event=registry_failed")
			v.Down.Store(false)
			r := s.startPeer(t, "n2")
			line := p.findInLog("event=drivers count=3")
			if strings.Contains(strings.Join(p.before, "\n"), "count=1") {
				t.Errorf("thought to be alone before %s", line)
			}
			r.stop(syscall.SIGTERM) // it revokes its lease

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
	t.Fatalf("%s stays 0", name)
}

// Two drivers of one name: the second one says so and serves.
func TestTwoDriversOfOneName(t *testing.T) {
	m := newMember(t, "m", acceptsWrites)
	s := newPlatform(t, m)
	s.useRegistry(t, "etcd", "drivers_prefix = \"weirwind/drivers/\"\n  lease = \"5s\"")
	s.startPeer(t, "n0").findInLog("event=presence announced=true")
	q := s.startPeer(t, "n0")
	if line := q.findInLog("another driver has the name"); !strings.Contains(line, "announced=false") {
		t.Error(line)
	}
	kinds, said := q.connect().query(write(1000))
	expect(t, kinds, said, acked, "v:INSERT")
}

// A driver's machine is paused for longer than its lease: its peers go on without it, and it registers itself anew.
func TestLeaseLostDuringAPause(t *testing.T) {
	m := newMember(t, "m", acceptsWrites)
	s := newPlatform(t, m)
	s.useRegistry(t, "etcd", "drivers_prefix = \"weirwind/drivers/\"\n  lease = \"1s\"")
	p := s.startPeer(t, "n0")
	before := field(p.findInLog("event=presence announced=true"), "lease")
	q := s.startPeer(t, "n1")
	q.findInLog("event=drivers count=2")
	p.cmd.Process.Signal(syscall.SIGSTOP)
	q.waitForLog("event=drivers count=1")
	p.cmd.Process.Signal(syscall.SIGCONT)
	if line := p.waitForLog("event=presence announced=true"); field(line, "lease") == before {
		t.Error(line)
	}
	q.waitForLog("event=drivers count=2")
}
