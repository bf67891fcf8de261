package emulator

// This file owns the audit of the five rules, on every op and send, lane by lane, and of what lanes together show. It
// must never look into a driver: it sees what clients, members and the network see.

import (
	"fmt"
	"strings"

	"weirwind/logic"
)

const (
	drainGrace     = 500.0 // milliseconds after a drain was told to a driver in which its sends still count as in order
	positionSlack  = 1.0   // milliseconds by which positions may be off
	overloadSpan   = 1500.0
	overloadFactor = 2.5 // a cold member that is sent so many times what it can do, over the span, is pushed over
	maxReported    = 5   // a lane, that are told with words
)

// finding is a broken rule.
type violation struct {
	at   float64
	text string
}

// lens is the audit of one lane.
type auditor struct {
	process    *process
	drainSeen  map[string]float64 // when the driver was told
	violations map[string]int
	first      []violation
}

func newAuditor(l *process) *auditor {
	return &auditor{process: l, drainSeen: map[string]float64{}, violations: map[string]int{}}
}

func (a *auditor) report(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	rule, _, _ := strings.Cut(text, ":")
	if a.violations[rule]++; len(a.first) < maxReported {
		a.first = append(a.first, violation{a.process.now, text})
	}
}

// told notes what a driver's list says of a member from now on.
func (a *auditor) entryReceived(e logic.ListEntry) {
	if e.Phase == logic.Ready {
		delete(a.drainSeen, e.Member)
	} else if _, known := a.drainSeen[e.Member]; !known {
		a.drainSeen[e.Member] = a.process.now
	}
}

// sent checks a send before it is counted among its op's.
func (a *auditor) attemptSent(x *attempt) {
	o := x.op
	if o.answers > 0 {
		a.report("rule 1: op %s was sent on behind its answer", o.id)
	}
	if at, told := a.drainSeen[x.target.id]; told && a.process.now > at+drainGrace {
		a.report("rule 3: op %s sent to %s, told to drain %.0f ms before", o.id, x.target.id, a.process.now-at)
	}
	if x.driver.sim.types[o.kind].Effect == logic.NonRetryable && !o.provedNotExecuted() {
		a.report("rule 2: write %s was sent again though an earlier send of it may have run", o.id)
	}
}

// unharmed says whether every send of an op is proved not to have run.
func (o *op) provedNotExecuted() bool {
	for _, x := range o.attempts {
		proved := x.outcome == logic.ConnectFailed || x.outcome == logic.Moot || x.outcome == logic.Miss ||
			x.outcome == logic.Full
		if !x.ended || !proved {
			return false
		}
	}
	return true
}

// served checks the data of a good answer.
func (a *auditor) readServed(x *attempt, data float64) {
	switch t := &x.driver.sim.types[x.op.kind]; {
	case t.Need == logic.Bounded && data < x.sent-t.MaxAge-positionSlack:
		a.report("rule 5: read %s answered from data %.0f ms old at its send", x.op.id, x.sent-data)
	case t.Need == logic.Session && data < x.op.lastWrite-positionSlack:
		a.report("rule 5: read %s lacks what its session wrote %.0f ms later", x.op.id, x.op.lastWrite-data)
	case t.Need == logic.Fresh && data < x.sent-positionSlack:
		a.report("rule 5: read %s answered from data %.0f ms old, and it must be current", x.op.id, x.sent-data)
	}
}

func (a *auditor) opAnswered(o *op) {
	if o.answers++; o.answers > 1 {
		a.report("rule 1: op %s got %d answers", o.id, o.answers)
	}
	if a.process.now > o.deadline+positionSlack && !o.driverPaused {
		a.report("rule 1: op %s answered %.0f ms after its time", o.id, a.process.now-o.deadline)
	}
}

// due is called when an op's client has given up.
func (a *auditor) deadlinePassed(o *op) {
	if o.answers == 0 && !o.driverPaused {
		a.report("rule 1: op %s never got an answer", o.id)
	}
}

// push counts what a cold member gets over the span, all drivers together.
func (a *auditor) coldSend(m *member) {
	m.coldSends = append(m.coldSends, a.process.now)
	times := m.coldSends
	for len(times) > 0 && times[0] < a.process.now-overloadSpan {
		times = times[1:]
	}
	m.coldSends = times
	can := m.warmFactor() * float64(m.group.sim.setup.Cores) * overloadSpan / m.group.sim.setup.ServiceTime
	if n := float64(len(times)); n > overloadFactor*can && n > 20 {
		a.report("rule 4: cold %s got %.0f sends in %.0f ms and can do %.0f", m.id, n, overloadSpan, can)
		m.coldSends = nil
	}
}

// writes lays what clients were told of writes beside what members ran.
func (w *simulation) auditWrites() (found []violation) {
	ran := map[string]int{}
	for _, g := range w.groups {
		for id, n := range g.executions {
			ran[id] += n
		}
	}
	for id, n := range ran {
		if n > 1 {
			found = append(found, violation{w.drivers[0].now, fmt.Sprintf("rule 2: write %s ran %d times", id, n)})
		}
	}
	for _, h := range w.drivers {
		for id, end := range h.writeOutcomes {
			if end == Refused && ran[id] > 0 {
				found = append(found, violation{h.now, fmt.Sprintf("rule 2: write %s ran, and its client was told that it did not",
					id)})
			} else if end == Acked && ran[id] == 0 {
				found = append(found, violation{h.now, fmt.Sprintf("rule 1: write %s was acked and never ran", id)})
			}
		}
	}
	return found
}
