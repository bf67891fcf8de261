package controlplane

import (
	"maps"
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/commandqueue"
)

// Times of the soft state.
const (
	tickInterval = 50 * time.Millisecond
	// recoveryPeriod is how long after its start a machine asks agents for the members that it lacks.
	recoveryPeriod   = 20 * time.Second
	maxStateCommands = 1024 // commands queued for the owner before their senders block
)

// softState owns the state that a machine learns from others and keeps only in memory, and the leader's tasks. Only one
// goroutine, run, accesses it; others send it commands through enqueue. A restarted machine rebuilds it: members and
// drivers repeat their heartbeats and renewals, and other machines send the state that they have.
//
// Each concern is a type of its own, in the file of its name. Code that involves several is a method of softState.
type softState struct {
	server *Server
	queue  *commandqueue.Queue

	// committed is the newest known committed state; nil if there is none. Its version never decreases.
	committed *config.State
	config    *config.Config // parsed from committed; nil if there is none
	coreAddrs []string       // control addresses of the voters
	contact   contactState

	members   membership
	drivers   driverLeases
	leaseSync leaseSync
	agents    agentLinks
	peers     peerExchange

	leadership leadership
	failovers  failovers
	writers    writers
	relays     relays
	roster     rosterTracker
	shardMoves shardMoves
	siteLeases siteLeases
	quotas     quotas

	memberClient *memberClient // for the statements of failovers and shardMoves
}

// leadership describes whether this machine leads the core, as last notified by the consensus loop.
type leadership struct {
	active bool
	term   uint64
	since  float64 // when active or term last changed, in ms
	// leaseHolders are the control addresses of the machines that may hold leases that this or an earlier leader granted.
	leaseHolders []string
}

// committedUpdate is a newly committed entry, from the consensus loop.
type committedUpdate struct {
	state      *config.State
	newVersion bool // the configuration is newer than all earlier ones
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
	s.relays = newRelays()
	s.roster = newRosterTracker(s)
	s.shardMoves = newShardMoves(s)
	s.siteLeases = newSiteLeases(s)
	s.quotas = newQuotas(server.settings, uint64(server.start.UnixNano()))
	return s
}

// enqueue queues a command for the owner, and blocks while the queue is full.
func (s *softState) enqueue(command func()) { s.queue.Do(command) }

// call runs a command in the owner's goroutine and waits until it has run. It returns an error if the process is
// stopping; the command may then still run, so that the caller must not read what it writes.
func (s *softState) call(command func()) error { return s.queue.Wait(s.server.ctx, command) }

// run is the owner's goroutine, until the process's context ends.
func (s *softState) run() { s.queue.Run(tickInterval, s.tick) }

// tick does the periodic work of each concern. The order matters: members that expire are published before the pending
// records, and the leader decides by up-to-date tables.
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
	if s.leadership.active && s.contact.inContact { // a leader without contact is about to step down
		s.expireRelays(now)
		s.stepWriters(now)
		s.stepFailovers(now)
		s.sendAssignments(now)
		s.shardMoves.step(now)
		s.siteLeases.expire(now)
	}
}

// digest returns the digest of this machine's state.
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

// setLeadership starts or ends this machine's leadership. The state of failovers, shard moves and quotas from an
// earlier leadership is dropped, as another machine may have led since.
func (s *softState) setLeadership(active bool, term uint64, holders []string) {
	s.leadership = leadership{active: active, term: term, since: s.server.now(), leaseHolders: holders}
	s.memberClient.closeAll()
	s.failovers.reset()
	s.startWriters(s.server.now())
	s.relays.reset()
	s.roster.reset()
	s.shardMoves.reset()
	s.siteLeases.reset()
	s.quotas.reset(s.leadership, s.config)
}

// applyCommitted stores a newly committed state, and notifies the agents of what is new in it.
func (s *softState) applyCommitted(update committedUpdate) {
	now := s.server.now()
	s.coreAddrs = update.voterAddrs
	s.leaseSync.retain(s.coreAddrs)
	if s.quotas.allocator != nil {
		s.quotas.allocator.SetVoters(len(s.coreAddrs))
	}
	for _, addr := range s.coreAddrs { // the settings may list only some of them
		s.server.cores.connect(addr)
	}
	next := update.state
	if s.committed != nil && next.Version < s.committed.Version {
		return
	}
	newShardMap := next.Shards != nil && s.shardMapVersion() < next.Shards.Version
	newPromotes := s.committed != nil && !maps.Equal(s.committed.Promotes, next.Promotes)
	s.committed = next
	if newPromotes && s.leadership.active && s.contact.inContact {
		s.stepFailovers(now) // a promote waits for its record
	}
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

// shardMapVersion returns the version of the committed shard map, 0 if there is none.
func (s *softState) shardMapVersion() uint64 {
	if s.committed == nil || s.committed.Shards == nil {
		return 0
	}
	return s.committed.Shards.Version
}

// sendToLeader sends a frame to the leader if another machine leads. The frame may be lost; its sender repeats it.
func (s *softState) sendToLeader(frame *controlmsg.Frame) {
	srv := s.server
	srv.loop.offer(func() {
		if leader, ok := srv.loop.node.Leader(); ok && leader.Addr != srv.settings.ControlAddr {
			srv.cores.send(leader.Addr, frame)
		}
	})
}

// handleFrame handles a frame from another core machine or an agent.
func (s *softState) handleFrame(from *link, frame *controlmsg.Frame) {
	now := s.server.now()
	switch {
	case frame.LeaseRenewal != nil:
		s.handleLeaseRenewal(from, frame.LeaseRenewal, now)
	case frame.Update != nil:
		s.members.merge(frame.Update.Members, now)
		if frame.Update.Writers != nil {
			s.agents.notify(&controlmsg.StateUpdate{Writers: frame.Update.Writers})
		}
	case frame.WriterLeaseRequest != nil:
		s.handleWriterLeaseRequest(from, frame.WriterLeaseRequest, now)
	case frame.WriterLeaseGrant != nil:
		s.agents.sendTo(frame.WriterLeaseGrant.Driver, frame)
	case frame.Heartbeats != nil:
		s.members.mergeHeartbeats(frame.Heartbeats, now)
	case frame.PrimaryReport != nil:
		s.handlePrimaryReport(frame.PrimaryReport, now)
	case frame.Statement != nil:
		s.agents.sendTo(frame.Statement.Driver, frame)
	case frame.Reply != nil:
		s.handleRelayedReply(frame.Reply)
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

// handleDigest handles another core machine's digest and the driver leases that came with it. If the members of the two
// machines differ, it sends all members of this machine back on the same link. The other machine does the same when it
// receives this machine's digest.
func (s *softState) handleDigest(from *link, frame *controlmsg.Frame, now float64) {
	s.leaseSync.observe(s.server.cores.senderAddr(from), now)
	s.drivers.merge(frame.Leases, now)
	if !frame.Digest.NoReply && frame.Digest.MembersHash != s.members.table.Digest() {
		from.Send(&controlmsg.Frame{Update: &controlmsg.StateUpdate{Members: s.members.table.Snapshot()}})
	}
}
