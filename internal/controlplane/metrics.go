package controlplane

import (
	"context"
	"math"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
)

// This file owns a core machine's own figures, as Prometheus fetches them.

// loopSnapshot is a copy of the consensus loop's figures.
type loopSnapshot struct {
	term, commit, last, version uint64
	voters, silent, behind      int
	rosterMembers               int
	syncs                       uint64
	lastSyncMs, maxSyncMs       float64
	drifting                    int
}

func (c *consensusLoop) snapshot() loopSnapshot {
	state := &c.node.HardState
	s := loopSnapshot{term: state.Term, commit: state.Commit, last: state.Last.Index, voters: len(state.Last.Voters),
		syncs: c.syncs, lastSyncMs: c.lastSyncMs, maxSyncMs: c.maxSyncMs, drifting: len(c.drifting)}
	if c.committed != nil {
		s.version = c.committed.Version
		for _, ids := range c.committed.Roster {
			s.rosterMembers += len(ids)
		}
	}
	for _, peer := range c.node.PeerStatuses(c.server.now()) {
		if peer.Silent < 0 || peer.Silent > voterSilentMs {
			s.silent++
		}
		if peer.Behind {
			s.behind++
		}
	}
	return s
}

// stateSnapshot is a copy of the soft state's figures.
type stateSnapshot struct {
	leads                               bool
	members, drivers, agents, coreLinks int
	complete                            bool
	failovers                           map[string]string // state by service, where one is under way
	quotas                              *quotaSnapshot
}

func (s *softState) snapshot() stateSnapshot {
	now := s.server.now()
	snapshot := stateSnapshot{leads: s.leadership.active, drivers: len(s.drivers.table.Drivers()),
		agents: len(s.agents.subscriptions), coreLinks: s.server.cores.count(), complete: s.directoryComplete(now),
		failovers: map[string]string{}, quotas: s.quotas.snapshot(now)}
	for _, members := range s.members.live() {
		snapshot.members += len(members)
	}
	for service, controller := range s.failovers.controllers {
		snapshot.failovers[service] = controller.Phase()
	}
	return snapshot
}

// figures writes the machine's figures. What an owner doesn't answer in time is left out.
func (h *Server) figures(set metrics.Set) {
	events.Figures(h.log, set)
	controlmsg.WriteMetrics(set, "weirwind_controlplane", "accepted", &h.accepted)
	controlmsg.WriteMetrics(set, "weirwind_controlplane", "dialled", &h.dialled)
	if age := h.contactAge(); !math.IsInf(age, 1) {
		set.Gauge("weirwind_controlplane_contact_age_seconds",
			"Since this machine last knew all that was acknowledged anywhere.", age/1000)
	}
	set.Flag("weirwind_controlplane_in_contact", "1 while this machine answers calls by a majority.",
		h.inContact())
	set.Gauge("weirwind_controlplane_disk_wait_seconds", "For which a write has kept the consensus loop waiting.",
		h.loop.diskWait.writingFor(h.now())/1000)
	set.Flag("weirwind_controlplane_disk_full", "1 while the disk has no room for the present write.",
		h.loop.diskWait.isFull())
	if loop, ok := askLoop(h.loop, h.loop.snapshot); ok {
		loop.write(set)
	}
	ctx, stop := context.WithTimeout(h.ctx, metrics.OwnerTimeout)
	defer stop()
	if state, err := commandqueue.Call(ctx, h.state.queue, h.state.snapshot); err == nil {
		state.write(set)
	}
}

func (s *loopSnapshot) write(set metrics.Set) {
	set.Gauge("weirwind_controlplane_term", "Term of consensus.", float64(s.term))
	set.Gauge("weirwind_controlplane_commit_index", "Index of the newest entry that is known committed.",
		float64(s.commit))
	set.Gauge("weirwind_controlplane_last_index", "Index of the newest entry on this disk.", float64(s.last))
	set.Gauge("weirwind_controlplane_config_version", "Version of the committed configuration; 0: none.",
		float64(s.version))
	set.Gauge("weirwind_controlplane_voters", "Machines that vote.", float64(s.voters))
	set.Gauge("weirwind_controlplane_silent_voters", "Other voters that are silent; known by the leader.",
		float64(s.silent))
	set.Gauge("weirwind_controlplane_lagging_voters", "Other voters that lack the last entry; known by the leader.",
		float64(s.behind))
	set.Gauge("weirwind_controlplane_drifting_voters", "Voters whose clocks run at another rate; known by the leader.",
		float64(s.drifting))
	set.Gauge("weirwind_controlplane_roster_members", "Members that may hold an acknowledged commit.",
		float64(s.rosterMembers))
	set.Counter("weirwind_controlplane_disk_syncs_total", "Writes to the disk.", float64(s.syncs))
	set.Gauge("weirwind_controlplane_disk_last_sync_seconds", "Time of the newest write.", s.lastSyncMs/1000)
	set.Gauge("weirwind_controlplane_disk_max_sync_seconds", "Time of the longest write.", s.maxSyncMs/1000)
}

func (s *stateSnapshot) write(set metrics.Set) {
	set.Flag("weirwind_controlplane_leads", "1 while this machine leads.", s.leads)
	set.Flag("weirwind_controlplane_directory_complete", "1 while nothing that others know is missing here.",
		s.complete)
	set.Gauge("weirwind_controlplane_members", "Members that have not ended.", float64(s.members))
	set.Gauge("weirwind_controlplane_driver_leases", "Drivers that hold a lease.", float64(s.drivers))
	set.Gauge("weirwind_controlplane_agents", "Agents that renew at this machine.", float64(s.agents))
	set.Gauge("weirwind_controlplane_core_links", "Links to other core machines that are up.", float64(s.coreLinks))
	s.quotas.write(set)
	for service, phase := range s.failovers {
		set.Gauge("weirwind_controlplane_failover_phase", "1 for the phase of a service's failover, at the leader.", 1,
			"service", service, "phase", phase)
	}
}
