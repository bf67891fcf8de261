package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// ruleModel is a simple reference model of the rules: it records all events and actions and checks each action against
// the whole record. It shares no code with the module.
type ruleModel struct {
	opening    *Opening
	now        float64
	ops        map[string]*modelOp
	withdrawn  map[string]bool      // listed as draining
	positions  map[string]float64   // newest reported position by member
	roleSeenAt map[string][]float64 // by member: times of its last report as primary and as replica
	violations []string
}

// modelOp is an op as the model sees it.
type modelOp struct {
	opType       OpType
	deadline     float64
	attempts     []attempt
	finalAnswers int
	minPosition  float64 // position that a session read needs, -1 for none
}

// attempt is a send of an op. outcome is "open", "never ran" or "may have run".
type attempt struct {
	member, outcome string
	at              float64
}

// addViolation records a violation with its time.
func (r *ruleModel) addViolation(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf("at %.0f: ", r.now)+fmt.Sprintf(format, args...))
}

// mayRepeat reports whether rule 2 (no op runs more often than its effect allows) permits another attempt. margin is how long before
// the end of a token's window a driver stops.
func (r *ruleModel) mayRepeat(op *modelOp, margin float64) bool {
	for _, a := range op.attempts {
		if a.outcome == "never ran" {
			continue
		}
		if op.opType.Effect == NonRetryable || op.opType.Effect == Tokened && r.now >= a.at+op.opType.Window-margin {
			return false
		}
	}
	return true
}

// openAttempts returns the number of attempts that have not ended.
func (r *ruleModel) openAttempts(op *modelOp) int {
	n := 0
	for _, a := range op.attempts {
		if a.outcome == "open" {
			n++
		}
	}
	return n
}

// maySend reports whether the rules permit a send of an op to a member now.
func (r *ruleModel) maySend(op *modelOp, member string, margin float64) bool {
	return op.finalAnswers == 0 && !r.withdrawn[member] && len(op.attempts) < r.opening.SendCap &&
		(r.opening.MayOverlap || r.openAttempts(op) == 0) && r.mayRepeat(op, margin)
}

// couldBeStale reports whether a read sent to a member could be answered from older data than the read allows.
func (r *ruleModel) couldBeStale(op *modelOp, member string) bool {
	if r.opening.Checks != ChecksNone || op.opType.Need == Any || op.opType.Need == Write {
		return false
	}
	if seenAt := r.roleSeenAt[member]; seenAt != nil && seenAt[0] > seenAt[1] {
		return false // last reported as primary
	}
	known, ok := r.positions[member]
	switch {
	case !ok:
		return op.opType.Need != Session || op.minPosition >= 0
	case op.opType.Need == Bounded:
		return known < r.now-op.opType.MaxAge
	case op.opType.Need == Session:
		return known < op.minPosition
	}
	return true
}

// check records an action and the rules that it violates.
func (r *ruleModel) check(a Action) {
	op := r.ops[a.Op]
	switch a.Kind {
	case ActSend:
		if !r.maySend(op, a.Member, 0) || r.now >= op.deadline {
			r.addViolation("forbidden send of %s (effect %v) to %s, attempts %v, draining %v", a.Op, op.opType.Effect, a.Member, op.attempts, r.withdrawn)
		}
		if r.couldBeStale(op, a.Member) {
			r.addViolation("possibly stale read %s at %s, known positions %v", a.Op, a.Member, r.positions)
		}
		op.attempts = append(op.attempts, attempt{a.Member, "open", r.now})
	case ActRefuse:
		ran := false
		for _, a := range op.attempts {
			ran = ran || a.outcome != "never ran"
		}
		if ran && op.opType.Effect != Retryable && !(op.opType.Effect == Tokened && op.opType.Scope == ScopeAll) {
			r.addViolation("busy reply to %s, which may have run: attempts %v", a.Op, op.attempts)
		}
		fallthrough
	case ActFail:
		if op.finalAnswers++; op.finalAnswers > 1 {
			r.addViolation("second final answer to %s", a.Op)
		}
		if r.now > op.deadline+20 {
			r.addViolation("late final answer to %s", a.Op)
		}
	}
}

// FuzzRules runs the module on random events and checks at every step that its actions keep the rules and that the module
// and the model agree on which sends are allowed.
func FuzzRules(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		opening := testOpening()
		opening.Seed, opening.Checks, opening.MayOverlap = seed, Checks(rng.IntN(3)), rng.IntN(4) > 0
		opening.ReportsByProbe, opening.SessionCarried = rng.IntN(2) == 0, rng.IntN(2) == 0
		opening.OpTypes[tokenedWrite].Scope, opening.SendCap = Scope(rng.IntN(3)), 2+rng.IntN(8)
		model := &ruleModel{opening: opening, ops: map[string]*modelOp{}, withdrawn: map[string]bool{}, positions: map[string]float64{},
			roleSeenAt: map[string][]float64{"p": {1, 0}}}
		var driver Driver
		model.now = 100000
		names := []string{"p", "r", "s", "u"}
		currentPrimary := "p"
		var pending []Event // answers that have not arrived yet
		var opIDs []string  // in order of arrival: random numbers must not depend on the order of a map
		step := func(evs ...Event) {
			for _, a := range driver.Step(model.now, evs) {
				if model.check(a); a.Kind == ActSend {
					pending = append(pending, Event{Kind: EvAnswer, Op: a.Op, Member: a.Member,
						Send: len(model.ops[a.Op].attempts) - 1})
				} else if a.Kind == ActProbe && rng.IntN(3) > 0 {
					report := Sight{Replica, model.now - 50 - 300*rng.Float64()}
					if a.Member == currentPrimary {
						report = Sight{Primary, model.now}
					}
					pending = append(pending, Event{Kind: EvProbed, Member: a.Member, Took: 1, Report: report})
				}
			}
		}
		step(Event{Kind: EvOpen, Opening: opening}, memberList(ListCached, names...))
		for i := range 2000 {
			model.now += 5
			if rng.IntN(3) > 0 && i < 900 {
				opType := rng.IntN(len(opening.OpTypes))
				id := fmt.Sprint(i)
				left := opening.OpTypes[opType].OpTimeout * (0.4 + 0.6*rng.Float64())
				ev := Event{Kind: EvOp, Op: id, OpType: opType, Group: 1, Left: left}
				expected := &modelOp{opType: opening.OpTypes[opType], deadline: model.now + left, minPosition: -1}
				if opening.SessionCarried && opType == sessionRead && rng.IntN(2) == 0 {
					ev.WroteAgo = 1 + 300*rng.Float64()
					expected.minPosition = model.now - ev.WroteAgo
				}
				model.ops[id] = expected
				opIDs = append(opIDs, id)
				step(ev)
			}
			if rng.IntN(60) == 0 { // another member becomes primary
				currentPrimary = names[rng.IntN(4)]
			}
			if rng.IntN(80) == 0 {
				n := names[1+rng.IntN(3)]
				if model.withdrawn[n] = !model.withdrawn[n]; model.withdrawn[n] {
					step(memberList(ListChanges, n+"-"))
				} else {
					step(memberList(ListChanges, n))
				}
			}
			inFlight := pending
			pending = nil
			for _, ev := range inFlight {
				if rng.IntN(12) > 0 {
					pending = append(pending, ev)
					continue
				}
				if ev.Kind == EvProbed {
					model.positions[ev.Member] = max(model.positions[ev.Member], ev.Report.Position)
					if ev.Report.Role == Primary {
						seenAt := append(model.roleSeenAt[ev.Member], 0, 0)
						model.roleSeenAt[ev.Member] = []float64{max(seenAt[0], ev.Report.Position), seenAt[1]}
					}
					step(ev)
					continue
				}
				expected := model.ops[ev.Op]
				attempt := &expected.attempts[ev.Send]
				ev.Outcome = Outcome(rng.IntN(9))
				if currentPrimary != ev.Member && expected.opType.Need == Write && ev.Outcome == OK {
					ev.Outcome = Miss
				}
				attempt.outcome = "may have run"
				if ev.Outcome == Miss || ev.Outcome == Full || ev.Outcome == ConnectFailed || ev.Outcome == Moot {
					attempt.outcome = "never ran"
				}
				if ev.Outcome == OK || ev.Outcome == Miss || ev.Outcome == Full || ev.Outcome == Fault {
					ev.Note = Sight{Replica, model.now - 200*rng.Float64()}
					roleIndex := 1
					if ev.Member == currentPrimary {
						ev.Note, roleIndex = Sight{Primary, model.now}, 0
					}
					model.positions[ev.Member] = max(model.positions[ev.Member], ev.Note.Position)
					if model.roleSeenAt[ev.Member] == nil {
						model.roleSeenAt[ev.Member] = []float64{0, 0}
					}
					model.roleSeenAt[ev.Member][roleIndex] = model.now + 1e-6*float64(i)
				}
				if ev.Outcome == OK && expected.finalAnswers == 0 {
					expected.finalAnswers++
				}
				ev.Closed = expected.finalAnswers > 0
				step(ev)
			}
			step(Event{Kind: EvTimer})
			for _, id := range opIDs[max(0, len(opIDs)-25):] {
				expected, op := model.ops[id], driver.ops[id]
				if op == nil || op.done {
					continue
				}
				for _, n := range names {
					if got, want := driver.maySend(op, driver.members[n]), model.maySend(expected, n, driver.deadlineMargin); got != want {
						t.Fatalf("at %.0f: module allows %s to %s: %v, model %v, attempts %v", model.now, id, n, got, want, expected.attempts)
					}
				}
			}
		}
		for _, id := range opIDs {
			if expected := model.ops[id]; expected.finalAnswers != 1 {
				model.addViolation("%s has %d final answers, want 1; attempts %v", id, expected.finalAnswers, expected.attempts)
			}
		}
		for _, violation := range model.violations {
			t.Error(violation)
		}
	})
}

// A primary gets no bounded reads if the latest evidence of its role is older than the bound: it may have been deposed, and its
// data may be older than the bound.
func TestBoundedReadsAvoidASilentPrimary(t *testing.T) {
	opening := testOpening()
	opening.Checks = ChecksNone
	f := newFixture(t, opening)
	f.submit("w", writeOnce, 2000)
	f.answer("w", "p", OK, Primary, f.now)
	f.want(f.submit("b0", boundedRead, 1000) == "p", "a read at the primary that has just answered")
	f.now += 250
	f.want(f.submit("b1", boundedRead, 1000) == "", "no read at a primary without evidence for longer than the bound")
	f.want(f.submit("w2", writeOnce, 2000) == "p", "a write still at the primary")
	f.answer("w2", "p", OK, Primary, f.now)
	f.want(f.submit("b2", boundedRead, 1000) == "p", "reads at the primary again once it has answered")
}

// With OnlyDrainBinds a member that drained, was listed as gone, and is listed as gone again much later gets no sends: it must
// not be pruned and then mistaken for a new member that isn't draining.
func TestDrainedMemberListedAsGoneStaysDrained(t *testing.T) {
	opening := testOpening()
	opening.OnlyDrainBinds = true
	f := newFixture(t, opening)
	f.step(memberList(ListChanges, "s-"))
	f.step(memberList(ListChanges, "sx"))
	f.wait(30000)
	f.step(memberList(ListChanges, "sx"))
	for i := 0; i < 40; i++ {
		id := fmt.Sprintf("a%d", i)
		f.want(f.submit(id, anyRead, 1000) != "s", "no read at the drained member")
		f.answer(id, "r", OK, Replica, f.now)
	}
}
