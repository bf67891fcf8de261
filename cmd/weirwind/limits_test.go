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

func TestInvalidInputAffectsOnlyItsConnection(t *testing.T) {
	m := newMember(t, "m", answersAs("writer"))
	p := newPlatform(t, m).start(t)
	validClient := p.connect()
	for input, kinds := range map[string]string{
		"\xff\xff\xff\xff\xff\xff\xff\xff":         "E.",
		"\x00\x00\x00\x08\x00\x09\x00\x00":         "E.",
		"\x00\x00\x00\x10\x04\xd2\x16\x2e12345678": ".", // CancelRequest
	} {
		c := p.dial()
		c.Write([]byte(input))
		got, result := c.receive()
		if expect(t, got, result, kinds, ""); kinds == "E." && result != pgwire.CodeProtocolViolation {
			t.Errorf("%q answered with %s", input, result)
		}
	}
	for query, code := range map[string]string{
		"SELECT 1":                pgwire.CodeProtocolViolation,
		read(900) + read(900):     pgwire.CodeProtocolViolation,
		statement("nothing", 900): pgwire.CodeInvalidParameterValue,
		strings.Replace(read(900), "cluster=3", "cluster=9", 1): pgwire.CodeInvalidParameterValue,
		strings.Replace(read(900), "d=900", "d=soon", 1):        pgwire.CodeProtocolViolation,
		strings.Replace(read(900), "d=900", "d=nan", 1):         pgwire.CodeProtocolViolation,
		strings.Replace(read(900), "d=900", "d=-9e2", 1):        pgwire.CodeProtocolViolation,
		strings.Replace(read(900), "id=9b", "id= b", 1):         pgwire.CodeProtocolViolation,
	} {
		kinds, result := validClient.query(query)
		expect(t, kinds, result, "EZ", code)
	}
	validClient.Write(append(append(msg('P', "x\x00\x00\x00\x00"), msg('E', "\x00\x00\x00\x00\x00")...), msg('S', "")...))
	kinds, result := validClient.receive()
	expect(t, kinds, result, "EZ", pgwire.CodeProtocolViolation)
	kinds, result = validClient.query(read(900))
	expect(t, kinds, result, ackedKinds, "v:SELECT")
	for _, input := range []string{"Q\x00\x00\x00\x02", "Q\x7f\xff\xff\xff", "?\x00\x00\x00\x04"} {
		c := p.connect()
		c.Write([]byte(input))
		kinds, result := c.receive()
		expect(t, kinds, result, "E.", pgwire.CodeProtocolViolation)
	}
	if len(m.queries) != 1 {
		t.Errorf("%d queries reached the member", len(m.queries))
	}
}

// Connections over the limit are rejected as busy while all others have open operations; the others continue.
func TestConnectionLimitRejectsAsBusy(t *testing.T) {
	release := make(chan struct{})
	m := newMember(t, "m", func(q string) []byte { <-release; return row("v:"+q[:6], "writer") })
	s := newPlatform(t, m)
	s.limits["sockets"] = 80
	p := s.start(t)
	var clients []*client
	for range 28 {
		c := p.connect()
		c.Write(pgwire.AppendQuery(nil, write(20000)))
		clients = append(clients, c)
	}
	for range 40 {
		c := p.dial()
		c.Write(pgwire.AppendQuery(pgwire.AppendStartupMessage(nil, "svc", "main"), read(900)))
		kinds, result := c.receive()
		expect(t, kinds, result, "E.", pgwire.CodeTooManyConnections)
		c.Close()
	}
	close(release)
	for _, c := range clients {
		kinds, result := c.receive()
		expect(t, kinds, result, ackedKinds, "v:INSERT")
	}
}

// Idle clients, and those that connect and send nothing, are closed in favour of clients with operations. A client with
// an open operation stays, and one that sends nothing is closed after a time even if there is capacity.
func TestIdleClientsAreEvicted(t *testing.T) {
	release := make(chan struct{})
	m := newMember(t, "m", answersAs("writer"))
	s := newPlatform(t, m)
	s.limits["sockets"] = 80
	p := s.start(t)
	startedAt := time.Now()
	silent, incomplete := p.dial(), p.connect()
	incomplete.Write([]byte("Q\x00\x00"))
	for _, c := range []*client{silent, incomplete} {
		kinds, _ := c.receive()
		if expect(t, kinds, "", ".", ""); time.Since(startedAt) > 3*time.Second {
			t.Errorf("closed after %v", time.Since(startedAt))
		}
	}
	var idle []*client
	for range 27 {
		c := p.connect()
		c.query(read(900))
		idle = append(idle, c)
	}
	for range 17 { // of 28 places, 18 are kept free in advance
		p.waitForLog("reason=made_room")
	}
	m.setAnswer(func(q string) []byte { <-release; return row("v:"+q[:6], "writer") })
	open := p.connect()
	open.Write(pgwire.AppendQuery(nil, write(20000)))
	for range 27 { // each is accepted as soon as an idle one may be closed
		for kinds := ""; kinds != "RSSSSKZ"; {
			c := p.dial()
			c.Write(pgwire.AppendQuery(pgwire.AppendStartupMessage(nil, "svc", "main"), read(20000)))
			if kinds, _ = c.receive(); kinds != "RSSSSKZ" {
				c.Close()
			}
		}
	}
	for _, c := range idle {
		kinds, _ := c.receive()
		expect(t, kinds, "", ".", "")
	}
	close(release)
	kinds, result := open.receive()
	expect(t, kinds, result, ackedKinds, "v:INSERT")
	p.waitForLog("reason=made_room")
}

// Of hundreds of concurrent commands a few are executed, and the others are rejected in order.
func TestManyCommandsAtOnce(t *testing.T) {
	m := newMember(t, "m", answersAs("writer"))
	c := newPlatform(t, m).start(t).connect()
	c.Write([]byte(strings.Repeat(string(pgwire.AppendQuery(nil, read(900))), 300)))
	results := map[string]int{}
	for range 300 {
		_, result := c.receive()
		results[result]++
	}
	if n := results["v:SELECT"]; n < 16 || n > 40 || results[pgwire.CodeTooManyConnections] != 300-n {
		t.Errorf("%v", results)
	}
}

// Large ops that exceed the memory limit are rejected at once, and the others are executed.
func TestMemoryIsBounded(t *testing.T) {
	s := newPlatform(t, newMember(t, "m", func(string) []byte { return []byte{} }))
	s.limits["memory_mb"], s.limits["sockets"] = 24, 400
	p := s.start(t)
	for range 120 {
		p.connect().Write(pgwire.AppendQuery(nil, strings.Replace(write(60000), "9f03", strings.Repeat("9f03", 1<<15), 1)))
	}
	const maxOps = 24 << 20 / 4 / (1 << 17) // a quarter of the limit
	busy, ops := 0, 0
	for line := ""; busy+ops < 120; {
		line = p.counters()
		busy, _ = strconv.Atoi(field(line, "busyreplied"))
		ops, _ = strconv.Atoi(field(line, "ops"))
	}
	if ops < maxOps-2 || ops > maxOps {
		t.Errorf("%d ops of 128 KiB accepted, %d rejected", ops, busy)
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, peak, _ := strings.Cut(string(status), "VmHWM:")
	t.Logf("%d ops accepted, %d rejected, peak memory %.20s", ops, busy, peak)
}
