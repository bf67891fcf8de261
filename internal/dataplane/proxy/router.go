package proxy

import (
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
)

const (
	tickInterval   = 50 * time.Millisecond
	commandBacklog = 4096 // queued commands beyond which a sender blocks
)

// A process that has just started does not know all drivers yet, nor how many connections of drivers that have just
// died are still open. For startupPeriod (milliseconds) it assumes at least minStartupDrivers drivers.
const (
	startupPeriod     = 1500.0
	minStartupDrivers = 6
)

// router owns the state that the sessions of a proxy share: the configuration, the replication groups with their
// connection pools and queues, and the routing table of the shards.
//
// All fields except commands and configured, and all methods except do and run, belong to the goroutine of run.
// Sessions use commands to reach them. The router does no I/O: dials and health checks run in goroutines that send
// their results back as commands.
type router struct {
	proxy    *Proxy
	commands *commandqueue.Queue

	config      *config.Config // nil until the agent has sent the first
	configured  chan struct{}  // closed when the first configuration is applied
	members     *directory.Members
	driverCount int                     // drivers (proxy processes) with a lease, by the agent's last update; at least 1
	groups      map[string]*memberGroup // by service
	shards      *shardRouter
	quotas      *quotas // nil if the quota contract is not in force
}

// memberGroup is a replication group and this proxy's connections to its members.
type memberGroup struct {
	routing       *group.Group         // chooses the member for a statement
	pools         map[string]*connPool // by member id, only for members with connections
	queue         waitQueue[*connRequest]
	dispatching   *connRequest // the request that dispatch is routing
	maxConns      int          // limit of connections to each member from all drivers together, 0 if not configured
	loggedPrimary string       // the writer slot's holder in the last log line on the slot
	primarySince  float64      // time of the last change of loggedPrimary, in milliseconds
	rejections    rejectionLog
	metrics       groupMetrics
	reporter      reporter

	confirmer           *commitConfirmer
	checkFailed         bool    // the nearest replicas did not pass the latest check, so that the next one queries all
	unconfirmedLoggedAt float64 // milliseconds
}

func newRouter(proxy *Proxy) *router {
	return &router{
		proxy:       proxy,
		commands:    commandqueue.New(proxy.ctx, commandBacklog),
		configured:  make(chan struct{}),
		members:     directory.NewMembers(),
		driverCount: 1,
		groups:      map[string]*memberGroup{},
		shards:      newShardRouter(),
		quotas:      newQuotas(proxy.settings, uint64(proxy.startedAt.UnixNano())),
	}
}

// do queues a command. Commands that are queued after the end of the proxy's context never run.
func (r *router) do(command func()) { r.commands.Do(command) }

// run executes commands and ticks until the proxy's context ends.
func (r *router) run() { r.commands.Run(tickInterval, r.tick) }

func (r *router) tick() {
	now := r.proxy.now()
	r.shards.dispatch(now)
	r.tickQuotas(now)
	r.tickWriters(now)
	for _, g := range r.groups {
		g.routing.SuspectPrimary(now)
		r.dispatch(g)
		r.probe(g)
		if report := g.reporter.next(g.routing, now); report != nil {
			r.proxy.sendReport(report)
		}
		for id, pool := range g.pools {
			pool.closeExpired(now)
			g.dropUnusedPool(id, now)
		}
	}
}

// update applies an update from the agent. Fields that are not set leave the state unchanged.
func (r *router) update(update *controlmsg.StateUpdate) {
	now := r.proxy.now()
	if update.DriverCount > 0 {
		r.driverCount = update.DriverCount
	}
	if update.Config != nil && (r.config == nil || update.ConfigVersion > r.config.Version) { // never an older one
		r.updateConfig(update.Config)
	}
	if r.shards.table.Update(update.ShardMap) {
		r.shards.dispatch(now)
	}
	r.updateMembers(update.Members, now)
	r.updateWriters(update)
}

func (r *router) updateConfig(raw []byte) {
	cfg, err := config.Parse(raw)
	if err != nil {
		r.proxy.log.Error(events.ConfigRejected, err)
		return
	}
	first := r.config == nil
	r.config = cfg
	r.proxy.config.Store(cfg)
	r.updateQuotas(cfg)
	r.proxy.log.Event(events.ConfigApplied, "gen", cfg.Version, "routes", len(cfg.Routes))
	for i := range cfg.Services {
		r.group(cfg.Services[i].Name).maxConns = cfg.Services[i].MaxConnections
	}
	if first {
		close(r.configured)
	}
}

func (r *router) updateMembers(records []directory.Member, now float64) {
	changed := map[string]*memberGroup{}
	for _, record := range r.members.Merge(records, now) {
		g := r.group(record.Service)
		g.routing.UpdateMember(record, now)
		changed[record.Service] = g
		if record.Tombstone || record.Draining {
			g.closeIdle(record.ID)
		}
	}
	for _, g := range changed {
		r.logSlot(g)
		r.dispatch(g)
	}
}

// group returns the group of a service. It creates the group if the service is unknown, as members may be announced
// before the configuration that names their service.
func (r *router) group(service string) *memberGroup {
	g := r.groups[service]
	if g == nil {
		g = &memberGroup{routing: group.NewGroup(service, r.proxy.distanceTo), pools: map[string]*connPool{},
			queue: waitQueue[*connRequest]{max: maxQueuedPerGroup}}
		g.routing.MayWrite = func(memberID string) bool { return r.proxy.writers.mayWrite(service, memberID) }
		g.confirmer = &commitConfirmer{router: r, group: g}
		r.groups[service] = g
	}
	return g
}

// assumedDriverCount returns the number of drivers that share the members' connections, to the router's knowledge.
func (r *router) assumedDriverCount() int {
	if r.proxy.now() < startupPeriod {
		return max(r.driverCount, minStartupDrivers)
	}
	return max(r.driverCount, 1)
}

// recordOutcome records how a request ended on a connection that is checked out.
func (r *router) recordOutcome(checkout *connCheckout, sentAt float64, outcome group.Outcome, position wire.Position) {
	checkout.group.metrics.outcomes[outcome]++
	checkout.group.routing.RecordOutcome(checkout.member, sentAt, r.proxy.now(), outcome, position)
	r.logSlot(checkout.group)
}

// logSlot logs a change of the group's writer slot since the last call.
func (r *router) logSlot(grp *memberGroup) {
	holder := grp.routing.Slot.Holder
	if holder == grp.loggedPrimary {
		return
	}
	grp.loggedPrimary, grp.primarySince = holder, r.proxy.now()
	service, reason, queued := grp.routing.Service, grp.routing.SlotReason, grp.queue.len()
	if holder == "" {
		r.proxy.log.Event(events.SlotEmptied, "svc", service, "why", reason, "held", queued)
	} else {
		r.proxy.log.Event(events.SlotFilled, "svc", service, "by", reason, "held", queued)
	}
}

// probe sends the health checks that are due while requests are queued or the primary is suspected.
func (r *router) probe(grp *memberGroup) {
	if p := grp.routing.Primary(); grp.queue.len() == 0 && (p == nil || !p.Suspected) {
		return
	}
	now := r.proxy.now()
	for _, member := range grp.routing.ProbesToSend(now) {
		record := member.Member
		go func() {
			status, err := queryStatus(record)
			r.do(func() { r.recordProbe(grp, member, now, status, err) })
		}()
	}
}

func (r *router) recordProbe(grp *memberGroup, member *group.Member, sentAt float64, status wire.MemberStatus,
	err error) {
	if err != nil {
		grp.routing.RecordProbeFailure(member)
	} else {
		grp.routing.RecordProbe(member, sentAt, r.proxy.now(), status)
	}
	r.logSlot(grp)
	r.dispatch(grp)
}
