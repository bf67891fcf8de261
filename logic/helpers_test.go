package logic

import "testing"

// rig drives one Driver by hand and keeps what it did.
type fixture struct {
	t             *testing.T
	d             Driver
	now           float64
	lastActions   []Action // of the last step
	allActions    []Action
	cancelledEnds []Event // of cancelled sends, for the next step
}

func testOpening() *Opening {
	return &Opening{Seed: 7, Drivers: 2, Zone: "a", Tick: 5, Checks: ChecksRefuse, ListRole: RoleAtStart,
		SessionCarried: true, ReportsByProbe: true, MayProbe: true, MayCancel: true,
		MayOverlap: true, SendCap: 8, ColdFrom: 0.2, ColdFor: 10000, FallMultiple: 2.5, FallSpan: 1500,
		MaxMessageBytes: 256, OpTypes: []OpType{
			{Need: Bounded, MaxAge: 200, LatencyTarget: 250, OpTimeout: 1000, Value: 2},
			{Need: Any, LatencyTarget: 300, OpTimeout: 1200, Value: 1},
			{Need: Write, Effect: NonRetryable, LatencyTarget: 500, OpTimeout: 2000, Value: 3, Window: 3000},
			{Need: Write, Effect: Tokened, Scope: ScopeGroup, LatencyTarget: 500, OpTimeout: 5000, Value: 3,
				Window: 3000},
			{Need: Session, LatencyTarget: 300, OpTimeout: 1000, Value: 1},
			{Need: Fresh, LatencyTarget: 300, OpTimeout: 1000, Value: 1},
		}}
}

const (
	boundedRead = iota
	anyRead
	writeOnce
	token
	sessionRead
	freshRead
)

// start opens a driver with members p (listed primary), r and s of group 1.
func newFixture(t *testing.T, o *Opening) *fixture {
	r := &fixture{t: t, now: 100000}
	r.step(Event{Kind: EvOpen, Opening: o}, memberList(ListCached, "p", "r", "s"))
	return r
}

// members makes a list event; a name may carry '-' for draining, 'x' for gone or '+' for started just now at 100 s.
func memberList(kind ListKind, names ...string) Event {
	ev := Event{Kind: EvMembers, List: kind}
	for _, n := range names {
		e := ListEntry{Member: n[:1], Group: 1, Zone: "a", Primary: n[0] == 'p'}
		if n[len(n)-1] == '-' {
			e.Phase = Draining
		} else if len(n) > 1 && n[1] == 'x' {
			e.Phase = Gone
		} else if n[len(n)-1] == '+' {
			e.Started = 100000
		}
		ev.Members = append(ev.Members, e)
	}
	return ev
}

func (r *fixture) step(evs ...Event) []Action {
	r.lastActions = append([]Action(nil), r.d.Step(r.now, append(r.cancelledEnds, evs...))...)
	r.cancelledEnds = nil
	for _, a := range r.lastActions {
		if a.Kind == ActCancel {
			r.cancelledEnds = append(r.cancelledEnds, Event{Kind: EvAnswer, Op: a.Op, Send: a.Send, Outcome: Cancelled, Closed: true})
		}
	}
	r.allActions = append(r.allActions, r.lastActions...)
	return r.lastActions
}

// wait lets time pass in ticks, each with the driver's own timer.
func (r *fixture) wait(ms float64) {
	for end := r.now + ms; r.now < end; {
		r.now += 5
		r.step(Event{Kind: EvTimer})
	}
}

func (r *fixture) submit(id string, kind int, left float64) string {
	return target(r.step(Event{Kind: EvOp, Op: id, OpType: kind, Group: 1, Left: left}), id)
}

// answer ends the latest send of an op; the role and position are the member's.
func (r *fixture) answer(id, member string, out Outcome, role Role, pos float64) []Action {
	n := -1
	for _, a := range r.allActions {
		if a.Kind == ActSend && a.Op == id {
			n++
		}
	}
	return r.step(Event{Kind: EvAnswer, Op: id, Send: n, Member: member, Outcome: out, Closed: out == OK,
		Note: Sight{role, pos}})
}

// to is the member that the last send of an op among the actions goes to, or "".
func target(actions []Action, id string) string {
	m := ""
	for _, a := range actions {
		if a.Kind == ActSend && a.Op == id {
			m = a.Member
		}
	}
	return m
}

func count(actions []Action, kind ActionKind, id string) int {
	n := 0
	for _, a := range actions {
		if a.Kind == kind && (id == "" || a.Op == id) {
			n++
		}
	}
	return n
}

func (r *fixture) want(ok bool, what string) {
	r.t.Helper()
	if !ok {
		r.t.Errorf("at %.0f: want %s; last actions %+v", r.now, what, r.lastActions)
	}
}
