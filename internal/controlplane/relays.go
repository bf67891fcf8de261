package controlplane

import (
	"math/rand/v2"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/controlplane/failover"
)

const (
	relayFanout = 8 // agents that are sent a statement at once: some may be cut off from the member too
	// relayTimeoutMs is how long agents' replies are waited for: an agent's timeout, and the way there and back.
	relayTimeoutMs = 750.0
)

// relays holds the leader's statements to members that agents were sent and have not all answered. It belongs to
// softState.
type relays struct {
	lastNumber uint64
	pending    map[uint64]*relay
}

// relay is a statement that several agents were sent. The first reply of the member ends it.
type relay struct {
	controller  *failover.Controller
	member      string // ID
	sentAt      float64
	unanswered  int // agents that have not answered
	abandonedAt float64
}

// newRelays returns relays whose numbers other core machines don't use.
func newRelays() relays { return relays{lastNumber: rand.Uint64(), pending: map[uint64]*relay{}} }

// reset drops the statements of an earlier leadership. Their numbers are not used again.
func (r *relays) reset() { r.pending = map[uint64]*relay{} }

// relayStatement has agents of randomly chosen drivers send a member a statement.
func (s *softState) relayStatement(controller *failover.Controller, memberID, statement string) {
	now := s.server.now()
	member, known := s.members.table.Get(memberID)
	drivers := chooseDrivers(s.drivers.table.Drivers())
	if !known || len(drivers) == 0 {
		controller.HandleRelayFailure(memberID)
		return
	}
	s.relays.lastNumber++
	number := s.relays.lastNumber
	s.relays.pending[number] = &relay{controller: controller, member: memberID, sentAt: now,
		unanswered: len(drivers), abandonedAt: now + relayTimeoutMs}
	for _, driver := range drivers {
		frame := &controlmsg.Frame{Statement: &controlmsg.RelayedStatement{Number: number, Driver: driver.Name,
			Member: member, Statement: statement}}
		s.agents.sendTo(driver.Name, frame)
		s.peers.broadcast(frame)
	}
}

// chooseDrivers returns up to relayFanout drivers at random.
func chooseDrivers(all []directory.Driver) (chosen []directory.Driver) {
	for _, i := range rand.Perm(len(all))[:min(relayFanout, len(all))] {
		chosen = append(chosen, all[i])
	}
	return chosen
}

// handleRelayedReply passes an agent's outcome on: to the controller at the leader, to the leader elsewhere.
func (s *softState) handleRelayedReply(reply *controlmsg.RelayedReply) {
	if !s.leadership.active {
		s.sendToLeader(&controlmsg.Frame{Reply: reply})
		return
	}
	pending := s.relays.pending[reply.Number]
	if pending == nil {
		return
	}
	pending.unanswered--
	switch {
	case reply.Status != nil:
		delete(s.relays.pending, reply.Number)
		pending.controller.HandleRelayedStatus(pending.member, pending.sentAt, reply.Status.MemberStatus())
	case pending.unanswered == 0:
		s.abandonRelay(reply.Number)
	}
}

// expireRelays ends the statements whose replies are overdue.
func (s *softState) expireRelays(now float64) {
	for number, pending := range s.relays.pending {
		if now >= pending.abandonedAt {
			s.abandonRelay(number)
		}
	}
}

func (s *softState) abandonRelay(number uint64) {
	pending := s.relays.pending[number]
	delete(s.relays.pending, number)
	pending.controller.HandleRelayFailure(pending.member)
}
