package emulator

// This file owns a driver's restart: the state that it loses, and the state that internal/learned restores in its next
// incarnation, which is limited to what a folder on disk would hold.

import (
	"maps"
	"math"
	"slices"

	"weirwind/internal/learned"
	"weirwind/logic"
)

const restartDelay = 200.0 // milliseconds from a driver's end to its next incarnation

// learnedConfig returns the configuration by which learned state is saved and restored.
func (d *driver) learnedConfig() learned.Config {
	config := learned.Config{
		Name:                  d.name(),
		SaveInterval:          1000,
		MinSwitchover:         handoverDelay,
		WarmUp:                warmupTime,
		StalenessBound:        math.Inf(1),
		SessionsTrackPosition: true,
	}
	for i, t := range d.sim.types {
		config.OpTypes = append(config.OpTypes, learned.OpType{Name: d.sim.setup.Mix[i].Name, LatencyTarget: t.LatencyTarget})
		if t.Need == logic.Bounded {
			config.StalenessBound = min(config.StalenessBound, t.MaxAge)
		}
	}
	return config
}

// learnedTimestamp returns the current time in the form of internal/learned.
func (d *driver) learnedTimestamp() learned.Timestamp {
	return learned.Timestamp{Wall: d.now, Uptime: d.now, BootID: "emulated"}
}

// restart ends a driver immediately, with all open ops and connections, and starts it again after a delay; with keep it
// starts from the learned state that was saved at its end. Its list of members is the current one, except that roles
// are those of the run's start.
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
	d.schedule(restartDelay, func() { d.startNextIncarnation(state) })
}

// saveState returns the learned state as the next incarnation loads it.
func (d *driver) saveState(memory *logic.Memory) *learned.State {
	now := d.learnedTimestamp()
	table := learned.NewTable(d.learnedConfig(), nil, now)
	table.StartRun(now)
	table.UpdateMembership(now, 1, true, d.listEntries())
	table.Update(now, memory, true)
	state, err := learned.Load(table.Snapshot(), nil)
	if err != nil {
		d.audit.report("state: %v", err)
	}
	return state
}

// dropOps ends all open ops, as their clients' connections break. Members may still execute them.
func (d *driver) dropOps() {
	for _, id := range slices.Sorted(maps.Keys(d.ops)) {
		o := d.ops[id]
		for _, x := range o.attempts {
			x.ended = true
		}
		if !o.finished {
			o.finished = true
			o.answers++ // so that the broken connection does not count as a missing answer
			d.worker.counters.Lost++
		}
	}
	d.ops, d.deferred = map[string]*op{}, nil
}

// dropConnections closes all idle connections.
func (d *driver) dropConnections() {
	for _, m := range d.sim.members { // in a deterministic order
		for _, c := range d.idleConns[m] {
			d.sendTo(m.group.process, d.sim.setup.ZoneLatency, func() { m.closeConn(c.incarnation) })
		}
	}
	d.idleConns = map[*member][]idleConn{}
}

// startNextIncarnation starts the next incarnation, from the saved state unless it is nil.
func (d *driver) startNextIncarnation(state *learned.State) {
	d.down = false
	d.policy = d.newPolicy()
	d.opening.Seed = d.opening.Seed*6364136223846793005 + 1 // a different seed at each start
	events := []logic.Event{{Kind: logic.EvOpen, Opening: &d.opening},
		{Kind: logic.EvMembers, List: logic.ListCached, Members: slices.Clone(d.list)}}
	for _, e := range d.list {
		d.audit.entryReceived(e)
	}
	if state != nil {
		list := learned.Membership{Revision: 1, Entries: d.listEntries()}
		restored := learned.Restore(state, d.learnedConfig(), d.learnedTimestamp(), list)
		events = append(events, logic.Event{Kind: logic.EvRecall, Memory: &restored.Memory})
	}
	d.step(events...)
}

// listEntries returns the list of members in the form of internal/learned.
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
