package cluster

// This file has faults of members: processes that freeze, and those that come back under another ID.

import (
	"math/rand/v2"
	"time"

	"weirwind/internal/standin/replicaset"
)

// awaitThaw waits while a member is frozen.
func (s *Service) awaitThaw(id string) {
	for s.frozen(id) {
		time.Sleep(cutPollInterval)
	}
}

func (s *Service) frozen(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Frozen[id] > 0
}

// Freeze freezes a member's process: it answers nothing, and no other member receives from it, until Thaw.
func (s *Service) Freeze(id string) {
	s.With(func(group *replicaset.Group) {
		s.Frozen[id]++
		group.Member(id).Partitioned = true
	})
}

// Thaw ends a Freeze.
func (s *Service) Thaw(id string) {
	s.With(func(group *replicaset.Group) {
		s.Frozen[id]--
		if m := group.Member(id); m != nil {
			m.Partitioned = s.Frozen[id] > 0
		}
	})
}

// drawAgentLoss reports whether an agent's statement reaches a member that is cut off from the core, and whether the
// answer gets back.
func (s *Service) drawAgentLoss() (delivered, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delivered = rand.Float64() >= s.AgentLossRate
	return delivered, delivered && rand.Float64() >= s.AgentAnswerLossRate
}

// ReturnAs restarts a crashed member of svc with its log and role, at its address, under another ID.
func (d *Deployment) ReturnAs(id, next string) {
	s := d.Service
	s.With(func(group *replicaset.Group) {
		m := group.Member(id)
		if m == nil || m.Up {
			return
		}
		group.DropPending(m)
		m.Restart()
		m.ID = next
		s.addrs[next] = s.addrs[id]
		s.conns[next] = s.conns[id]
		for former, occupant := range s.occupants {
			if occupant == id {
				s.occupants[former] = next
			}
		}
		s.occupants[id] = next
	})
	d.sendHeartbeats(d.ctx, s, next)
}

// occupant returns the ID of the member at the address of another. The caller holds the lock.
func (s *Service) occupant(id string) string {
	if next, renamed := s.occupants[id]; renamed {
		return next
	}
	return id
}
