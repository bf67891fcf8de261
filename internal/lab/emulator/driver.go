package emulator

// This file owns a driver: the events that it gives to its policy, the execution of the policy's actions, and its view
// of the list of members. The driver makes no decision itself, and answers no op that the policy has not answered.

import (
	"slices"
	"strconv"

	"weirwind/internal/switchover"
	"weirwind/logic"
)

const (
	connectTimeout  = 250.0   // milliseconds until an attempt to connect is given up
	maxIdle         = 15000.0 // milliseconds after which an idle connection is closed
	tick            = 5.0     // milliseconds between two timer events of the policy
	minRetryDelay   = 20.0    // minimum milliseconds until a client retries a refused op
	maxMessageBytes = 256
	maxRetryAfter   = 1000 // milliseconds that a busy reply may advise
	sendCap         = 6    // maximum number of attempts of an op
)

// policy is the decision module, or a baseline in its place.
type policy interface {
	// Step handles events and returns actions, which are valid until the next step.
	Step(now float64, events []logic.Event) []logic.Action
}

// op is one request of a client.
type op struct {
	id           string
	kind         int // index of the op type
	group        int64
	session      *session // nil if the op belongs to no session
	lastWrite    float64  // the session's last write position at submission
	started      float64  // time at which the client first submitted it
	deadline     float64  // time at which the client gives up
	retries      int      // number of earlier submissions by the client
	attempts     []*attempt
	finished     bool // the client has an answer
	answers      int
	driverPaused bool // the driver is paused at the deadline, so the op can't be answered in time
}

// driver hosts a policy and has clients.
type driver struct {
	*process
	sim         *simulation
	index       int
	zone        int
	policy      policy
	opening     logic.Opening
	audit       *auditor
	incarnation int  // number of restarts; callbacks of earlier incarnations are ignored
	down        bool // between two incarnations
	removed     bool // ended without another incarnation
	pausedUntil float64
	deferred    []func() // actions that arrived while it was paused

	ops           map[string]*op // ops that are unanswered or have open attempts
	opCount       int
	writeOutcomes map[string]Outcome
	idleConns     map[*member][]idleConn

	sessions   []session
	rate       float64 // ops per millisecond that its clients submit
	rateFactor float64
	hotGroup   bool // all its clients' ops are for group 1

	list            []logic.ListEntry // the list of members as discovery has it
	listIndex       map[string]int    // by member
	listPausedUntil float64           // time until which the policy gets no entries
	missedEntries   []logic.ListEntry // entries that arrived while the list was paused

	switchovers *switchover.Tracker // nil until the first notification
	draining    map[string]bool     // members that a planned switchover drains
	observing   bool                // whether the primary is polled, as it is while a switchover is open
}

func (d *driver) name() string { return "n" + strconv.Itoa(d.index) }

// addDrivers creates the drivers, which all start with the same list of members.
func (sim *simulation) addDrivers() {
	s := &sim.setup
	var list []logic.ListEntry
	listIndex := map[string]int{}
	for i, m := range sim.members {
		e := m.entry()
		e.Primary = m.isPrimary()
		listIndex[m.id] = i
		list = append(list, e)
	}
	capacity := float64(s.Groups*s.Members*s.Cores) / s.ServiceTime // ops per millisecond
	for i := range s.Drivers {
		d := &driver{
			process:       sim.scheduler.newProcess(len(sim.groups)+i, s.Seed, sim.started),
			sim:           sim,
			index:         i,
			zone:          i % s.Zones,
			ops:           map[string]*op{},
			idleConns:     map[*member][]idleConn{},
			sessions:      make([]session, sessionsPerDriver),
			writeOutcomes: map[string]Outcome{},
			list:          slices.Clone(list),
			listIndex:     listIndex,
			rate:          capacity * s.Load / float64(s.Drivers),
			rateFactor:    1,
		}
		d.audit = newAuditor(d.process)
		sim.drivers = append(sim.drivers, d)
	}
}

// start opens the policy at a random time within the first tick, as machines' clocks are not aligned, and schedules the
// arrivals of clients.
func (d *driver) start() {
	d.opening = d.newOpening()
	d.policy = d.newPolicy()
	d.schedule(tick*d.random.Float64(), func() {
		d.step(
			logic.Event{Kind: logic.EvOpen, Opening: &d.opening},
			logic.Event{Kind: logic.EvMembers, List: logic.ListCached, Members: d.list},
		)
		d.scheduleArrival()
		d.scheduleSample()
	})
}

// newOpening returns the policy's configuration.
func (d *driver) newOpening() logic.Opening {
	s := &d.sim.setup
	opening := logic.Opening{
		Seed:            (s.Seed + 1) * 0x9E3779B97F4A7C15 * uint64(d.index+1),
		Drivers:         s.Drivers,
		Zone:            zoneName(d.zone),
		OpTypes:         d.sim.types,
		Tick:            tick,
		ListRole:        logic.RoleAtStart,
		SessionCarried:  true,
		Positions:       true,
		ReportsByProbe:  !s.NoProbes,
		MayProbe:        !s.NoProbes,
		MayCancel:       true,
		MayMessage:      true,
		MayOverlap:      true,
		MaxRetryAfter:   maxRetryAfter,
		SendCap:         sendCap,
		ColdFrom:        coldCapacity,
		ColdFor:         warmupTime,
		FallMultiple:    overloadFactor,
		FallSpan:        overloadSpan,
		MaxMessageBytes: maxMessageBytes,
		MaxMessages:     s.MessageRate,
	}
	if s.NoAdvice {
		opening.MaxRetryAfter = 0
	}
	return opening
}

func (d *driver) newPolicy() policy {
	if d.sim.setup.Policy == PolicyModule {
		return &logic.Driver{}
	}
	return newBaseline(d.sim.setup.Policy, d.sim.types, d.opening.Seed)
}

// moduleMemory returns the module's exported state; module is false for baselines.
func (d *driver) moduleMemory() (memory logic.Memory, module bool) {
	if _, module = d.policy.(*logic.Driver); module {
		d.policy.Step(d.now, []logic.Event{{Kind: logic.EvRemember, Memory: &memory}})
	}
	return memory, module
}

// deferIfPaused defers an action while the driver is paused, and reports whether it did so.
func (d *driver) deferIfPaused(action func()) bool {
	if d.now < d.pausedUntil {
		d.deferred = append(d.deferred, action)
		return true
	}
	return false
}

// step passes events to the policy and executes its actions.
func (d *driver) step(events ...logic.Event) {
	if d.down || d.deferIfPaused(func() { d.step(events...) }) {
		return
	}
	for _, a := range d.policy.Step(d.now, events) { // execute copies the data that it retains
		d.execute(a)
	}
}

// updateEntry applies an entry of the list, or queues it while the list is paused.
func (d *driver) updateEntry(entry logic.ListEntry) {
	i := d.listIndex[entry.Member]
	entry.Primary = d.list[i].Primary
	d.list[i] = entry
	if d.now < d.listPausedUntil {
		d.missedEntries = append(d.missedEntries, entry)
		return
	}
	d.audit.entryReceived(entry)
	if d.draining[entry.Member] && entry.Phase == logic.Ready {
		entry.Phase = logic.Draining
	}
	d.step(logic.Event{Kind: logic.EvMembers, List: logic.ListChanges, Members: []logic.ListEntry{entry}})
}

// execute executes an action of the policy.
func (d *driver) execute(action logic.Action) {
	switch action.Kind {
	case logic.ActSend:
		d.send(action)
	case logic.ActCancel:
		if o := d.ops[action.Op]; o != nil && action.Send < len(o.attempts) {
			d.schedule(action.Wait, func() { o.attempts[action.Send].abandon(logic.Cancelled) })
		}
	case logic.ActRefuse:
		d.finish(action.Op, Refused, action.Wait)
	case logic.ActFail:
		d.finish(action.Op, Failed, 0)
	case logic.ActProbe:
		d.probe(d.sim.membersByID[action.Member])
	case logic.ActTimer:
		incarnation := d.incarnation
		d.schedule(action.Wait, func() {
			if d.incarnation == incarnation {
				d.step(logic.Event{Kind: logic.EvTimer})
			}
		})
	case logic.ActMessage:
		d.sendToPeers(slices.Clone(action.Data))
	case logic.ActWatch:
		d.schedule(listDelay, func() {
			d.step(logic.Event{Kind: logic.EvMembers, List: logic.ListFull, Members: slices.Clone(d.list)})
		})
	}
}

// send starts an attempt of an op.
func (d *driver) send(action logic.Action) {
	o, m := d.ops[action.Op], d.sim.membersByID[action.Member]
	if o == nil || m == nil {
		d.audit.report("rule 1: a send of an op that is not open")
		return
	}
	x := &attempt{driver: d, op: o, index: len(o.attempts), target: m, sent: d.now}
	d.audit.attemptSent(x)
	o.attempts = append(o.attempts, x)
	d.worker.counters.sends++
	d.schedule(min(action.Wait, d.sim.types[o.kind].OpTimeout), func() { x.abandon(logic.TimedOut) })
	x.connect()
}

// sendToPeers sends a message to all other drivers.
func (d *driver) sendToPeers(data []byte) {
	for _, peer := range d.sim.drivers {
		if peer == d {
			continue
		}
		if latency, arrives := d.sim.transit(d.process, d.zone, peer.zone); arrives {
			d.worker.counters.messages++
			d.sendTo(peer.process, latency, func() { peer.step(logic.Event{Kind: logic.EvMessage, Data: data}) })
		}
	}
}

// probe asks a member for its status on a connection of its own.
func (d *driver) probe(m *member) {
	if m == nil {
		return
	}
	started, incarnation := d.now, d.incarnation
	answered := false
	answer := func(outcome logic.Outcome, status logic.Sight) {
		if answered || d.incarnation != incarnation {
			return
		}
		answered = true
		d.step(logic.Event{Kind: logic.EvProbed, Member: m.id, Outcome: outcome, Took: d.now - started, Report: status})
		if d.switchovers != nil && outcome == logic.OK {
			d.applyOutcome(d.switchovers.ObserveRole(d.now, m.id, status.Role == logic.Primary))
		}
	}
	d.schedule(connectTimeout, func() { answer(logic.ConnectFailed, logic.Sight{}) })
	latency, arrives := d.sim.transit(d.process, d.zone, m.zone)
	if !arrives {
		return
	}
	d.sendTo(m.group.process, latency, func() {
		if m.unreachable || m.hung {
			return
		}
		outcome, status := logic.OK, m.status()
		if m.dead {
			outcome, status = logic.ConnectFailed, logic.Sight{}
		}
		if latency, arrives := d.sim.transit(m.group.process, m.zone, d.zone); arrives {
			m.group.sendTo(d.process, latency, func() { answer(outcome, status) })
		}
	})
}

// finish answers an op to its client. A client whose op was refused retries it until its deadline.
func (d *driver) finish(id string, outcome Outcome, retryAfter float64) {
	o := d.ops[id]
	if o == nil {
		d.audit.report("rule 1: an answer to an op that is not open")
		return
	}
	d.audit.opAnswered(o)
	if o.finished {
		return
	}
	o.finished = true
	d.worker.counters.opFinished(d, o, outcome)
	if d.sim.types[o.kind].Need == logic.Write {
		d.writeOutcomes[o.id] = outcome
	}
	if outcome == Refused && o.retries < d.sim.setup.Retries && d.now < o.deadline {
		retry := &op{
			kind:     o.kind,
			group:    o.group,
			session:  o.session,
			started:  o.started,
			deadline: o.deadline,
			retries:  o.retries + 1,
		}
		d.schedule(max(retryAfter, minRetryDelay)*(0.5+d.random.Float64()), func() {
			if d.now < o.deadline {
				d.submit(retry)
			}
		})
	}
	d.release(o)
}

// release deletes an op once none of its attempts is open.
func (d *driver) release(o *op) {
	for _, x := range o.attempts {
		if !x.ended {
			return
		}
	}
	delete(d.ops, o.id)
}
