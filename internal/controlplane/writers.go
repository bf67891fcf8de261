package controlplane

import (
	"maps"
	"math"
	"slices"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/failover"
	"weirwind/internal/util/events"
	"weirwind/internal/writerlease"
)

// This file grants writer leases to proxies at the leader, and passes requests and grants on at the other machines.

// assignmentIntervalMs is the time between two repetitions of an assignment that proxies have not confirmed.
const assignmentIntervalMs = 250.0

// writers holds the leader's assignments and leases. It belongs to softState.
type writers struct {
	granter     *writerlease.Granter // nil while another machine leads
	holderCount int
	repeatAt    map[string]float64 // by service: when an unconfirmed assignment is sent again
	unsent      []controlmsg.WriterAssignment
	proposeAt   float64 // when the support of writer leases is proposed again
}

// startWriters starts the leases of a leadership, or ends them. The candidates of promotes that may take effect are
// assigned before the first lease is granted.
func (s *softState) startWriters(now float64) {
	s.writers = writers{repeatAt: map[string]float64{}}
	if !s.leadership.active {
		return
	}
	s.writers.granter = writerlease.NewGranter(s.leadership.term, now)
	if s.committed == nil {
		return
	}
	for _, service := range slices.Sorted(maps.Keys(s.committed.Promotes)) {
		s.assignWriter(service, s.committed.Promotes[service].Candidate)
	}
}

// stepWriters forgets the leases that are over, and has the support of writer leases committed.
func (s *softState) stepWriters(now float64) {
	s.writers.holderCount = s.writers.granter.Expire(now)
	if s.committed == nil || s.committed.WriterLeases || now < s.writers.proposeAt {
		return
	}
	s.writers.proposeAt = now + rosterIntervalMs
	loop := s.server.loop
	loop.offer(func() {
		loop.proposeChange(func(state *config.State) *config.State { return state.WithWriterLeases() })
	})
}

// snapshot returns the number of leases, and for each service the number of proxies that have not confirmed its writer.
func (w *writers) snapshot(now float64) (leases int, awaited map[string]int) {
	awaited = map[string]int{}
	if w.granter == nil {
		return 0, awaited
	}
	for service := range w.repeatAt {
		holders, _ := w.granter.Unconfirmed(service, now)
		awaited[service] = len(holders)
	}
	return w.holderCount, awaited
}

// assignWriter lets proxies write to a member of a service alone, "" for none.
func (s *softState) assignWriter(service, member string) {
	assignment, changed := s.writers.granter.Assign(service, member)
	if !changed {
		return
	}
	s.server.log.Event(events.WriterAssigned, "svc", service, "member", member, "number", assignment.Number)
	s.writers.unsent = append(s.writers.unsent, assignment)
}

// sendAssignments sends the assignments of this tick to the agents of all machines, in one message. Repetitions are due
// at common times, so that they share messages too.
func (s *softState) sendAssignments(now float64) {
	if len(s.writers.unsent) == 0 {
		return
	}
	for _, assignment := range s.writers.unsent {
		s.writers.repeatAt[assignment.Service] = (math.Floor(now/assignmentIntervalMs) + 2) * assignmentIntervalMs
	}
	update := &controlmsg.StateUpdate{Writers: s.writers.unsent}
	s.writers.unsent = nil
	s.agents.notify(update)
	s.peers.broadcast(&controlmsg.Frame{Update: update})
}

// writerOf returns the assignment of a service's writer, for its controller. An assignment that is not confirmed is
// sent again from time to time.
func (s *softState) writerOf(service string, now float64) failover.Writer {
	granter := s.writers.granter
	assignment, assigned := granter.Assignment(service)
	writer := failover.Writer{Assigned: assigned, ID: assignment.Member, Confirmed: granter.Confirmed(service, now)}
	if !assigned || writer.Confirmed {
		return writer
	}
	holders, until := granter.Unconfirmed(service, now)
	writer.Unconfirmed = len(holders)
	if len(holders) > 0 && now >= s.writers.repeatAt[service] {
		s.server.log.Event(events.WritersAwaited, "svc", service, "number", assignment.Number, "proxies", driversOf(holders),
			"atMostMs", math.Ceil(until-now))
		s.writers.unsent = append(s.writers.unsent, assignment)
	}
	return writer
}

func driversOf(holders []writerlease.HolderID) (names []string) {
	for _, holder := range holders {
		names = append(names, holder.Driver)
	}
	return names
}

// handleWriterLeaseRequest answers a proxy's request on the link that it came from, or forwards it to the leader.
func (s *softState) handleWriterLeaseRequest(from *link, request *controlmsg.WriterLeaseRequest, now float64) {
	if !s.leadership.active {
		s.sendToLeader(&controlmsg.Frame{WriterLeaseRequest: request})
		return
	}
	if grant := s.writers.granter.Handle(request, s.server.contactAge(), now); grant != nil {
		from.Send(&controlmsg.Frame{WriterLeaseGrant: grant})
	}
}

// writerLeaseSupport tells agents whether proxies need writer leases.
func (s *softState) writerLeaseSupport() controlmsg.LeaseSupport {
	switch {
	case s.committed == nil:
		return controlmsg.LeaseSupportUnknown
	case s.committed.WriterLeases:
		return controlmsg.LeaseSupportOn
	}
	return controlmsg.LeaseSupportOff
}
