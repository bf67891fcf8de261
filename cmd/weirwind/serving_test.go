package main

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"weirwind/internal/pgwire"
)

func TestClientsAreServed(t *testing.T) {
	m := newMember(t, "m", answersAs("writer"))
	p := newPlatform(t, m).start(t)
	c := p.dial()
	c.Write([]byte("\x00\x00\x00\x08\x04\xd2\x16\x2f")) // SSLRequest
	if b, _ := c.r.ReadByte(); b != 'N' {
		t.Fatalf("SSLRequest answered by %q", b)
	}
	first := pgwire.AppendQuery(pgwire.AppendStartupMessage(nil, "svc", "main"), read(900)) // a query directly after the startup message
	for i := range first {
		c.Write(first[i : i+1])
	}
	c.receive()
	kinds, result := c.receive()
	expect(t, kinds, result, ackedKinds, "v:SELECT")
	kinds, result = c.query(" ")
	expect(t, kinds, result, "IZ", "")
	c.Write(pgwire.AppendQuery(pgwire.AppendQuery(nil, write(900)), read(900))) // two queries at once
	kinds, result = c.receive()
	expect(t, kinds, result, ackedKinds, "v:INSERT")
	kinds, result = c.receive()
	expect(t, kinds, result, ackedKinds, "v:SELECT")
	for range 3 {
		q := next(t, m.queries)
		if !strings.Contains(q, "id=9b1f03aa") || !strings.Contains(q, "d=9") && !strings.Contains(q, "d=8") {
			t.Errorf("the member got %q", q)
		}
	}
	big := strings.Repeat("\x00\xffab", 1<<14)
	m.setAnswer(func(string) []byte { return row(big, "writer") })
	long := strings.Replace(write(900), "9f03", strings.Repeat("9f03", 1<<15), 1)
	if kinds, result = c.query(long); kinds != ackedKinds || result != big {
		t.Errorf("64 KiB came back as %q, %d bytes", kinds, len(result))
	}
	if q := next(t, m.queries); len(q) < 1<<17 {
		t.Errorf("64 KiB went out as %d bytes", len(q))
	}
	c.Write([]byte("X\x00\x00\x00\x04"))
	if line := p.waitForLog("event=client_closed"); field(line, "reason") != "terminate" || field(line, "ops") != "4" {
		t.Error(line)
	}
}

// Each row of the outcome table, with a write that must not run twice: it is rejected only if the row proves that it
// has not run; otherwise it is sent once and answered at once.
func TestOutcomesOfWrites(t *testing.T) {
	for name, x := range map[string]struct {
		answer     func(string) []byte
		wantResult string
		once       bool
	}{
		"served":  {answersAs("writer"), "v:INSERT", true},
		"error":   {func(string) []byte { return errorAnswer("XX000", "writer") }, pgwire.CodeSystemError, true},
		"unknown": {func(string) []byte { return errorAnswer("57P03", "writer") }, pgwire.CodeSystemError, true},
		"miss":    {func(string) []byte { return errorAnswer("25006", "reader") }, pgwire.CodeTooManyConnections, false},
		"full":    {func(string) []byte { return errorAnswer("53300", "writer") }, pgwire.CodeTooManyConnections, false},
		"reset":   {func(string) []byte { return nil }, pgwire.CodeSystemError, true},
		"half":    {func(string) []byte { return row("v", "writer")[:40] }, pgwire.CodeSystemError, true},
		"stalls":  {func(string) []byte { return row("v", "writer")[:40] }, pgwire.CodeSystemError, true},
		"no row":  {func(string) []byte { return append(msg('C', "SELECT 0\x00"), roleStatus("writer")...) }, pgwire.CodeSystemError, true},
		"garbage": {func(string) []byte { return []byte("\x00\x00\x00\x00\x00\x00\x00") }, pgwire.CodeSystemError, true},
		"silence": {func(string) []byte { <-never; return nil }, pgwire.CodeSystemError, true},
		"invalid status": {func(string) []byte {
			return append(row("v", "king")[:60], pgwire.AppendReadyForQuery(msg('S', "commit_clock\x009e99\x00"))...)
		}, "v", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMember(t, "m", x.answer)
			m.closesAfterAnswer.Store(name == "half")
			p := newPlatform(t, m).start(t)
			c := p.connect()
			startedAt := time.Now()
			kinds, result := c.query(write(1000))
			if result[:1] == "v" {
				expect(t, kinds, result, ackedKinds, x.wantResult)
			} else {
				expect(t, kinds, result, "EZ", x.wantResult)
			}
			if took := time.Since(startedAt); x.once && name != "silence" && took > 900*time.Millisecond {
				t.Errorf("answered after %v, want at once", took)
			}
			if n := len(m.queries); x.once && n != 1 || n == 0 {
				t.Errorf("sent %d times", n)
			}
		})
	}
}

// If the last byte was not written, the write can't have run: it is rejected, not reported as failed.
func TestUnreachableMembers(t *testing.T) {
	refusing := newMember(t, "m", answersAs("writer"))
	refusing.ln.Close()
	unresponsive := newMember(t, "m", answersAs("writer"))
	unresponsive.acceptsStartup = false
	for name, m := range map[string]*member{"refused": refusing, "never up": unresponsive} {
		p := newPlatform(t, m).start(t)
		kinds, result := p.connect().query(write(300))
		expect(t, kinds, result, "EZ", pgwire.CodeTooManyConnections)
		if n := field(p.counters(), "noconnection"); n == "0" || len(m.queries) > 0 {
			t.Errorf("%s: %s without connection, %d sent", name, n, len(m.queries))
		}
	}
}

// A read is retried at another member, and a member whose connection broke three times is not used for the next read.
func TestReadsFailOver(t *testing.T) {
	w := newMember(t, "w", answersAs("writer"))
	r := newMember(t, "r", func(string) []byte { return nil })
	c := newPlatform(t, w, r).start(t).connect()
	for range 5 {
		kinds, result := c.query(read(900))
		expect(t, kinds, result, ackedKinds, "v:SELECT")
	}
	if len(r.queries) != 3 {
		t.Errorf("%d sends to the member that breaks connections", len(r.queries))
	}
}

// A read with a staleness bound is not sent to a member whose connection took so long to open that its known position
// has become too old; it is sent to another member.
func TestSlowConnectCausesNoStaleRead(t *testing.T) {
	w, r := newMember(t, "w", answersAs("writer")), newMember(t, "r", answersAs("reader"))
	s := newPlatform(t, w, r)
	s.settings["policy_limits"].(map[string]any)["connect_timeout"] = 5000000
	c := s.start(t).connect()
	r.closesAfterAnswer.Store(true)
	c.query(read(900)) // shows r's position
	next(t, r.closed)
	r.startupDelay.Store(100)
	kinds, result := c.query(statement("recent", 900))
	expect(t, kinds, result, ackedKinds, "v:SELECT")
	if len(r.queries) != 1 || len(w.queries) != 1 {
		t.Errorf("%d sends to the replica, %d to the primary", len(r.queries), len(w.queries))
	}
}

func TestClientDisconnectCancelsSend(t *testing.T) {
	m := newMember(t, "m", func(string) []byte { <-never; return nil })
	m.setAnswer(func(string) []byte { return []byte{} })
	p := newPlatform(t, m).start(t)
	c := p.connect()
	c.Write(pgwire.AppendQuery(nil, read(900000)))
	next(t, m.queries)
	c.Close()
	next(t, m.closed)
	if line := p.waitForLog("event=client_closed"); field(line, "reason") != "left" {
		t.Error(line)
	}
	if line := p.counters(); field(line, "left") != "1" || field(line, "cancelled") != "1" {
		t.Error(line)
	}
}

// The pending answer to a client that disconnected may arrive; its connection is then reused for the next op.
func TestClientDisconnectKeepsMemberConnection(t *testing.T) {
	release := make(chan struct{})
	m := newMember(t, "m", func(q string) []byte { <-release; return row("v:"+q[:6], "writer") })
	s := newPlatform(t, m)
	s.settings["profiles"].([]any)[0].(map[string]any)["aim"] = 20e6
	p := s.start(t)
	c := p.connect()
	c.Write(pgwire.AppendQuery(nil, read(20000)))
	next(t, m.queries)
	c.Close()
	p.waitForLog("event=client_closed")
	close(release)
	for field(p.counters(), "reused") == "0" {
		kinds, result := p.connect().query(read(20000))
		expect(t, kinds, result, ackedKinds, "v:SELECT")
	}
	if line := p.counters(); field(line, "left") != "1" || field(line, "cancelled") != "0" {
		t.Error(line)
	}
}

// Connections are reused, and an idle connection that the member closed fails no op.
func TestMemberConnectionsAreReused(t *testing.T) {
	m := newMember(t, "m", answersAs("writer"))
	s := newPlatform(t, m)
	s.settings["policy_limits"].(map[string]any)["conn_idle"] = 1500000
	p := s.start(t)
	c := p.connect()
	for range 5 {
		kinds, result := c.query(write(900))
		expect(t, kinds, result, ackedKinds, "v:INSERT")
	}
	if line := p.counters(); field(line, "dials") != "1" || field(line, "reused") != "4" {
		t.Error(line)
	}
	if line := p.waitForLog("event=member_closed"); field(line, "reason") != "idle" {
		t.Error(line)
	}
	next(t, m.closed)
	m.closesAfterAnswer.Store(true)
	for range 3 { // the member closes after each answer, which must not affect ops
		kinds, result := c.query(write(900))
		expect(t, kinds, result, ackedKinds, "v:INSERT")
		next(t, m.closed)
	}
	if line := p.counters(); field(line, "broken") != "2" {
		t.Error(line)
	}
}

// A successful answer without its last message is delivered.
func TestTruncatedAnswerIsDelivered(t *testing.T) {
	complete := row("v", "writer")
	m := newMember(t, "m", func(string) []byte { return complete[:len(complete)-6] })
	kinds, result := newPlatform(t, m).start(t).connect().query(write(900))
	expect(t, kinds, result, ackedKinds, "v")
}

// If status reports come by probes, these find the primary of a group without one.
func TestProbesFindThePrimary(t *testing.T) {
	report := func(role int) string { return fmt.Sprintf("x0=%.3f,x1=%d", float64(time.Now().UnixMilli())/1000, role) }
	respondAs := func(role string, n int) func(string) []byte {
		return func(q string) []byte {
			switch {
			case q == "SHOW usage":
				return row(report(n), role)
			case role == "reader" && strings.HasPrefix(q, "INSERT"):
				return errorAnswer("25006", role)
			}
			return row("v:"+q[:6], role)
		}
	}
	s := newPlatform(t, newMember(t, "old", respondAs("reader", 0)), newMember(t, "new", respondAs("writer", 1)))
	s.settings["report"] = map[string]any{"fields": []string{"x0", "x1"}, "source": "pull"}
	s.settings["policy_limits"].(map[string]any)["may_probe"] = true
	kinds, result := s.start(t).connect().query(write(5000))
	expect(t, kinds, result, ackedKinds, "v:INSERT")
}
