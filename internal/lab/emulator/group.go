package emulator

// This file owns groups: their primaries, elections, and discovery's announcements of members to drivers.

import (
	"cmp"
	"fmt"

	"weirwind/internal/switchover"
	"weirwind/logic"
)

const (
	detectionDelay = 1500.0 // milliseconds until a group detects the failure of its primary; the election follows
	handoverDelay  = 500.0  // milliseconds from the drain of a primary to the promotion of the next one
	listDelay      = 300.0  // maximum milliseconds until a change reaches a driver's list
	promotionSpan  = 1000.0 // milliseconds after a promotion in which the new primary's requests are counted
)

// group is a replication group: one process with its members.
type group struct {
	*process
	sim          *simulation
	id           int64 // counted from 1
	members      []*member
	primary      *member        // nil while there is none
	logStoppedAt float64        // time at which the log stopped growing as there is no primary; 0: it grows
	term         int            // number of elections that were started; an election of an earlier term is void
	slowdown     float64        // factor of service times of all members
	executions   map[string]int // executions of writes, by op
	promotions   []*Promotion
	audit        *auditor
	switchover   bool // a planned switchover with hooks is under way
}

// Promotion is a change of the primary, with the load on the new primary in its first second.
type Promotion struct {
	At       float64 // milliseconds from the run's start
	Group    int64
	Member   string
	Sends    int     // requests that the member received in the second
	Capacity float64 // requests that the member can serve in the second
}

// deposePrimary demotes a member, if it is the primary, and starts an election after a delay. The log does not grow
// until then, except while the primary is draining: it stays primary until the election.
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

// elect promotes the member with the highest log position, except the deposed one; ties are broken at random. While no
// member is eligible it retries.
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

// sendEntry sends an entry to every driver, each after its own random delay.
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
