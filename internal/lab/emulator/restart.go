package emulator

// This file owns a driver's restart: what it loses, and what internal/learned restores in its next incarnation, which
// gets no more of the one before than a folder on disk would hold.

import (
	"maps"
	"math"
	"slices"

	"weirwind/internal/learned"
	"weirwind/logic"
)

const restartDelay = 200.0 // milliseconds from a driver's end to its next incarnation

// learnedRules are what learned state is kept and restored by.
func (d *driver) learnedRules() learned.Config {
	r := learned.Config{
		Name:                  d.name(),
		SaveInterval:          1000,
		MinSwitchover:         handoverDelay,
		WarmUp:                warmupTime,
		StalenessBound:        math.Inf(1),
		SessionsTrackPosition: true,
	}
	for i, t := range d.sim.types {
		r.OpTypes = append(r.OpTypes, learned.OpType{Name: d.sim.setup.Mix[i].Name, LatencyTarget: t.LatencyTarget})
		if t.Need == logic.Bounded {
			r.StalenessBound = min(r.StalenessBound, t.MaxAge)
		}
	}
	return r
}

// learnedMoment is the time now, as internal/learned takes it.
func (d *driver) learnedMoment() learned.Timestamp {
	return learned.Timestamp{Wall: d.now, Uptime: d.now, BootID: "emulated"}
}

// restart ends a driver at once, with all open ops and connections, and starts it again after a delay; with keep from
// the learned state that was saved at the end. Its list is the current one, but for roles, which are those of the run's
// start.
func (d *driver) restart(keep bool) {
	if d.down {
		return
	}
	var state *learned.State
	if memory, module := d.moduleMemory(); module && keep {
		state = d.saveState(&memory)
	}
	d.dropOps()
	d.dropConnections()
	d.incarnation++
	d.down = true
	d.switchovers, d.draining = nil, nil
	if d.removed {
		return
	}
	d.schedule(restartDelay, func() { d.startAgain(state) })
}

// saveState is the learned state as the next incarnation would load it.
func (d *driver) saveState(memory *logic.Memory) *learned.State {
	now := d.learnedMoment()
	table := learned.NewTable(d.learnedRules(), nil, now)
	table.StartRun(now)
	table.UpdateMembership(now, 1, true, d.listEntries())
	table.Update(now, memory, true)
	state, err := learned.Load(table.Snapshot(), nil)
	if err != nil {
		d.audit.report("state: %v", err)
	}
	return state
}

// dropOps ends all open ops: their clients see their connections break. Members may still run them.
func (d *driver) dropOps() {
	for _, id := range slices.Sorted(maps.Keys(d.ops)) {
		o := d.ops[id]
		for _, x := range o.attempts {
			x.ended = true
		}
		if !o.finished {
			o.finished = true
			o.answers++ // the broken connection is no answer, and no missing one either
			d.worker.counters.Lost++
		}
	}
	d.ops, d.deferred = map[string]*op{}, nil
}

// dropConnections closes all idle connections.
func (d *driver) dropConnections() {
	for _, m := range d.sim.members { // in a fixed order
		for _, c := range d.idleConns[m] {
			d.sendTo(m.group.process, d.sim.setup.ZoneLatency, func() { m.closeConn(c.incarnation) })
		}
	}
	d.idleConns = map[*member][]idleConn{}
}

// startAgain begins the next incarnation, from saved state where there is one.
func (d *driver) startAgain(state *learned.State) {
	d.down = false
	d.policy = d.newPolicy()
	d.opening.Seed = d.opening.Seed*6364136223846793005 + 1 // another with each start
	events := []logic.Event{{Kind: logic.EvOpen, Opening: &d.opening},
		{Kind: logic.EvMembers, List: logic.ListCached, Members: slices.Clone(d.list)}}
	for _, e := range d.list {
		d.audit.entryReceived(e)
	}
	if state != nil {
		list := learned.Membership{Revision: 1, Entries: d.listEntries()}
		restored := learned.Restore(state, d.learnedRules(), d.learnedMoment(), list)
		events = append(events, logic.Event{Kind: logic.EvRecall, Memory: &restored.Memory})
	}
	d.step(events...)
}

// listEntries is the list of members as internal/learned takes it.
func (d *driver) listEntries() (all []learned.Entry) {
	for _, e := range d.list {
		phase := learned.PhaseUp
		if e.Phase == logic.Draining {
			phase = "draining"
		}
		all = append(
			all,
			learned.Entry{ID: e.Member, Address: e.Member, Zone: e.Zone, Group: e.Group, Phase: phase, StartedAt: e.Started},
		)
	}
	return all
}
