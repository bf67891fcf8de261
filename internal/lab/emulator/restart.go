package emulator

// This file owns a driver's restart: what it loses, and what internal/learned lets its next life believe. It must never
// hand a life more of the one before than a folder on disk would hold.

import (
	"math"
	"slices"
	"strconv"

	"weirwind/internal/learned"
	"weirwind/logic"
)

const downFor = 200.0 // milliseconds from a driver's end to its next life

func (h *host) name() string { return "n" + strconv.Itoa(h.index) }

// rules are what the state is kept by.
func (h *host) rules() learned.Rules {
	r := learned.Rules{Name: h.name(), SaveEvery: 1000, SwitchLeast: handover, ColdFor: coldFor, Bound: math.Inf(1), SessionsCarried: true}
	for i, t := range Types {
		r.OpTypes = append(r.OpTypes, learned.OpType{Name: Names[i], Target: t.LatencyTarget})
		if t.Need == logic.Bounded {
			r.Bound = min(r.Bound, t.MaxAge)
		}
	}
	return r
}

func (h *host) moment() learned.Moment {
	return learned.Moment{Wall: h.w.now, Up: h.w.now, Boot: "emulated"}
}

// restart ends a driver at once, with all that was open, and begins it anew: with the state as it was saved at the end
// where it keeps it. The list that it starts with is the one of now, but for roles: those are of the day's start.
func (h *host) restart(keep bool) {
	w := h.w
	if h.down {
		return
	}
	var state *learned.State
	if _, module := h.policy.(*logic.Driver); module && keep {
		var memory logic.Memory
		h.policy.Step(w.now, []logic.Event{{Kind: logic.EvRemember, Memory: &memory}})
		book := learned.NewBook(h.rules(), nil, h.moment())
		book.Begin(h.moment())
		book.List(h.moment(), 1, true, h.listed())
		book.Tick(h.moment(), &memory, true)
		var err error
		if state, err = learned.Load(book.Snapshot(), nil); err != nil {
			w.audit.broken("state: %v", err)
		}
	}
	ids := make([]string, 0, len(h.ops))
	for id := range h.ops {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		o := h.ops[id]
		for _, a := range o.attempts {
			a.over = true // its connection is gone; the member may run it all the same
		}
		if !o.over {
			o.over = true
			w.result.Lost++
			w.audit.lost(o)
		}
	}
	h.ops = map[string]*op{}
	h.life++
	h.down = true
	w.after(downFor, func() {
		h.down = false
		if _, module := h.policy.(*logic.Driver); module {
			h.policy = &logic.Driver{}
		} else {
			h.policy = newBaseline(w.setup.Policy, Types, h.opening.Seed)
		}
		h.opening.Seed = h.opening.Seed*6364136223846793005 + 1 // new with each start
		events := []logic.Event{{Kind: logic.EvOpen, Opening: &h.opening}, {Kind: logic.EvMembers, List: logic.ListCached, Members: h.list()}}
		if state != nil {
			belief := learned.Believe(state, h.rules(), h.moment(), learned.List{Revision: 1, Entries: h.listed()})
			events = append(events, logic.Event{Kind: logic.EvRecall, Memory: &belief.Memory})
		}
		h.step(events...)
	})
}

// list is the list of now with the roles of the day's start.
func (h *host) list() (all []logic.ListEntry) {
	for i, m := range h.w.members {
		e := m.entry()
		e.Primary = h.first[i].Primary
		all = append(all, e)
	}
	return all
}

func (h *host) listed() (all []learned.Entry) {
	for _, m := range h.w.members {
		phase := learned.PhaseUp
		if m.phase == logic.Draining {
			phase = "draining"
		}
		all = append(all, learned.Entry{ID: m.id, Address: m.id, Zone: m.zone, Group: m.group.id, Phase: phase, Started: m.started})
	}
	return all
}
