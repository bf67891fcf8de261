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

// Fault is one event of the schedule.
type Fault struct {
	At   float64 // milliseconds
	For  float64 // after so long it is undone; 0: never, but by heal
	What string
	On   string  // a member g1m1, a group g1, a zone a, a driver n0, the first 1/4 of drivers, all; for cuts a>b or a-b
	By   float64 // times as slow, as far behind, as many ops; share of packets; 0: the usual one
}

// sweepSlack is what a driver that stood still needs to see what is due.
const sweepSlack = 20.0

// What there is.
var (
	onMembers = []string{"kill", "vanish", "hang", "fail", "slow", "lag", "age", "drain", "wrong", "demote", "switch",
		"heal"}
	onGroups  = []string{"deploy"}
	onDrivers = []string{"restart", "lose", "pause", "late", "burst", "hot", "end", "count"}
	onNetwork = []string{"cut", "loss"}
	onPlans   = []string{"toll"} // drivers, all or those of zone a in a>b, are told that zone b costs so much more
)

// schedule puts a fault into the lanes that it strikes. An error: its words are not known.
func (w *world) schedule(f Fault) error {
	switch {
	case slices.Contains(onMembers, f.What):
		return w.scheduleMembers(f)
	case slices.Contains(onGroups, f.What):
		return w.scheduleDeploy(f)
	case slices.Contains(onDrivers, f.What):
		return w.scheduleDrivers(f)
	case slices.Contains(onPlans, f.What):
		return w.scheduleToll(f)
	case slices.Contains(onNetwork, f.What):
		return w.scheduleNetwork(f)
	}
	return fmt.Errorf("fault %q; it may be %s", f.What, strings.Join(slices.Concat(onMembers, onGroups, onDrivers,
		onPlans, onNetwork), ", "))
}

func (w *world) scheduleMembers(f Fault) error {
	if f.What == "slow" && f.On == "all" { // a shared slowdown is no member's own
		for _, g := range w.groups {
			g.after(f.At, func() { g.slow = f.by(slowTimes) })
			if f.For > 0 {
				g.after(f.At+f.For, func() { g.slow = 1 })
			}
		}
		return nil
	}
	struck := w.struck(f.On)
	if len(struck) == 0 {
		return fmt.Errorf("fault %q: no member, group or zone %q", f.What, f.On)
	}
	for _, m := range struck {
		m.g.after(f.At, func() { m.strike(f) })
		if f.For > 0 {
			m.g.after(f.At+f.For, m.heal)
		}
	}
	return nil
}

func (w *world) scheduleDeploy(f Fault) error {
	n := 0
	for _, g := range w.groups {
		if f.On == "all" || f.On == fmt.Sprintf("g%d", g.id) {
			g.after(f.At, func() { g.deploy(max(f.For, deployPause)) })
			n++
		}
	}
	if n == 0 {
		return fmt.Errorf("fault %q: no group %q", f.What, f.On)
	}
	return nil
}

func (w *world) scheduleDrivers(f Fault) error {
	n := 0
	for _, h := range w.hosts {
		if w.isOne(h, f.On) {
			h.after(f.At, func() { h.strike(f) })
			n++
		}
	}
	if n == 0 || f.What == "end" && n == len(w.hosts) {
		return fmt.Errorf("fault %q: no driver %q, or none is left", f.What, f.On)
	}
	for _, h := range w.hosts { // the clients of those that end come to the rest
		if f.What == "end" && !w.isOne(h, f.On) {
			h.after(f.At, func() { h.surge *= float64(len(w.hosts)) / float64(len(w.hosts)-n) })
		}
	}
	return nil
}

// scheduleToll tells drivers, all or those of zone a in a>b, that zone b costs more.
func (w *world) scheduleToll(f Fault) error {
	from, zone, some := strings.Cut(f.On, ">")
	if !some {
		from, zone = "all", f.On
	}
	if len(w.struck(zone)) == 0 {
		return fmt.Errorf("fault toll: no zone %q", zone)
	}
	for _, h := range w.hosts {
		if !w.isOne(h, from) {
			continue
		}
		h.after(f.At, func() {
			h.step(logic.Event{Kind: logic.EvTolls, Tolls: map[string]float64{zone: f.by(60)}})
		})
		if f.For > 0 {
			h.after(f.At+f.For, func() { h.step(logic.Event{Kind: logic.EvTolls}) })
		}
	}
	return nil
}

func (w *world) scheduleNetwork(f Fault) error {
	c := cut{from: w.begin + f.At, until: w.begin + f.At + f.For}
	if f.For <= 0 {
		c.until = w.begin + w.setup.For
	}
	if f.What == "loss" {
		c.loss = f.by(0.05)
		w.cuts = append(w.cuts, c)
		return nil
	}
	a, b, oneWay := strings.Cut(f.On, ">")
	if !oneWay {
		a, b, _ = strings.Cut(f.On, "-")
	}
	if len(a) != 1 || len(b) != 1 || a == b || int(a[0]-'a') >= w.setup.Zones || int(b[0]-'a') >= w.setup.Zones {
		return fmt.Errorf("fault cut: %q is not of the form a>b or a-b with two zones", f.On)
	}
	c.a, c.b = int(a[0]-'a'), int(b[0]-'a')
	if w.cuts = append(w.cuts, c); !oneWay {
		c.a, c.b = c.b, c.a
		w.cuts = append(w.cuts, c)
	}
	return nil
}

func (f *Fault) by(usual float64) float64 {
	if f.By > 0 {
		return f.By
	}
	return usual
}

// struck are the members that a word means.
func (w *world) struck(on string) (all []*server) {
	for _, m := range w.members {
		if on == "all" || on == m.id || on == fmt.Sprintf("g%d", m.g.id) || on == zoneName(m.zone) {
			all = append(all, m)
		}
	}
	return all
}

// isOne says whether a word means a driver.
func (w *world) isOne(h *host, on string) bool {
	if a, b, ok := strings.Cut(on, "/"); ok {
		part, err := strconv.Atoi(a)
		of, err2 := strconv.Atoi(b)
		return err == nil && err2 == nil && of > 0 && h.index*of < part*len(w.hosts)
	}
	return on == "all" || on == h.name() || on == zoneName(h.zone)
}

func (m *server) strike(f Fault) {
	g := m.g
	switch f.What {
	case "kill":
		m.dead = true
		m.stop(true)
		g.change(m, detect+g.w.setup.Elect)
	case "vanish":
		m.silent = true
		m.stop(false)
		g.change(m, detect+g.w.setup.Elect)
	case "hang":
		m.hangs = true
		g.change(m, detect+g.w.setup.Elect)
	case "fail":
		m.fails = true
	case "slow":
		m.slow = f.by(slowTimes)
	case "age":
		m.ages = f.by(1)
	case "lag":
		m.position()
		m.lag = f.by(lagTimes) * max(g.w.setup.Lag, 10)
	case "drain":
		m.phase = logic.Draining
		g.announce(m)
		g.change(m, handover)
	case "demote": // a planned change of which nobody tells drivers
		g.change(m, g.w.setup.Elect)
	case "switch": // and one whose hooks tell one of them
		if h := g.w.hosts[0]; m.primary() {
			g.planned = true
			g.post(h.lane, hookWay, func() {
				h.hook(switchover.Notification{Group: g.id, Stage: switchover.StageHeld, From: m.id})
			})
			g.after(hookAhead, func() { g.change(m, g.w.setup.Elect) })
		}
	case "wrong": // the list errs, and the member is as it was
		e := m.entry()
		e.Phase = logic.Gone
		g.say(e)
	case "heal":
		m.heal()
	}
}

// heal makes a member what it was at first; one that was down has started anew, without its connections.
func (m *server) heal() {
	m.position()
	if m.dead || m.silent {
		m.started, m.behind = m.g.now, 0
	}
	m.dead, m.silent, m.hangs, m.fails, m.slow, m.ages, m.lag, m.phase = false, false, false, false, 1, 0, m.g.w.setup.Lag,
		logic.Ready
	m.work()
	m.g.announce(m)
}

// deploy replaces the members of a group one by one, the primary of the start last: each drains, stops and starts cold.
func (g *cluster) deploy(pause float64) {
	order := slices.Clone(g.members)
	slices.SortStableFunc(order, func(a, b *server) int {
		return map[bool]int{true: 1}[a.primary()] - map[bool]int{true: 1}[b.primary()]
	})
	for i, m := range order {
		begin := float64(i) * pause
		g.after(begin, func() { m.strike(Fault{What: "drain"}) })
		g.after(begin+2*handover+listDelay, func() {
			m.dead = true
			m.stop(true)
		})
		g.after(begin+2*handover+listDelay+pause/8, m.heal)
	}
}

func (h *host) strike(f Fault) {
	switch f.What {
	case "restart", "lose":
		h.restart(f.What == "restart")
	case "end":
		h.ended = true
		h.restart(false)
	case "count": // it learns how many drivers there are
		h.step(logic.Event{Kind: logic.EvDrivers, Drivers: int(f.by(float64(len(h.w.hosts))))})
	case "pause":
		h.frozen = h.now + max(f.For, 100)
		for _, o := range h.ops {
			o.stood = o.due < h.frozen+sweepSlack // it can't be answered in time, whatever is decided
		}
		h.after(h.frozen-h.now, func() {
			kept := h.kept
			h.kept = nil
			for _, do := range kept {
				do()
			}
		})
	case "late":
		h.deaf = h.now + max(f.For, 1000)
		h.after(h.deaf-h.now, func() {
			missed := h.missed
			h.missed = nil
			for _, e := range missed {
				h.hears(e)
			}
		})
	case "burst", "hot":
		h.surge, h.hot = f.by(3), f.What == "hot"
		if f.For > 0 {
			h.after(f.For, func() { h.surge, h.hot = 1, false })
		}
	}
}
