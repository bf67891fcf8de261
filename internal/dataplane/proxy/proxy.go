// Package proxy is the proxy: clients' sessions on one side, member connections on the other.
//
// Decisions are in group (where a statement goes) and sessionstate (what a connection must be told first). Three kinds of
// goroutines: the desk owns groups, pools and who waits; each session does its own I/O, with its client and with the member
// connection that the desk granted it; the feed takes the agent's news.
package proxy

import (
	"context"
	"encoding/json"
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
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
)

// Proxy is one.
type Proxy struct {
	set   *settings.Settings
	log   events.Log
	ctx   context.Context
	start time.Time
	desk  *desk
	room  *wire.BufferBudget // for long messages that have not ended
	cfg   atomic.Pointer[config.Config]

	phase    atomic.Int32 // of the end
	mu       sync.Mutex
	sessions map[*session]struct{}
	conns    atomic.Int32
	agent    atomic.Pointer[transport.Link[controlmsg.Frame]]
}

// Phases of an end.
const (
	serving   int32 = iota
	leaving         // not ready; sessions close behind what they asked
	closing         // resting sessions are closed too
	lastCalls       // open transactions are ended
)

// Times of an end.
const (
	seenGone = 2300 * time.Millisecond // the platform has seen that it is not ready
	lastOf   = 500 * time.Millisecond  // before the platform kills
	warmFor  = 2 * time.Second         // first connections are made in
)

// Run serves until ctx ends and what was open is answered.
func Run(ctx context.Context, s *settings.Settings, log events.Log) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	p := &Proxy{set: s, log: log, ctx: inner, start: time.Now(), sessions: map[*session]struct{}{}, room: wire.NewBufferBudget(int64(s.MemoryMB) << 20 / 8)}
	p.desk = newDesk(p)
	front, err := net.Listen("tcp4", s.FrontAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	ready, err := net.Listen("tcp4", s.ReadyAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	server := &http.Server{Handler: p.routes(), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10}
	go server.Serve(ready)
	go p.desk.run()
	go p.feed()
	go p.warm()
	go p.accept(front)
	log.Event(events.Started, "front", s.FrontAddr, "ready", s.ReadyAddr)
	<-ctx.Done()
	p.end(front)
	server.Close()
	log.Event(events.Stopped)
	return nil
}

func (p *Proxy) now() float64 { return float64(time.Since(p.start)) / 1e6 }

// at turns a moment of now into one of the runtime's clock.
func (p *Proxy) at(ms float64) time.Time { return p.start.Add(time.Duration(ms * 1e6)) }

// near says how far a zone is: 0 the same, 1 in the same region, 2 elsewhere.
func (p *Proxy) near(zone string) group.Distance {
	switch {
	case zone == p.set.Zone:
		return group.SameZone
	case p.set.Regions[zone] != "" && p.set.Regions[zone] == p.set.Region:
		return group.SameRegion
	}
	return group.OtherRegion
}

func (p *Proxy) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if p.phase.Load() != serving || p.cfg.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /events", p.log)
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		ch := make(chan map[string]any, 1)
		p.desk.do(func() { ch <- p.desk.status() })
		select {
		case all := <-ch:
			all["sessions"] = p.conns.Load()
			e := json.NewEncoder(w)
			e.SetIndent("", "  ")
			e.Encode(all)
		case <-p.ctx.Done():
		}
	})
	return mux
}

// feed takes the agent's news over loopback.
func (p *Proxy) feed() {
	again := transport.Backoff{Initial: 20 * time.Millisecond, Max: 500 * time.Millisecond, DialTimeout: func(int) time.Duration { return transport.DialTimeout(0) }}
	transport.KeepConnected(p.ctx, p.set.FeedAddr, again, func(l *transport.Link[controlmsg.Frame]) { p.agent.Store(l) }, func(_ *transport.Link[controlmsg.Frame], f *controlmsg.Frame) {
		if f.Update != nil {
			p.desk.do(func() { p.desk.news(f.Update) })
		}
	}, func() { p.agent.Store(nil) })
}

// warm has first connections made once there is a configuration, spread over a while as all proxies may start at once.
func (p *Proxy) warm() {
	select {
	case <-p.desk.asked:
	case <-p.ctx.Done():
		return
	}
	cfg := p.cfg.Load()
	pause := warmFor / time.Duration(max(len(cfg.Services), 1))
	for _, i := range rand.Perm(len(cfg.Services)) {
		select {
		case <-time.After(time.Duration(rand.Int64N(int64(2*pause) + 1))):
		case <-p.ctx.Done():
			return
		}
		p.desk.do(func() { p.desk.warm(p.desk.group(cfg.Services[i].Name)) })
	}
}

func (p *Proxy) report(r *controlmsg.PrimaryReport) {
	if l := p.agent.Load(); l != nil {
		l.Send(&controlmsg.Frame{PrimaryReport: r})
	}
}

func (p *Proxy) accept(ln net.Listener) {
	most := int32(max(p.set.MaxOpenFiles-600, 64))
	for {
		c, err := ln.Accept()
		if err != nil {
			if p.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if p.conns.Add(1) > most {
			p.conns.Add(-1)
			c.Close()
			continue
		}
		s := &session{p: p, c: c}
		p.mu.Lock()
		p.sessions[s] = struct{}{}
		p.mu.Unlock()
		go func() {
			s.run()
			p.mu.Lock()
			delete(p.sessions, s)
			p.mu.Unlock()
			p.conns.Add(-1)
		}()
	}
}

// end lets go of clients in order: new ones still come for as long as the platform hasn't seen that it is not ready, or has
// nobody else in their zone, and are served to the end.
func (p *Proxy) end(front net.Listener) {
	p.log.Event(events.Stopping, "sessions", p.conns.Load())
	began := time.Now()
	p.phase.Store(leaving)
	step := func(until time.Duration) bool {
		for time.Since(began) < until {
			p.kick()
			time.Sleep(25 * time.Millisecond)
			if p.phase.Load() >= closing && p.conns.Load() == 0 {
				return true
			}
		}
		return false
	}
	step(min(seenGone, p.set.GracePeriod/2))
	p.phase.Store(closing)
	if !step(p.set.GracePeriod / 2) {
		p.phase.Store(lastCalls)
		step(p.set.GracePeriod - lastOf)
	}
	front.Close()
}

// patience is how long a session may rest before it is closed: 0 for ever.
func (p *Proxy) patience() time.Duration {
	switch p.phase.Load() {
	case leaving:
		return 300 * time.Millisecond
	case closing:
		return 100 * time.Millisecond
	case lastCalls:
		return 40 * time.Millisecond
	}
	return 0
}

// kick wakes sessions that rest, so that they see the phase.
func (p *Proxy) kick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		s.kick()
	}
}
