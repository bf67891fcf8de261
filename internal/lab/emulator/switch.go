package emulator

// This file owns words on planned changes between a hook and drivers, which go by internal/switchover as the driver
// does. It must never let a driver hear of a change but by a word that had its way to go.

import (
	"weirwind/internal/switchover"
	"weirwind/logic"
)

const (
	hookDelay     = 2.0  // milliseconds: a process that calls a socket
	hookLead      = 50.0 // from a hook before the takeover to the takeover
	observePeriod = 20.0 // as in the driver
)

func (h *driver) switchoverTracker() *switchover.Tracker {
	if h.switchovers == nil {
		h.switchovers = switchover.New(
			switchover.Config{
				DefaultLease:      5000,
				MaxHold:           60000,
				ReleaseTimeout:    10000,
				RoleQueryInterval: 1000,
				Retention:         240000,
				MaxGroups:         64,
				Origin:            uint64(h.index),
			},
		)
		h.draining = map[string]bool{}
	}
	return h.switchovers
}

// hook takes a word of a hook and tells all fellows.
func (h *driver) handleHook(w switchover.Notification) {
	if h.down || h.deferIfPaused(func() { h.handleHook(w) }) {
		return
	}
	w, out, err := h.switchoverTracker().HandleHook(h.now, w, "")
	if err != nil {
		h.audit.report("switch: %v", err)
		return
	}
	h.applyOutcome(out)
	for _, other := range h.sim.drivers {
		if other != h {
			if ms, arrives := h.sim.transit(h.process, h.zone, other.zone); arrives {
				h.sendTo(other.process, ms, func() { other.handleNotification(w) })
			}
		}
	}
}

func (h *driver) handleNotification(w switchover.Notification) {
	if h.down || h.deferIfPaused(func() { h.handleNotification(w) }) {
		return
	}
	out, err := h.switchoverTracker().HandleNotification(h.now, w)
	if err != nil {
		h.audit.report("switch: %v", err)
	}
	h.applyOutcome(out)
}

// switches carries out what was decided, and looks at who is primary for as long as a change is open.
func (h *driver) applyOutcome(out switchover.Outcome) {
	for _, m := range out.Marks {
		h.draining[m.Member] = m.Draining
		if e := h.list[h.listIndex[m.Member]]; e.Phase == logic.Ready {
			if m.Draining {
				e.Phase = logic.Draining
			}
			h.step(logic.Event{Kind: logic.EvMembers, List: logic.ListChanges, Members: []logic.ListEntry{e}})
		}
	}
	for _, member := range out.QueryRoles {
		h.probe(h.sim.membersByID[member])
	}
	if !h.observing && h.switchovers.Active() {
		h.observing = true
		h.observe()
	}
}

func (h *driver) observe() {
	h.schedule(observePeriod, func() {
		if h.down || !h.switchovers.Active() {
			h.observing = false
			return
		}
		if h.now >= h.pausedUntil {
			if memory, module := h.moduleMemory(); module {
				for _, g := range memory.Groups {
					if g.Held {
						h.applyOutcome(h.switchovers.ObservePrimary(h.now, g.Group, g.Slot))
					}
				}
				h.applyOutcome(h.switchovers.Tick(h.now))
			}
		}
		h.observe()
	})
}
