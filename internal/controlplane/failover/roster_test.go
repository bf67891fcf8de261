package failover

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// core is what the machines of the core know, and what they have agreed on: the second outlives them.
type core struct {
	knows  map[string]bool    // members that beat here and have not ended
	ended  map[string]bool    // members known to have ended
	hidden map[string]float64 // until when a member's beats go elsewhere
	roster map[string]bool    // agreed on
	drop   map[string]bool    // covered: to leave the roster
	next   float64            // of a proposal
	term   uint64
	calls  uint64
	under  int     // late calls that are under way
	late   float64 // share of calls that are carried out late, and not answered

	hard bool // members that start receive from catchUp on

	withoutRoster bool // the guard is taken out: what nothing is known of is not counted
	oneFenceATerm bool // the guard is taken out: all calls of a leader have one fence
}

const histories = 150 // that are played; 600 held when this was written

// What the histories leave out, as nothing here can guard against it (docs/control-state.md says so too):
//   - A replica that starts receives before it can be paused, while a call is under way and the old primary lives: here it receives
//     from catchUp on, and one that is off the roster is down for lateReturn longer than others, and beats here.
//   - A call is carried out seconds after it was made, and the replicas that it relied on were restarted under another leader that
//     knew no primary to make a fence with: no core forgets while a late call is under way.
const (
	lateReturn = 2500
	catchUp    = 300
	lateCall   = 4000
)

// callLate has a call carried out after it was given up.
func (p *pass) callLate(id string, fence uint64) {
	p.core.under++
	p.in(1500+lateCall*p.r.Float64(), func() {
		p.core.under--
		p.platform(id, fence)
	})
}

func newCore(ids ...string) *core {
	c := &core{knows: map[string]bool{}, ended: map[string]bool{}, hidden: map[string]float64{}, roster: map[string]bool{}, drop: map[string]bool{}, term: 1}
	for _, id := range ids {
		c.knows[id], c.roster[id] = true, true
	}
	return c
}

func (c *core) heard(id string, now float64) {
	if now >= c.hidden[id] {
		c.knows[id] = true
		delete(c.ended, id)
		delete(c.drop, id)
	}
}

// ends notes that a member has left, or was silent for so long.
func (c *core) ends(id string) {
	if c.knows[id] {
		delete(c.knows, id)
		c.ended[id] = true
	}
}

func (c *core) covered(id string) { c.drop[id] = true }

// agree carries out proposals: those that came together, some time after they did.
func (c *core) agree(now float64) {
	if now < c.next {
		return
	}
	c.next = now + 200
	for id := range c.knows {
		c.roster[id] = true
	}
	for id := range c.drop {
		delete(c.roster, id)
	}
	clear(c.drop)
}

func (c *core) absent() (out []Member) {
	for _, id := range slices.Sorted(maps.Keys(c.roster)) {
		if !c.knows[id] && !c.withoutRoster {
			out = append(out, Member{ID: id, Absent: true, Departed: c.ended[id]})
		}
	}
	return out
}

func (c *core) nextFence() uint64 {
	if c.calls++; c.oneFenceATerm {
		return c.term << 16
	}
	return c.term<<16 | c.calls
}

// forget takes everything from the core that was not agreed on.
func (c *core) forget() {
	c.term++
	c.calls = 0
	clear(c.knows)
	clear(c.ended)
	clear(c.drop)
}

// hardTrouble brings about what the roster and the fence are for.
func (p *pass) hardTrouble() string {
	lead := p.g.Leader()
	var replicas []string
	for _, m := range p.g.Members {
		if m != lead && m.Up {
			replicas = append(replicas, m.ID)
		}
	}
	switch p.r.IntN(5) {
	case 0, 1:
		if p.core.under > 0 {
			break
		}
		p.core.forget()
		p.s = New(p.now)
		for _, m := range p.g.Members { // half of them beat at machines of the core that are cut off
			if p.r.IntN(2) == 0 {
				p.core.hidden[m.ID] = p.now + 15000*p.r.Float64()
			}
		}
		return "a core that forgot"
	case 2:
		if len(replicas) > 1 {
			id := replicas[p.r.IntN(len(replicas))]
			p.g.Get(id).Drains = true
			p.in(400+2000*p.r.Float64(), func() {
				p.g.End(id)
				p.core.ends(id)
			})
			p.joined++
			next := fmt.Sprint("n", p.joined)
			p.g.Join(next)
			p.deafFor(next, catchUp)
			return id + " leaves for " + next
		}
	case 3:
		p.core.late = 0.5
		if lead == nil || p.r.IntN(2) == 0 {
			return "a slow platform"
		}
		lead.Up = false
		p.in(1600+1000*p.r.Float64(), func() { // who was named falls before the platform gets to it, and comes back
			if next := p.g.Get(p.s.candidate); next != nil && next.Up && !next.Primary {
				next.Up = false
				p.in(1500*p.r.Float64(), func() { p.restart(next.ID) })
			}
		})
		return "a slow platform, and the primary and its successor fall"
	case 4: // a member that is down for long is taken for gone, and comes back with its log
		if len(replicas) > 1 {
			id := replicas[p.r.IntN(len(replicas))]
			p.g.Get(id).Up = false
			p.core.ends(id)
			return id + " taken for gone"
		}
	}
	return p.trouble()
}

// deafFor keeps a member from receiving for so long.
func (p *pass) deafFor(id string, ms float64) {
	p.g.Get(id).Deaf = true
	p.in(ms, func() {
		if m := p.g.Get(id); m != nil {
			m.Deaf = false
		}
	})
}

// restart brings a member back that is down.
func (p *pass) restart(id string) {
	if m := p.g.Get(id); m != nil && !m.Up {
		m.Restart()
		p.deafFor(id, catchUp)
	}
}

// comesBack restarts a member that was taken for gone.
func (p *pass) comesBack(id string) {
	p.in(lateReturn, func() {
		delete(p.core.hidden, id)
		p.restart(id)
	})
}

// history plays one and gives what it lacked, and whether somebody leads at its end.
func history(seed uint64, set func(*core)) (p *pass, told []string) {
	p = newPass(seed)
	p.core.hard = true
	set(p.core)
	p.run(2500)
	for range 5 {
		for range 1 + p.r.IntN(3) {
			told = append(told, p.hardTrouble())
			p.run(1500 * p.r.Float64())
		}
		p.run(4000 * p.r.Float64())
		p.heal()
		p.core.late = 0
		p.run(500 + 4000*p.r.Float64())
	}
	p.run(30000)
	return p, told
}

// No acknowledged commit is missing from a promoted log: members crash, leave and join, lag and are cut off, leaders change and
// forget all that was not agreed on, and the platform's calls are late or lost.
func TestNoCommitIsLostByACoreThatForgot(t *testing.T) {
	waiting := 0
	for seed := range uint64(histories) {
		p, told := history(seed, func(*core) {})
		if len(p.g.Lost) > 0 {
			t.Errorf("seed %d, %v: the promoted lacked %v\n%s", seed, told, p.g.Lost, strings.Join(p.log, "\n"))
		}
		if lead := p.g.Leader(); lead == nil || lead.Paused {
			uncovered := 0
			for _, m := range p.core.absent() {
				if m.Absent {
					uncovered++
				}
			}
			if waiting++; uncovered == 0 {
				t.Fatalf("seed %d, %v: nobody leads, though all that may hold a commit are there\n%s", seed, told, strings.Join(p.log, "\n"))
			}
		}
	}
	t.Logf("%d of %d wait for a member that ended and may alone hold a commit", waiting, histories)
}

// The histories do lose commits where a guard is taken out: the line that adds absent members to the view (controlplane's step), or
// the call's number in the fence (controlplane's nextFence).
func TestTheHistoriesNeedTheGuards(t *testing.T) {
	for _, guard := range []struct {
		name  string
		first uint64 // seed: many lose commits without the roster, few without the fence
		set   func(*core)
	}{
		{"roster", 0, func(c *core) { c.withoutRoster = true }},
		{"fence", 400, func(c *core) { c.oneFenceATerm = true }},
	} {
		seed, lost := guard.first, false
		for ; seed < guard.first+histories && !lost; seed++ {
			p, _ := history(seed, guard.set)
			lost = len(p.g.Lost) > 0
		}
		if t.Logf("without the %s: seed %d loses commits", guard.name, seed-1); !lost {
			t.Errorf("without the %s nothing is lost: the histories don't try it", guard.name)
		}
	}
}
