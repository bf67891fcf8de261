package agent

// This file owns the agent's life: its tables, the loop that owns them, and the shutdown.

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
)

type controlLink = transport.Link[controlmsg.Frame]

const (
	renewInterval  = time.Second      // between two renewals of the lease
	digestInterval = 3 * time.Second  // between two digests to peers
	peerCount      = 2                // agents to which a link is kept
	tombstoneTTL   = 90 * time.Second // for which the tombstone of a member that ended is kept
	queueCapacity  = 1024             // commands

	shutdownMargin = 600 * time.Millisecond // before the platform kills the process
	releaseTimeout = 50 * time.Millisecond  // for the lease's release to go out
)

// Frames of this process's agents, counted by purpose.
var (
	CoreTraffic  transport.Counters // over links to core machines
	PeerTraffic  transport.Counters // between agents, whoever dialled
	ProxyTraffic transport.Counters // over links of proxies, not in the log
)

// Agent is the agent beside a proxy. Its fields belong to the goroutine of Run, but for those that never change.
type Agent struct {
	settings  *settings.Settings
	log       events.Log
	ctx       context.Context // ends with Run; outlives Run's own context, for the shutdown
	commands  *commandqueue.Queue
	startedAt time.Time        // origin of now
	self      directory.Driver // this driver, with the incarnation that this process began

	// What is known, each at its newest version. Nothing here goes back.
	configVersion uint64
	config        []byte
	members       *directory.Members
	drivers       []directory.Driver
	coreAddrs     []string // control addresses of the core machines
	shardMap      *shardmap.Map

	// The core machine in use and the next one: corelink.go. Times are in milliseconds.
	core              *coreLink // in use; nil: none
	candidate         *coreLink // dialled, or asked whether it can take the agent over; nil: none
	failoverScheduled bool      // a timer for dialNextCore runs
	backoff           float64   // before the next attempt
	attempts          int       // since a link was stable
	nextCore          int       // how many addresses nextCoreAddr has returned
	nextNearAttempt   float64   // when a machine of the own region is tried again, on the clock of now

	proxies map[*controlLink]bool // one, but for a moment as it restarts
	peers   map[string]*peer      // by address

	quotaWay quotaWay
	standby  standby
}

// Run serves until ctx ends and the proxy has ended too, or the grace period is nearly over.
func Run(ctx context.Context, set *settings.Settings, log events.Log) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	a := newAgent(inner, set, log)
	mesh, err := net.Listen("tcp4", a.self.Addr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer mesh.Close()
	feed, err := net.Listen("tcp4", set.FeedAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer feed.Close()
	go a.servePeers(mesh)
	go a.serveProxies(feed)
	defer metrics.Register(a.figures)()
	log.Event(events.Started, "agent", a.self.Name, "mesh", a.self.Addr)
	a.run(ctx.Done()) // links to peers end with the inner context, after ctx
	a.shutdown()
	return nil
}

func newAgent(ctx context.Context, set *settings.Settings, log events.Log) *Agent {
	return &Agent{
		settings: set, log: log, ctx: ctx, commands: commandqueue.New(ctx, queueCapacity), startedAt: time.Now(),
		self: directory.Driver{
			Name: set.Hostname, Addr: set.PortAddr(set.IP, 0), Zone: set.Zone,
			Incarnation: uint64(time.Now().UnixMilli()),
		},
		members: directory.NewMembers(), coreAddrs: set.Peers, backoff: initialBackoff,
		proxies: map[*controlLink]bool{}, peers: map[string]*peer{},
		quotaWay: quotaWay{origins: map[string]*controlLink{}},
	}
}

// run is the loop that owns the tables. It ends when the agent may shut down.
func (a *Agent) run(terminated <-chan struct{}) {
	a.dialNextCore()
	renew, digest := time.NewTicker(renewInterval), time.NewTicker(digestInterval)
	defer renew.Stop()
	defer digest.Stop()
	var deadline <-chan time.Time                 // set once terminated
	for terminated != nil || len(a.proxies) > 0 { // the proxy is fed to its end
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

// renewTick does what is due at each renewal of the lease. Members that are silent stay: their heartbeats go to core
// machines, and an agent is only sent what changes.
func (a *Agent) renewTick() {
	a.renewLease()
	a.checkCore()
	a.stepStandby()
	a.forgetOrigins()
	a.members.PurgeTombstones(a.now(), float64(tombstoneTTL.Milliseconds()))
}

// shutdown releases the lease, and waits a moment for that to go out.
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

// now is the time since the agent started, in milliseconds.
func (a *Agent) now() float64 { return float64(time.Since(a.startedAt)) / float64(time.Millisecond) }

// do queues a command for the loop.
func (a *Agent) do(command func()) { a.commands.Do(command) }

// after queues a command for the loop once some milliseconds are over.
func (a *Agent) after(ms float64, command func()) {
	time.AfterFunc(time.Duration(ms*float64(time.Millisecond)), func() { a.do(command) })
}
