package emulator

// This file owns the effects of faults on members and groups.

import (
	"slices"

	"weirwind/internal/switchover"
	"weirwind/logic"
)

const (
	minDeployPause = 4000.0 // milliseconds between two members of a deploy
	// deployStop is the time in milliseconds from the begin of a member's drain until a deploy stops it; restartShare is
	// the share of the pause after which it is started again.
	deployStop   = 2*handoverDelay + listDelay
	restartShare = 1.0 / 8
	minLag       = 10.0 // minimum milliseconds to which the factor of a lag is applied
)

// inject begins a fault of a member.
func (m *member) inject(fault Fault) {
	g := m.group
	switch fault.Kind {
	case faultKill:
		m.dead = true
		m.terminate(true)
		g.deposePrimary(m, detectionDelay+g.sim.setup.ElectionTime)
	case faultVanish:
		m.unreachable = true
		m.terminate(false)
		g.deposePrimary(m, detectionDelay+g.sim.setup.ElectionTime)
	case faultHang:
		m.hung = true
		g.deposePrimary(m, detectionDelay+g.sim.setup.ElectionTime)
	case faultFail:
		m.failing = true
	case faultSlow:
		m.slowdown = fault.factorOr(defaultSlowdown)
	case faultAge:
		m.aging = fault.factorOr(defaultAging)
	case faultLag:
		m.currentPosition()
		m.lag = fault.factorOr(defaultLagFactor) * max(g.sim.setup.ReplicationLag, minLag)
	case faultDrain:
		m.phase = logic.Draining
		g.announceMember(m)
		g.deposePrimary(m, handoverDelay)
	case faultDemote:
		g.deposePrimary(m, g.sim.setup.ElectionTime)
	case faultSwitch:
		g.beginSwitchover(m)
	case faultWrong:
		e := m.entry()
		e.Phase = logic.Gone
		g.sendEntry(e)
	case faultHeal:
		m.heal()
	}
}

// beginSwitchover changes a group's primary as a topology manager with hooks does: the hook notifies one driver first.
func (g *group) beginSwitchover(m *member) {
	if !m.isPrimary() {
		return
	}
	g.switchover = true
	d := g.sim.drivers[0]
	g.sendTo(d.process, hookDelay, func() {
		d.handleHook(switchover.Notification{Group: g.id, Stage: switchover.StageHeld, From: m.id})
	})
	g.schedule(hookLead, func() { g.deposePrimary(m, g.sim.setup.ElectionTime) })
}

// heal ends all faults of a member. A member that was down restarts cold, without connections.
func (m *member) heal() {
	m.currentPosition()
	if m.dead || m.unreachable {
		m.started, m.applyBacklog = m.group.now, 0
	}
	m.dead, m.unreachable, m.hung, m.failing = false, false, false, false
	m.slowdown, m.aging, m.lag = 1, 0, m.group.sim.setup.ReplicationLag
	m.phase = logic.Ready
	m.startQueued()
	m.group.announceMember(m)
}

// deploy restarts the members of a group one by one, the current primary last: each drains, stops and starts cold.
func (g *group) deploy(pause float64) {
	order := slices.Clone(g.members)
	slices.SortStableFunc(order, func(a, b *member) int {
		return map[bool]int{true: 1}[a.isPrimary()] - map[bool]int{true: 1}[b.isPrimary()]
	})
	for i, m := range order {
		begin := float64(i) * pause
		g.schedule(begin, func() { m.inject(Fault{Kind: faultDrain}) })
		g.schedule(begin+deployStop, func() {
			m.dead = true
			m.terminate(true)
		})
		g.schedule(begin+deployStop+pause*restartShare, m.heal)
	}
}
