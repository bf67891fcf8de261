package driver

import (
	"strconv"
	"testing"
	"time"

	"weirwind/internal/discovery"
	"weirwind/internal/opening"
	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// noopPerformer is a performer that does nothing.
type noopPerformer struct{}

func (noopPerformer) checkHealth(string) {}

func (noopPerformer) sendToPeers([]byte) {}

func (noopPerformer) requestList() {}

func (noopPerformer) logDecision(string) {}

func newTestDecider(t *testing.T, c clock) *decider {
	t.Helper()
	settings, err := opening.Parse(
		[]byte(`{"tick":5000,"siblings":1,"family_info":{"needs_by_class":["lag_bound","causal","eventual"],`+
			`"oldest_data":[200000,0,0],"position_zero":382209024314,"write_marks":"brought"},"policy_limits":{"send_cap":4},`+
			`"profiles":[{"name":"r","aim":300000,"deadline":1e6,"effect":"repeatable"},`+
			`{"name":"s","aim":300000,"deadline":1e6,"effect":"repeatable"},`+
			`{"name":"a","aim":300000,"deadline":1e6,"effect":"repeatable"}]}`), 1)
	if err != nil {
		t.Fatal(err)
	}
	d := newDecider(c, settings, noopPerformer{})
	d.updateMembership(logic.ListCached, []discovery.Entry{
		{ID: "p", Phase: discovery.PhaseUp, Access: discovery.AccessWriter, Group: 1},
		{ID: "r", Phase: discovery.PhaseUp, Group: 1},
	})
	return d
}

// firstAttemptMember returns the member of a new op's first attempt. The op stays open.
func (d *decider) firstAttemptMember(opType int, minPosition float64) string {
	o := newOp(opType, pgwire.Statement{Group: 1, Timeout: 900, MinPosition: minPosition})
	d.submit(o)
	for _, a := range o.pending {
		if a.Kind == logic.ActSend {
			return a.Member
		}
	}
	return ""
}

// frozenClock returns a clock that does not advance.
func frozenClock() clock {
	frozenAt := time.Now()
	return newClock(func() time.Time { return frozenAt })
}

// Positions on sockets are Unix times: the age of a replica's position in the module is its age on the clock, and
// position_zero of the settings is ignored. A position too far ahead of the clock is discarded.
func TestStalenessBoundEdges(t *testing.T) {
	for _, test := range []struct {
		age  float64
		want string
	}{
		{199.5, "r"}, {200, "r"}, {200.5, "p"}, {100000, "p"},
		{-maxPositionLead, "r"}, {-maxPositionLead - 1, "p"}, {-1e9, "p"},
	} {
		for _, source := range []string{"parameter", "report"} {
			c := frozenClock()
			d := newTestDecider(t, c)
			r := result{member: "r", outcome: logic.OK, rows: []byte{1}, role: logic.Replica, position: c.now() - test.age}
			if source == "report" {
				r.reportRole, r.reportPosition, r.role, r.position = r.role, r.position, 0, 0
				d.healthChecked("r", r, 0)
			} else {
				d.attemptEnded(d.submitExpecting(t, 2, "r"), 0, r)
			}
			if got := d.firstAttemptMember(0, 0); got != test.want {
				t.Errorf("data %g ms old according to a %s: read sent to %q, want %q", test.age, source, got, test.want)
			}
		}
	}
}

// submitExpecting submits an op, and fails the test unless its first attempt goes to the given member.
func (d *decider) submitExpecting(t *testing.T, opType int, member string) *op {
	t.Helper()
	o := newOp(opType, pgwire.Statement{Group: 1, Timeout: 900, ID: strconv.AppendUint(nil, d.lastSerial, 10)})
	if d.submit(o); len(o.pending) == 0 || o.pending[0].Member != member {
		t.Fatalf("%+v", o.pending)
	}
	return o
}

// A session's read goes to a replica only if the replica has reached the position of the session's write.
func TestSessionReadsSeeOwnWrites(t *testing.T) {
	c := frozenClock()
	now := c.now()
	for minPosition, want := range map[float64]string{
		0: "r", now - 502: "r", now - 501: "r", now - 499: "p", now + 1e6: "p",
	} {
		d := newTestDecider(t, c)
		d.healthChecked("r", result{outcome: logic.OK, reportRole: logic.Replica, reportPosition: now - 500}, 0)
		if got := d.firstAttemptMember(1, minPosition); got != want {
			t.Errorf("a write %.0f ms ago: read sent to %q, want %q", now-minPosition, got, want)
		}
	}
}

// The ID of an open op can't be used for another op; after the op has ended it can be. Each op gets its own answer.
func TestDuplicateOpIDsAreRejected(t *testing.T) {
	d := newTestDecider(t, frozenClock())
	a, b := d.submitExpecting(t, 0, "p"), d.submitExpecting(t, 0, "p")
	duplicate := newOp(0, pgwire.Statement{Group: 1, Timeout: 900, ID: a.statement.ID})
	if d.submit(duplicate) {
		t.Error("the ID of an open op was accepted")
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
		t.Errorf("%d ops and %d IDs are still registered", len(d.ops), len(d.openIDs))
	}
	if !d.submit(duplicate) {
		t.Error("the ID of a finished op was rejected")
	}
}
