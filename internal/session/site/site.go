// Package site runs a site, a process that stores sessions: its links to other sites and to edges, its lease at the
// core, and the HTTP calls of producers, consumers and operators.
//
// The protocol is implemented by queue.Site, the decider; this package adds connections and clocks. One goroutine owns
// the state of the site and runs commands from a queue; all other goroutines send it commands.
package site

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/session/queue"
	"weirwind/internal/session/sites"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
)

const (
	tickInterval    = 50 * time.Millisecond
	commandCapacity = 4096
	linkIdleTimeout = 3 * time.Second

	leaveReserve      = 300 * time.Millisecond // part of the grace period that is kept for leaving the map
	drainPollInterval = 20 * time.Millisecond
)

// runner holds the state of a site's process.
type runner struct {
	settings  *settings.Settings
	log       events.Log
	ctx       context.Context // ends after the last work of the process
	startedAt time.Time
	limits    queue.Limits
	commands  *commandqueue.Queue
	core      coreClient

	// Only the goroutine that runs commands uses these.
	incarnation uint64
	decider     *queue.Site // of this incarnation
	peers       map[string]*peer
	edges       map[string]*link
	loggedState sites.State // the state that was logged last
}

// Run serves until ctx ends. Then it hands the site's sessions over, at most for the grace period.
func Run(ctx context.Context, set *settings.Settings, log events.Log) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r := newRunner(workCtx, set, log)
	mesh, err := net.Listen("tcp4", r.meshAddr())
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer mesh.Close()
	control, err := net.Listen("tcp4", set.ReadyAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	server := &http.Server{Handler: r.routes(), ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10}
	go transport.Serve(mesh, linkIdleTimeout, func(*link) {}, r.receive, r.handleLinkLost)
	go func() { _ = server.Serve(control) }() // until it is closed
	go r.keepLease(workCtx)
	go r.commands.Run(tickInterval, r.tick)
	log.Event(events.Started, "site", set.Hostname, "mesh", mesh.Addr().String(), "http", set.ReadyAddr)
	<-ctx.Done()
	r.shutDown(workCtx)
	_ = server.Close()
	log.Event(events.Stopped)
	return nil
}

func newRunner(ctx context.Context, set *settings.Settings, log events.Log) *runner {
	limits := queue.DefaultLimits
	limits.Replicas = max(set.TolerateNodes, 1)
	limits.TotalBytes = int64(set.MemoryMB) << 20 / 3
	return &runner{settings: set, log: log, ctx: ctx, startedAt: time.Now(), limits: limits,
		commands: commandqueue.New(ctx, commandCapacity), core: coreClient{machines: set.Peers},
		incarnation: newIncarnation(), decider: queue.NewSite(set.Hostname, limits),
		peers: map[string]*peer{}, edges: map[string]*link{}}
}

// newIncarnation returns a number that no earlier process of the site has used.
func newIncarnation() uint64 { return uint64(time.Now().UnixNano()) }

// meshAddr returns the address to which other sites and edges connect.
func (r *runner) meshAddr() string { return r.settings.PortAddr(r.settings.IP, 0) }

// now returns the time of the decider's clock, in milliseconds.
func (r *runner) now() float64 { return float64(time.Since(r.startedAt)) / 1e6 }

func (r *runner) tick() {
	r.decider.Tick(r.now())
	r.flush()
}

// shutDown drains the site within the grace period, and leaves the map.
func (r *runner) shutDown(ctx context.Context) {
	r.log.Event(events.Stopping)
	deadline := time.Now().Add(r.settings.GracePeriod - leaveReserve)
	r.core.drain(ctx, r.settings.Hostname)
	for time.Now().Before(deadline) {
		drained, err := commandqueue.Call(ctx, r.commands, r.isDrained)
		if err != nil || drained {
			break
		}
		time.Sleep(drainPollInterval)
	}
	epoch, err := commandqueue.Call(ctx, r.commands, func() uint64 { return r.decider.Epoch })
	if err != nil {
		return // commands have stopped; the lease will expire
	}
	r.core.leave(ctx, r.settings.Hostname, epoch)
}

// isDrained reports whether the site is draining and owns no more sessions.
func (r *runner) isDrained() bool {
	m := r.decider.Map()
	return r.decider.OwnedSessions() == 0 && m != nil && m.Sites[r.settings.Hostname].State == sites.StateDraining
}
