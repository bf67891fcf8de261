package emulator

// This file owns a driver's restart: what it loses, and what internal/learned lets its next life believe. It must never
// hand a life more of the one before than a folder on disk would hold.

import (
	"math"
	"slices"

	"weirwind/internal/learned"
	"weirwind/logic"
)

const restartDelay = 200.0 // milliseconds from a driver's end to its next life

// rules are what the state is kept by.
func (h *driver) learnedRules() learned.Config {
	r := learned.Config{
		Name:                  h.name(),
		SaveInterval:          1000,
		MinSwitchover:         handoverDelay,
		WarmUp:                warmupTime,
		StalenessBound:        math.Inf(1),
		SessionsTrackPosition: true,
	}
	for i, t := range h.sim.types {
		r.OpTypes = append(r.OpTypes, learned.OpType{Name: h.sim.setup.Mix[i].Name, LatencyTarget: t.LatencyTarget})
		if t.Need == logic.Bounded {
			r.StalenessBound = min(r.StalenessBound, t.MaxAge)
		}
	}
	return r
}

func (h *driver) learnedMoment() learned.Timestamp {
	return learned.Timestamp{Wall: h.now, Uptime: h.now, BootID: "emulated"}
}

// restart ends a driver at once, with all that was open, and begins it anew: with the state as it was saved at the end
// where it keeps it. The list that it starts with is the one of now, but for roles: those are of the day's start.
func (h *driver) restart(keep bool) {
	if h.down {
		return
	}
	var state *learned.State
	if memory, module := h.moduleMemory(); module && keep {
		table := learned.NewTable(h.learnedRules(), nil, h.learnedMoment())
		table.StartRun(h.learnedMoment())
		table.UpdateMembership(h.learnedMoment(), 1, true, h.listEntries())
		table.Update(h.learnedMoment(), &memory, true)
		var err error
		if state, err = learned.Load(table.Snapshot(), nil); err != nil {
			h.audit.report("state: %v", err)
		}
	}
	ids := make([]string, 0, len(h.ops))
	for id := range h.ops {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		o := h.ops[id]
		for _, x := range o.attempts {
			x.ended = true // its connection is gone; the member may run it all the same
		}
		if !o.finished {
			o.finished = true
			o.answers++ // its client saw the connection break, which is no answer, and no silence either
			h.worker.counters.Lost++
		}
	}
	h.ops, h.deferred = map[string]*op{}, nil
	for _, m := range h.sim.members { // in a fixed order
		for _, l := range h.idleConns[m] {
			h.sendTo(m.group.process, h.sim.setup.ZoneLatency, func() { m.closeConn(l.incarnation) })
		}
	}
	h.idleConns = map[*member][]idleConn{}
	h.incarnation++
	h.down = true
	h.switchovers, h.draining = nil, nil
	if h.removed {
		return
	}
	h.schedule(restartDelay, func() {
		h.down = false
		h.policy = h.newPolicy()
		h.opening.Seed = h.opening.Seed*6364136223846793005 + 1 // new with each start
		events := []logic.Event{{Kind: logic.EvOpen, Opening: &h.opening},
			{Kind: logic.EvMembers, List: logic.ListCached, Members: slices.Clone(h.list)}}
		for _, e := range h.list {
			h.audit.entryReceived(e)
		}
		if state != nil {
			restored := learned.Restore(state, h.learnedRules(), h.learnedMoment(), learned.Membership{Revision: 1, Entries: h.listEntries()})
			events = append(events, logic.Event{Kind: logic.EvRecall, Memory: &restored.Memory})
		}
		h.step(events...)
	})
}

func (h *driver) listEntries() (all []learned.Entry) {
	for _, e := range h.list {
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
