package proxy

import (
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
)

const (
	tickInterval   = 50 * time.Millisecond
	commandBacklog = 4096 // commands queued before a session that sends one has to wait
)

// Who has just started doesn't know all drivers yet, nor what the connections of those that just died still hold: for
// startupPeriod (milliseconds) at least startupDriverCount are assumed.
const (
	startupPeriod      = 1500.0
	startupDriverCount = 6
)

// router owns what the sessions of a proxy share: the configuration, the replication groups with their connection pools
// and queues, and the shards' routing table.
//
// All its fields but commands and configured, and all its methods but do, run and the commands' wrappers, belong to the
// one goroutine that runs it. Sessions reach it by commands only. It does no I/O itself: connections are made, and health
// checks sent, by goroutines that hand their result back as a command.
type router struct {
	proxy    *Proxy
	commands *commandqueue.Queue

	config      *config.Config // nil until the agent has sent the first
	configured  chan struct{}  // closed then
	members     *directory.Members
	driverCount int // drivers (proxies) with a lease, as the agent said last; at least 1
	groups      map[string]*memberGroup
	shards      *shardRouter
}

// memberGroup is a replication group with this proxy's connections to its members.
type memberGroup struct {
	group      *group.Group
	pools      map[string]*connPool // by member id; a member without connections has none
	queue      waitQueue[*connRequest]
	maxConns   int // connections that each member may have from all drivers; 0: not configured
	loggedSlot string
	rejections rejectionLog
	reporter   reporter
}

func newRouter(p *Proxy) *router {
	return &router{proxy: p, commands: commandqueue.New(p.ctx, commandBacklog), configured: make(chan struct{}),
		members: directory.NewMembers(), driverCount: 1, groups: map[string]*memberGroup{}, shards: newShardRouter()}
}

// do queues a command. After the proxy's context has ended, it never runs.
func (r *router) do(command func()) { r.commands.Do(command) }

// run carries out commands until the proxy's context ends.
func (r *router) run() { r.commands.Run(tickInterval, r.tick) }

func (r *router) tick() {
	now := r.proxy.now()
	r.shards.dispatch(now)
	for _, g := range r.groups {
		g.group.SuspectPrimary(now)
		r.dispatch(g)
		r.probe(g)
		if report := g.reporter.next(g.group, now); report != nil {
			r.proxy.report(report)
		}
		for id, pool := range g.pools {
			pool.closeExpired(now)
			g.dropUnusedPool(id)
		}
	}
}

// update takes what the agent sends: whatever of it is set.
func (r *router) update(u *controlmsg.StateUpdate) {
	now := r.proxy.now()
	if u.DriverCount > 0 {
		r.driverCount = u.DriverCount
	}
	if u.Config != nil && (r.config == nil || u.ConfigVersion > r.config.Version) { // never an older one
		r.updateConfig(u.Config)
	}
	if r.shards.table.Update(u.ShardMap) {
		r.shards.dispatch(now)
	}
	r.updateMembers(u.Members, now)
}

func (r *router) updateConfig(raw []byte) {
	cfg, err := config.Parse(raw)
	if err != nil {
		r.proxy.log.Error(events.ConfigNot, err)
		return
	}
	first := r.config == nil
	r.config = cfg
	r.proxy.config.Store(cfg)
	r.proxy.log.Event(events.ConfigSeen, "gen", cfg.Version, "routes", len(cfg.Routes))
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
		g.group.UpdateMember(m, now)
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

// group returns a service's group, a new one if the service was never heard of: its members may become known before the
// configuration that names it.
func (r *router) group(service string) *memberGroup {
	g := r.groups[service]
	if g == nil {
		g = &memberGroup{group: group.NewGroup(service, r.proxy.distanceTo), pools: map[string]*connPool{},
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

// recordOutcome takes how a request ended on a connection that stays checked out.
func (r *router) recordOutcome(c *checkout, sentAt float64, outcome group.Outcome, position wire.Position) {
	c.group.group.RecordOutcome(c.member, sentAt, r.proxy.now(), outcome, position)
	r.logSlot(c.group)
}

// logSlot logs the change of a group's writer slot, if there was one.
func (r *router) logSlot(g *memberGroup) {
	holder := g.group.Slot.Holder
	if holder == g.loggedSlot {
		return
	}
	g.loggedSlot = holder
	if holder == "" {
		r.proxy.log.Event(events.SlotEmptied, "svc", g.group.Service, "why", g.group.SlotReason, "held", g.queue.len())
	} else {
		r.proxy.log.Event(events.SlotFilled, "svc", g.group.Service, "by", g.group.SlotReason, "held", g.queue.len())
	}
}

// probe sends the health checks that are due, while something waits for a primary.
func (r *router) probe(g *memberGroup) {
	if p := g.group.Primary(); g.queue.len() == 0 && (p == nil || !p.Suspected) {
		return
	}
	now := r.proxy.now()
	for _, m := range g.group.DueProbes(now) {
		record := m.Member
		go func() {
			status, err := queryStatus(record)
			r.do(func() { r.recordProbe(g, m, now, status, err) })
		}()
	}
}

func (r *router) recordProbe(g *memberGroup, m *group.Member, sentAt float64, status wire.MemberStatus, err error) {
	if err != nil {
		g.group.RecordProbeFailure(m)
	} else {
		g.group.RecordProbe(m, sentAt, r.proxy.now(), status)
	}
	r.logSlot(g)
	r.dispatch(g)
}
