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

// noActions is a performer that does nothing.
type noActions struct{}

func (noActions) checkHealth(string) {}

func (noActions) sendToPeers([]byte) {}

func (noActions) requestList() {}

func (noActions) logDecision(string) {}

func testDecider(t *testing.T, c clock) *decider {
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
	d := newDecider(c, settings, noActions{})
	d.updateMembership(logic.ListCached, []discovery.Entry{{ID: "p", Phase: discovery.PhaseUp, Access: discovery.AccessWriter,
		Group: 1},
		{ID: "r", Phase: discovery.PhaseUp, Group: 1}})
	return d
}

// firstMember is where an op's first attempt goes; it stays open.
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

// frozenClock is a clock that stands still.
func frozenClock() clock {
	at := time.Now()
	return newClock(func() time.Time { return at })
}

// Sockets carry Unix times: a replica's position is exactly as old for the module as it is on the clock, and
// position_zero of the settings plays no part. What leads the clock by too much is discarded.
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

// submitTo submits an op that goes to a member.
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
