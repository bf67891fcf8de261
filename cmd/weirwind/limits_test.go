package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"weirwind/internal/pgwire"
)

func TestBadInputStaysWithItsConnection(t *testing.T) {
	m := newMember(t, "m", answersAs("writer"))
	p := newPlatform(t, m).start(t)
	good := p.connect()
	for in, kinds := range map[string]string{
		"\xff\xff\xff\xff\xff\xff\xff\xff":         "E.",
		"\x00\x00\x00\x08\x00\x09\x00\x00":         "E.",
		"\x00\x00\x00\x10\x04\xd2\x16\x2e12345678": ".", // CancelRequest
	} {
		c := p.dial()
		c.Write([]byte(in))
		got, said := c.receive()
		if expect(t, got, said, kinds, ""); kinds == "E." && said != pgwire.CodeProtocolViolation {
			t.Errorf("%q answered by %s", in, said)
		}
	}
	for in, code := range map[string]string{
		"SELECT 1":                pgwire.CodeProtocolViolation,
		read(900) + read(900):     pgwire.CodeProtocolViolation,
		statement("nothing", 900): pgwire.CodeInvalidParameterValue,
		strings.Replace(read(900), "cluster=3", "cluster=9", 1): pgwire.CodeInvalidParameterValue,
		strings.Replace(read(900), "d=900", "d=soon", 1):        pgwire.CodeProtocolViolation,
		strings.Replace(read(900), "d=900", "d=nan", 1):         pgwire.CodeProtocolViolation,
		strings.Replace(read(900), "d=900", "d=-9e2", 1):        pgwire.CodeProtocolViolation,
		strings.Replace(read(900), "id=9b", "id= b", 1):         pgwire.CodeProtocolViolation,
	} {
		kinds, said := good.query(in)
		expect(t, kinds, said, "EZ", code)
	}
	good.Write(append(append(msg('P', "x\x00\x00\x00\x00"), msg('E', "\x00\x00\x00\x00\x00")...), msg('S', "")...))
	kinds, said := good.receive()
	expect(t, kinds, said, "EZ", pgwire.CodeProtocolViolation)
	kinds, said = good.query(read(900))
	expect(t, kinds, said, acked, "v:SELECT")
	for _, in := range []string{"Q\x00\x00\x00\x02", "Q\x7f\xff\xff\xff", "?\x00\x00\x00\x04"} {
		c := p.connect()
		c.Write([]byte(in))
		kinds, said := c.receive()
		expect(t, kinds, said, "E.", pgwire.CodeProtocolViolation)
	}
	if len(m.queries) != 1 {
		t.Errorf("%d queries reached the member", len(m.queries))
	}
}

// Connections over the limit are rejected as busy where all others have operations; the others go on.
func TestFullIsABusyReply(t *testing.T) {
	release := make(chan struct{})
	m := newMember(t, "m", func(q string) []byte { <-release; return row("v:"+q[:6], "writer") })
	s := newPlatform(t, m)
	s.limits["sockets"] = 80
	p := s.start(t)
	var in []*client
	for range 28 {
		c := p.connect()
		c.Write(pgwire.AppendQuery(nil, write(20000)))
		in = append(in, c)
	}
	for range 40 {
		c := p.dial()
		c.Write(pgwire.AppendQuery(pgwire.AppendStartupMessage(nil, "svc", "main"), read(900)))
		kinds, said := c.receive()
		expect(t, kinds, said, "E.", pgwire.CodeTooManyConnections)
		c.Close()
	}
	close(release)
	for _, c := range in {
		kinds, said := c.receive()
		expect(t, kinds, said, acked, "v:INSERT")
	}
}

// Idle clients, and those that connect and send nothing, are closed in favour of those that come with operations. A
// client with an open operation stays, and one that sends nothing is closed in time even where there is capacity.
func TestIdleClientsMakeRoom(t *testing.T) {
	release := make(chan struct{})
	m := newMember(t, "m", answersAs("writer"))
	s := newPlatform(t, m)
	s.limits["sockets"] = 80
	p := s.start(t)
	began := time.Now()
	silent, half := p.dial(), p.connect()
	half.Write([]byte("Q\x00\x00"))
	for _, c := range []*client{silent, half} {
		kinds, _ := c.receive()
		if expect(t, kinds, "", ".", ""); time.Since(began) > 3*time.Second {
			t.Errorf("closed after %v", time.Since(began))
		}
	}
	var in []*client
	for range 27 {
		c := p.connect()
		c.query(read(900))
		in = append(in, c)
	}
	for range 17 { // of 28 places 18 are kept free before anybody wants them
		p.waitForLog("reason=made_room")
	}
	m.setAnswer(func(q string) []byte { <-release; return row("v:"+q[:6], "writer") })
	open := p.connect()
	open.Write(pgwire.AppendQuery(nil, write(20000)))
	for range 27 { // each is let in as soon as one of the idle ones may be ended
		for kinds := ""; kinds != "RSSSSKZ"; {
			c := p.dial()
			c.Write(pgwire.AppendQuery(pgwire.AppendStartupMessage(nil, "svc", "main"), read(20000)))
			if kinds, _ = c.receive(); kinds != "RSSSSKZ" {
				c.Close()
			}
		}
	}
	for _, c := range in {
		kinds, _ := c.receive()
		expect(t, kinds, "", ".", "")
	}
	close(release)
	kinds, said := open.receive()
	expect(t, kinds, said, acked, "v:INSERT")
	p.waitForLog("reason=made_room")
}

// Of hundreds of commands at once a few are carried through and the others refused, each in its turn.
func TestManyCommandsAtOnce(t *testing.T) {
	m := newMember(t, "m", answersAs("writer"))
	c := newPlatform(t, m).start(t).connect()
	c.Write([]byte(strings.Repeat(string(pgwire.AppendQuery(nil, read(900))), 300)))
	got := map[string]int{}
	for range 300 {
		_, said := c.receive()
		got[said]++
	}
	if n := got["v:SELECT"]; n < 16 || n > 40 || got[pgwire.CodeTooManyConnections] != 300-n {
		t.Errorf("%v", got)
	}
}

// Big ops that find no room in memory are refused at once, the others are carried through.
func TestMemoryIsBounded(t *testing.T) {
	s := newPlatform(t, newMember(t, "m", func(string) []byte { return []byte{} }))
	s.limits["memory_mb"], s.limits["sockets"] = 24, 400
	p := s.start(t)
	for range 120 {
		p.connect().Write(pgwire.AppendQuery(nil, strings.Replace(write(60000), "9f03", strings.Repeat("9f03", 1<<15), 1)))
	}
	const fit = 24 << 20 / 4 / (1 << 17) // a quarter of the limit
	busy, ops := 0, 0
	for line := ""; busy+ops < 120; {
		line = p.counters()
		busy, _ = strconv.Atoi(field(line, "busyreplied"))
		ops, _ = strconv.Atoi(field(line, "ops"))
	}
	if ops < fit-2 || ops > fit {
		t.Errorf("%d ops of 128 KiB taken, %d refused", ops, busy)
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	t.Logf("%d ops taken, %d refused, peak of memory %.20s", ops, busy, peak)
}
