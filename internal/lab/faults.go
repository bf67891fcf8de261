package lab

// This file owns fault injection and elections.

import (
	"time"

	"weirwind/internal/discovery"
)

const slowFactor = 4 // factor of a slow member's service time

// Inject carries out a command on a member: kill, heal, hang, free (ends a hang), slow, drain, undrain, demote (a
// planned switchover), mute (ops are executed, but their answers are lost) or stubborn (a deposed primary continues to
// act as one). It reports whether both the command and the member are known.
func (c *Cluster) Inject(command, id string) bool {
	m := c.member(id)
	if m == nil {
		return false
	}
	switch command {
	case "kill":
		m.stop()
		c.elect(m)
	case "heal":
		m.hung.Store(false)
		m.dropsAnswers.Store(false)
		m.ignoresDemotion.Store(false)
		m.slowdown.Store(0)
		if !m.listening() {
			_ = m.start() // stays down if its port is taken
		}
	case "hang":
		m.hung.Store(true)
		c.elect(m)
	case "free":
		m.hung.Store(false)
	case "slow":
		m.slowdown.Store(slowFactor)
	case "drain":
		c.setPhase(id, discovery.PhaseDraining)
		c.elect(m)
	case "stubborn":
		m.ignoresDemotion.Store(true)
	case "mute":
		m.dropsAnswers.Store(true)
	case "demote":
		c.elect(m)
	case "undrain":
		c.setPhase(id, discovery.PhaseUp)
	default:
		return false
	}
	return true
}

// elect demotes a member, if it is the primary, and promotes another one after the election time.
func (c *Cluster) elect(old *Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.primary[old.group] != old || c.stopped {
		return
	}
	c.primary[old.group] = nil
	c.logEnds[old.group] = unixMillis()
	c.elections.Add(1)
	time.AfterFunc(c.options.ElectionTime, func() {
		defer c.elections.Done()
		c.mu.Lock()
		defer c.mu.Unlock()
		var candidates []*Member
		for _, m := range c.members {
			if m.group == old.group && m != old && m.listening() && !m.hung.Load() &&
				c.entries[m.ID].Phase == discovery.PhaseUp {
				candidates = append(candidates, m)
			}
		}
		if len(candidates) > 0 {
			c.primary[old.group] = candidates[c.random.IntN(len(candidates))]
			delete(c.logEnds, old.group)
		}
	})
}

// setPhase changes a member's phase in the list.
func (c *Cluster) setPhase(id, phase string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[id]
	e.Phase = phase
	c.entries[id] = e
	c.revision++
	if phase != discovery.PhaseDraining {
		delete(c.drainSeen, id)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}
