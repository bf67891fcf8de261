package driver

import (
	"bufio"
	"bytes"
	"context"
	"log/slog"
	"math"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"weirwind/internal/discovery"
	"weirwind/internal/opening"
	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// quiet is a performer that remembers nothing.
type noActions struct{}

func (noActions) checkHealth(string) {}
func (noActions) sendToPeers([]byte) {}
func (noActions) requestList()       {}
func (noActions) logDecision(string) {}

func testDecider(t *testing.T, c clock) *decider {
	t.Helper()
	told, err := opening.Parse(
		[]byte(`{"tick":5000,"siblings":1,"family_info":{"needs_by_class":["lag_bound","causal","eventual"],`+
			`"oldest_data":[200000,0,0],"position_zero":382209024314,"write_marks":"brought"},"policy_limits":{"send_cap":4},`+
			`"profiles":[{"name":"r","aim":300000,"deadline":1e6,"effect":"repeatable"},`+
			`{"name":"s","aim":300000,"deadline":1e6,"effect":"repeatable"},`+
			`{"name":"a","aim":300000,"deadline":1e6,"effect":"repeatable"}]}`), 1)
	if err != nil {
		t.Fatal(err)
	}
	d := newDecider(c, told, noActions{})
	d.updateMembership(logic.ListCached, []discovery.Entry{{ID: "p", Phase: discovery.PhaseUp, Access: discovery.AccessWriter,
		Group: 1},
		{ID: "r", Phase: discovery.PhaseUp, Group: 1}})
	return d
}

// goes says where an op's first send goes, and leaves it there.
func (d *decider) firstMember(opType int, after float64) string {
	o := newOp(opType, pgwire.Statement{Group: 1, Timeout: 900, MinPosition: after})
	d.submit(o)
	for _, a := range o.pending {
		if a.Kind == logic.ActSend {
			return a.Member
		}
	}
	return ""
}

// stands is a clock that stands still; the wall clock's step of a real one can't be told from it.
func frozenClock() clock {
	at := time.Now()
	return newClock(func() time.Time { return at })
}

// Sockets carry Unix times; a replica's position is exactly as old for the module as it is on the clock, and
// position_zero of the settings plays no part. What leads the clock by too much is spoilt and left out.
func TestAgeOfDataAtTheEdgesOfABound(t *testing.T) {
	for _, x := range []struct {
		age  float64
		want string
	}{{199.5, "r"}, {200, "r"}, {200.5, "p"}, {100000, "p"}, {-maxPositionLead, "r"}, {-maxPositionLead - 1, "p"}, {-1e9, "p"}} {
		for _, by := range []string{"note", "report"} {
			c := frozenClock()
			d := testDecider(t, c)
			r := result{member: "r", outcome: logic.OK, rows: []byte{1}, role: logic.Replica, position: c.now() - x.age}
			if by == "report" {
				r.reportRole, r.reportPosition, r.role, r.position = r.role, r.position, 0, 0
				d.healthChecked("r", r, 0)
			} else {
				d.attemptEnded(d.submitTo(t, 2, "r"), 0, r)
			}
			if got := d.firstMember(0, 0); got != x.want {
				t.Errorf("data %g ms old by a %s: read sent to %q, want %q", x.age, by, got, x.want)
			}
		}
	}
}

// sent puts an op before the module that goes to a member.
func (d *decider) submitTo(t *testing.T, opType int, member string) *op {
	t.Helper()
	o := newOp(opType, pgwire.Statement{Group: 1, Timeout: 900, ID: strconv.AppendUint(nil, d.serial, 10)})
	if d.submit(o); len(o.pending) == 0 || o.pending[0].Member != member {
		t.Fatalf("%+v", o.pending)
	}
	return o
}

// The position that a session read must see is the age of that write, and back a position.
func TestSessionReadsFollowTheirWrite(t *testing.T) {
	c := frozenClock()
	now := c.now()
	for after, want := range map[float64]string{0: "r", now - 502: "r", now - 501: "r", now - 499: "p", now + 1e6: "p"} {
		d := testDecider(t, c)
		d.healthChecked("r", result{outcome: logic.OK, reportRole: logic.Replica, reportPosition: now - 500}, 0)
		if got := d.firstMember(1, after); got != want {
			t.Errorf("a write %.0f ms ago: sent to %q, want %q", now-after, got, want)
		}
	}
}

func TestClockRunsOnFromItsStart(t *testing.T) {
	at := time.Now()
	c := newClock(func() time.Time { return at })
	began := c.now()
	if math.Abs(began-float64(at.UnixMicro())/1000) > 0.001 {
		t.Errorf("starts at %f", began)
	}
	at = at.Add(1500 * time.Microsecond)
	if got := c.now() - began; math.Abs(got-1.5) > 0.001 {
		t.Errorf("1.5 ms later it is %g ms later", got)
	}
}

// What a member writes becomes an outcome, with what it tells of itself; what is spoilt is left out.
func TestAnswersOfMembers(t *testing.T) {
	status := func(name, value string) []byte {
		b := append(append([]byte(name), 0), append([]byte(value), 0)...)
		return frame('S', b)
	}
	rowOf := func(v string) []byte {
		b := append(bytes.Clone(described), frame('D', append([]byte{0, 1, 0, 0, 0, byte(len(v))}, v...))...)
		return append(b, frame('C', []byte("SELECT 1\x00"))...)
	}
	fail := func(code string) []byte { return pgwire.AppendErrorResponse(nil, "ERROR", code, "x", "") }
	ready := pgwire.AppendReadyForQuery(nil)
	for name, x := range map[string]struct {
		in    [][]byte
		want  result
		clean bool
	}{
		"ok": {[][]byte{rowOf("v"), status("server_role", "writer"), status("commit_clock", "123"), ready},
			result{outcome: logic.OK, role: logic.Primary, position: 123}, true},
		"report": {[][]byte{status("usage", "x0=1.5,inflight=7,x1=0"), rowOf("v"), ready},
			result{outcome: logic.OK, reportRole: logic.Replica, reportPosition: 1500}, true},
		"probe": {[][]byte{rowOf("x0=2,x1=1"), ready},
			result{outcome: logic.OK, reportRole: logic.Primary, reportPosition: 2000}, true},
		"value alike": {[][]byte{rowOf("x0=2,x1=1"), ready}, result{outcome: logic.OK}, true},
		"spoilt": {[][]byte{rowOf("v"), status("server_role", "wr"), status("commit_clock", "12x"),
			status("usage", "x0=9,x1=x"), ready}, result{outcome: logic.OK}, true},
		"spoilt report": {[][]byte{rowOf("v"), status("usage", "x0=9,x1=1,x2"), ready}, result{outcome: logic.OK}, true},
		"cut note":      {[][]byte{rowOf("v"), frame('S', []byte("server_role")), ready}, result{outcome: logic.OK}, true},
		"miss": {[][]byte{fail("25006"), status("server_role", "reader"), ready},
			result{outcome: logic.Miss, role: logic.Replica}, true},
		"behind":        {[][]byte{fail("72000"), ready}, result{outcome: logic.Miss}, true},
		"error":         {[][]byte{fail("XX000"), ready}, result{outcome: logic.Fault}, true},
		"turned away":   {[][]byte{fail("53300"), ready}, result{outcome: logic.Full}, true},
		"and closed":    {[][]byte{fail("53300")}, result{outcome: logic.Full}, false},
		"error in row":  {[][]byte{described, fail("53300"), ready}, result{outcome: logic.Fault}, true},
		"nothing":       {[][]byte{ready}, result{outcome: noOutcome}, false},
		"notices":       {[][]byte{frame('N', nil), rowOf("v"), frame('N', nil), ready}, result{outcome: logic.OK}, true},
		"a second copy": {[][]byte{rowOf("v"), rowOf("w"), ready}, result{outcome: logic.OK}, false},
		"noise behind":  {[][]byte{rowOf("v"), []byte("D\xff\xff\xff\xff")}, result{outcome: logic.OK}, false},
		"then an error": {[][]byte{rowOf("v"), fail("53300"), ready}, result{outcome: logic.OK}, false},
		"wrong order":   {[][]byte{rowOf("v")[len(described):], described, ready}, result{outcome: noOutcome}, false},
		"no row end":    {[][]byte{rowOf("v")[:len(rowOf("v"))-14], ready}, result{outcome: noOutcome}, false},
		"in text": {[][]byte{bytes.Replace(rowOf("v"), []byte{0, 1, 'D'}, []byte{0, 0, 'D'}, 1), ready},
			result{outcome: noOutcome}, false},
		"lying length": {[][]byte{bytes.Replace(rowOf("v"), []byte{0, 1, 0, 0, 0, 1}, []byte{0, 1, 0, 0, 0, 9}, 1), ready},
			result{outcome: noOutcome}, false},
		"3 GB": {[][]byte{described, []byte("D\xb2\xd0\x5e\x0a\x00\x01")}, result{outcome: noOutcome}, false},
		"spoilt miss": {[][]byte{fail("25006"), status("server_role", "reader"), frame('K', nil)},
			result{outcome: noOutcome}, false},
		"spoilt full":   {[][]byte{fail("53300"), []byte("x\xff\xff\xff\xff")}, result{outcome: noOutcome}, false},
		"no end":        {[][]byte{rowOf("v")}, result{outcome: logic.OK}, false},
		"begun":         {[][]byte{rowOf("v")[:12]}, result{outcome: noOutcome}, false},
		"of no use":     {[][]byte{frame('W', nil)}, result{outcome: noOutcome}, false},
		"without a row": {[][]byte{frame('C', []byte("INSERT 0 0\x00")), ready}, result{outcome: noOutcome}, false},
	} {
		all := bytes.Join(x.in, nil)
		got, clean, err := readAnswer(bufio.NewReader(bytes.NewReader(all)), func() {})
		if clean != x.clean || clean == (err != nil) {
			t.Errorf("%s: clean %v, %v", name, clean, err)
		}
		if ok := got.outcome == logic.OK; ok != (got.rows != nil) {
			t.Errorf("%s: rows %q with outcome %d", name, got.rows, got.outcome)
		} else if ok && !bytes.Contains(all, got.rows) && name != "report" {
			t.Errorf("%s: %q is not what the member gave", name, got.rows)
		}
		if got.rows = nil; name == "probe" {
			got.parseUsage(got.value)
		}
		if got.outcome != x.want.outcome || got.role != x.want.role || got.position != x.want.position ||
			got.reportRole != x.want.reportRole || got.reportPosition != x.want.reportPosition {
			t.Errorf("%s: %+v, want %+v", name, got, x.want)
		}
	}
}

var described = frame('T',
	[]byte("\x00\x01v\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"))

func frame(kind byte, body []byte) []byte {
	n := len(body) + 4
	return append([]byte{kind, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}, body...)
}

// An answer that goes on without end is cut off.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	row := string(frame('N', make([]byte, pgwire.MaxMessage-8)))
	if r, clean, err := readAnswer(bufio.NewReader(strings.NewReader(string(described)+strings.Repeat(row, 9)+"x")),
		func() {}); clean || err == nil ||
		r.outcome != noOutcome {
		t.Errorf("outcome %d, clean %v, %v", r.outcome, clean, err)
	}
}

// The id of an op that is still open is no other's, of one that is over it may be again; each op has its own answer.
func TestIdsOfOpenOps(t *testing.T) {
	d := testDecider(t, frozenClock())
	a, b := d.submitTo(t, 0, "p"), d.submitTo(t, 0, "p")
	twice := newOp(0, pgwire.Statement{Group: 1, Timeout: 900, ID: a.statement.ID})
	if d.submit(twice) {
		t.Error("the id of an open op taken")
	}
	d.attemptEnded(b, 0, result{member: "p", outcome: logic.OK, rows: []byte("b")})
	d.attemptEnded(a, 0, result{member: "p", outcome: logic.OK, rows: []byte("a")})
	if string(a.rows) != "a" || string(b.rows) != "b" {
		t.Errorf("%q and %q", a.rows, b.rows)
	}
	for range 2 {
		d.takeActions(a)
		d.takeActions(b)
	}
	if len(d.ops) != 0 || len(d.openIDs) != 0 {
		t.Errorf("%d ops and %d ids left in the books", len(d.ops), len(d.openIDs))
	}
	if !d.submit(twice) {
		t.Error("the id of an op that is over not taken")
	}
}

func TestRetryAdviceIsInMilliseconds(t *testing.T) {
	for wait, detail := range map[float64]string{0: "", 0.2: "", 12.6: "13", 200: "200"} {
		has := strings.Contains(string(busyAnswer(wait)), "\x00D")
		if has != (detail != "") || has && !strings.Contains(string(busyAnswer(wait)), "\x00D"+detail+"\x00") {
			t.Errorf("%s ms: %q", strconv.FormatFloat(wait, 'g', -1, 64), busyAnswer(wait))
		}
	}
}

// Lines that can't be written in time are dropped and counted, and nobody waits.
func TestLogNeverBlocks(t *testing.T) {
	var c counters
	l, q := newLog("text", slog.LevelInfo, &c.LogLost)
	for range cap(q.lines) + 5 {
		l.Info("x")
	}
	if c.LogLost.Load() != 5 {
		t.Errorf("%d lines lost", c.LogLost.Load())
	}
}

// A send that is cancelled when its answer has come must leave alone the connection it came on, which by then
// may be another op's. Seen by reading: the deadline set by cancel would have ended that op's exchange.
func TestLateCancelLeavesTheConnectionAlone(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	queries, answer := make(chan struct{}), make(chan struct{})
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		pgwire.ReadStartup(r)
		conn.Write(pgwire.AppendStartupResponse(nil, 0))
		for {
			if _, _, err := pgwire.Read(r, nil); err != nil {
				return
			}
			queries <- struct{}{}
			<-answer
			conn.Write(pgwire.AppendReadyForQuery(append(bytes.Clone(described), append(frame('D', []byte("\x00\x01\x00\x00\x00\x01v")),
				frame('C', []byte("SELECT 1\x00"))...)...)))
		}
	}()
	var count counters
	l, _ := newLog("json", slog.LevelInfo, &count.LogLost)
	room := &budget{}
	room.available.Store(2)
	m := &pool{connectTimeout: 10 * time.Second, idleTimeout: time.Hour, budget: room, counters: &count, log: l,
		healthCheckQuery: "SELECT 1", members: map[string]*poolMember{"m": {address: ln.Addr().String()}}}
	first, second := m.newAttempt("m", nil, time.Minute), m.newAttempt("m", nil, time.Minute)
	go func() { <-queries; answer <- struct{}{} }()
	if r := first.run(); r.outcome != logic.OK {
		t.Fatalf("outcome %d", r.outcome)
	}
	done := make(chan result)
	go func() { done <- second.run() }()
	<-queries
	first.cancel()
	answer <- struct{}{}
	if r := <-done; r.outcome != logic.OK || count.Dials.Load() != 1 {
		t.Errorf("outcome %d on the connection of a send cancelled late, %d dials", r.outcome, count.Dials.Load())
	}
	third := m.newAttempt("m", nil, time.Minute)
	third.cancel()
	if r := third.run(); r.outcome != logic.Cancelled {
		t.Errorf("outcome %d for a send cancelled before it began", r.outcome)
	}
	barred := m.newAttempt("m", nil, time.Minute)
	barred.forbidWrites()
	if r := barred.run(); r.outcome != logic.Moot {
		t.Errorf("outcome %d for a send that may not begin", r.outcome)
	}
	if l := m.takeIdle("m"); l == nil || l.served != 2 {
		t.Error("the unused connection was not kept")
	}
}

// A removed member's address is let go some time after it was last wanted, also where a whole list does not name
// it any more; one that comes back in between stays.
func TestAddressesOfRemovedMembersAreLetGo(t *testing.T) {
	m := &pool{idleTimeout: time.Second, counters: &counters{}, members: map[string]*poolMember{}}
	up := func(id string) discovery.Entry {
		return discovery.Entry{ID: id, Address: "127.0.0.1:1", Phase: discovery.PhaseUp}
	}
	m.setMembers([]discovery.Entry{up("a"), up("b"), up("c"), up("d"), up("e")}, true)
	m.setMembers([]discovery.Entry{{ID: "b", Phase: discovery.PhaseRemoved}, {ID: "c", Phase: discovery.PhaseRemoved}},
		false)
	m.setMembers([]discovery.Entry{up("a"), up("c"), up("e")}, true)
	m.setMembers([]discovery.Entry{{ID: "e", Phase: discovery.PhaseRemoved}}, false)
	for _, h := range m.members {
		if !h.removedAt.IsZero() {
			h.removedAt = h.removedAt.Add(-forgetAfter)
		}
	}
	m.members["e"].lastDialed = time.Now()
	done, end := context.WithCancel(context.Background())
	end()
	m.reap(done)
	if len(m.members) != 3 || m.members["a"] == nil || m.members["c"] == nil || m.members["e"] == nil {
		t.Errorf("%d members known: %v", len(m.members), m.members)
	}
}
