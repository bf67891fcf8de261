package agent

// This file has the agent's lifecycle: its state, the loop that owns it, and the shutdown.

import (
	"context"
	"net"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
	"weirwind/internal/writerlease"
)

type controlLink = transport.Link[controlmsg.Frame]

const (
	renewInterval  = time.Second      // between two renewals of the lease
	digestInterval = 3 * time.Second  // between two digests to peers
	peerCount      = 2                // agents to which this one keeps a link
	tombstoneTTL   = 90 * time.Second // how long the tombstone of a member that has ended is kept
	queueCapacity  = 1024             // commands

	shutdownMargin = 600 * time.Millisecond // time left before the platform kills the process
	releaseTimeout = 50 * time.Millisecond  // wait for the release of the lease to be sent
)

// Counters of the frames sent and received by all agents of this process, by purpose.
var (
	CoreTraffic  transport.Counters // over links to core machines
	PeerTraffic  transport.Counters // between agents, in either dial direction
	ProxyTraffic transport.Counters // over links to proxies; not logged
)

// Agent is the agent beside a proxy. Its fields belong to the goroutine of Run, except those that never change.
type Agent struct {
	settings  *settings.Settings
	log       events.Log
	ctx       context.Context // ends when Run returns; outlives Run's own context, for the shutdown
	commands  *commandqueue.Queue
	startedAt time.Time        // origin of the clock that now returns
	self      directory.Driver // this driver, with the incarnation of this process

	// Replicated state, each part in the newest version received. Versions never decrease.
	configVersion uint64
	config        []byte
	members       *directory.Members
	drivers       []directory.Driver
	coreAddrs     []string // control addresses of the core machines
	shardMap      *shardmap.Map
	writers       writerlease.Assignments
	leaseSupport  controlmsg.LeaseSupport // as the core machine in use told last

	// The core machine in use and the candidate: corelink.go. Times are in milliseconds.
	core              *coreLink // in use; nil: none
	candidate         *coreLink // being dialled, or queried for contact with a majority; nil: none
	failoverScheduled bool      // a timer for dialNextCore is running
	backoff           float64   // before the next attempt
	attempts          int       // since a link was last stable
	nextCore          int       // number of addresses that nextCoreAddr has returned
	nextNearAttempt   float64   // when a machine of the agent's own region is tried again, on the clock of now

	proxies map[*controlLink]bool // usually one; two for a moment while the proxy restarts
	peers   map[string]*peer      // by address

	quotaRoute quotaRoute
	standby    standby
}

// Run serves until ctx ends and either the proxy has disconnected too or the grace period is nearly over.
func Run(ctx context.Context, cfg *settings.Settings, log events.Log) error {
	linkCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	a := newAgent(linkCtx, cfg, log)
	meshListener, err := net.Listen("tcp4", a.self.Addr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer meshListener.Close()
	feedListener, err := net.Listen("tcp4", cfg.FeedAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer feedListener.Close()
	go a.servePeers(meshListener)
	go a.serveProxies(feedListener)
	defer metrics.Register(a.writeMetrics)()
	log.Event(events.Started, "agent", a.self.Name, "mesh", a.self.Addr)
	a.run(ctx.Done()) // links to peers end with linkCtx, which outlives ctx
	a.shutdown()
	return nil
}

func newAgent(ctx context.Context, cfg *settings.Settings, log events.Log) *Agent {
	return &Agent{
		settings: cfg, log: log, ctx: ctx, commands: commandqueue.New(ctx, queueCapacity), startedAt: time.Now(),
		self: directory.Driver{
			Name: cfg.Hostname, Addr: cfg.PortAddr(cfg.IP, 0), Zone: cfg.Zone,
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		members: directory.NewMembers(), writers: writerlease.Assignments{}, leaseSupport: controlmsg.LeaseSupportOn,
		coreAddrs: cfg.Peers, backoff: initialBackoff,
		proxies: map[*controlLink]bool{}, peers: map[string]*peer{},
		quotaRoute: quotaRoute{originLinks: map[string]*controlLink{}},
	}
}

// run is the loop that owns the agent's state. It returns when the agent may shut down.
func (a *Agent) run(terminated <-chan struct{}) {
	a.dialNextCore()
	renew, digest := time.NewTicker(renewInterval), time.NewTicker(digestInterval)
	defer renew.Stop()
	defer digest.Stop()
	var deadline <-chan time.Time                 // set once terminated
	for terminated != nil || len(a.proxies) > 0 { // serve the proxy until it disconnects
		select {
		case <-terminated:
			terminated, deadline = nil, time.After(a.settings.GracePeriod-shutdownMargin)
			a.log.Event(events.Stopping)
		case <-deadline:
			return
		case command := <-a.commands.Commands:
			command.Run()
		case <-renew.C:
			a.renewTick()
		case <-digest.C:
			a.sendDigestToPeers()
		}
	}
}

// renewTick renews the lease and runs the other periodic tasks. It doesn't remove members that send nothing: their
// heartbeats go to core machines, and an agent receives only changes.
func (a *Agent) renewTick() {
	a.renewLease()
	a.checkCore()
	a.reportShares()
	a.purgeOrigins()
	a.members.PurgeTombstones(a.now(), float64(tombstoneTTL.Milliseconds()))
}

// shutdown releases the lease, and waits up to releaseTimeout for the core machine to close the link.
func (a *Agent) shutdown() {
	if a.core != nil {
		a.core.link.Send(&controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: a.self, Release: true}})
		select {
		case <-a.core.link.Done():
		case <-time.After(releaseTimeout):
		}
		a.core.link.Close()
	}
	a.log.Event(events.Stopped,
		"coreTraffic", controlmsg.ReadTraffic(&CoreTraffic), "peerTraffic", controlmsg.ReadTraffic(&PeerTraffic))
}

// now returns the time since the agent started, in milliseconds.
func (a *Agent) now() float64 { return float64(time.Since(a.startedAt)) / float64(time.Millisecond) }

// enqueue queues a command for the loop.
func (a *Agent) enqueue(command func()) { a.commands.Do(command) }

// enqueueAfter queues a command for the loop after a delay in milliseconds.
func (a *Agent) enqueueAfter(ms float64, command func()) {
	time.AfterFunc(time.Duration(ms*float64(time.Millisecond)), func() { a.enqueue(command) })
}
