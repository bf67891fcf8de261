package emulator

// This file owns groups: who is primary, elections, and what discovery tells drivers of members.

import (
	"cmp"
	"fmt"

	"weirwind/internal/switchover"
	"weirwind/logic"
)

const (
	detectionDelay = 1500.0 // milliseconds until a group notices that its primary is gone; the election follows
	handoverDelay  = 500.0  // milliseconds from a drain of the primary to the next one
	listDelay      = 300.0  // milliseconds at most from a change to each driver's list
	promotionSpan  = 1000.0 // milliseconds for which a new primary's requests are counted
)

// group is a replication group: one process with its members.
type group struct {
	*process
	sim          *simulation
	id           int64 // from 1
	members      []*member
	primary      *member        // nil while there is none
	logStoppedAt float64        // time at which the log stopped growing for want of a primary; 0: it grows
	term         int            // counts changes of the primary, so that elections of earlier ones end
	slowdown     float64        // factor of service times of all members
	executions   map[string]int // of writes by op
	promotions   []*Promotion
	audit        *auditor
	switchover   bool // the change under way is planned: a hook announces its end
}

// Promotion is a change of the primary, and what the new one received in its first second.
type Promotion struct {
	At       float64 // milliseconds from the run's start
	Group    int64
	Member   string
	Sends    int     // requests that it received
	Capacity float64 // requests that it can serve
}

// deposePrimary takes the role from a primary, if it is one, and has another elected after a delay. The log stops
// meanwhile, unless the primary drains: then it keeps the role until then.
func (g *group) deposePrimary(old *member, delay float64) {
	if g.primary != old {
		return
	}
	g.term++
	term := g.term
	if old.phase != logic.Draining {
		for _, m := range g.members {
			m.currentPosition()
		}
		g.primary, g.logStoppedAt = nil, g.now
	}
	g.schedule(delay, func() { g.elect(old, term) })
}

// elect makes the member with the highest position primary, ties by chance, but not the one that lost the role. While
// no member can become primary it tries again.
func (g *group) elect(old *member, term int) {
	if g.term != term {
		return
	}
	var best *member
	for _, m := range g.members {
		m.promotion = nil
		if position := m.currentPosition(); m == old || m.dead || m.unreachable || m.hung || m.phase != logic.Ready {
			continue
		} else if best == nil || position > best.currentPosition() ||
			position == best.currentPosition() && g.random.IntN(2) == 0 {
			best = m
		}
	}
	if g.primary = best; best == nil {
		g.logStoppedAt = cmp.Or(g.logStoppedAt, g.now)
		g.schedule(detectionDelay, func() { g.elect(nil, term) })
		return
	}
	g.logStoppedAt = 0
	g.recordPromotion(best)
	if d := g.sim.drivers[0]; g.switchover {
		g.switchover = false
		g.sendTo(d.process, hookDelay, func() {
			d.handleHook(switchover.Notification{Group: g.id, Stage: switchover.StageReleased, To: best.id})
		})
	}
}

func (g *group) recordPromotion(m *member) {
	m.promotion = &Promotion{
		At:       g.now - g.sim.started,
		Group:    g.id,
		Member:   m.id,
		Capacity: 1000 * float64(g.sim.setup.Cores) / g.sim.setup.ServiceTime * m.capacityShare(),
	}
	g.promotions = append(g.promotions, m.promotion)
}

// announceMember sends a member's entry to every driver.
func (g *group) announceMember(m *member) { g.sendEntry(m.entry()) }

// sendEntry sends an entry to every driver, each after a delay of its own.
func (g *group) sendEntry(entry logic.ListEntry) {
	for _, d := range g.sim.drivers {
		g.sendTo(d.process, g.random.Float64()*listDelay, func() { d.updateEntry(entry) })
	}
}

// addGroups creates the groups and their members.
func (sim *simulation) addGroups() {
	s := &sim.setup
	for i := range s.Groups {
		g := &group{
			process:    sim.scheduler.newProcess(len(sim.groups), s.Seed, sim.started),
			sim:        sim,
			id:         int64(i + 1),
			executions: map[string]int{},
			slowdown:   1,
		}
		g.audit = newAuditor(g.process)
		for k := range s.Members {
			m := &member{
				group:          g,
				id:             fmt.Sprintf("g%dm%d", i+1, k+1),
				zone:           k % s.Zones,
				slowdown:       1,
				lag:            s.ReplicationLag,
				backlogUpdated: sim.started,
				running:        map[*request]bool{},
			}
			g.members = append(g.members, m)
			sim.members = append(sim.members, m)
			sim.membersByID[m.id] = m
		}
		g.primary = g.members[0]
		sim.groups = append(sim.groups, g)
	}
}
