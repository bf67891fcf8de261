package emulator

// This file owns notifications of planned switchovers between a hook and drivers, which use internal/switchover as the
// real driver does. A driver learns of a switchover only by messages.

import (
	"weirwind/internal/switchover"
	"weirwind/logic"
)

const (
	hookDelay     = 2.0  // milliseconds from a hook to its driver: the hook is a process that connects to a socket
	hookLead      = 50.0 // milliseconds from a hook to the change of the primary that it announces
	observePeriod = 20.0 // milliseconds between two polls of the primary while a switchover is open
)

// switchoverTracker returns the driver's state of planned switchovers, which the first notification creates.
func (d *driver) switchoverTracker() *switchover.Tracker {
	if d.switchovers == nil {
		d.switchovers = switchover.New(
			switchover.Config{
				DefaultLease:      5000,
				MaxHold:           60000,
				ReleaseTimeout:    10000,
				RoleQueryInterval: 1000,
				Retention:         240000,
				MaxGroups:         64,
				Origin:            uint64(d.index),
			},
		)
		d.draining = map[string]bool{}
	}
	return d.switchovers
}

// handleHook handles a hook's notification and forwards it to all peers.
func (d *driver) handleHook(notification switchover.Notification) {
	if d.down || d.deferIfPaused(func() { d.handleHook(notification) }) {
		return
	}
	accepted, outcome, err := d.switchoverTracker().HandleHook(d.now, notification, "")
	if err != nil {
		d.audit.report("switch: %v", err)
		return
	}
	d.applyOutcome(outcome)
	for _, peer := range d.sim.drivers {
		if peer == d {
			continue
		}
		if latency, arrives := d.sim.transit(d.process, d.zone, peer.zone); arrives {
			d.sendTo(peer.process, latency, func() { peer.handleNotification(accepted) })
		}
	}
}

// handleNotification handles a peer's notification.
func (d *driver) handleNotification(notification switchover.Notification) {
	if d.down || d.deferIfPaused(func() { d.handleNotification(notification) }) {
		return
	}
	outcome, err := d.switchoverTracker().HandleNotification(d.now, notification)
	if err != nil {
		d.audit.report("switch: %v", err)
	}
	d.applyOutcome(outcome)
}

// applyOutcome executes the tracker's decisions, and polls the primaries while a switchover is open.
func (d *driver) applyOutcome(outcome switchover.Outcome) {
	for _, m := range outcome.Marks {
		d.draining[m.Member] = m.Draining
		if e := d.list[d.listIndex[m.Member]]; e.Phase == logic.Ready {
			if m.Draining {
				e.Phase = logic.Draining
			}
			d.step(logic.Event{Kind: logic.EvMembers, List: logic.ListChanges, Members: []logic.ListEntry{e}})
		}
	}
	for _, member := range outcome.QueryRoles {
		d.probe(d.sim.membersByID[member])
	}
	if !d.observing && d.switchovers.Active() {
		d.observing = true
		d.observe()
	}
}

// observe polls the primaries periodically while a switchover is open.
func (d *driver) observe() {
	d.schedule(observePeriod, func() {
		if d.down || !d.switchovers.Active() {
			d.observing = false
			return
		}
		if d.now >= d.pausedUntil {
			d.observePrimaries()
		}
		d.observe()
	})
}

// observePrimaries passes the primaries that the module knows, and the current time, to the tracker.
func (d *driver) observePrimaries() {
	memory, module := d.moduleMemory()
	if !module {
		return
	}
	for _, g := range memory.Groups {
		if g.InSlot {
			d.applyOutcome(d.switchovers.ObservePrimary(d.now, g.Group, g.Primary))
		}
	}
	d.applyOutcome(d.switchovers.Tick(d.now))
}
