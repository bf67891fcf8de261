// Package controlplane is a machine of the core at work: it serves members' and operators' calls, holds its part of
// the agreement, keeps the tables of members and drivers, and carries out successions while it leads.
//
// Decisions are in consensus, directory, config and failover; here are their sockets, disk and clocks. Two goroutines own
// everything: the consensus loop (the agreement and its disk) and the tables (members, drivers, successions), each with a queue of
// commands, so that a disk that stalls holds up no beat.
package controlplane

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
)

type link = transport.Link[controlmsg.Frame]

// linkIdle is how long a link between processes may carry nothing.
const linkIdle = 4 * time.Second

// Server is one machine's process.
type Server struct {
	set    *settings.Settings
	log    events.Log
	ctx    context.Context
	cancel context.CancelCauseFunc
	start  time.Time
	loop   *consensusLoop
	tables *tables
	first  func()

	contact           contactClock
	dialled, accepted transport.Counters // links to other core machines; links of agents and other core machines to this one

	mu    sync.Mutex
	cores map[string]*coreLink // by mesh address

	pending *pendingCalls
}

type coreLink struct {
	l  *link // made here
	in *link // on which the peer spoke last: it may stand while the other is still being made anew
}

// Run serves until ctx ends, or a failure that can't be served with.
func Run(ctx context.Context, s *settings.Settings, log events.Log) error {
	h := &Server{set: s, log: log, start: time.Now(), cores: map[string]*coreLink{}, pending: newPendingCalls(time.Now())}
	h.ctx, h.cancel = context.WithCancelCause(ctx)
	h.contact.set(math.Inf(-1))
	var err error
	if h.loop, err = openConsensusLoop(h); err != nil {
		return err
	}
	h.tables = newTables(h)
	if h.first != nil {
		h.first()
	}
	mesh, err := net.Listen("tcp4", s.PortAddr(s.IP, 0))
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	ctl, err := net.Listen("tcp4", s.ControlAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	go transport.Serve(mesh, linkIdle, func(l *link) { l.SetCounters(&h.accepted) }, h.take, func(l *link) { h.linkEnded(l) })
	for _, p := range s.Peers {
		h.reach(p)
	}
	server := &http.Server{Handler: h.routes(), ReadHeaderTimeout: 3 * time.Second, ReadTimeout: 10 * time.Second,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: 16 << 10}
	go server.Serve(ctl)
	done := make(chan struct{})
	go func() { h.loop.run(h.ctx); close(done) }()
	go h.tables.run()
	log.Event(events.Started, "ctl", s.ControlAddr, "mesh", mesh.Addr().String())
	<-h.ctx.Done()
	<-done
	server.Close()
	mesh.Close()
	log.Event(events.Stopped, "dialled", controlmsg.ReadTraffic(&h.dialled), "accepted", controlmsg.ReadTraffic(&h.accepted))
	if cause := context.Cause(h.ctx); cause != context.Canceled {
		return cause
	}
	return nil
}

func (h *Server) now() float64 { return float64(time.Since(h.start)) / 1e6 }

func (h *Server) fail(err error) { h.cancel(err) }

// reach keeps a link to the core machine with that control address.
func (h *Server) reach(ctl string) {
	if ctl == h.set.ControlAddr {
		return
	}
	addr := h.set.MeshAddr(ctl)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cores[addr] != nil {
		return
	}
	c := &coreLink{}
	h.cores[addr] = c
	set := func(l *link) (old *link) {
		h.mu.Lock()
		defer h.mu.Unlock()
		old, c.l = c.l, l
		return old
	}
	go transport.KeepConnected(h.ctx, addr, transport.Backoff{Initial: 50 * time.Millisecond, Max: time.Second, DialTimeout: transport.DialTimeout}, func(l *link) {
		l.SetCounters(&h.dialled)
		l.Send(controlmsg.NewHello("core", h.set.Hostname, h.set.ControlAddr))
		set(l)
		h.log.Event(events.LinkUp, "core", ctl)
	}, h.take, func() {
		h.pending.lost(set(nil))
		h.log.Event(events.LinkDown, "core", ctl)
		h.loop.do(func() { h.loop.node.LeaderDisconnected(ctl, h.now()) })
	})
}

// linkEnded is told of a link that another process made.
func (h *Server) linkEnded(l *link) {
	h.pending.lost(l)
	h.tables.do(func() { h.tables.lost(l) })
}

// coreLinks counts the links to other core machines that stand.
func (h *Server) coreLinks() (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.cores {
		if c.l != nil {
			n++
		}
	}
	return n
}

// sendCore sends to a core machine, and begins to reach it where it was not known.
func (h *Server) sendCore(ctl string, f *controlmsg.Frame) bool {
	l := h.coreLink(ctl)
	return l != nil && l.Send(f)
}

// coreLink gives a link to a core machine that stands, nil for none at the moment, and begins to reach it where it was not known.
func (h *Server) coreLink(ctl string) *link {
	var made, back *link
	h.mu.Lock()
	c := h.cores[h.set.MeshAddr(ctl)]
	if c != nil {
		made, back = c.l, c.in
	}
	h.mu.Unlock()
	if c == nil {
		h.reach(ctl)
	}
	for _, l := range []*link{made, back} {
		if l != nil && l.Up() {
			return l
		}
	}
	return nil
}

// heardFrom notes on which link a core machine spoke, and begins to reach it where it was not known.
func (h *Server) heardFrom(ctl string, l *link) {
	h.reach(ctl)
	h.mu.Lock()
	defer h.mu.Unlock()
	if c := h.cores[h.set.MeshAddr(ctl)]; c != nil {
		c.in = l
	}
}

// sendCores sends to all other core machines.
func (h *Server) sendCores(f *controlmsg.Frame) {
	raw := transport.Encode(f)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.cores {
		if c.l != nil {
			c.l.SendEncoded(raw)
		}
	}
}

// take successions a frame to who owns what it is about.
func (h *Server) take(l *link, f *controlmsg.Frame) {
	if f.Consensus != nil {
		h.loop.do(func() {
			if m := f.Consensus; m.From.Addr != "" {
				h.heardFrom(m.From.Addr, l)
			}
			h.loop.node.Step(f.Consensus, h.now())
			h.loop.commits() // the next message may bring an entry that takes its place
		})
		return
	}
	if f.Hello != nil {
		controlmsg.HandleHello(l, f.Hello)
		return
	}
	if f.Request != nil {
		a := f.Request
		h.loop.do(func() {
			h.loop.take(*a, func(status int, body []byte) {
				l.Send(&controlmsg.Frame{Response: &controlmsg.Response{Number: a.Number, Status: status, Body: body}})
			})
		})
		return
	}
	if f.Response != nil {
		h.pending.answer(l, f.Response)
		return
	}
	h.tables.do(func() { h.tables.take(l, f) })
}
