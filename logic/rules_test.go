package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// ruleBook is the slow, plain model of the rules: it keeps everything that was said and done, and judges by
// looking through all of it. It shares no code with the module.
type ruleModel struct {
	o          *Opening
	now        float64
	ops        map[string]*modelOp
	withdrawn  map[string]bool      // told to drain or gone
	positions  map[string]float64   // newest position heard of
	roleSeenAt map[string][]float64 // by member: when it was last heard to be primary, and replica
	violations []string
}

type modelOp struct {
	kind         OpType
	until        float64
	attempts     []attempt
	finalAnswers int
	minPosition  float64 // that a session read needs
}

type attempt struct {
	member, outcome string
	at              float64
}

func (b *ruleModel) addViolation(format string, args ...any) {
	b.violations = append(b.violations, fmt.Sprintf("at %.0f: ", b.now)+fmt.Sprintf(format, args...))
}

// mayRepeat says whether rule 2 lets another try of an op go out; early is the time by which a driver may
// stop before a token's window ends.
func (b *ruleModel) mayRepeat(t *modelOp, margin float64) bool {
	for _, x := range t.attempts {
		if x.outcome == "never ran" {
			continue
		}
		if t.kind.Effect == NonRetryable || t.kind.Effect == Tokened && b.now >= x.at+t.kind.Window-margin {
			return false
		}
	}
	return true
}

func (b *ruleModel) openAttempts(t *modelOp) int {
	n := 0
	for _, x := range t.attempts {
		if x.outcome == "out" {
			n++
		}
	}
	return n
}

// maySend says whether the rules let an op go to a member now.
func (b *ruleModel) maySend(t *modelOp, member string, margin float64) bool {
	return t.finalAnswers == 0 && !b.withdrawn[member] && len(t.attempts) < b.o.SendCap &&
		(b.o.MayOverlap || b.openAttempts(t) == 0) && b.mayRepeat(t, margin)
}

// stale says whether a read sent to a member could be answered from data older than it allows.
func (b *ruleModel) couldBeStale(t *modelOp, member string) bool {
	if b.o.Checks != ChecksNone || t.kind.Need == Any || t.kind.Need == Write {
		return false
	}
	if p := b.roleSeenAt[member]; p != nil && p[0] > p[1] {
		return false // it has been primary, and no answer has said that it is none
	}
	known, ok := b.positions[member]
	switch {
	case !ok:
		return t.kind.Need != Session || t.minPosition >= 0
	case t.kind.Need == Bounded:
		return known < b.now-t.kind.MaxAge
	case t.kind.Need == Session:
		return known < t.minPosition
	}
	return true
}

func (b *ruleModel) check(a Action) {
	t := b.ops[a.Op]
	switch a.Kind {
	case ActSend:
		if !b.maySend(t, a.Member, 0) || b.now >= t.until {
			b.addViolation("send of %s (%v) to %s, tries %v, told %v", a.Op, t.kind.Effect, a.Member, t.attempts, b.withdrawn)
		}
		if b.couldBeStale(t, a.Member) {
			b.addViolation("stale read %s at %s, known %v", a.Op, a.Member, b.positions)
		}
		t.attempts = append(t.attempts, attempt{a.Member, "out", b.now})
	case ActRefuse:
		ran := false
		for _, x := range t.attempts {
			ran = ran || x.outcome != "never ran"
		}
		if ran && t.kind.Effect != Retryable && !(t.kind.Effect == Tokened && t.kind.Scope == ScopeAll) {
			b.addViolation("busy reply to %s, which may have run: %v", a.Op, t.attempts)
		}
		fallthrough
	case ActFail:
		if t.finalAnswers++; t.finalAnswers > 1 {
			b.addViolation("second final answer to %s", a.Op)
		}
		if b.now > t.until+20 {
			b.addViolation("late final answer to %s", a.Op)
		}
	}
}

// FuzzRules plays generated days and asks two things at every step: does all that the module does keep the
// rules, and do module and model agree on which sends are allowed.
func FuzzRules(f *testing.F) {
	for seed := range uint64(60) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 1))
		o := testOpening()
		o.Seed, o.Checks, o.MayOverlap = seed, Checks(rng.IntN(3)), rng.IntN(4) > 0
		o.ReportsByProbe, o.SessionCarried = rng.IntN(2) == 0, rng.IntN(2) == 0
		o.OpTypes[token].Scope, o.SendCap = Scope(rng.IntN(3)), 2+rng.IntN(8)
		model := &ruleModel{o: o, ops: map[string]*modelOp{}, withdrawn: map[string]bool{}, positions: map[string]float64{},
			roleSeenAt: map[string][]float64{"p": {1, 0}}}
		var d Driver
		model.now = 100000
		names := []string{"p", "r", "s", "u"}
		currentPrimary := "p"
		var pending []Event // answers on their way
		var ids []string    // in order, as the generator must not depend on a map's order
		step := func(evs ...Event) {
			for _, a := range d.Step(model.now, evs) {
				if model.check(a); a.Kind == ActSend {
					pending = append(pending, Event{Kind: EvAnswer, Op: a.Op, Member: a.Member,
						Send: len(model.ops[a.Op].attempts) - 1})
				} else if a.Kind == ActProbe && rng.IntN(3) > 0 {
					r := Sight{Replica, model.now - 50 - 300*rng.Float64()}
					if a.Member == currentPrimary {
						r = Sight{Primary, model.now}
					}
					pending = append(pending, Event{Kind: EvProbed, Member: a.Member, Took: 1, Report: r})
				}
			}
		}
		step(Event{Kind: EvOpen, Opening: o}, memberList(ListCached, names...))
		for i := range 2000 {
			model.now += 5
			if rng.IntN(3) > 0 && i < 900 {
				k := rng.IntN(len(o.OpTypes))
				id := fmt.Sprint(i)
				left := o.OpTypes[k].OpTimeout * (0.4 + 0.6*rng.Float64())
				ev := Event{Kind: EvOp, Op: id, OpType: k, Group: 1, Left: left}
				x := &modelOp{kind: o.OpTypes[k], until: model.now + left, minPosition: -1}
				if o.SessionCarried && k == sessionRead && rng.IntN(2) == 0 {
					ev.WroteAgo = 1 + 300*rng.Float64()
					x.minPosition = model.now - ev.WroteAgo
				}
				model.ops[id] = x
				ids = append(ids, id)
				step(ev)
			}
			if rng.IntN(60) == 0 { // the primary's place moves
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
						p := append(model.roleSeenAt[ev.Member], 0, 0)
						model.roleSeenAt[ev.Member] = []float64{max(p[0], ev.Report.Position), p[1]}
					}
					step(ev)
					continue
				}
				x := model.ops[ev.Op]
				attempt := &x.attempts[ev.Send]
				ev.Outcome = Outcome(rng.IntN(9))
				if currentPrimary != ev.Member && x.kind.Need == Write && ev.Outcome == OK {
					ev.Outcome = Miss
				}
				attempt.outcome = "may have run"
				if ev.Outcome == Miss || ev.Outcome == Full || ev.Outcome == ConnectFailed || ev.Outcome == Moot {
					attempt.outcome = "never ran"
				}
				if ev.Outcome == OK || ev.Outcome == Miss || ev.Outcome == Full || ev.Outcome == Fault {
					ev.Note = Sight{Replica, model.now - 200*rng.Float64()}
					heard := 1
					if ev.Member == currentPrimary {
						ev.Note, heard = Sight{Primary, model.now}, 0
					}
					model.positions[ev.Member] = max(model.positions[ev.Member], ev.Note.Position)
					if model.roleSeenAt[ev.Member] == nil {
						model.roleSeenAt[ev.Member] = []float64{0, 0}
					}
					model.roleSeenAt[ev.Member][heard] = model.now + 1e-6*float64(i)
				}
				if ev.Outcome == OK && x.finalAnswers == 0 {
					x.finalAnswers++
				}
				ev.Closed = x.finalAnswers > 0
				step(ev)
			}
			step(Event{Kind: EvTimer})
			for _, id := range ids[max(0, len(ids)-25):] {
				x, op := model.ops[id], d.ops[id]
				if op == nil || op.done {
					continue
				}
				for _, n := range names {
					if got, want := d.maySend(op, d.members[n]), model.maySend(x, n, d.deadlineMargin); got != want {
						t.Fatalf("at %.0f: module allows %s to %s: %v, model %v, tries %v", model.now, id, n, got, want, x.attempts)
					}
				}
			}
		}
		for _, id := range ids {
			if x := model.ops[id]; x.finalAnswers != 1 {
				model.addViolation("%s has %d final answers, tries %v", id, x.finalAnswers, x.attempts)
			}
		}
		for _, s := range model.violations {
			t.Error(s)
		}
	})
}

// A primary that lost its role and was not heard of since gets no bounded read: its data may be older than anybody knows.
func TestBoundedReadsAvoidASilentPrimary(t *testing.T) {
	o := testOpening()
	o.Checks = ChecksNone
	r := newFixture(t, o)
	r.submit("w", writeOnce, 2000)
	r.answer("w", "p", OK, Primary, r.now)
	r.want(r.submit("b0", boundedRead, 1000) == "p", "a read at the primary just heard of")
	r.now += 250
	r.want(r.submit("b1", boundedRead, 1000) == "", "no read at a primary not heard of for longer than the bound")
	r.want(r.submit("w2", writeOnce, 2000) == "p", "a write there as ever")
	r.answer("w2", "p", OK, Primary, r.now)
	r.want(r.submit("b2", boundedRead, 1000) == "p", "reads again once it has spoken")
}

// Where only draining binds, a member that was told to drain, then called gone, and named so again long after,
// gets nothing: its drain is not forgotten with it.
func TestDrainedMemberListedAsGoneStaysDrained(t *testing.T) {
	o := testOpening()
	o.OnlyDrainBinds = true
	r := newFixture(t, o)
	r.step(memberList(ListChanges, "s-"))
	r.step(memberList(ListChanges, "sx"))
	r.wait(30000)
	r.step(memberList(ListChanges, "sx"))
	for i := 0; i < 40; i++ {
		id := fmt.Sprintf("a%d", i)
		r.want(r.submit(id, anyRead, 1000) != "s", "no read at the drained member")
		r.answer(id, "r", OK, Replica, r.now)
	}
}
