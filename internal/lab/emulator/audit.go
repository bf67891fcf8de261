package emulator

// This file owns the audit of the five rules, on every op and send. It must never look into a driver: it sees what
// clients, members and the network see.

import (
	"fmt"
	"strings"

	"weirwind/logic"
)

const (
	grace      = 500.0 // milliseconds after a drain was told to a driver in which its sends still count as in order
	dateSlack  = 1.0   // milliseconds by which positions may be off
	tipSpan    = 1500.0
	tipLeast   = 2.5 // a cold member that is sent so many times what it can do, over the span, is pushed over
	mostBroken = 50
)

type seen struct {
	op      *op
	answers int
	ran     int
	refused bool
}

type auditor struct {
	w      *world
	ops    map[*op]*seen
	drains map[*host]map[*server]float64 // when a driver was told
	cold   map[*server][]float64         // when sends came to it while it was cold
	Broken map[string]int
	First  []string
}

func newAuditor(w *world) *auditor {
	return &auditor{w: w, ops: map[*op]*seen{}, drains: map[*host]map[*server]float64{}, cold: map[*server][]float64{}, Broken: map[string]int{}}
}

func (a *auditor) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	rule, _, _ := strings.Cut(text, ":")
	if a.Broken[rule]++; len(a.First) < mostBroken {
		a.First = append(a.First, fmt.Sprintf("at %.1f ms: %s", a.w.now, text))
	}
}

func (a *auditor) taken(o *op) { a.ops[o] = &seen{op: o} }

// told notes what a driver's list says of a member from now on.
func (a *auditor) told(h *host, m *server, p logic.Phase) {
	if a.drains[h] == nil {
		a.drains[h] = map[*server]float64{}
	}
	if p == logic.Ready {
		delete(a.drains[h], m)
	} else if _, known := a.drains[h][m]; !known {
		a.drains[h][m] = a.w.now
	}
}

func (a *auditor) sent(x *attempt) {
	s := a.ops[x.op]
	if s.answers > 0 {
		a.broken("rule 1: op %s was sent on behind its answer", x.op.id)
	}
	if at, told := a.drains[x.host][x.to]; told && a.w.now > at+grace {
		a.broken("rule 3: op %s sent to %s, told to drain %.0f ms before", x.op.id, x.to.id, a.w.now-at)
	}
	t := &a.w.types[x.op.kind]
	if t.Effect == logic.NonRetryable {
		for _, before := range x.op.attempts[:x.n] {
			if before.started && !a.denied(before) {
				a.broken("rule 2: write %s was sent again, its send to %s may have run", x.op.id, before.to.id)
			}
		}
	}
	if x.to.warmth() < 1 {
		a.push(x.to)
	}
}

// denied says whether a send ran into a member that was no primary: that proves that nothing was written.
func (a *auditor) denied(x *attempt) bool { return x.over && a.ops[x.op].ran == 0 }

// push counts what a cold member gets over the span, all drivers together.
func (a *auditor) push(m *server) {
	times := append(a.cold[m], a.w.now)
	for len(times) > 0 && times[0] < a.w.now-tipSpan {
		times = times[1:]
	}
	a.cold[m] = times
	can := m.warmth() * float64(a.w.setup.Cores) * tipSpan / a.w.setup.Work
	if n := float64(len(times)); n > tipLeast*can && n > 20 {
		a.broken("rule 4: cold %s got %.0f sends in %.0f ms and can do %.0f", m.id, n, tipSpan, can)
		a.cold[m] = nil
	}
}

// ran notes an effect, or an answer's data.
func (a *auditor) ran(x *attempt, m *server) {
	s := a.ops[x.op]
	if s == nil {
		return
	}
	t := &a.w.types[x.op.kind]
	if t.Need == logic.Write {
		if s.ran++; s.ran > 1 {
			a.broken("rule 2: write %s ran %d times", x.op.id, s.ran)
		}
		if s.refused {
			a.broken("rule 2: write %s ran, and its client was told that it did not", x.op.id)
		}
	}
	if t.Need == logic.Bounded && !x.over && !x.op.over && m.position() < x.sent-t.MaxAge-dateSlack {
		a.broken("rule 5: read %s answered from data %.0f ms old at its send", x.op.id, x.sent-m.position())
	}
}

func (a *auditor) answered(o *op, end End) {
	s := a.ops[o]
	if s.answers++; s.answers > 1 {
		a.broken("rule 1: op %s got %d answers", o.id, s.answers)
	}
	if a.w.now > o.due+dateSlack {
		a.broken("rule 1: op %s answered %.0f ms after its time", o.id, a.w.now-o.due)
	}
	if end == Refused && a.w.types[o.kind].Need == logic.Write {
		if s.refused = true; s.ran > 0 {
			a.broken("rule 2: write %s ran, and its client was told that it did not", o.id)
		}
	}
}

// lost takes an op out that its driver's restart ended: its client saw the connection break, which is no answer, and no
// silence either.
func (a *auditor) lost(o *op) { a.ops[o].answers++ }

// due is called when an op's client has given up.
func (a *auditor) due(o *op) {
	if a.ops[o].answers == 0 {
		a.broken("rule 1: op %s never got an answer", o.id)
	}
	delete(a.ops, o) // what comes later meets nobody
}
