package emulator

// This file owns faults by schedule: what they mean, whom they strike, and their end. It must never strike in a lane
// that is not its own: each part of a fault is put into the lane of whom it strikes before the play begins.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"weirwind/internal/switchover"
	"weirwind/logic"
)

// Fault is one event of the schedule. Times are milliseconds.
type Fault struct {
	At       float64
	Duration float64 `json:"For"` // after which it is undone; 0: it lasts, or until a heal
	// Kind is one of the names below, such as kill.
	Kind string `json:"What"`
	// Target is a member g1m1, a group g1, a zone a, a driver n0, the first 1/4 of drivers, or all; of a cut a>b or a-b.
	Target string `json:"On"`
	// Factor is how many times slower, further behind, or more ops; of loss the share of packets. 0: the kind's default.
	Factor float64 `json:"By"`
}

// sweepSlack is what a driver that stood still needs to see what is due.
const resumeSlack = 20.0

// What there is.
var (
	memberFaults = []string{"kill", "vanish", "hang", "fail", "slow", "lag", "age", "drain", "wrong", "demote", "switch",
		"heal"}
	groupFaults       = []string{"deploy"}
	driverFaults      = []string{"restart", "lose", "pause", "late", "burst", "hot", "end", "count"}
	networkFaultKinds = []string{"cut", "loss"}
	planFaults        = []string{"toll"} // drivers, all or those of zone a in a>b, are told that zone b costs so much more
)

// schedule puts a fault into the lanes that it strikes. An error: its words are not known.
func (w *simulation) schedule(f Fault) error {
	switch {
	case slices.Contains(memberFaults, f.Kind):
		return w.scheduleMembers(f)
	case slices.Contains(groupFaults, f.Kind):
		return w.scheduleDeploy(f)
	case slices.Contains(driverFaults, f.Kind):
		return w.scheduleDrivers(f)
	case slices.Contains(planFaults, f.Kind):
		return w.scheduleToll(f)
	case slices.Contains(networkFaultKinds, f.Kind):
		return w.scheduleNetwork(f)
	}
	return fmt.Errorf("fault %q; it may be %s", f.Kind, strings.Join(slices.Concat(memberFaults, groupFaults, driverFaults,
		planFaults, networkFaultKinds), ", "))
}

func (w *simulation) scheduleMembers(f Fault) error {
	if f.Kind == "slow" && f.Target == "all" { // a shared slowdown is no member's own
		for _, g := range w.groups {
			g.schedule(f.At, func() { g.slowdown = f.factorOr(defaultSlowdown) })
			if f.Duration > 0 {
				g.schedule(f.At+f.Duration, func() { g.slowdown = 1 })
			}
		}
		return nil
	}
	struck := w.targets(f.Target)
	if len(struck) == 0 {
		return fmt.Errorf("fault %q: no member, group or zone %q", f.Kind, f.Target)
	}
	for _, m := range struck {
		m.group.schedule(f.At, func() { m.inject(f) })
		if f.Duration > 0 {
			m.group.schedule(f.At+f.Duration, m.heal)
		}
	}
	return nil
}

func (w *simulation) scheduleDeploy(f Fault) error {
	n := 0
	for _, g := range w.groups {
		if f.Target == "all" || f.Target == fmt.Sprintf("g%d", g.id) {
			g.schedule(f.At, func() { g.deploy(max(f.Duration, deployPause)) })
			n++
		}
	}
	if n == 0 {
		return fmt.Errorf("fault %q: no group %q", f.Kind, f.Target)
	}
	return nil
}

func (w *simulation) scheduleDrivers(f Fault) error {
	n := 0
	for _, h := range w.drivers {
		if w.matches(h, f.Target) {
			h.schedule(f.At, func() { h.inject(f) })
			n++
		}
	}
	if n == 0 || f.Kind == "end" && n == len(w.drivers) {
		return fmt.Errorf("fault %q: no driver %q, or none is left", f.Kind, f.Target)
	}
	for _, h := range w.drivers { // the clients of those that end come to the rest
		if f.Kind == "end" && !w.matches(h, f.Target) {
			h.schedule(f.At, func() { h.rateFactor *= float64(len(w.drivers)) / float64(len(w.drivers)-n) })
		}
	}
	return nil
}

// scheduleToll tells drivers, all or those of zone a in a>b, that zone b costs more.
func (w *simulation) scheduleToll(f Fault) error {
	from, zone, some := strings.Cut(f.Target, ">")
	if !some {
		from, zone = "all", f.Target
	}
	if len(w.targets(zone)) == 0 {
		return fmt.Errorf("fault toll: no zone %q", zone)
	}
	for _, h := range w.drivers {
		if !w.matches(h, from) {
			continue
		}
		h.schedule(f.At, func() {
			h.step(logic.Event{Kind: logic.EvTolls, Tolls: map[string]float64{zone: f.factorOr(60)}})
		})
		if f.Duration > 0 {
			h.schedule(f.At+f.Duration, func() { h.step(logic.Event{Kind: logic.EvTolls}) })
		}
	}
	return nil
}

func (w *simulation) scheduleNetwork(f Fault) error {
	c := networkFault{from: w.started + f.At, until: w.started + f.At + f.Duration}
	if f.Duration <= 0 {
		c.until = w.started + w.setup.Duration
	}
	if f.Kind == "loss" {
		c.loss = f.factorOr(0.05)
		w.networkFaults = append(w.networkFaults, c)
		return nil
	}
	a, b, oneWay := strings.Cut(f.Target, ">")
	if !oneWay {
		a, b, _ = strings.Cut(f.Target, "-")
	}
	if len(a) != 1 || len(b) != 1 || a == b || int(a[0]-'a') >= w.setup.Zones || int(b[0]-'a') >= w.setup.Zones {
		return fmt.Errorf("fault cut: %q is not of the form a>b or a-b with two zones", f.Target)
	}
	c.fromZone, c.toZone = int(a[0]-'a'), int(b[0]-'a')
	if w.networkFaults = append(w.networkFaults, c); !oneWay {
		c.fromZone, c.toZone = c.toZone, c.fromZone
		w.networkFaults = append(w.networkFaults, c)
	}
	return nil
}

func (f *Fault) factorOr(usual float64) float64 {
	if f.Factor > 0 {
		return f.Factor
	}
	return usual
}

// struck are the members that a word means.
func (w *simulation) targets(target string) (all []*member) {
	for _, m := range w.members {
		if target == "all" || target == m.id || target == fmt.Sprintf("g%d", m.group.id) || target == zoneName(m.zone) {
			all = append(all, m)
		}
	}
	return all
}

// isOne says whether a word means a driver.
func (w *simulation) matches(h *driver, target string) bool {
	if a, b, ok := strings.Cut(target, "/"); ok {
		part, err := strconv.Atoi(a)
		of, err2 := strconv.Atoi(b)
		return err == nil && err2 == nil && of > 0 && h.index*of < part*len(w.drivers)
	}
	return target == "all" || target == h.name() || target == zoneName(h.zone)
}

func (m *member) inject(f Fault) {
	g := m.group
	switch f.Kind {
	case "kill":
		m.dead = true
		m.terminate(true)
		g.deposePrimary(m, detectionDelay+g.sim.setup.ElectionTime)
	case "vanish":
		m.unreachable = true
		m.terminate(false)
		g.deposePrimary(m, detectionDelay+g.sim.setup.ElectionTime)
	case "hang":
		m.hung = true
		g.deposePrimary(m, detectionDelay+g.sim.setup.ElectionTime)
	case "fail":
		m.failing = true
	case "slow":
		m.slowdown = f.factorOr(defaultSlowdown)
	case "age":
		m.aging = f.factorOr(1)
	case "lag":
		m.currentPosition()
		m.lag = f.factorOr(defaultLagFactor) * max(g.sim.setup.ReplicationLag, 10)
	case "drain":
		m.phase = logic.Draining
		g.announceMember(m)
		g.deposePrimary(m, handoverDelay)
	case "demote": // a planned change of which nobody tells drivers
		g.deposePrimary(m, g.sim.setup.ElectionTime)
	case "switch": // and one whose hooks tell one of them
		if h := g.sim.drivers[0]; m.isPrimary() {
			g.switchover = true
			g.sendTo(h.process, hookDelay, func() {
				h.handleHook(switchover.Notification{Group: g.id, Stage: switchover.StageHeld, From: m.id})
			})
			g.schedule(hookLead, func() { g.deposePrimary(m, g.sim.setup.ElectionTime) })
		}
	case "wrong": // the list errs, and the member is as it was
		e := m.entry()
		e.Phase = logic.Gone
		g.sendEntry(e)
	case "heal":
		m.heal()
	}
}

// heal makes a member what it was at first; one that was down has started anew, without its connections.
func (m *member) heal() {
	m.currentPosition()
	if m.dead || m.unreachable {
		m.started, m.applyBacklog = m.group.now, 0
	}
	m.dead, m.unreachable, m.hung, m.failing, m.slowdown, m.aging, m.lag, m.phase = false, false, false, false, 1, 0, m.group.sim.setup.ReplicationLag,
		logic.Ready
	m.startQueued()
	m.group.announceMember(m)
}

// deploy replaces the members of a group one by one, the primary of the start last: each drains, stops and starts cold.
func (g *group) deploy(pause float64) {
	order := slices.Clone(g.members)
	slices.SortStableFunc(order, func(a, b *member) int {
		return map[bool]int{true: 1}[a.isPrimary()] - map[bool]int{true: 1}[b.isPrimary()]
	})
	for i, m := range order {
		begin := float64(i) * pause
		g.schedule(begin, func() { m.inject(Fault{Kind: "drain"}) })
		g.schedule(begin+2*handoverDelay+listDelay, func() {
			m.dead = true
			m.terminate(true)
		})
		g.schedule(begin+2*handoverDelay+listDelay+pause/8, m.heal)
	}
}

func (h *driver) inject(f Fault) {
	switch f.Kind {
	case "restart", "lose":
		h.restart(f.Kind == "restart")
	case "end":
		h.removed = true
		h.restart(false)
	case "count": // it learns how many drivers there are
		h.step(logic.Event{Kind: logic.EvDrivers, Drivers: int(f.factorOr(float64(len(h.sim.drivers))))})
	case "pause":
		h.pausedUntil = h.now + max(f.Duration, 100)
		for _, o := range h.ops {
			o.driverPaused = o.deadline < h.pausedUntil+resumeSlack // it can't be answered in time, whatever is decided
		}
		h.schedule(h.pausedUntil-h.now, func() {
			kept := h.deferred
			h.deferred = nil
			for _, do := range kept {
				do()
			}
		})
	case "late":
		h.listPausedUntil = h.now + max(f.Duration, 1000)
		h.schedule(h.listPausedUntil-h.now, func() {
			missed := h.missedEntries
			h.missedEntries = nil
			for _, e := range missed {
				h.updateEntry(e)
			}
		})
	case "burst", "hot":
		h.rateFactor, h.hotGroup = f.factorOr(3), f.Kind == "hot"
		if f.Duration > 0 {
			h.schedule(f.Duration, func() { h.rateFactor, h.hotGroup = 1, false })
		}
	}
}
