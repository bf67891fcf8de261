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
	warmUpPeriod = 2 * time.Second // in which the first connections are made

	acceptPause     = 5 * time.Millisecond // after an error of accept, as when there are no file descriptors left
	reservedFiles   = 600                  // of the process's limit: what is not clients' connections
	minClientConns  = 64
	bufferBudgetDiv = 8 // part of the memory that long messages that have not ended may take
)

// Proxy is the state that the sessions and the router share. Its fields but the last group are set before it serves.
type Proxy struct {
	settings     *settings.Settings
	log          events.Log
	ctx          context.Context // of its goroutines: it ends after the shutdown of the last session
	startedAt    time.Time
	router       *router
	bufferBudget *wire.BufferBudget // for long messages that have not ended

	tenantsByContract bool // clients attach with a tenant's key, whatever the configuration

	config        atomic.Pointer[config.Config] // nil until the first came
	denials       denials
	agent         atomic.Pointer[transport.Link[controlmsg.Frame]]
	shutdownPhase atomic.Int32 // a phase
	clientConns   atomic.Int32
	mu            sync.Mutex
	sessions      map[*session]struct{} // guarded by mu
}

// newProxy returns a proxy whose goroutines end with ctx.
func newProxy(ctx context.Context, s *settings.Settings, log events.Log) *Proxy {
	p := &Proxy{settings: s, log: log, ctx: ctx, startedAt: time.Now(), sessions: map[*session]struct{}{},
		bufferBudget:      wire.NewBufferBudget(int64(s.MemoryMB) << 20 / bufferBudgetDiv),
		tenantsByContract: s.HasContract(settings.ContractTenants)}
	p.router = newRouter(p)
	p.denials.proxy = p
	return p
}

// Run serves until ctx ends and what was open then is answered. All goroutines that it starts end with it.
func Run(ctx context.Context, s *settings.Settings, log events.Log) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	p := newProxy(inner, s, log)
	front, err := net.Listen("tcp4", s.FrontAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	ready, err := net.Listen("tcp4", s.ReadyAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	server := &http.Server{Handler: p.routes(), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 8 << 10}
	go func() { _ = server.Serve(ready) }() // until Close
	go p.router.run()
	go p.followAgent()
	go p.warmUp()
	go p.accept(front)
	defer metrics.Register(p.figures)()
	log.Event(events.Started, "front", s.FrontAddr, "ready", s.ReadyAddr)
	<-ctx.Done()
	p.shutDown(front)
	_ = server.Close()
	log.Event(events.Stopped)
	return nil
}

// now is the time since the proxy's start, in milliseconds: the clock of all that it decides.
func (p *Proxy) now() float64 { return milliseconds(time.Since(p.startedAt)) }

// configVersion is the version of the configuration in force, 0 for none.
func (p *Proxy) configVersion() uint64 {
	if cfg := p.config.Load(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// timeAt turns a time of now into one of the runtime's clock.
func (p *Proxy) timeAt(ms float64) time.Time { return p.startedAt.Add(time.Duration(ms * 1e6)) }

// distanceTo says how far a zone is from the proxy's.
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

// followAgent takes what the agent on this machine sends, over loopback.
func (p *Proxy) followAgent() {
	backoff := transport.Backoff{Initial: 20 * time.Millisecond, Max: 500 * time.Millisecond,
		DialTimeout: func(int) time.Duration { return transport.DialTimeout(0) }}
	transport.KeepConnected(p.ctx, p.settings.FeedAddr, backoff,
		func(l *transport.Link[controlmsg.Frame]) { p.agent.Store(l) },
		func(_ *transport.Link[controlmsg.Frame], f *controlmsg.Frame) {
			if f.Update != nil {
				p.router.do(func() { p.router.update(f.Update) })
			}
			if f.QuotaAnswer != nil {
				p.router.do(func() { p.router.takeQuotaAnswer(f.QuotaAnswer) })
			}
		},
		func() { p.agent.Store(nil) })
}

// report sends the agent what the control plane is to know of a primary. Without an agent it is dropped: the next one
// says the same again.
func (p *Proxy) report(report *controlmsg.PrimaryReport) {
	if l := p.agent.Load(); l != nil {
		l.Send(&controlmsg.Frame{PrimaryReport: report})
	}
}

// warmUp has the first connections made once there is a configuration, at random times as all proxies may start at
// once.
func (p *Proxy) warmUp() {
	select {
	case <-p.router.configured:
	case <-p.ctx.Done():
		return
	}
	cfg := p.config.Load()
	meanPause := warmUpPeriod / time.Duration(max(len(cfg.Services), 1))
	for _, i := range rand.Perm(len(cfg.Services)) {
		select {
		case <-time.After(time.Duration(rand.Int64N(int64(2*meanPause) + 1))):
		case <-p.ctx.Done():
			return
		}
		p.router.do(func() { p.router.warmUp(p.router.group(cfg.Services[i].Name)) })
	}
}

// accept takes clients' connections until the listener is closed, and closes those that are too many at once.
func (p *Proxy) accept(listener net.Listener) {
	maxConns := int32(max(p.settings.MaxOpenFiles-reservedFiles, minClientConns))
	for {
		c, err := listener.Accept()
		if err != nil {
			if p.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptPause)
			continue
		}
		if p.clientConns.Add(1) > maxConns {
			p.clientConns.Add(-1)
			_ = c.Close()
			continue
		}
		go p.serve(c)
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
