// Package site is a site that holds open sessions at work: its links to other sites and to edges, its lease at
// the core, and the calls of producers, consumers and operators.
//
// Decisions are queue's; here are its sockets and clocks. One goroutine owns the site, with a queue of commands.
package site

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/controlplane"
	"weirwind/internal/session/queue"
	"weirwind/internal/session/sites"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
)

// Frame is what goes over a link between sites and edges: first who dialled, then words.
type Frame struct {
	Hello    string          `cbor:"1,keyasint,omitempty"`
	Envelope *queue.Envelope `cbor:"2,keyasint,omitempty"`
	Ping     bool            `cbor:"3,keyasint,omitempty"`
	Edge     bool            `cbor:"4,keyasint,omitempty"` // with Hello: an edge, which is answered over this link
}

type link = transport.Link[Frame]

const (
	tickEvery  = 50 * time.Millisecond
	renewEvery = 400 * time.Millisecond
	renewMost  = 900 * time.Millisecond
	pingEvery  = 500 * time.Millisecond
	linkIdle   = 3 * time.Second
	putMost    = 2500 * time.Millisecond
)

// Site is one process.
type Site struct {
	set   *settings.Settings
	log   events.Log
	ctx   context.Context
	start time.Time
	lim   queue.Limits
	q     *commandqueue.Queue
	life  uint64 // this and what follows are the queue's
	s     *queue.Site
	peers map[string]*peer // other sites, by name
	edges map[string]*link
	state sites.State
}

type peer struct {
	addr string
	l    *link
	stop context.CancelFunc
}

// Run serves until ctx ends and its sessions are handed on, or grace is over.
func Run(ctx context.Context, set *settings.Settings, log events.Log) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	t := &Site{set: set, log: log, ctx: inner, start: time.Now(), life: uint64(time.Now().UnixNano()),
		q: commandqueue.New(inner, 4096), peers: map[string]*peer{}, edges: map[string]*link{}}
	t.lim = queue.DefaultLimits
	t.lim.Replicas = max(set.TolerateNodes, 1)
	t.lim.TotalBytes = int64(set.MemoryMB) << 20 / 3
	t.s = queue.NewSite(set.Hostname, t.lim)
	mesh, err := net.Listen("tcp4", set.PortAddr(set.IP, 0))
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	ctl, err := net.Listen("tcp4", set.ReadyAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	go transport.Serve(mesh, linkIdle, func(*link) {}, t.take, t.gone)
	server := &http.Server{Handler: t.routes(), ReadHeaderTimeout: 2 * time.Second, ReadTimeout: 5 * time.Second,
		IdleTimeout: 30 * time.Second, MaxHeaderBytes: 8 << 10}
	go server.Serve(ctl)
	go t.renew()
	go t.q.Run(tickEvery, t.tick)
	log.Event(events.Started, "site", set.Hostname, "mesh", mesh.Addr().String(), "http", set.ReadyAddr)
	<-ctx.Done()
	t.end()
	server.Close()
	log.Event(events.Stopped)
	return nil
}

func (t *Site) now() float64 { return float64(time.Since(t.start)) / 1e6 }

// end drains the site, as far as grace goes.
func (t *Site) end() {
	t.log.Event(events.Stopping)
	until := time.Now().Add(t.set.GracePeriod - 300*time.Millisecond)
	_, _ = t.core(http.MethodPost, "/sites/"+t.set.Hostname+"/drain?pace=5000", nil)
	for time.Now().Before(until) {
		ch := make(chan bool, 1)
		t.q.Do(func() {
			ch <- t.s.OwnedSessions() == 0 && t.s.Map() != nil && t.s.Map().Sites[t.set.Hostname].State == sites.StateDraining
		})
		if <-ch {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	epoch := make(chan uint64, 1)
	t.q.Do(func() { epoch <- t.s.Epoch })
	_, _ = t.core(http.MethodPost, fmt.Sprintf("/sites/%s/leave?epoch=%d", t.set.Hostname, <-epoch), nil)
}

// core calls the machines of the core in turn until one answers.
func (t *Site) core(method, path string, body []byte) (int, []byte) {
	client := http.Client{Timeout: renewMost}
	for _, ctl := range t.set.Peers {
		req, err := http.NewRequestWithContext(t.ctx, method, "http://"+ctl+path, bytes.NewReader(body))
		if err != nil {
			continue
		}
		resp, err := client.Do(req)
		if err != nil {
			continue
		}
		b, err := io.ReadAll(io.LimitReader(resp.Body, 4<<20))
		resp.Body.Close()
		if err == nil && resp.StatusCode < 500 {
			return resp.StatusCode, b
		}
	}
	return 0, nil
}

// renew keeps the lease. It holds from when it was asked for, so that a late answer gives nothing.
func (t *Site) renew() {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	for {
		ch := make(chan uint64, 1)
		t.q.Do(func() { ch <- t.life })
		var life uint64
		select {
		case life = <-ch:
		case <-t.ctx.Done():
			return
		}
		body, _ := json.Marshal(controlplane.SiteRenewal{Addr: t.set.PortAddr(t.set.IP, 0), HTTPAddr: t.set.ReadyAddr, Zone: t.set.Zone,
			Region: t.set.Region, Incarnation: life})
		asked := t.now()
		status, answer := t.core(http.MethodPost, "/sites/"+t.set.Hostname+"/renew", body)
		var m sites.Map
		if status == http.StatusOK && json.Unmarshal(answer, &m) == nil {
			t.q.Do(func() { t.learn(&m, asked) })
		} else if status == http.StatusConflict {
			t.q.Do(func() { t.reborn(life) })
		}
		select {
		case <-tick.C:
		case <-t.ctx.Done():
			return
		}
	}
}

// reborn begins another life: the one before is over, and what it held is its neighbours'.
func (t *Site) reborn(over uint64) {
	if m := t.s.Map(); over != t.life || m == nil || m.Sites[t.set.Hostname].Incarnation != over {
		return
	}
	t.log.Event(events.SiteSelf, "site", t.set.Hostname, "what", "this life is over; another begins")
	t.s = queue.NewSite(t.set.Hostname, t.lim)
	t.life = uint64(time.Now().UnixNano())
	t.state = ""
}

func (t *Site) learn(m *sites.Map, asked float64) {
	before := t.s.Map()
	t.s.ApplyMap(m, t.life, t.now())
	if self := m.Sites[t.set.Hostname]; self.Incarnation == t.life && self.State != sites.StateRemoved {
		t.s.ExtendLease(asked + float64(controlplane.SiteLeaseDuration.Milliseconds()))
		if self.State != t.state {
			t.state = self.State
			t.log.Event(events.SiteSelf, "site", t.set.Hostname, "what", string(self.State), "epoch", self.Epoch)
		}
	}
	if before == nil || before.Version < m.Version {
		t.reach(m)
		for _, l := range t.edges {
			l.Send(&Frame{Envelope: &queue.Envelope{Map: m}})
		}
	}
	t.flush()
}

// reach keeps links to the sites that live.
func (t *Site) reach(m *sites.Map) {
	for name, p := range t.peers {
		if s, ok := m.Sites[name]; !ok || s.Addr != p.addr || s.State == sites.StateRemoved {
			p.stop()
			if p.l != nil {
				p.l.Close()
			}
			delete(t.peers, name)
		}
	}
	for name, s := range m.Sites {
		if name == t.set.Hostname || s.State == sites.StateRemoved || t.peers[name] != nil {
			continue
		}
		ctx, stop := context.WithCancel(t.ctx)
		p := &peer{addr: s.Addr, stop: stop}
		t.peers[name] = p
		go KeepLink(ctx, s.Addr, Frame{Hello: t.set.Hostname}, func(l *link) { t.q.Do(func() { p.l = l; t.flush() }) },
			func(*link, *Frame) {})
	}
}

// Keep holds a link to a process, telling who dials, until ctx ends; up is told of each, and of nil when it has ended.
func KeepLink(ctx context.Context, addr string, hello Frame, up func(*link), take func(*link, *Frame)) {
	again := transport.Backoff{Initial: 50 * time.Millisecond, Max: 50 * time.Millisecond,
		DialTimeout: func(nth int) time.Duration {
			return transport.DialTimeout(nth / 3)
		}}
	transport.KeepConnected(ctx, addr, again, func(l *link) {
		l.Send(&hello)
		go ping(ctx, l)
		up(l)
	}, take, func() { up(nil) })
}

func ping(ctx context.Context, l *link) {
	tick := time.NewTicker(pingEvery)
	defer tick.Stop()
	for {
		select {
		case <-l.Done():
			return
		case <-ctx.Done():
			l.Close()
			return
		case <-tick.C:
			l.Send(&Frame{Ping: true})
		}
	}
}

// take takes a frame of a site or an edge that dialled.
func (t *Site) take(l *link, f *Frame) {
	t.q.Do(func() {
		switch {
		case f.Hello != "":
			l.Peer = f.Hello
			if f.Edge {
				t.edges[f.Hello] = l
				if m := t.s.Map(); m != nil {
					l.Send(&Frame{Envelope: &queue.Envelope{Map: m}})
				}
			}
		case f.Envelope != nil:
			t.s.Receive(l.Peer, f.Envelope, t.now())
			t.flush()
		}
	})
}

func (t *Site) gone(l *link) {
	t.q.Do(func() {
		if t.edges[l.Peer] == l {
			delete(t.edges, l.Peer)
			t.s.HandleEdgeLost(l.Peer, t.now())
			t.flush()
		}
	})
}

func (t *Site) flush() {
	for _, s := range t.s.TakeOutgoing() {
		if l := t.edges[s.To]; l != nil {
			l.Send(&Frame{Envelope: &s.Envelope})
		} else if p := t.peers[s.To]; p != nil && p.l != nil {
			p.l.Send(&Frame{Envelope: &s.Envelope})
		}
	}
}

func (t *Site) tick() {
	t.s.Tick(t.now())
	t.flush()
}
