package emulator

// This file owns a driver's restart: what it loses, and what internal/learned lets its next life believe. It must never
// hand a life more of the one before than a folder on disk would hold.

import (
	"math"
	"slices"

	"weirwind/internal/learned"
	"weirwind/logic"
)

const downFor = 200.0 // milliseconds from a driver's end to its next life

// rules are what the state is kept by.
func (h *host) rules() learned.Config {
	r := learned.Config{
		Name:                  h.name(),
		SaveInterval:          1000,
		MinSwitchover:         handover,
		WarmUp:                coldFor,
		StalenessBound:        math.Inf(1),
		SessionsTrackPosition: true,
	}
	for i, t := range h.w.types {
		r.OpTypes = append(r.OpTypes, learned.OpType{Name: h.w.setup.Mix[i].Name, LatencyTarget: t.LatencyTarget})
		if t.Need == logic.Bounded {
			r.StalenessBound = min(r.StalenessBound, t.MaxAge)
		}
	}
	return r
}

func (h *host) moment() learned.Timestamp {
	return learned.Timestamp{Wall: h.now, Uptime: h.now, BootID: "emulated"}
}

// restart ends a driver at once, with all that was open, and begins it anew: with the state as it was saved at the end
// where it keeps it. The list that it starts with is the one of now, but for roles: those are of the day's start.
func (h *host) restart(keep bool) {
	if h.down {
		return
	}
	var state *learned.State
	if memory, module := h.memory(); module && keep {
		table := learned.NewTable(h.rules(), nil, h.moment())
		table.StartRun(h.moment())
		table.UpdateMembership(h.moment(), 1, true, h.listed())
		table.Update(h.moment(), &memory, true)
		var err error
		if state, err = learned.Load(table.Snapshot(), nil); err != nil {
			h.audit.broken("state: %v", err)
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
			x.over = true // its connection is gone; the member may run it all the same
		}
		if !o.over {
			o.over = true
			o.answers++ // its client saw the connection break, which is no answer, and no silence either
			h.core.tally.Lost++
		}
	}
	h.ops, h.kept = map[string]*op{}, nil
	for _, m := range h.w.members { // in a fixed order
		for _, l := range h.links[m] {
			h.post(m.g.lane, h.w.setup.Hop, func() { m.hangsUp(l.life) })
		}
	}
	h.links = map[*server][]link{}
	h.life++
	h.down = true
	h.book, h.marked = nil, nil
	if h.ended {
		return
	}
	h.after(downFor, func() {
		h.down = false
		h.policy = h.newPolicy()
		h.opening.Seed = h.opening.Seed*6364136223846793005 + 1 // new with each start
		events := []logic.Event{{Kind: logic.EvOpen, Opening: &h.opening},
			{Kind: logic.EvMembers, List: logic.ListCached, Members: slices.Clone(h.list)}}
		for _, e := range h.list {
			h.audit.told(e)
		}
		if state != nil {
			restored := learned.Restore(state, h.rules(), h.moment(), learned.Membership{Revision: 1, Entries: h.listed()})
			events = append(events, logic.Event{Kind: logic.EvRecall, Memory: &restored.Memory})
		}
		h.step(events...)
	})
}

func (h *host) listed() (all []learned.Entry) {
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
