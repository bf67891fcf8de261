package controlplane

import (
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/transport"
)

// agentLinks holds the agents that renew their drivers' leases at this machine and are notified of changes. It belongs
// to softState.
type agentLinks struct {
	subscriptions map[*link]*subscription
}

// subscription is the state of one agent, from its first renewal on a link until the link ends.
type subscription struct {
	driver string // name
	// outdated means that the agent's last renewal showed other members or drivers than it had been notified of.
	// This also happens when a renewal crosses an update on its way, so only an agent that is outdated twice in a row is
	// sent the full lists.
	outdated bool
}

func newAgentLinks() agentLinks { return agentLinks{subscriptions: map[*link]*subscription{}} }

// subscribe records a renewal that came on a link. first reports whether it is the first one on that link.
func (a *agentLinks) subscribe(agent *link, driver string) (sub *subscription, first bool) {
	sub, known := a.subscriptions[agent]
	if !known {
		sub = &subscription{}
		a.subscriptions[agent] = sub
	}
	sub.driver = driver
	return sub, !known
}

// remove drops the agent of a link that has ended.
func (a *agentLinks) remove(agent *link) { delete(a.subscriptions, agent) }

// sendTo sends a frame to a driver's agent if it renews at this machine. The frame is sent on each of the agent's
// links, as one may be dead.
func (a *agentLinks) sendTo(driver string, frame *controlmsg.Frame) {
	for l, s := range a.subscriptions {
		if s.driver == driver {
			l.Send(frame)
		}
	}
}

// driverNames returns the names of the drivers that renew at this machine.
func (a *agentLinks) driverNames() map[string]bool {
	names := map[string]bool{}
	for _, s := range a.subscriptions {
		names[s.driver] = true
	}
	return names
}

// notify sends an update to all agents.
func (a *agentLinks) notify(update *controlmsg.StateUpdate) {
	if len(a.subscriptions) == 0 {
		return
	}
	encoded := transport.Encode(&controlmsg.Frame{Update: update})
	for l := range a.subscriptions {
		l.SendEncoded(encoded)
	}
}

// handleLeaseRenewal renews a driver's lease, and sends its agent the state that it lacks.
func (s *softState) handleLeaseRenewal(from *link, r *controlmsg.LeaseRenewal, now float64) {
	if r.Release {
		s.drivers.release(r.Driver)
		return
	}
	contactAgeMs := s.server.contactAge()
	if r.Tentative && !s.contact.inContact {
		from.Send(&controlmsg.Frame{Update: &controlmsg.StateUpdate{QuorumContactAgeMs: &contactAgeMs,
			WriterLeases: s.writerLeaseSupport()}})
		return
	}
	agent, first := s.agents.subscribe(from, r.Driver.Name)
	if s.drivers.renew(r.Driver, now) {
		s.peers.broadcast(&controlmsg.Frame{
			Digest: &controlmsg.StateDigest{MembersHash: s.members.table.Digest()},
			Leases: []controlmsg.DriverLease{{Driver: r.Driver, RemainingMs: ms(driverLeaseDuration)}},
		})
	}
	own := s.digest()
	update := &controlmsg.StateUpdate{QuorumContactAgeMs: &contactAgeMs, WriterLeases: s.writerLeaseSupport()}
	if s.contact.inContact || first {
		update.CoreAddrs = s.coreAddrs
	}
	s.addCommitted(update, &r.Digest, &own)
	s.addDirectory(update, &r.Digest, &own, agent, first, now)
	f := &controlmsg.Frame{Update: update}
	if now < ms(recoveryPeriod) && r.Digest.MembersHash != own.MembersHash {
		// The agents of a restarted machine know the members that it had before, tombstones included. Its digest asks for
		// them.
		f.Digest = &controlmsg.StateDigest{ConfigVersion: r.Digest.ConfigVersion, MembersHash: own.MembersHash, NoReply: true}
	}
	from.Send(f)
}

// addCommitted adds the configuration and the shard map to an answer if the agent's are older.
func (s *softState) addCommitted(update *controlmsg.StateUpdate, theirs, own *controlmsg.StateDigest) {
	if s.committed != nil && theirs.ConfigVersion < own.ConfigVersion {
		update.ConfigVersion, update.Config = s.committed.Version, s.committed.Raw
	}
	if theirs.ShardMapVersion < own.ShardMapVersion {
		update.ShardMap = s.committed.Shards
	}
}

// addDirectory adds the lists of members and drivers to an answer if the agent's differ on a link's first renewal or
// twice in a row. A list of drivers that may be incomplete is sent only once, as an addition to the agent's list.
func (s *softState) addDirectory(update *controlmsg.StateUpdate, theirs, own *controlmsg.StateDigest,
	agent *subscription, first bool, now float64) {
	membersDiffer := theirs.MembersHash != own.MembersHash
	driversDiffer := theirs.DriversHash != s.drivers.notifiedDigest
	due := first || agent.outdated
	agent.outdated = membersDiffer || driversDiffer
	if due && membersDiffer {
		update.Members = s.members.table.Snapshot()
	}
	switch {
	case !due || !driversDiffer:
	case s.directoryComplete(now):
		update.Drivers = s.drivers.notifiedDrivers
	case first:
		update.DriversAdded = s.drivers.table.Drivers()
	}
}
