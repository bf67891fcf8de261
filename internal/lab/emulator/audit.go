package emulator

// This file owns the audit of the five rules, on every op and send, lane by lane, and of what lanes together show. It
// must never look into a driver: it sees what clients, members and the network see.

import (
	"fmt"
	"strings"

	"weirwind/logic"
)

const (
	grace      = 500.0 // milliseconds after a drain was told to a driver in which its sends still count as in order
	dateSlack  = 1.0   // milliseconds by which positions may be off
	tipSpan    = 1500.0
	tipMost    = 2.5 // a cold member that is sent so many times what it can do, over the span, is pushed over
	mostBroken = 5   // a lane, that are told with words
)

// finding is a broken rule.
type finding struct {
	at   float64
	text string
}

// lens is the audit of one lane.
type lens struct {
	l      *lane
	drains map[string]float64 // when the driver was told
	rules  map[string]int
	first  []finding
}

func newLens(l *lane) *lens {
	return &lens{l: l, drains: map[string]float64{}, rules: map[string]int{}}
}

func (a *lens) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	rule, _, _ := strings.Cut(text, ":")
	if a.rules[rule]++; len(a.first) < mostBroken {
		a.first = append(a.first, finding{a.l.now, text})
	}
}

// told notes what a driver's list says of a member from now on.
func (a *lens) told(e logic.ListEntry) {
	if e.Phase == logic.Ready {
		delete(a.drains, e.Member)
	} else if _, known := a.drains[e.Member]; !known {
		a.drains[e.Member] = a.l.now
	}
}

// sent checks a send before it is counted among its op's.
func (a *lens) sent(x *attempt) {
	o := x.op
	if o.answers > 0 {
		a.broken("rule 1: op %s was sent on behind its answer", o.id)
	}
	if at, told := a.drains[x.to.id]; told && a.l.now > at+grace {
		a.broken("rule 3: op %s sent to %s, told to drain %.0f ms before", o.id, x.to.id, a.l.now-at)
	}
	if x.host.w.types[o.kind].Effect == logic.NonRetryable && !o.unharmed() {
		a.broken("rule 2: write %s was sent again though an earlier send of it may have run", o.id)
	}
}

// unharmed says whether every send of an op is proved not to have run.
func (o *op) unharmed() bool {
	for _, x := range o.attempts {
		proved := x.outcome == logic.ConnectFailed || x.outcome == logic.Moot || x.outcome == logic.Miss ||
			x.outcome == logic.Full
		if !x.over || !proved {
			return false
		}
	}
	return true
}

// served checks the data of a good answer.
func (a *lens) served(x *attempt, data float64) {
	switch t := &x.host.w.types[x.op.kind]; {
	case t.Need == logic.Bounded && data < x.sent-t.MaxAge-dateSlack:
		a.broken("rule 5: read %s answered from data %.0f ms old at its send", x.op.id, x.sent-data)
	case t.Need == logic.Session && data < x.op.wrote-dateSlack:
		a.broken("rule 5: read %s lacks what its session wrote %.0f ms later", x.op.id, x.op.wrote-data)
	case t.Need == logic.Fresh && data < x.sent-dateSlack:
		a.broken("rule 5: read %s answered from data %.0f ms old, and it must be current", x.op.id, x.sent-data)
	}
}

func (a *lens) answered(o *op) {
	if o.answers++; o.answers > 1 {
		a.broken("rule 1: op %s got %d answers", o.id, o.answers)
	}
	if a.l.now > o.due+dateSlack && !o.stood {
		a.broken("rule 1: op %s answered %.0f ms after its time", o.id, a.l.now-o.due)
	}
}

// due is called when an op's client has given up.
func (a *lens) due(o *op) {
	if o.answers == 0 && !o.stood {
		a.broken("rule 1: op %s never got an answer", o.id)
	}
}

// push counts what a cold member gets over the span, all drivers together.
func (a *lens) push(m *server) {
	m.cold = append(m.cold, a.l.now)
	times := m.cold
	for len(times) > 0 && times[0] < a.l.now-tipSpan {
		times = times[1:]
	}
	m.cold = times
	can := m.warmth() * float64(m.g.w.setup.Cores) * tipSpan / m.g.w.setup.Work
	if n := float64(len(times)); n > tipMost*can && n > 20 {
		a.broken("rule 4: cold %s got %.0f sends in %.0f ms and can do %.0f", m.id, n, tipSpan, can)
		m.cold = nil
	}
}

// writes lays what clients were told of writes beside what members ran.
func (w *world) writes() (found []finding) {
	ran := map[string]int{}
	for _, g := range w.groups {
		for id, n := range g.ran {
			ran[id] += n
		}
	}
	for id, n := range ran {
		if n > 1 {
			found = append(found, finding{w.hosts[0].now, fmt.Sprintf("rule 2: write %s ran %d times", id, n)})
		}
	}
	for _, h := range w.hosts {
		for id, end := range h.writes {
			if end == Refused && ran[id] > 0 {
				found = append(found, finding{h.now, fmt.Sprintf("rule 2: write %s ran, and its client was told that it did not",
					id)})
			} else if end == Acked && ran[id] == 0 {
				found = append(found, finding{h.now, fmt.Sprintf("rule 1: write %s was acked and never ran", id)})
			}
		}
	}
	return found
}
