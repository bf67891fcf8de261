package emulator

// This file owns words on planned changes between a hook and drivers, which go by internal/switchover as the driver
// does. It must never let a driver hear of a change but by a word that had its way to go.

import (
	"weirwind/internal/switchover"
	"weirwind/logic"
)

const (
	hookWay    = 2.0  // milliseconds: a process that calls a socket
	hookAhead  = 50.0 // from a hook before the takeover to the takeover
	switchLook = 20.0 // as in the driver
)

func (h *host) switchbook() *switchover.Tracker {
	if h.book == nil {
		h.book = switchover.New(
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
		h.marked = map[string]bool{}
	}
	return h.book
}

// hook takes a word of a hook and tells all fellows.
func (h *host) hook(w switchover.Notification) {
	if h.down || h.keeps(func() { h.hook(w) }) {
		return
	}
	w, out, err := h.switchbook().HandleHook(h.now, w, "")
	if err != nil {
		h.audit.broken("switch: %v", err)
		return
	}
	h.switches(out)
	for _, other := range h.w.hosts {
		if other != h {
			if ms, arrives := h.w.way(h.lane, h.zone, other.zone); arrives {
				h.post(other.lane, ms, func() { other.hearsWord(w) })
			}
		}
	}
}

func (h *host) hearsWord(w switchover.Notification) {
	if h.down || h.keeps(func() { h.hearsWord(w) }) {
		return
	}
	out, err := h.switchbook().HandleNotification(h.now, w)
	if err != nil {
		h.audit.broken("switch: %v", err)
	}
	h.switches(out)
}

// switches carries out what was decided, and looks at who is primary for as long as a change is open.
func (h *host) switches(out switchover.Outcome) {
	for _, m := range out.Marks {
		h.marked[m.Member] = m.Draining
		if e := h.list[h.place[m.Member]]; e.Phase == logic.Ready {
			if m.Draining {
				e.Phase = logic.Draining
			}
			h.step(logic.Event{Kind: logic.EvMembers, List: logic.ListChanges, Members: []logic.ListEntry{e}})
		}
	}
	for _, member := range out.QueryRoles {
		h.probe(h.w.byID[member])
	}
	if !h.looks && h.book.Active() {
		h.looks = true
		h.look()
	}
}

func (h *host) look() {
	h.after(switchLook, func() {
		if h.down || !h.book.Active() {
			h.looks = false
			return
		}
		if h.now >= h.frozen {
			if memory, module := h.memory(); module {
				for _, g := range memory.Groups {
					if g.Held {
						h.switches(h.book.ObservePrimary(h.now, g.Group, g.Slot))
					}
				}
				h.switches(h.book.Tick(h.now))
			}
		}
		h.look()
	})
}
