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
	commandBacklog = 4096 // commands queued before a session that sends one has to wait
)

// A process that has just started doesn't know all drivers yet, nor how many connections are still open of drivers
// that have just died: for startupPeriod (milliseconds) at least startupDriverCount drivers are assumed.
const (
	startupPeriod      = 1500.0
	startupDriverCount = 6
)

// router owns what the sessions of a proxy share: the configuration, the replication groups with their connection
// pools and queues, and the shards' routing table.
//
// All its fields but commands and configured, and all its methods but do and run, belong to the one goroutine that
// runs it. Sessions reach it by commands only. It does no I/O itself: connections are made,
// and health checks sent, by goroutines that hand their result back as a command.
type router struct {
	proxy    *Proxy
	commands *commandqueue.Queue

	config      *config.Config // nil until the agent has sent the first
	configured  chan struct{}  // closed then
	members     *directory.Members
	driverCount int // drivers (proxies) with a lease, by the agent's last update; at least 1
	groups      map[string]*memberGroup
	shards      *shardRouter
	quotas      *quotas // nil: without the contract nothing is limited
}

// memberGroup is a replication group with this proxy's connections to its members.
type memberGroup struct {
	routing    *group.Group         // decides where statements go
	pools      map[string]*connPool // by member id; a member without connections has none
	queue      waitQueue[*connRequest]
	routed     *connRequest // the one of queue that dispatch routes
	maxConns   int          // connections that each member may have from all drivers; 0: not configured
	loggedSlot string
	slotSince  float64 // when loggedSlot changed last, in milliseconds
	rejections rejectionLog
	figures    groupFigures
	reporter   reporter
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

// do queues a command. After the proxy's context has ended, it never runs.
func (r *router) do(command func()) { r.commands.Do(command) }

// run carries out commands until the proxy's context ends.
func (r *router) run() { r.commands.Run(tickInterval, r.tick) }

func (r *router) tick() {
	now := r.proxy.now()
	r.shards.dispatch(now)
	r.tickQuotas(now)
	for _, g := range r.groups {
		g.routing.SuspectPrimary(now)
		r.dispatch(g)
		r.probe(g)
		if report := g.reporter.next(g.routing, now); report != nil {
			r.proxy.report(report)
		}
		for id, pool := range g.pools {
			pool.closeExpired(now)
			g.dropUnusedPool(id, now)
		}
	}
}

// update applies an update from the agent. Fields that are not set change nothing.
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
	for _, m := range r.members.Merge(records, now) {
		g := r.group(m.Service)
		g.routing.UpdateMember(m, now)
		changed[m.Service] = g
		if m.Tombstone || m.Draining {
			g.closeIdle(m.ID)
		}
	}
	for _, g := range changed {
		r.logSlot(g)
		r.dispatch(g)
	}
}

// group returns a service's group, a new one if the service was not known: its members may become known before
// the configuration that names it.
func (r *router) group(service string) *memberGroup {
	g := r.groups[service]
	if g == nil {
		g = &memberGroup{routing: group.NewGroup(service, r.proxy.distanceTo), pools: map[string]*connPool{},
			queue: waitQueue[*connRequest]{max: maxQueuedRequests}}
		r.groups[service] = g
	}
	return g
}

// drivers is how many drivers share the members' connections, as far as is known.
func (r *router) drivers() int {
	if r.proxy.now() < startupPeriod {
		return max(r.driverCount, startupDriverCount)
	}
	return max(r.driverCount, 1)
}

// recordOutcome notes how a request ended on a connection that stays lent.
func (r *router) recordOutcome(lent *lentConn, sentAt float64, outcome group.Outcome, position wire.Position) {
	lent.group.figures.outcomes[outcome]++
	lent.group.routing.RecordOutcome(lent.member, sentAt, r.proxy.now(), outcome, position)
	r.logSlot(lent.group)
}

// logSlot logs the change of a group's writer slot, if there was one.
func (r *router) logSlot(grp *memberGroup) {
	holder := grp.routing.Slot.Holder
	if holder == grp.loggedSlot {
		return
	}
	grp.loggedSlot, grp.slotSince = holder, r.proxy.now()
	service, reason, queued := grp.routing.Service, grp.routing.SlotReason, grp.queue.len()
	if holder == "" {
		r.proxy.log.Event(events.SlotEmptied, "svc", service, "why", reason, "held", queued)
	} else {
		r.proxy.log.Event(events.SlotFilled, "svc", service, "by", reason, "held", queued)
	}
}

// probe sends the health checks that are due, while something waits for a primary.
func (r *router) probe(grp *memberGroup) {
	if p := grp.routing.Primary(); grp.queue.len() == 0 && (p == nil || !p.Suspected) {
		return
	}
	now := r.proxy.now()
	for _, m := range grp.routing.ProbesToSend(now) {
		record := m.Member
		go func() {
			status, err := queryStatus(record)
			r.do(func() { r.recordProbe(grp, m, now, status, err) })
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
