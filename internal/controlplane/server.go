package controlplane

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
)

// linkIdleTimeout is how long an accepted link may be silent before it is closed.
const linkIdleTimeout = 4 * time.Second

// Limits on HTTP calls.
const (
	readHeaderTimeout = 3 * time.Second
	readTimeout       = 10 * time.Second
	connIdleTimeout   = 30 * time.Second
	maxHeaderBytes    = 16 << 10
	maxHeartbeatBytes = 4 << 10 // body of a member's heartbeat or of a site's renewal
	maxOperatorBytes  = 4 << 20 // body of an operator's change
)

// link is a connection to another process of the system.
type link = transport.Link[controlmsg.Frame]

// Server is the process of one core machine. Its fields are set before its goroutines start and do not change
// afterwards; mutable state belongs to one of the two owners, loop and state, or has a lock of its own.
type Server struct {
	settings *settings.Settings
	log      events.Log
	ctx      context.Context // canceled when the process stops, or by fail
	cancel   context.CancelCauseFunc
	start    time.Time // zero of the process's clock

	loop    *consensusLoop
	state   *softState
	contact contactClock
	cores   *coreLinks
	pending *pendingCalls

	dialled  transport.Counters // frames on the links to other core machines that this machine dialled
	accepted transport.Counters // frames on the links that it accepted, from core machines and agents
}

// Run serves until ctx ends or a fatal failure occurs, and returns the failure.
func Run(ctx context.Context, cfg *settings.Settings, log events.Log) error {
	srv := newServer(ctx, cfg, log)
	if err := srv.open(ctx); err != nil {
		return err
	}
	mesh, err := net.Listen("tcp4", cfg.PortAddr(cfg.IP, 0))
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	control, err := net.Listen("tcp4", cfg.ControlAddr)
	if err != nil {
		_ = mesh.Close()
		return oops.In("listen").Wrap(err)
	}
	return srv.serve(mesh, control)
}

// newServer returns a server that is not opened yet: its owners, loop and state, are still nil.
func newServer(ctx context.Context, cfg *settings.Settings, log events.Log) *Server {
	now := time.Now()
	srv := &Server{settings: cfg, log: log, start: now, pending: newPendingCalls(now)}
	srv.ctx, srv.cancel = context.WithCancelCause(ctx)
	srv.cores = newCoreLinks(srv)
	srv.contact.set(math.Inf(-1))
	return srv
}

// open reads the disk and creates the owners. The soft state begins with the committed state on the disk.
func (srv *Server) open(ctx context.Context) error {
	loop, err := openConsensusLoop(ctx, srv)
	if err != nil {
		return err
	}
	srv.loop, srv.state = loop, newSoftState(srv)
	if update, ok := loop.takeCommitted(); ok {
		srv.state.applyCommitted(update)
	}
	return nil
}

// serve runs the server on its two listeners until its context ends, and closes them.
func (srv *Server) serve(mesh, control net.Listener) error {
	setCounters := func(accepted *link) { accepted.SetCounters(&srv.accepted) }
	go transport.Serve(mesh, linkIdleTimeout, setCounters, srv.handleFrame, srv.handleLinkDown)
	for _, peer := range srv.settings.Peers {
		srv.cores.connect(peer)
	}
	server := &http.Server{Handler: srv.routes(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: connIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() { _ = server.Serve(control) }() // until server.Close
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		srv.loop.run(srv.ctx)
	}()
	go srv.state.run()
	defer metrics.Register(srv.writeMetrics)()
	srv.log.Event(events.Started, "ctl", srv.settings.ControlAddr, "mesh", mesh.Addr().String())

	<-srv.ctx.Done()
	<-loopDone
	_ = server.Close()
	_ = mesh.Close()
	srv.log.Event(events.Stopped, "dialled", controlmsg.ReadTraffic(&srv.dialled),
		"accepted", controlmsg.ReadTraffic(&srv.accepted))
	if cause := context.Cause(srv.ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// now returns the time on the process's own clock, in milliseconds since its start. All times within a process are
// read from this clock.
func (srv *Server) now() float64 { return ms(time.Since(srv.start)) }

// ms returns a duration in milliseconds.
func ms(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }

// fail stops the process because of a fatal failure.
func (srv *Server) fail(err error) { srv.cancel(err) }
