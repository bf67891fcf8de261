package controlplane

import (
	"context"
	"math"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
)

// This file has the metrics of a core machine, which Prometheus scrapes.

// loopSnapshot is a copy of the consensus loop's state for metrics.
type loopSnapshot struct {
	term, commitIndex, lastIndex, configVersion uint64
	voters, silentVoters, laggingVoters         int
	rosterMembers                               int
	syncs                                       uint64
	lastSyncMs, maxSyncMs                       float64
	driftingVoters                              int
}

func (c *consensusLoop) snapshot() loopSnapshot {
	state := &c.node.HardState
	s := loopSnapshot{term: state.Term, commitIndex: state.Commit, lastIndex: state.Last.Index,
		voters: len(state.Last.Voters), syncs: c.syncs, lastSyncMs: c.lastSyncMs, maxSyncMs: c.maxSyncMs,
		driftingVoters: len(c.driftingVoters)}
	if c.committed != nil {
		s.configVersion = c.committed.Version
		for _, ids := range c.committed.Roster {
			s.rosterMembers += len(ids)
		}
	}
	for _, peer := range c.node.PeerStatuses(c.server.now()) {
		if peer.Silent < 0 || peer.Silent > voterSilenceTimeoutMs {
			s.silentVoters++
		}
		if peer.Behind {
			s.laggingVoters++
		}
	}
	return s
}

// stateSnapshot is a copy of the soft state for metrics.
type stateSnapshot struct {
	leading                             bool
	members, drivers, agents, coreLinks int
	directoryComplete                   bool
	failovers                           map[string]string // phase of the failover controller, by service
	writerLeases                        int
	writersAwaited                      map[string]int // proxies that have not confirmed the writer, by service
	quotas                              *quotaSnapshot
}

func (s *softState) snapshot() stateSnapshot {
	now := s.server.now()
	snapshot := stateSnapshot{leading: s.leadership.active, drivers: len(s.drivers.table.Drivers()),
		agents: len(s.agents.subscriptions), coreLinks: s.server.cores.countDialled(),
		directoryComplete: s.directoryComplete(now), failovers: map[string]string{}, quotas: s.quotas.snapshot(now)}
	for _, members := range s.members.live() {
		snapshot.members += len(members)
	}
	for service, controller := range s.failovers.controllers {
		snapshot.failovers[service] = controller.Phase()
	}
	snapshot.writerLeases, snapshot.writersAwaited = s.writers.snapshot(now)
	return snapshot
}

// writeMetrics writes the machine's metrics. Those of an owner that does not answer in time are left out.
func (srv *Server) writeMetrics(set metrics.Set) {
	events.WriteMetrics(srv.log, set)
	controlmsg.WriteMetrics(set, "weirwind_controlplane", "accepted", &srv.accepted)
	controlmsg.WriteMetrics(set, "weirwind_controlplane", "dialled", &srv.dialled)
	if age := srv.contactAge(); !math.IsInf(age, 1) {
		set.Gauge("weirwind_controlplane_contact_age_seconds",
			"Since this machine last knew all that was acknowledged anywhere.", age/1000)
	}
	set.Flag("weirwind_controlplane_in_contact", "1 while this machine answers calls by a majority.",
		srv.inContact())
	set.Gauge("weirwind_controlplane_disk_wait_seconds",
		"For which a write has kept the consensus loop waiting.", srv.loop.diskWait.currentWriteMs(srv.now())/1000)
	set.Flag("weirwind_controlplane_disk_full", "1 while the disk has no room for the present write.",
		srv.loop.diskWait.isFull())
	if loop, ok := callLoop(srv.loop, srv.loop.snapshot); ok {
		loop.write(set)
	}
	ctx, stop := context.WithTimeout(srv.ctx, metrics.OwnerTimeout)
	defer stop()
	if state, err := commandqueue.Call(ctx, srv.state.queue, srv.state.snapshot); err == nil {
		state.write(set)
	}
}

func (s *loopSnapshot) write(set metrics.Set) {
	set.Gauge("weirwind_controlplane_term", "Term of consensus.", float64(s.term))
	set.Gauge("weirwind_controlplane_commit_index", "Index of the newest entry that is known committed.",
		float64(s.commitIndex))
	set.Gauge("weirwind_controlplane_last_index", "Index of the newest entry on this disk.", float64(s.lastIndex))
	set.Gauge("weirwind_controlplane_config_version", "Version of the committed configuration; 0: none.",
		float64(s.configVersion))
	set.Gauge("weirwind_controlplane_voters", "Machines that vote.", float64(s.voters))
	set.Gauge("weirwind_controlplane_silent_voters", "Other voters that are silent; known by the leader.",
		float64(s.silentVoters))
	set.Gauge("weirwind_controlplane_lagging_voters", "Other voters that lack the last entry; known by the leader.",
		float64(s.laggingVoters))
	set.Gauge("weirwind_controlplane_drifting_voters",
		"Voters whose clocks run at another rate; known by the leader.", float64(s.driftingVoters))
	set.Gauge("weirwind_controlplane_roster_members", "Members that may hold an acknowledged commit.",
		float64(s.rosterMembers))
	set.Counter("weirwind_controlplane_disk_syncs_total", "Writes to the disk.", float64(s.syncs))
	set.Gauge("weirwind_controlplane_disk_last_sync_seconds", "Time of the newest write.", s.lastSyncMs/1000)
	set.Gauge("weirwind_controlplane_disk_max_sync_seconds", "Time of the longest write.", s.maxSyncMs/1000)
}

func (s *stateSnapshot) write(set metrics.Set) {
	set.Flag("weirwind_controlplane_leads", "1 while this machine leads.", s.leading)
	set.Flag("weirwind_controlplane_directory_complete",
		"1 while nothing that others know is missing here.", s.directoryComplete)
	set.Gauge("weirwind_controlplane_members", "Members that have not ended.", float64(s.members))
	set.Gauge("weirwind_controlplane_driver_leases", "Drivers that hold a lease.", float64(s.drivers))
	set.Gauge("weirwind_controlplane_agents", "Agents that renew at this machine.", float64(s.agents))
	set.Gauge("weirwind_controlplane_core_links", "Links to other core machines that are up.", float64(s.coreLinks))
	s.quotas.write(set)
	set.Gauge("weirwind_controlplane_writer_leases", "Proxies that hold a writer lease; known by the leader.",
		float64(s.writerLeases))
	for service, proxies := range s.writersAwaited {
		set.Gauge("weirwind_controlplane_writers_awaited",
			"Proxies that may write to a former writer of the service; known by the leader.", float64(proxies),
			"service", service)
	}
	for service, phase := range s.failovers {
		set.Gauge("weirwind_controlplane_failover_phase",
			"1 for the phase of a service's failover, at the leader.", 1, "service", service, "phase", phase)
	}
}
