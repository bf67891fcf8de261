package emulator

// This file owns the audit of the five rules of the package's documentation, for each process and across processes. It
// uses what clients, members and the network observe, and never a policy's state.

import (
	"fmt"
	"strings"

	"weirwind/logic"
)

const (
	drainGrace     = 500.0  // milliseconds for which a driver may still send after its list shows the drain
	positionSlack  = 1.0    // milliseconds by which positions and deadlines may be exceeded
	overloadSpan   = 1500.0 // milliseconds over which the sends to a cold member are counted
	overloadFactor = 2.5    // a cold member is overloaded if it is sent more than this many times its capacity
	// minOverloadSends is the number of sends in the span up to which no cold member counts as overloaded.
	minOverloadSends = 20
	maxReported      = 5 // violations of a process that are kept with their texts
)

// violation is one violation of a rule.
type violation struct {
	time float64
	text string // the rule, a colon, and what happened
}

func (v *violation) rule() string {
	rule, _, _ := strings.Cut(v.text, ":")
	return rule
}

// auditor checks one process.
type auditor struct {
	process    *process
	drainSeen  map[string]float64 // by member: time at which the driver's list first showed its drain
	violations map[string]int     // by rule
	first      []violation
}

func newAuditor(p *process) *auditor {
	return &auditor{process: p, drainSeen: map[string]float64{}, violations: map[string]int{}}
}

// report records a violation, whose text begins with the rule and a colon.
func (a *auditor) report(format string, args ...any) {
	v := violation{a.process.now, fmt.Sprintf(format, args...)}
	if a.violations[v.rule()]++; len(a.first) < maxReported {
		a.first = append(a.first, v)
	}
}

// entryReceived records a new entry of the driver's list.
func (a *auditor) entryReceived(entry logic.ListEntry) {
	if entry.Phase == logic.Ready {
		delete(a.drainSeen, entry.Member)
	} else if _, known := a.drainSeen[entry.Member]; !known {
		a.drainSeen[entry.Member] = a.process.now
	}
}

// attemptSent checks an attempt before it is added to the op's attempts.
func (a *auditor) attemptSent(x *attempt) {
	o := x.op
	if o.answers > 0 {
		a.report("rule 1: op %s was sent on behind its answer", o.id)
	}
	if at, drains := a.drainSeen[x.target.id]; drains && a.process.now > at+drainGrace {
		a.report("rule 3: op %s sent to %s, told to drain %.0f ms before", o.id, x.target.id, a.process.now-at)
	}
	if x.driver.sim.types[o.kind].Effect == logic.NonRetryable && !o.provedNotExecuted() {
		a.report("rule 2: write %s was sent again though an earlier send of it may have run", o.id)
	}
}

// provedNotExecuted reports whether each attempt of an op is proved not to have been executed.
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

// readServed checks the freshness of the data of a successful answer.
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

// opAnswered counts an op's answers.
func (a *auditor) opAnswered(o *op) {
	if o.answers++; o.answers > 1 {
		a.report("rule 1: op %s got %d answers", o.id, o.answers)
	}
	if a.process.now > o.deadline+positionSlack && !o.driverPaused {
		a.report("rule 1: op %s answered %.0f ms after its time", o.id, a.process.now-o.deadline)
	}
}

// deadlinePassed checks, after an op's deadline, that it was answered.
func (a *auditor) deadlinePassed(o *op) {
	if o.answers == 0 && !o.driverPaused {
		a.report("rule 1: op %s never got an answer", o.id)
	}
}

// coldSend counts a send to a cold member and checks the sends of all drivers within the span.
func (a *auditor) coldSend(m *member) {
	m.coldSends = append(m.coldSends, a.process.now)
	times := m.coldSends
	for len(times) > 0 && times[0] < a.process.now-overloadSpan {
		times = times[1:]
	}
	m.coldSends = times
	capacity := m.capacityShare() * float64(m.group.sim.setup.Cores) * overloadSpan / m.group.sim.setup.ServiceTime
	if n := float64(len(times)); n > overloadFactor*capacity && n > minOverloadSends {
		a.report("rule 4: cold %s got %.0f sends in %.0f ms and can do %.0f", m.id, n, overloadSpan, capacity)
		m.coldSends = nil
	}
}

// auditWrites compares the answers that clients got to writes with the executions at members.
func (sim *simulation) auditWrites() (found []violation) {
	executions := map[string]int{}
	for _, g := range sim.groups {
		for id, n := range g.executions {
			executions[id] += n
		}
	}
	for id, n := range executions {
		if n > 1 {
			found = append(found, violation{sim.drivers[0].now, fmt.Sprintf("rule 2: write %s ran %d times", id, n)})
		}
	}
	for _, d := range sim.drivers {
		for id, outcome := range d.writeOutcomes {
			switch {
			case outcome == Refused && executions[id] > 0:
				found = append(found, violation{d.now,
					fmt.Sprintf("rule 2: write %s ran, and its client was told that it did not", id)})
			case outcome == Acked && executions[id] == 0:
				found = append(found, violation{d.now, fmt.Sprintf("rule 1: write %s was acked and never ran", id)})
			}
		}
	}
	return found
}
