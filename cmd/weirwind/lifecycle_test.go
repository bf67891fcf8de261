package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"weirwind/internal/pgwire"
)

// After SIGTERM what was taken is answered, connections that still come are served, and the exit code is 0.
func TestStopsWithoutLoss(t *testing.T) {
	release := make(chan struct{})
	m := newMember(t, "m", func(q string) []byte {
		if strings.Contains(q, "INSERT") {
			<-release
		}
		return row("v", "writer")
	})
	p := newPlatform(t, m).start(t)
	idle, busy := p.connect(), p.connect()
	busy.Write(pgwire.AppendQuery(nil, write(9000)))
	next(t, m.queries)
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.waitForLog("event=stopping")
	late := p.connect()
	kinds, said := late.query(read(900))
	expect(t, kinds, said, acked, "v")
	kinds, _ = late.receive()
	expect(t, kinds, "", ".", "")
	kinds, _ = idle.receive()
	expect(t, kinds, "", ".", "")
	close(release)
	kinds, said = busy.receive()
	expect(t, kinds, said, acked, "v")
	if line := p.waitForLog("event=stopped"); field(line, "acked") != "2" || field(line, "clientsopen") != "0" {
		t.Error(line)
	}
	if err := next(t, p.exited); err != nil {
		t.Error(err)
	}
}

func TestStartsAnewAfterAKill(t *testing.T) {
	m := newMember(t, "m", answersAs("writer"))
	s := newPlatform(t, m)
	p := s.start(t)
	s.config["listen"] = p.address
	c := p.connect()
	c.query(read(900))
	p.cmd.Process.Kill()
	next(t, p.exited)
	kinds, said := s.start(t).connect().query(write(900))
	expect(t, kinds, said, acked, "v:INSERT")
}

func TestBadConfigurationIsOneLineAndExitCode1(t *testing.T) {
	s := newPlatform(t, newMember(t, "m", answersAs("writer")))
	good, _ := json.Marshal(s.config)
	for old, bad := range map[string]string{
		string(good):               "{",
		`"8c1f30d27a5be964"`:       `"x"`,
		`"listen":"127.0.0.1:0"`:   `"listen":"nowhere"`,
		`"sockets":1024`:           `"sockets":1`,
		`"connect_timeout":100000`: `"connect_timeout":0`,
		`"eventual"`:               `"odd"`,
		`"complete":true`:          `"complete":7`,
		`"name":"n0"`:              `"peer_listen":"x","peers_all":"y"`,
		`"discovery":`:             `"elsewhere":`,
	} {
		p := launch(t, strings.Replace(string(good), old, bad, 1), "")
		line := next(t, p.lines)
		if !strings.HasPrefix(line, "weirwind: ") || len(p.lines) > 0 {
			t.Errorf("%s: %s", bad, line)
		}
		if next(t, p.exited); p.cmd.ProcessState.ExitCode() != 1 {
			t.Errorf("%s: exit code %d", bad, p.cmd.ProcessState.ExitCode())
		}
	}
}

// The list known at start is used while discovery is silent; changes count from the moment they arrive, and a
// failed call or a list that makes no sense changes nothing.
func TestKeepsUpWithTheList(t *testing.T) {
	a, b := newMember(t, "a", answersAs("writer")), newMember(t, "b", answersAs("reader"))
	s := newPlatform(t, a, b)
	p := s.start(t)
	c := p.connect()
	reads := func(of *member) {
		t.Helper()
		kinds, said := c.query(read(900))
		expect(t, kinds, said, acked, "v:SELECT")
		next(t, of.queries)
	}
	reads(b)
	s.expectRequest(t, "/discovery/hosts?since=41&timeout_ms=1500")
	s.changes <- s.list(42, false, "b=draining")
	s.expectRequest(t, "/discovery/hosts?since=42&timeout_ms=1500")
	reads(a)
	for _, bad := range []string{"", "{}", strings.Replace(s.list(43, true, ""), `"up"`, `"odd"`, 1)} { // first a 503
		s.changes <- bad
		next(t, s.asked)
		reads(a)
	}
	s.changes <- s.list(7, false, "b=up") // went back: the complete list is requested
	s.expectRequest(t, "/discovery/hosts")
	reads(a)
	s.changes <- s.list(8, true, "")
	s.expectRequest(t, "/discovery/hosts?since=8&timeout_ms=1500")
	reads(b)
	s.changes <- s.list(9, false, "b=removed")
	s.expectRequest(t, "/discovery/hosts?since=9&timeout_ms=1500")
	reads(a)
	s.mute.Store(true) // no sign of life: it is detected, and a new connection requests again
	p.waitForLog("event=list_failed")
	s.mute.Store(false)
	s.changes <- s.list(10, false, "b=up")
	s.expectRequest(t, "/discovery/hosts?since=10&timeout_ms=1500")
	reads(b)
}

// On SIGHUP the watch on the old discovery ends at once, though it waits there, and the new one is asked for a complete
// list, whatever its revision; what the same file or a bad one says disturbs nothing, and no op notices. SIGHUP
// and SIGTERM may come together.
func TestReload(t *testing.T) {
	release := make(chan struct{})
	a := newMember(t, "a", func(q string) []byte {
		if strings.HasPrefix(q, "INSERT") {
			<-release
		}
		return row("v:"+q[:6], "writer")
	})
	b := newMember(t, "b", answersAs("reader"))
	s := newPlatform(t, a, b)
	p := s.start(t)
	c, open := p.connect(), p.connect()
	open.Write(pgwire.AppendQuery(nil, write(20000)))
	next(t, a.queries)
	next(t, s.asked) // and no answer comes
	good, _ := json.Marshal(s.config)
	for _, bad := range []string{"", "{", string(good[:len(good)/2]), strings.Replace(string(good), s.config["discovery"].(string), "x", 1)} {
		if line := p.reload(bad); field(line, "event") != "reload_failed" {
			t.Error(line)
		}
	}
	for _, revision := range []int{7, 8, 3} {
		s = newPlatform(t, a, b)
		s.limits["sockets"] = 500
		text, _ := json.Marshal(s.config)
		if line := p.reload(string(text)); field(line, "event") != "reloaded" || field(line, "kept") != "limits" {
			t.Error(line)
		}
		s.expectRequest(t, "/discovery/hosts")
		s.changes <- s.list(revision, true, "b=draining")
		s.expectRequest(t, fmt.Sprintf("/discovery/hosts?since=%d&timeout_ms=1500", revision))
		c.query(read(900))
		next(t, a.queries)
		p.reload(string(text))
		s.changes <- s.list(revision+1, false, "b=up")
		s.expectRequest(t, fmt.Sprintf("/discovery/hosts?since=%d&timeout_ms=1500", revision+1)) // and no complete list
		c.query(read(900))
		next(t, b.queries)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitForLog("event=stopping")
	close(release)
	kinds, said := open.receive()
	expect(t, kinds, said, acked, "v:INSERT")
	if err := next(t, p.exited); err != nil {
		t.Error(err)
	}
}
