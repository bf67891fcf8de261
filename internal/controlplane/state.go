package controlplane

import (
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/commandqueue"
)

// Times of the soft state.
const (
	tickInterval = 50 * time.Millisecond
	// recoveryPeriod is for how long after its start a machine requests from agents the members that it lacks.
	recoveryPeriod   = 20 * time.Second
	maxStateCommands = 1024 // commands that wait for the owner before their senders wait
)

// softState owns what a machine learns from others and keeps in memory only, and what it does as the leader. One
// goroutine, run, touches it; others send it commands through do. A restarted machine learns it anew: members and
// drivers repeat their heartbeats and renewals, and other machines send what they know.
//
// Each concern is a type of its own, in the file of its name. What involves several of them is a method of softState.
type softState struct {
	server *Server
	queue  *commandqueue.Queue

	// committed is the newest state that this machine knows to be committed, nil for none. Its version never decreases.
	committed *config.State
	config    *config.Config // parsed from committed; nil: none
	coreAddrs []string       // control addresses of the voters
	contact   contactState

	members   membership
	drivers   driverLeases
	leaseSync leaseSync
	agents    agentLinks
	peers     peerExchange

	leadership leadership
	failovers  failovers
	roster     rosterTracker
	shardMoves shardMoves
	siteLeases siteLeases
	quotas     quotas

	memberClient *memberClient // for the questions of failovers and shardMoves
}

// leadership is whether this machine leads the core, as the consensus loop notified last.
type leadership struct {
	active bool
	term   uint64
	since  float64 // when active or term changed last, in ms
	// holders are the machines that may hold leases of this or an earlier lead, by control address.
	holders []string
}

// committedUpdate is a newly committed entry, from the consensus loop.
type committedUpdate struct {
	state      *config.State
	newVersion bool // its configuration is newer than all before it
	voterAddrs []string
}

func newSoftState(server *Server) *softState {
	s := &softState{server: server, queue: commandqueue.New(server.ctx, maxStateCommands), memberClient: newMemberClient()}
	s.agents = newAgentLinks()
	s.peers = newPeerExchange(server.cores)
	s.members = newMembership(server.log, ms(server.settings.HeartbeatInterval), &s.agents, &s.peers)
	s.drivers = newDriverLeases(server.log, &s.agents)
	s.leaseSync = newLeaseSync()
	s.failovers = newFailovers(s)
	s.roster = newRosterTracker(s)
	s.shardMoves = newShardMoves(s)
	s.siteLeases = newSiteLeases(s)
	s.quotas = newQuotas(server.settings, uint64(server.start.UnixNano()))
	return s
}

// do queues a command for the owner.
func (s *softState) do(command func()) { s.queue.Do(command) }

// call runs a command in the owner's goroutine and waits until it has run. On an error, which is that the process is
// stopping, it may still run: what it writes must not be read then.
func (s *softState) call(command func()) error { return s.queue.Wait(s.server.ctx, command) }

// run is the owner's goroutine, until the process's context ends.
func (s *softState) run() { s.queue.Run(tickInterval, s.tick) }

// tick does what is due, concern by concern. The order is part of the behaviour: members that expire are published
// before the pending records, and the leader decides by tables that are up to date.
func (s *softState) tick() {
	now := s.server.now()
	s.updateContact(now)
	if s.directoryComplete(now) {
		s.members.expire(now)
		s.drivers.expire(now)
	}
	s.members.publishPending()
	s.drivers.notifyAgents(now)
	s.members.enforceDrains(now)
	s.peers.sendHeartbeats(now)
	s.sendDigest(now)
	s.stepQuotas(now)
	if s.leadership.active && s.contact.established { // a machine without contact is about to lead no longer
		s.stepFailovers(now)
		s.shardMoves.step(now)
		s.siteLeases.expire(now)
	}
}

// digest is what this machine has, in short.
func (s *softState) digest() controlmsg.StateDigest {
	d := controlmsg.StateDigest{MembersHash: s.members.table.Digest(), DriversHash: s.drivers.table.Digest()}
	if s.committed != nil {
		d.ConfigVersion = s.committed.Version
		if s.committed.Shards != nil {
			d.ShardMapVersion = s.committed.Shards.Version
		}
	}
	return d
}

// setLeadership begins or ends this machine's lead. What an earlier lead knew of failovers, transfers and
// quotas is forgotten: another machine may have led since.
func (s *softState) setLeadership(active bool, term uint64, holders []string) {
	s.leadership = leadership{active: active, term: term, since: s.server.now(), holders: holders}
	s.memberClient.closeAll()
	s.failovers.reset()
	s.roster.reset()
	s.shardMoves.reset()
	s.siteLeases.reset()
	s.quotas.reset(s.leadership, s.config)
}

// applyCommitted takes a newly committed state, and notifies the agents of what is new in it.
func (s *softState) applyCommitted(update committedUpdate) {
	now := s.server.now()
	s.coreAddrs = update.voterAddrs
	s.leaseSync.retain(s.coreAddrs)
	if s.quotas.allocator != nil {
		s.quotas.allocator.SetVoters(len(s.coreAddrs))
	}
	for _, addr := range s.coreAddrs { // the settings may name fewer
		s.server.cores.connect(addr)
	}
	next := update.state
	if s.committed != nil && next.Version < s.committed.Version {
		return
	}
	newShardMap := next.Shards != nil && s.shardMapVersion() < next.Shards.Version
	s.committed = next
	if newShardMap {
		s.agents.notify(&controlmsg.StateUpdate{ShardMap: next.Shards})
		s.shardMoves.step(now)
	}
	if !update.newVersion {
		return
	}
	if parsed, err := config.Parse(next.Raw); err == nil {
		s.config = parsed
		s.quotas.setConfig(parsed, now)
	}
	s.agents.notify(&controlmsg.StateUpdate{ConfigVersion: next.Version, Config: next.Raw, CoreAddrs: s.coreAddrs})
}

// shardMapVersion is that of the committed shard map, 0 for none.
func (s *softState) shardMapVersion() uint64 {
	if s.committed == nil || s.committed.Shards == nil {
		return 0
	}
	return s.committed.Shards.Version
}

// sendToLeader sends a frame to the machine that leads, if another one does. It may be lost: its sender repeats it.
func (s *softState) sendToLeader(frame *controlmsg.Frame) {
	h := s.server
	h.loop.offer(func() {
		if leader, ok := h.loop.node.Leader(); ok && leader.Addr != h.settings.ControlAddr {
			h.cores.send(leader.Addr, frame)
		}
	})
}

// handleFrame takes a frame of another core machine or of an agent.
func (s *softState) handleFrame(from *link, frame *controlmsg.Frame) {
	now := s.server.now()
	switch {
	case frame.LeaseRenewal != nil:
		s.handleLeaseRenewal(from, frame.LeaseRenewal, now)
	case frame.Update != nil:
		s.members.merge(frame.Update.Members, now)
	case frame.Heartbeats != nil:
		s.members.observe(frame.Heartbeats, now)
	case frame.PrimaryReport != nil:
		s.handlePrimaryReport(frame.PrimaryReport, now)
	case frame.QuotaReport != nil:
		s.handleQuotaReport(from, frame.QuotaReport, now)
	case frame.QuotaGrant != nil:
		s.handleQuotaGrant(frame.QuotaGrant, now)
	case frame.QuotaRequest != nil:
		s.handleQuotaRequest(from, frame.QuotaRequest, now)
	case frame.LeaseSync != nil:
		s.handleLeaseSync(from, frame, now)
	case frame.Digest != nil:
		s.handleDigest(from, frame, now)
	}
}

// handleDigest takes another core machine's digest, and the driver leases that came with it. Where its members differ
// from this machine's it is sent all of them, on its own link; it does likewise by this machine's digests.
func (s *softState) handleDigest(from *link, frame *controlmsg.Frame, now float64) {
	s.leaseSync.observe(s.server.cores.senderAddr(from), now)
	s.drivers.merge(frame.Leases, now)
	if !frame.Digest.NoReply && frame.Digest.MembersHash != s.members.table.Digest() {
		from.Send(&controlmsg.Frame{Update: &controlmsg.StateUpdate{Members: s.members.table.Snapshot()}})
	}
}
