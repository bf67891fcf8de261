package logic

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// ruleBook is the slow, plain model of the rules: it keeps everything that was said and done, and judges by
// looking through all of it. It shares no code with the module.
type ruleBook struct {
	o       *Opening
	now     float64
	ops     map[string]*taken
	told    map[string]bool      // told to drain or gone
	at      map[string]float64   // newest position heard of
	primary map[string][]float64 // by member: when it was last heard to be primary, and replica
	breaks  []string
}

type taken struct {
	kind     OpType
	until    float64
	tries    []try
	finals   int
	position float64 // that a session read needs
}

type try struct {
	member, outcome string
	at              float64
}

func (b *ruleBook) broken(format string, args ...any) {
	b.breaks = append(b.breaks, fmt.Sprintf("at %.0f: ", b.now)+fmt.Sprintf(format, args...))
}

// mayRepeat says whether rule 2 lets another try of an op go out; early is the time by which a driver may
// stop before a token's window ends.
func (b *ruleBook) mayRepeat(t *taken, early float64) bool {
	for _, x := range t.tries {
		if x.outcome == "never ran" {
			continue
		}
		if t.kind.Effect == NonRetryable || t.kind.Effect == Tokened && b.now >= x.at+t.kind.Window-early {
			return false
		}
	}
	return true
}

func (b *ruleBook) out(t *taken) int {
	n := 0
	for _, x := range t.tries {
		if x.outcome == "out" {
			n++
		}
	}
	return n
}

// maySend says whether the rules let an op go to a member now.
func (b *ruleBook) maySend(t *taken, member string, early float64) bool {
	return t.finals == 0 && !b.told[member] && len(t.tries) < b.o.SendCap &&
		(b.o.MayOverlap || b.out(t) == 0) && b.mayRepeat(t, early)
}

// stale says whether a read sent to a member could be answered from data older than it allows.
func (b *ruleBook) stale(t *taken, member string) bool {
	if b.o.Checks != ChecksNone || t.kind.Need == Any || t.kind.Need == Write {
		return false
	}
	if p := b.primary[member]; p != nil && p[0] > p[1] {
		return false // it has been primary, and no answer has said that it is none
	}
	known, ok := b.at[member]
	switch {
	case !ok:
		return t.kind.Need != Session || t.position >= 0
	case t.kind.Need == Bounded:
		return known < b.now-t.kind.MaxAge
	case t.kind.Need == Session:
		return known < t.position
	}
	return true
}

func (b *ruleBook) judge(a Action) {
	t := b.ops[a.Op]
	switch a.Kind {
	case ActSend:
		if !b.maySend(t, a.Member, 0) || b.now >= t.until {
			b.broken("send of %s (%v) to %s, tries %v, told %v", a.Op, t.kind.Effect, a.Member, t.tries, b.told)
		}
		if b.stale(t, a.Member) {
			b.broken("stale read %s at %s, known %v", a.Op, a.Member, b.at)
		}
		t.tries = append(t.tries, try{a.Member, "out", b.now})
	case ActRefuse:
		ran := false
		for _, x := range t.tries {
			ran = ran || x.outcome != "never ran"
		}
		if ran && t.kind.Effect != Retryable && !(t.kind.Effect == Tokened && t.kind.Scope == ScopeAll) {
			b.broken("busy reply to %s, which may have run: %v", a.Op, t.tries)
		}
		fallthrough
	case ActFail:
		if t.finals++; t.finals > 1 {
			b.broken("second final answer to %s", a.Op)
		}
		if b.now > t.until+20 {
			b.broken("late final answer to %s", a.Op)
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
		rnd := rand.New(rand.NewPCG(seed, 1))
		o := opening()
		o.Seed, o.Checks, o.MayOverlap = seed, Checks(rnd.IntN(3)), rnd.IntN(4) > 0
		o.ReportsByProbe, o.SessionCarried = rnd.IntN(2) == 0, rnd.IntN(2) == 0
		o.OpTypes[token].Scope, o.SendCap = Scope(rnd.IntN(3)), 2+rnd.IntN(8)
		b := &ruleBook{o: o, ops: map[string]*taken{}, told: map[string]bool{}, at: map[string]float64{},
			primary: map[string][]float64{"p": {1, 0}}}
		var d Driver
		b.now = 100000
		names := []string{"p", "r", "s", "u"}
		prime := "p"
		var pending []Event // answers on their way
		var ids []string    // in order, as the generator must not depend on a map's order
		step := func(evs ...Event) {
			for _, a := range d.Step(b.now, evs) {
				if b.judge(a); a.Kind == ActSend {
					pending = append(pending, Event{Kind: EvAnswer, Op: a.Op, Member: a.Member,
						Send: len(b.ops[a.Op].tries) - 1})
				} else if a.Kind == ActProbe && rnd.IntN(3) > 0 {
					r := Sight{Replica, b.now - 50 - 300*rnd.Float64()}
					if a.Member == prime {
						r = Sight{Primary, b.now}
					}
					pending = append(pending, Event{Kind: EvProbed, Member: a.Member, Took: 1, Report: r})
				}
			}
		}
		step(Event{Kind: EvOpen, Opening: o}, members(ListCached, names...))
		for i := range 2000 {
			b.now += 5
			if rnd.IntN(3) > 0 && i < 900 {
				k := rnd.IntN(len(o.OpTypes))
				id := fmt.Sprint(i)
				left := o.OpTypes[k].OpTimeout * (0.4 + 0.6*rnd.Float64())
				ev := Event{Kind: EvOp, Op: id, OpType: k, Group: 1, Left: left}
				x := &taken{kind: o.OpTypes[k], until: b.now + left, position: -1}
				if o.SessionCarried && k == session && rnd.IntN(2) == 0 {
					ev.WroteAgo = 1 + 300*rnd.Float64()
					x.position = b.now - ev.WroteAgo
				}
				b.ops[id] = x
				ids = append(ids, id)
				step(ev)
			}
			if rnd.IntN(60) == 0 { // the primary's place moves
				prime = names[rnd.IntN(4)]
			}
			if rnd.IntN(80) == 0 {
				n := names[1+rnd.IntN(3)]
				if b.told[n] = !b.told[n]; b.told[n] {
					step(members(ListChanges, n+"-"))
				} else {
					step(members(ListChanges, n))
				}
			}
			late := pending
			pending = nil
			for _, ev := range late {
				if rnd.IntN(12) > 0 {
					pending = append(pending, ev)
					continue
				}
				if ev.Kind == EvProbed {
					b.at[ev.Member] = max(b.at[ev.Member], ev.Report.Position)
					if ev.Report.Role == Primary {
						p := append(b.primary[ev.Member], 0, 0)
						b.primary[ev.Member] = []float64{max(p[0], ev.Report.Position), p[1]}
					}
					step(ev)
					continue
				}
				x := b.ops[ev.Op]
				mine := &x.tries[ev.Send]
				ev.Outcome = Outcome(rnd.IntN(9))
				if prime != ev.Member && x.kind.Need == Write && ev.Outcome == OK {
					ev.Outcome = Miss
				}
				mine.outcome = "may have run"
				if ev.Outcome == Miss || ev.Outcome == Full || ev.Outcome == ConnectFailed || ev.Outcome == Moot {
					mine.outcome = "never ran"
				}
				if ev.Outcome == OK || ev.Outcome == Miss || ev.Outcome == Full || ev.Outcome == Fault {
					ev.Note = Sight{Replica, b.now - 200*rnd.Float64()}
					heard := 1
					if ev.Member == prime {
						ev.Note, heard = Sight{Primary, b.now}, 0
					}
					b.at[ev.Member] = max(b.at[ev.Member], ev.Note.Position)
					if b.primary[ev.Member] == nil {
						b.primary[ev.Member] = []float64{0, 0}
					}
					b.primary[ev.Member][heard] = b.now + 1e-6*float64(i)
				}
				if ev.Outcome == OK && x.finals == 0 {
					x.finals++
				}
				ev.Closed = x.finals > 0
				step(ev)
			}
			step(Event{Kind: EvTimer})
			for _, id := range ids[max(0, len(ids)-25):] {
				x, op := b.ops[id], d.ops[id]
				if op == nil || op.done {
					continue
				}
				for _, n := range names {
					if got, want := d.allowed(op, d.members[n]), b.maySend(x, n, d.margin); got != want {
						t.Fatalf("at %.0f: module allows %s to %s: %v, model %v, tries %v", b.now, id, n, got, want, x.tries)
					}
				}
			}
		}
		for _, id := range ids {
			if x := b.ops[id]; x.finals != 1 {
				b.broken("%s has %d final answers, tries %v", id, x.finals, x.tries)
			}
		}
		for _, s := range b.breaks {
			t.Error(s)
		}
	})
}

// A primary that lost its role and was not heard of since gets no bounded read: its data may be older than anybody knows.
func TestBoundedReadsLeaveAPrimaryThatIsSilent(t *testing.T) {
	o := opening()
	o.Checks = ChecksNone
	r := start(t, o)
	r.op("w", once, 2000)
	r.answer("w", "p", OK, Primary, r.now)
	r.want(r.op("b0", bounded, 1000) == "p", "a read at the primary just heard of")
	r.now += 250
	r.want(r.op("b1", bounded, 1000) == "", "no read at a primary not heard of for longer than the bound")
	r.want(r.op("w2", once, 2000) == "p", "a write there as ever")
	r.answer("w2", "p", OK, Primary, r.now)
	r.want(r.op("b2", bounded, 1000) == "p", "reads again once it has spoken")
}

// Where only draining binds, a member that was told to drain, then called gone, and named so again long after,
// gets nothing: its drain is not forgotten with it.
func TestDrainedMemberNamedGoneLaterGetsNothing(t *testing.T) {
	o := opening()
	o.OnlyDrainBinds = true
	r := start(t, o)
	r.step(members(ListChanges, "s-"))
	r.step(members(ListChanges, "sx"))
	r.wait(30000)
	r.step(members(ListChanges, "sx"))
	for i := 0; i < 40; i++ {
		id := fmt.Sprintf("a%d", i)
		r.want(r.op(id, anyRead, 1000) != "s", "no read at the drained member")
		r.answer(id, "r", OK, Replica, r.now)
	}
}
