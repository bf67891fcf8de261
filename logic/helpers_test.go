package logic

import "testing"

// fixture steps one Driver by hand and records its actions.
type fixture struct {
	t             *testing.T
	driver        Driver
	now           float64
	lastActions   []Action // of the last step
	allActions    []Action
	cancelledEnds []Event // ends of cancelled sends, reported in the next step
}

// testOpening returns options with one op type per constant below.
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

// Indexes of the op types of testOpening.
const (
	boundedRead = iota
	anyRead
	writeOnce
	tokenedWrite
	sessionRead
	freshRead
)

// newFixture opens a driver with the members p (listed as primary), r and s of group 1.
func newFixture(t *testing.T, opening *Opening) *fixture {
	f := &fixture{t: t, now: 100000}
	f.step(Event{Kind: EvOpen, Opening: opening}, memberList(ListCached, "p", "r", "s"))
	return f
}

// memberList returns a list event. Suffixes of a name: '-' for draining, 'x' for gone, '+' for started at 100 s.
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

// step passes events to the driver and returns its actions.
func (f *fixture) step(evs ...Event) []Action {
	f.lastActions = append([]Action(nil), f.driver.Step(f.now, append(f.cancelledEnds, evs...))...)
	f.cancelledEnds = nil
	for _, a := range f.lastActions {
		if a.Kind == ActCancel {
			f.cancelledEnds = append(f.cancelledEnds, Event{Kind: EvAnswer, Op: a.Op, Send: a.Send, Outcome: Cancelled, Closed: true})
		}
	}
	f.allActions = append(f.allActions, f.lastActions...)
	return f.lastActions
}

// wait advances the clock in steps of 5 ms, each with a timer event.
func (f *fixture) wait(ms float64) {
	for end := f.now + ms; f.now < end; {
		f.now += 5
		f.step(Event{Kind: EvTimer})
	}
}

// submit adds an op and returns the member that it is sent to, "" for none.
func (f *fixture) submit(id string, opType int, left float64) string {
	return target(f.step(Event{Kind: EvOp, Op: id, OpType: opType, Group: 1, Left: left}), id)
}

// answer ends the latest send of an op. role and position are those that the member reports.
func (f *fixture) answer(id, member string, outcome Outcome, role Role, position float64) []Action {
	n := -1
	for _, a := range f.allActions {
		if a.Kind == ActSend && a.Op == id {
			n++
		}
	}
	return f.step(Event{Kind: EvAnswer, Op: id, Send: n, Member: member, Outcome: outcome, Closed: outcome == OK,
		Note: Sight{role, position}})
}

// target returns the member of the last action that sends an op, "" if no action does.
func target(actions []Action, id string) string {
	m := ""
	for _, a := range actions {
		if a.Kind == ActSend && a.Op == id {
			m = a.Member
		}
	}
	return m
}

// count returns the number of actions of a kind for one op, or for all ops if id is "".
func count(actions []Action, kind ActionKind, id string) int {
	n := 0
	for _, a := range actions {
		if a.Kind == kind && (id == "" || a.Op == id) {
			n++
		}
	}
	return n
}

// want fails the test if ok is false.
func (f *fixture) want(ok bool, expectation string) {
	f.t.Helper()
	if !ok {
		f.t.Errorf("at %.0f: want %s; last actions %+v", f.now, expectation, f.lastActions)
	}
}
