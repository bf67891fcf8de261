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
	first := pgwire.AppendQuery(pgwire.AppendStartupMessage(nil, "svc", "main"), read(900)) // a query right behind
	for i := range first {
		c.Write(first[i : i+1])
	}
	c.receive()
	kinds, said := c.receive()
	expect(t, kinds, said, acked, "v:SELECT")
	kinds, said = c.query(" ")
	expect(t, kinds, said, "IZ", "")
	c.Write(pgwire.AppendQuery(pgwire.AppendQuery(nil, write(900)), read(900))) // two at once
	kinds, said = c.receive()
	expect(t, kinds, said, acked, "v:INSERT")
	kinds, said = c.receive()
	expect(t, kinds, said, acked, "v:SELECT")
	for range 3 {
		q := next(t, m.queries)
		if !strings.Contains(q, "id=9b1f03aa") || !strings.Contains(q, "d=9") && !strings.Contains(q, "d=8") {
			t.Errorf("the member got %q", q)
		}
	}
	big := strings.Repeat("\x00\xffab", 1<<14)
	m.setAnswer(func(string) []byte { return row(big, "writer") })
	long := strings.Replace(write(900), "9f03", strings.Repeat("9f03", 1<<15), 1)
	if kinds, said = c.query(long); kinds != acked || said != big {
		t.Errorf("64 KiB came back as %q, %d bytes", kinds, len(said))
	}
	if q := next(t, m.queries); len(q) < 1<<17 {
		t.Errorf("64 KiB went out as %d bytes", len(q))
	}
	c.Write([]byte("X\x00\x00\x00\x04"))
	if line := p.waitForLog("event=client_closed"); field(line, "reason") != "terminate" || field(line, "ops") != "4" {
		t.Error(line)
	}
}

// Each row of the outcome table, by a write that must not run twice: it is refused only where the row proves
// that it has not run, and otherwise sent once and answered at once.
func TestOutcomesOfWrites(t *testing.T) {
	for name, x := range map[string]struct {
		answer func(string) []byte
		said   string
		once   bool
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
		"silence": {func(string) []byte { <-forever; return nil }, pgwire.CodeSystemError, true},
		"spoilt note": {func(string) []byte {
			return append(row("v", "king")[:60], pgwire.AppendReadyForQuery(msg('S', "commit_clock\x009e99\x00"))...)
		}, "v", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newMember(t, "m", x.answer)
			m.hangsUp.Store(name == "half")
			p := newPlatform(t, m).start(t)
			c := p.connect()
			began := time.Now()
			kinds, said := c.query(write(1000))
			if said[:1] == "v" {
				expect(t, kinds, said, acked, x.said)
			} else {
				expect(t, kinds, said, "EZ", x.said)
			}
			if took := time.Since(began); x.once && name != "silence" && took > 900*time.Millisecond {
				t.Errorf("answered after %v: not at once", took)
			}
			if n := len(m.queries); x.once && n != 1 || n == 0 {
				t.Errorf("sent %d times", n)
			}
		})
	}
}

// Before the last byte was written nothing can have run: the write is rejected, and not reported as failed.
func TestMembersThatCannotBeReached(t *testing.T) {
	gone := newMember(t, "m", answersAs("writer"))
	gone.ln.Close()
	mute := newMember(t, "m", answersAs("writer"))
	mute.welcome = false
	for name, m := range map[string]*member{"refused": gone, "never up": mute} {
		p := newPlatform(t, m).start(t)
		kinds, said := p.connect().query(write(300))
		expect(t, kinds, said, "EZ", pgwire.CodeTooManyConnections)
		if n := field(p.counters(), "noconnection"); n == "0" || len(m.queries) > 0 {
			t.Errorf("%s: %s without connection, %d sent", name, n, len(m.queries))
		}
	}
}

// A read goes on to another member, and the one that broke three times is not used for the next.
func TestReadsGoElsewhere(t *testing.T) {
	w := newMember(t, "w", answersAs("writer"))
	r := newMember(t, "r", func(string) []byte { return nil })
	c := newPlatform(t, w, r).start(t).connect()
	for range 5 {
		kinds, said := c.query(read(900))
		expect(t, kinds, said, acked, "v:SELECT")
	}
	if len(r.queries) != 3 {
		t.Errorf("%d sends to the member that breaks connections", len(r.queries))
	}
}

// A read of bounded age is not sent to a member whose connection took so long to open that what is known of it
// has grown too old: it goes elsewhere.
func TestSlowConnectDoesNotMakeAReadStale(t *testing.T) {
	w, r := newMember(t, "w", answersAs("writer")), newMember(t, "r", answersAs("reader"))
	s := newPlatform(t, w, r)
	s.settings["policy_limits"].(map[string]any)["connect_timeout"] = 5000000
	c := s.start(t).connect()
	r.hangsUp.Store(true)
	c.query(read(900)) // shows r's position
	next(t, r.closed)
	r.lateBy.Store(100)
	kinds, said := c.query(statement("recent", 900))
	expect(t, kinds, said, acked, "v:SELECT")
	if len(r.queries) != 1 || len(w.queries) != 1 {
		t.Errorf("%d sends to the replica, %d to the primary", len(r.queries), len(w.queries))
	}
}

func TestClientThatLeavesEndsItsSend(t *testing.T) {
	m := newMember(t, "m", func(string) []byte { <-forever; return nil })
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

// What a client that left was waiting for may come in: its connection is good for the next op.
func TestClientThatLeavesCostsNoConnection(t *testing.T) {
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
		kinds, said := p.connect().query(read(20000))
		expect(t, kinds, said, acked, "v:SELECT")
	}
	if line := p.counters(); field(line, "left") != "1" || field(line, "cancelled") != "0" {
		t.Error(line)
	}
}

// An idle connection that the member has closed costs no op anything; one that is kept is used again.
func TestConnectionsAreKept(t *testing.T) {
	m := newMember(t, "m", answersAs("writer"))
	s := newPlatform(t, m)
	s.settings["policy_limits"].(map[string]any)["conn_idle"] = 1500000
	p := s.start(t)
	c := p.connect()
	for range 5 {
		kinds, said := c.query(write(900))
		expect(t, kinds, said, acked, "v:INSERT")
	}
	if line := p.counters(); field(line, "dials") != "1" || field(line, "reused") != "4" {
		t.Error(line)
	}
	if line := p.waitForLog("event=member_closed"); field(line, "reason") != "idle" {
		t.Error(line)
	}
	next(t, m.closed)
	m.hangsUp.Store(true)
	for range 3 { // the member closes after each answer: that must not show
		kinds, said := c.query(write(900))
		expect(t, kinds, said, acked, "v:INSERT")
		next(t, m.closed)
	}
	if line := p.counters(); field(line, "broken") != "2" {
		t.Error(line)
	}
}

// A good answer whose end does not come is not lost.
func TestAnswerWithoutItsEnd(t *testing.T) {
	whole := row("v", "writer")
	m := newMember(t, "m", func(string) []byte { return whole[:len(whole)-6] })
	kinds, said := newPlatform(t, m).start(t).connect().query(write(900))
	expect(t, kinds, said, acked, "v")
}

// Where reports come by probes, a group without a primary is searched by them.
func TestProbesFindThePrimary(t *testing.T) {
	report := func(role int) string { return fmt.Sprintf("x0=%.3f,x1=%d", float64(time.Now().UnixMilli())/1000, role) }
	say := func(role string, n int) func(string) []byte {
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
	s := newPlatform(t, newMember(t, "old", say("reader", 0)), newMember(t, "new", say("writer", 1)))
	s.settings["report"] = map[string]any{"fields": []string{"x0", "x1"}, "source": "pull"}
	s.settings["policy_limits"].(map[string]any)["may_probe"] = true
	kinds, said := s.start(t).connect().query(write(5000))
	expect(t, kinds, said, acked, "v:INSERT")
}
