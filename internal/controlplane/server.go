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

// linkIdleTimeout is how long an accepted link may carry nothing.
const linkIdleTimeout = 4 * time.Second

// Bounds of HTTP calls.
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

// Server is one machine's process. Its fields are set before its goroutines start, and not changed any more; what
// changes belongs to one of the two owners, loop and state, or has a lock of its own.
type Server struct {
	settings *settings.Settings
	log      events.Log
	ctx      context.Context // ends with the process, or by fail
	cancel   context.CancelCauseFunc
	start    time.Time // of the process's clock

	loop    *consensusLoop
	state   *softState
	contact contactClock
	cores   *coreLinks
	pending *pendingCalls

	dialled  transport.Counters // frames of links to other core machines that this one dialled
	accepted transport.Counters // and of the links that it accepted, from core machines and agents
}

// Run serves until ctx ends, or until a failure that can't be served with.
func Run(ctx context.Context, set *settings.Settings, log events.Log) error {
	h := newServer(ctx, set, log)
	if err := h.open(ctx); err != nil {
		return err
	}
	mesh, err := net.Listen("tcp4", set.PortAddr(set.IP, 0))
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	control, err := net.Listen("tcp4", set.ControlAddr)
	if err != nil {
		_ = mesh.Close()
		return oops.In("listen").Wrap(err)
	}
	return h.serve(mesh, control)
}

// newServer gives a machine that is not opened yet: it has no owners.
func newServer(ctx context.Context, set *settings.Settings, log events.Log) *Server {
	now := time.Now()
	h := &Server{settings: set, log: log, start: now, pending: newPendingCalls(now)}
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	h.cores = newCoreLinks(h)
	h.contact.set(math.Inf(-1))
	return h
}

// open reads the disk and makes the owners. The soft state begins with what the disk knows committed.
func (h *Server) open(ctx context.Context) error {
	loop, err := openConsensusLoop(ctx, h)
	if err != nil {
		return err
	}
	h.loop, h.state = loop, newSoftState(h)
	if update, ok := loop.takeCommitted(); ok {
		h.state.applyCommitted(update)
	}
	return nil
}

// serve runs the machine at its two listeners, and closes them.
func (h *Server) serve(mesh, control net.Listener) error {
	setCounters := func(accepted *link) { accepted.SetCounters(&h.accepted) }
	go transport.Serve(mesh, linkIdleTimeout, setCounters, h.handleFrame, h.handleLinkDown)
	for _, peer := range h.settings.Peers {
		h.cores.connect(peer)
	}
	server := &http.Server{Handler: h.routes(), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: connIdleTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() { _ = server.Serve(control) }() // until server.Close
	loopDone := make(chan struct{})
	go func() {
		defer close(loopDone)
		h.loop.run(h.ctx)
	}()
	go h.state.run()
	defer metrics.Register(h.figures)()
	h.log.Event(events.Started, "ctl", h.settings.ControlAddr, "mesh", mesh.Addr().String())

	<-h.ctx.Done()
	<-loopDone
	_ = server.Close()
	_ = mesh.Close()
	h.log.Event(events.Stopped, "dialled", controlmsg.ReadTraffic(&h.dialled),
		"accepted", controlmsg.ReadTraffic(&h.accepted))
	if cause := context.Cause(h.ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return nil
}

// now is the time on the process's own clock, in milliseconds since its start. All times within a process are of this
// clock.
func (h *Server) now() float64 { return ms(time.Since(h.start)) }

// ms gives a duration in milliseconds.
func ms(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }

// fail ends the process by a failure that it can't serve with.
func (h *Server) fail(err error) { h.cancel(err) }
