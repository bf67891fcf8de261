package proxy

import (
	"context"

	"weirwind/internal/dataplane/group"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
)

// This file exports the proxy's metrics to Prometheus.

// groupMetrics are the metrics that the router keeps for a group.
type groupMetrics struct {
	queueWait metrics.Histogram // seconds from a statement's arrival until it got a connection
	expired   uint64            // requests that were rejected because their deadline was too close
	queueFull uint64            // requests that were rejected because the queue was full
	// unconfirmed counts the commits that a member answered, and that were not passed on as successes.
	unconfirmed uint64
	outcomes    [group.OutcomeCount]uint64
}

// groupSnapshot is a copy of the metrics of a group.
type groupSnapshot struct {
	groupMetrics
	service, slot string
	slotAge       float64 // seconds since the slot's last change
	waiting       int
	maxConns      int
	members       []memberSnapshot
}

type memberSnapshot struct {
	id                  string
	idle, open, dialing int
	ejected             bool
}

// routerSnapshot is a copy of the router's metrics.
type routerSnapshot struct {
	drivers int
	version uint64 // of the configuration, 0 for none
	groups  []groupSnapshot
	quotas  *quotaSnapshot // nil if no quotas are in force
}

// snapshot copies the metrics for use by another goroutine.
func (r *router) snapshot() routerSnapshot {
	now := r.proxy.now()
	snapshot := routerSnapshot{drivers: r.driverCount}
	if r.quotas != nil {
		snapshot.quotas = r.quotas.snapshot()
	}
	if r.config != nil {
		snapshot.version = r.config.Version
	}
	for service, grp := range r.groups {
		g := groupSnapshot{groupMetrics: grp.metrics, service: service, slot: grp.routing.Slot.Holder,
			slotAge: (now - grp.primarySince) / 1000, waiting: grp.queue.len(), maxConns: r.connShare(grp)}
		for id, member := range grp.routing.Members {
			m := memberSnapshot{id: id, ejected: member.Ejected(now)}
			if pool := grp.pools[id]; pool != nil {
				m.idle, m.open, m.dialing = len(pool.idle), pool.open, pool.dialing
			}
			g.members = append(g.members, m)
		}
		snapshot.groups = append(snapshot.groups, g)
	}
	return snapshot
}

// writeMetrics writes the proxy's metrics. It leaves out those of the router if the router does not answer in time.
func (p *Proxy) writeMetrics(set metrics.Set) {
	set.Gauge("weirwind_proxy_sessions", "Clients' sessions that are open.", float64(p.clientConns.Load()))
	set.Flag("weirwind_proxy_ready", "1 while the platform is told that this proxy is ready.", p.ready())
	set.Flag("weirwind_proxy_agent_linked", "1 while the agent on this machine feeds this proxy.",
		p.agent.Load() != nil)
	set.Flag("weirwind_proxy_writer_lease", "1 while this proxy has a writer lease, or needs none.", p.writers.hasLease())
	p.denials.writeMetrics(set)
	events.WriteMetrics(p.log, set)
	ctx, cancel := context.WithTimeout(p.ctx, metrics.OwnerTimeout)
	defer cancel()
	snapshot, err := commandqueue.Call(ctx, p.router.commands, p.router.snapshot)
	if err != nil {
		return
	}
	set.Gauge("weirwind_proxy_config_version", "Version of the configuration in force; 0: none.",
		float64(snapshot.version))
	set.Gauge("weirwind_proxy_drivers", "Drivers that share members' connections.", float64(snapshot.drivers))
	if snapshot.quotas != nil {
		snapshot.quotas.writeMetrics(set)
	}
	for i := range snapshot.groups {
		snapshot.groups[i].writeMetrics(set)
	}
}

// writeMetrics writes the metrics of a group.
func (g *groupSnapshot) writeMetrics(set metrics.Set) {
	set.Flag("weirwind_proxy_slot_filled", "1 while the writer slot names a primary.",
		g.slot != "", "service", g.service)
	set.Gauge("weirwind_proxy_slot_age_seconds", "Since the writer slot changed last.", g.slotAge, "service", g.service)
	set.Gauge("weirwind_proxy_queued_requests", "Requests that wait for a connection.", float64(g.waiting),
		"service", g.service)
	set.Histogram("weirwind_proxy_queue_wait_seconds",
		"From a statement's arrival until it was lent a connection.", g.queueWait, "service", g.service)
	set.Gauge("weirwind_proxy_connection_share", "Connections that this proxy may have to each member.",
		float64(g.maxConns), "service", g.service)
	set.Counter("weirwind_proxy_rejected_requests_total", "Requests that were rejected unsent, by reason.",
		float64(g.expired), "service", g.service, "reason", "expired")
	set.Counter("weirwind_proxy_rejected_requests_total", "Requests that were rejected unsent, by reason.",
		float64(g.queueFull), "service", g.service, "reason", "queue_full")
	set.Counter("weirwind_proxy_unconfirmed_commits_total",
		"Commits that a member answered, and whose client was told that the outcome is unknown.", float64(g.unconfirmed),
		"service", g.service)
	for outcome, count := range g.outcomes {
		set.Counter("weirwind_proxy_attempts_total", "Requests to members, by how they ended.", float64(count),
			"service", g.service, "outcome", group.Outcome(outcome).String())
	}
	for _, m := range g.members {
		m.writeMetrics(set, g.service)
	}
}

// writeMetrics writes the metrics of a member.
func (m *memberSnapshot) writeMetrics(set metrics.Set, service string) {
	for state, count := range map[string]int{"idle": m.idle, "dialing": m.dialing, "lent": m.open - m.idle - m.dialing} {
		set.Gauge("weirwind_proxy_connections", "Connections to members, by what they do.", float64(count),
			"service", service, "member", m.id, "state", state)
	}
	set.Flag("weirwind_proxy_member_ejected", "1 while routing leaves the member out.", m.ejected,
		"service", service, "member", m.id)
}
