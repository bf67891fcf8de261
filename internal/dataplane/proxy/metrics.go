package proxy

import (
	"context"

	"weirwind/internal/dataplane/group"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
)

// This file owns the proxy's own figures, as Prometheus fetches them.

// groupFigures are what the router counts of a group for its operators.
type groupFigures struct {
	queueWait metrics.Histogram // of requests that were lent a connection, from the statement's arrival
	expired   uint64            // requests that were rejected as their time was nearly over
	overflown uint64            // requests that found the queue full
	outcomes  [group.OutcomeCount]uint64
}

// groupSnapshot is a copy of a group's figures.
type groupSnapshot struct {
	groupFigures
	service, slot string
	slotAge       float64 // seconds
	waiting       int
	maxConns      int
	members       []memberSnapshot
}

type memberSnapshot struct {
	id                  string
	idle, open, dialing int
	ejected             bool
}

// routerSnapshot is a copy of the router's figures.
type routerSnapshot struct {
	drivers int
	version uint64
	groups  []groupSnapshot
	quotas  *quotaSnapshot // nil: nothing is limited
}

// snapshot copies the figures, for another goroutine.
func (r *router) snapshot() routerSnapshot {
	now := r.proxy.now()
	all := routerSnapshot{drivers: r.driverCount}
	if r.quotas != nil {
		all.quotas = r.quotas.snapshot()
	}
	if r.config != nil {
		all.version = r.config.Version
	}
	for service, grp := range r.groups {
		g := groupSnapshot{groupFigures: grp.figures, service: service, slot: grp.routing.Slot.Holder,
			slotAge: (now - grp.slotSince) / 1000, waiting: grp.queue.len(), maxConns: r.connShare(grp)}
		for id, member := range grp.routing.Members {
			m := memberSnapshot{id: id, ejected: member.Ejected(now)}
			if pool := grp.pools[id]; pool != nil {
				m.idle, m.open, m.dialing = len(pool.idle), pool.open, pool.dialing
			}
			g.members = append(g.members, m)
		}
		all.groups = append(all.groups, g)
	}
	return all
}

// figures writes the proxy's figures. Without the router's answer in time those of groups are left out.
func (p *Proxy) figures(set metrics.Set) {
	set.Gauge("weirwind_proxy_sessions", "Clients' sessions that are open.", float64(p.clientConns.Load()))
	set.Flag("weirwind_proxy_ready", "1 while the platform is told that this proxy is ready.", p.ready())
	set.Flag("weirwind_proxy_agent_linked", "1 while the agent on this machine feeds this proxy.",
		p.agent.Load() != nil)
	p.denials.figures(set)
	events.Figures(p.log, set)
	ctx, stop := context.WithTimeout(p.ctx, metrics.OwnerTimeout)
	defer stop()
	all, err := commandqueue.Call(ctx, p.router.commands, p.router.snapshot)
	if err != nil {
		return
	}
	set.Gauge("weirwind_proxy_config_version", "Version of the configuration in force; 0: none.", float64(all.version))
	set.Gauge("weirwind_proxy_drivers", "Drivers that share members' connections.", float64(all.drivers))
	if all.quotas != nil {
		all.quotas.write(set)
	}
	for i := range all.groups {
		all.groups[i].write(set)
	}
}

// write writes a group's figures.
func (g *groupSnapshot) write(set metrics.Set) {
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
		float64(g.overflown), "service", g.service, "reason", "queue_full")
	for outcome, n := range g.outcomes {
		set.Counter("weirwind_proxy_attempts_total", "Requests to members, by how they ended.", float64(n),
			"service", g.service, "outcome", group.Outcome(outcome).String())
	}
	for _, m := range g.members {
		m.write(set, g.service)
	}
}

// write writes a member's figures.
func (m *memberSnapshot) write(set metrics.Set, service string) {
	for state, n := range map[string]int{"idle": m.idle, "dialing": m.dialing, "lent": m.open - m.idle - m.dialing} {
		set.Gauge("weirwind_proxy_connections", "Connections to members, by what they do.", float64(n),
			"service", service, "member", m.id, "state", state)
	}
	set.Flag("weirwind_proxy_member_ejected", "1 while routing leaves the member out.", m.ejected,
		"service", service, "member", m.id)
}
