package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
)

const (
	warmUpPeriod = 2 * time.Second // after the first configuration, in which the first connections are made

	acceptRetryDelay    = 5 * time.Millisecond // after a failed accept, for example when no file descriptor is left
	reservedFiles       = 600                  // of the process's file limit, for files other than client connections
	minClientConns      = 64
	bufferBudgetDivisor = 8 // incomplete long messages may use 1/8 of the memory limit
)

// Proxy is the state that the sessions and the router share. The fields above config are set before it serves clients.
type Proxy struct {
	settings     *settings.Settings
	log          events.Log
	ctx          context.Context // of all goroutines; it ends after the graceful shutdown
	startedAt    time.Time
	router       *router
	bufferBudget *wire.BufferBudget // for incomplete long messages

	tenantsRequired bool // clients must attach with a tenant's key even if the configuration has no tenants

	config        atomic.Pointer[config.Config] // nil until the first configuration has arrived
	denials       denials
	writers       *writers
	agent         atomic.Pointer[transport.Link[controlmsg.Frame]] // nil while there is no connection to the agent
	shutdownPhase atomic.Int32                                     // of type phase
	clientConns   atomic.Int32
	mu            sync.Mutex
	sessions      map[*session]struct{} // guarded by mu
}

// newProxy returns a proxy. Its goroutines end with ctx.
func newProxy(ctx context.Context, s *settings.Settings, log events.Log) *Proxy {
	p := &Proxy{settings: s, log: log, ctx: ctx, startedAt: time.Now(), sessions: map[*session]struct{}{},
		bufferBudget:    wire.NewBufferBudget(int64(s.MemoryMB) << 20 / bufferBudgetDivisor),
		tenantsRequired: s.HasContract(settings.ContractTenants)}
	p.router = newRouter(p)
	p.denials.proxy = p
	p.writers = newWriters(p)
	return p
}

// Run serves clients until ctx ends, then shuts down gracefully. All goroutines that it starts end with it.
func Run(ctx context.Context, s *settings.Settings, log events.Log) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p := newProxy(serveCtx, s, log)
	clientListener, err := net.Listen("tcp4", s.FrontAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	httpListener, err := net.Listen("tcp4", s.ReadyAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	httpServer := &http.Server{Handler: p.routes(), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 8 << 10}
	go func() { _ = httpServer.Serve(httpListener) }() // until Close
	go p.router.run()
	go p.followAgent()
	go p.warmUp()
	go p.accept(clientListener)
	defer metrics.Register(p.writeMetrics)()
	log.Event(events.Started, "front", s.FrontAddr, "ready", s.ReadyAddr)
	<-ctx.Done()
	p.shutDown(clientListener)
	_ = httpServer.Close()
	log.Event(events.Stopped)
	return nil
}

// now returns the time since the proxy's start in milliseconds. All decisions of the proxy use this clock.
func (p *Proxy) now() float64 { return milliseconds(time.Since(p.startedAt)) }

// configVersion returns the version of the current configuration, 0 for none.
func (p *Proxy) configVersion() uint64 {
	if cfg := p.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// timeAt converts a time on the clock of now to a time.Time.
func (p *Proxy) timeAt(ms float64) time.Time { return p.startedAt.Add(time.Duration(ms * 1e6)) }

// distanceTo returns the distance of a zone from the proxy's zone.
func (p *Proxy) distanceTo(zone string) group.Distance {
	region := p.settings.Regions[zone]
	switch {
	case zone == p.settings.Zone:
		return group.SameZone
	case region != "" && region == p.settings.Region:
		return group.SameRegion
	}
	return group.OtherRegion
}

// followAgent keeps a connection to the agent on this machine and handles the frames that it sends.
func (p *Proxy) followAgent() {
	backoff := transport.Backoff{Initial: 20 * time.Millisecond, Max: 500 * time.Millisecond,
		DialTimeout: func(int) time.Duration { return transport.DialTimeout(0) }}
	transport.KeepConnected(p.ctx, p.settings.FeedAddr, backoff,
		func(link *transport.Link[controlmsg.Frame]) {
			p.writers.linkUp()
			p.agent.Store(link)
		},
		func(_ *transport.Link[controlmsg.Frame], frame *controlmsg.Frame) {
			if frame.Update != nil {
				p.router.do(func() { p.router.update(frame.Update) })
			}
			if frame.WriterLeaseGrant != nil {
				p.router.do(func() { p.router.handleWriterLeaseGrant(frame.WriterLeaseGrant) })
			}
			if frame.QuotaAnswer != nil {
				p.router.do(func() { p.router.handleQuotaAnswer(frame.QuotaAnswer) })
			}
		},
		func() { p.agent.Store(nil) })
}

// sendReport sends the agent a report on a primary for the control plane. Without a connection to the agent the report
// is dropped, as reports are repeated.
func (p *Proxy) sendReport(primaryReport *controlmsg.PrimaryReport) {
	if link := p.agent.Load(); link != nil {
		link.Send(&controlmsg.Frame{PrimaryReport: primaryReport})
	}
}

// warmUp makes the first connections once there is a configuration. Their times are random, as all proxies may start at
// the same time.
func (p *Proxy) warmUp() {
	select {
	case <-p.router.configured:
	case <-p.ctx.Done():
		return
	}
	cfg := p.config.Load()
	meanDelay := warmUpPeriod / time.Duration(max(len(cfg.Services), 1))
	for _, i := range rand.Perm(len(cfg.Services)) {
		select {
		case <-time.After(time.Duration(rand.Int64N(int64(2*meanDelay) + 1))):
		case <-p.ctx.Done():
			return
		}
		p.router.do(func() { p.router.warmUp(p.router.group(cfg.Services[i].Name)) })
	}
}

// accept serves client connections until the listener is closed. It closes connections beyond the maximum.
func (p *Proxy) accept(listener net.Listener) {
	maxConns := int32(max(p.settings.MaxOpenFiles-reservedFiles, minClientConns))
	for {
		conn, err := listener.Accept()
		if err != nil {
			if p.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if p.clientConns.Add(1) > maxConns {
			p.clientConns.Add(-1)
			_ = conn.Close()
			continue
		}
		go p.serve(conn)
	}
}

// serve runs a client's session to its end.
func (p *Proxy) serve(client net.Conn) {
	s := &session{proxy: p, client: client}
	p.mu.Lock()
	p.sessions[s] = struct{}{}
	p.mu.Unlock()
	s.run()
	p.mu.Lock()
	delete(p.sessions, s)
	p.mu.Unlock()
	p.clientConns.Add(-1)
}
