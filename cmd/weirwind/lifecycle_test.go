package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"weirwind/internal/pgwire"
)

// After SIGTERM accepted requests are answered, late connections are served, and the exit code is 0.
func TestGracefulShutdownLosesNoRequest(t *testing.T) {
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
	kinds, result := late.query(read(900))
	expect(t, kinds, result, ackedKinds, "v")
	kinds, _ = late.receive()
	expect(t, kinds, "", ".", "")
	kinds, _ = idle.receive()
	expect(t, kinds, "", ".", "")
	close(release)
	kinds, result = busy.receive()
	expect(t, kinds, result, ackedKinds, "v")
	if line := p.waitForLog("event=stopped"); field(line, "acked") != "2" || field(line, "clientsopen") != "0" {
		t.Error(line)
	}
	if err := next(t, p.exited); err != nil {
		t.Error(err)
	}
}

func TestRestartAfterKill(t *testing.T) {
	m := newMember(t, "m", answersAs("writer"))
	s := newPlatform(t, m)
	p := s.start(t)
	s.config["listen"] = p.address
	c := p.connect()
	c.query(read(900))
	p.cmd.Process.Kill()
	next(t, p.exited)
	kinds, result := s.start(t).connect().query(write(900))
	expect(t, kinds, result, ackedKinds, "v:INSERT")
}

func TestInvalidConfigurationExitsWithOneLine(t *testing.T) {
	s := newPlatform(t, newMember(t, "m", answersAs("writer")))
	valid, _ := json.Marshal(s.config)
	for old, invalid := range map[string]string{
		string(valid):              "{",
		`"8c1f30d27a5be964"`:       `"x"`,
		`"listen":"127.0.0.1:0"`:   `"listen":"nowhere"`,
		`"sockets":1024`:           `"sockets":1`,
		`"connect_timeout":100000`: `"connect_timeout":0`,
		`"eventual"`:               `"odd"`,
		`"complete":true`:          `"complete":7`,
		`"name":"n0"`:              `"peer_listen":"x","peers_all":"y"`,
		`"discovery":`:             `"elsewhere":`,
	} {
		p := launch(t, strings.Replace(string(valid), old, invalid, 1), "")
		line := next(t, p.lines)
		if !strings.HasPrefix(line, "weirwind: ") || len(p.lines) > 0 {
			t.Errorf("%s: %s", invalid, line)
		}
		if next(t, p.exited); p.cmd.ProcessState.ExitCode() != 1 {
			t.Errorf("%s: exit code %d", invalid, p.cmd.ProcessState.ExitCode())
		}
	}
}

// The configured list is used while discovery is silent. Changes apply when they arrive; failed calls and invalid lists
// change nothing.
func TestFollowsDiscovery(t *testing.T) {
	a, b := newMember(t, "a", answersAs("writer")), newMember(t, "b", answersAs("reader"))
	s := newPlatform(t, a, b)
	p := s.start(t)
	c := p.connect()
	reads := func(of *member) {
		t.Helper()
		kinds, result := c.query(read(900))
		expect(t, kinds, result, ackedKinds, "v:SELECT")
		next(t, of.queries)
	}
	reads(b)
	s.expectRequest(t, "/discovery/hosts?since=41&timeout_ms=1500")
	s.changes <- s.list(42, false, "b=draining")
	s.expectRequest(t, "/discovery/hosts?since=42&timeout_ms=1500")
	reads(a)
	for _, invalid := range []string{"", "{}", strings.Replace(s.list(43, true, ""), `"up"`, `"odd"`, 1)} { // the first is a 503
		s.changes <- invalid
		next(t, s.requests)
		reads(a)
	}
	s.changes <- s.list(7, false, "b=up") // the revision went back: the complete list is requested
	s.expectRequest(t, "/discovery/hosts")
	reads(a)
	s.changes <- s.list(8, true, "")
	s.expectRequest(t, "/discovery/hosts?since=8&timeout_ms=1500")
	reads(b)
	s.changes <- s.list(9, false, "b=removed")
	s.expectRequest(t, "/discovery/hosts?since=9&timeout_ms=1500")
	reads(a)
	s.unresponsive.Store(true) // no response: the driver detects it, and requests again on a new connection
	p.waitForLog("event=list_failed")
	s.unresponsive.Store(false)
	s.changes <- s.list(10, false, "b=up")
	s.expectRequest(t, "/discovery/hosts?since=10&timeout_ms=1500")
	reads(b)
}

// On SIGHUP the pending watch on the old discovery ends at once, and the new one is asked for a complete list, whatever
// its revision. An unchanged or invalid file changes nothing, and no op is affected. SIGHUP and SIGTERM may arrive
// together.
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
	next(t, s.requests) // which stays without a response
	valid, _ := json.Marshal(s.config)
	for _, invalid := range []string{"", "{", string(valid[:len(valid)/2]), strings.Replace(string(valid), s.config["discovery"].(string), "x", 1)} {
		if line := p.reload(invalid); field(line, "event") != "reload_failed" {
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
		s.expectRequest(t, fmt.Sprintf("/discovery/hosts?since=%d&timeout_ms=1500", revision+1)) // no complete list is requested
		c.query(read(900))
		next(t, b.queries)
	}
	p.cmd.Process.Signal(syscall.SIGTERM)
	p.cmd.Process.Signal(syscall.SIGHUP)
	p.waitForLog("event=stopping")
	close(release)
	kinds, result := open.receive()
	expect(t, kinds, result, ackedKinds, "v:INSERT")
	if err := next(t, p.exited); err != nil {
		t.Error(err)
	}
}
