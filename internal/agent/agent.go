// Package agent is the agent beside each proxy: it holds the driver's lease at the core, takes news from there and
// from a few peer agents, passes it on to them, and feeds the proxy on its machine over loopback.
//
// This file owns the agent's tables, in one goroutine with a queue of commands. It decides nothing about traffic: what it has
// not heard, its proxy doesn't know, and what it heard once holds until it hears better.
package agent

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/commandqueue"
	"weirwind/internal/controlmsg"
	"weirwind/internal/directory"
	"weirwind/internal/events"
	"weirwind/internal/settings"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/transport"
)

type link = transport.Link[controlmsg.Frame]

const (
	renewEvery  = time.Second
	digestEvery = 3 * time.Second
	peerCount   = 2
	linkIdle    = 3500 * time.Millisecond
	memberKeep  = 90 * time.Second
)

// CoreTraffic, PeerTraffic and ProxyTraffic count the frames of this process's agents by purpose.
var CoreTraffic, PeerTraffic, ProxyTraffic transport.Counters

// Agent is one.
type Agent struct {
	set *settings.Settings
	log events.Log
	ctx context.Context
	q   *commandqueue.Queue
	at  time.Time

	self    directory.Driver
	gen     uint64
	config  []byte
	members *directory.Members
	drivers []directory.Driver
	cores   []string
	shards  *shardmap.Map

	core    *link
	proxies map[*link]bool
	peers   map[string]*peer // by address
	nth     int
}

type peer struct {
	l    *link
	stop context.CancelFunc
}

// Run serves until ctx ends.
func Run(ctx context.Context, s *settings.Settings, log events.Log) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	a := &Agent{set: s, log: log, ctx: inner, q: commandqueue.New(inner, 1024), at: time.Now(), members: directory.NewMembers(),
		proxies: map[*link]bool{}, peers: map[string]*peer{}, cores: s.Peers}
	a.self = directory.Driver{Name: s.Hostname, Addr: s.Port(s.IP, 0), Zone: s.Zone, Life: uint64(time.Now().UnixMilli())}
	mesh, err := net.Listen("tcp4", a.self.Addr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer mesh.Close()
	loop, err := net.Listen("tcp4", s.Feed)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer loop.Close()
	go transport.Serve(mesh, 3*digestEvery, func(l *link) { l.CountInto(&PeerTraffic) }, a.take, func(*link) {})
	go transport.Serve(loop, 0, func(l *link) {
		l.CountInto(&ProxyTraffic)
		l.LeaveUncompressed()
		a.do(func() { a.proxyUp(l) })
	}, a.fromProxy, func(l *link) { a.do(func() { delete(a.proxies, l) }) })
	go a.keepCoreLink()
	log.Event(events.Started, "agent", a.self.Name, "mesh", a.self.Addr)
	renew, digest := time.NewTicker(renewEvery), time.NewTicker(digestEvery)
	defer renew.Stop()
	defer digest.Stop()
	term, last := ctx.Done(), (<-chan time.Time)(nil)
	for {
		if term == nil && len(a.proxies) == 0 { // the proxy is fed to its end
			a.leave()
			return nil
		}
		select {
		case <-term:
			term, last = nil, time.After(s.Grace-600*time.Millisecond)
			log.Event(events.Stopping)
		case <-last:
			a.leave()
			return nil
		case f := <-a.q.C:
			f()
		case <-renew.C:
			a.renew()
			a.members.Forget(a.now(), float64(memberKeep.Milliseconds()))
		case <-digest.C:
			d := a.digest()
			for _, f := range a.peers {
				if f.l != nil {
					f.l.Send(&controlmsg.Frame{Digest: &d})
				}
			}
		}
	}
}

// leave gives the lease back, and lets the word of it go out.
func (a *Agent) leave() {
	if a.core != nil {
		a.core.Send(&controlmsg.Frame{Renew: &controlmsg.Renew{Driver: a.self, End: true}})
		select {
		case <-a.core.Done():
		case <-time.After(50 * time.Millisecond):
		}
		a.core.Close()
	}
	a.log.Event(events.Stopped, "coreTraffic", controlmsg.TrafficOf(&CoreTraffic), "peerTraffic", controlmsg.TrafficOf(&PeerTraffic))
}

func (a *Agent) now() float64 { return float64(time.Since(a.at)) / 1e6 }

func (a *Agent) do(f func()) { a.q.Do(f) }

// keepCoreLink keeps a link to one machine of the core, the nearest that answers.
func (a *Agent) keepCoreLink() {
	pause := 50 * time.Millisecond
	for tries := 0; a.ctx.Err() == nil; tries++ {
		ch := make(chan string, 1)
		a.do(func() { ch <- a.nextCore() })
		var ctl string
		select {
		case ctl = <-ch:
		case <-a.ctx.Done():
			return
		}
		began := time.Now()
		_ = transport.Dial(ctl, transport.DialTimeout(tries/3), linkIdle, func(l *link) {
			l.CountInto(&CoreTraffic)
			l.Send(&controlmsg.Frame{Hello: &controlmsg.Hello{Kind: "agent", Name: a.self.Name, Addr: a.self.Addr}})
			a.do(func() {
				a.core = l
				a.renew()
			})
			a.log.Event(events.LinkUp, "core", ctl)
		}, a.take)
		a.do(func() {
			if a.core != nil {
				a.log.Event(events.LinkDown, "core", ctl)
			}
			a.core = nil
		})
		if time.Since(began) > 5*time.Second {
			pause, tries = 50*time.Millisecond, 0
		}
		select {
		case <-time.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
		case <-a.ctx.Done():
			return
		}
		pause = min(pause+pause/4, time.Second)
	}
}

// nextCore goes through the known core machines, those of the own /16 (a region's machines, where addresses say so) first.
func (a *Agent) nextCore() string {
	var near, far []string
	for _, c := range a.cores {
		if host, _, _ := net.SplitHostPort(c); sameNet(host, a.set.IP) {
			near = append(near, a.set.MeshOf(c))
		} else {
			far = append(far, a.set.MeshOf(c))
		}
	}
	for _, p := range a.set.Peers { // what the file says is tried too, at the end
		far = append(far, a.set.MeshOf(p))
	}
	h := fnv.New32a()
	h.Write([]byte(a.self.Name))
	turn := int(h.Sum32() % 97)
	all := near
	for i := range far {
		all = append(all, far[(i+turn)%len(far)])
	}
	if len(all) == 0 {
		return a.set.Port(a.set.IP, 0)
	}
	a.nth++
	return all[(a.nth-1)%len(all)]
}

func sameNet(x, y string) bool {
	a, b := net.ParseIP(x).To4(), net.ParseIP(y).To4()
	return a != nil && b != nil && a[0] == b[0] && a[1] == b[1]
}

func (a *Agent) digest() controlmsg.Digest {
	d := controlmsg.Digest{Gen: a.gen, Members: a.members.Digest(), Drivers: directory.DriversDigest(a.drivers)}
	if a.shards != nil {
		d.Shards = a.shards.Version
	}
	return d
}

func (a *Agent) renew() {
	if a.core != nil {
		a.core.Send(&controlmsg.Frame{Renew: &controlmsg.Renew{Driver: a.self, Has: a.digest()}})
	}
}

// take takes what the core or a peer says.
func (a *Agent) take(l *link, f *controlmsg.Frame) {
	a.do(func() {
		if f.Update != nil {
			a.news(f.Update)
		}
		if f.Digest != nil {
			a.compare(l, f.Digest)
		}
	})
}

// compare mends the gap that a peer's digest shows, both ways.
func (a *Agent) compare(l *link, d *controlmsg.Digest) {
	mine := a.digest()
	n := &controlmsg.Update{}
	if a.gen > d.Gen {
		n.Gen, n.Config = a.gen, a.config
	}
	if mine.Members != d.Members {
		n.Members = a.members.List()
	}
	if mine.Shards > d.Shards {
		n.Shards = a.shards
	}
	if n.Gen > 0 || n.Members != nil || n.Shards != nil {
		l.Send(&controlmsg.Frame{Update: n})
	}
	if !d.Quiet && (mine.Gen < d.Gen || mine.Shards < d.Shards || mine.Members != d.Members) {
		mine.Quiet = true
		l.Send(&controlmsg.Frame{Digest: &mine})
	}
}

// news takes what is new and passes it on: to the proxy, and to a few peers.
func (a *Agent) news(n *controlmsg.Update) {
	on := &controlmsg.Update{}
	if n.Gen > a.gen {
		a.gen, a.config = n.Gen, n.Config
		on.Gen, on.Config = n.Gen, n.Config
	}
	if n.Members != nil {
		on.Members = a.members.Merge(n.Members, a.now())
	}
	if n.Shards != nil && (a.shards == nil || n.Shards.Version > a.shards.Version) {
		a.shards, on.Shards = n.Shards, n.Shards
	}
	if n.Cores != nil {
		a.cores = n.Cores
	}
	drivers := n.Drivers
	if n.Joined != nil || n.Left != nil {
		drivers = directory.Changed(a.drivers, n.Joined, n.Left)
	}
	if drivers != nil {
		a.drivers = drivers
		a.choose()
	}
	if on.Gen > 0 || on.Members != nil || on.Shards != nil {
		f := &controlmsg.Frame{}
		if on.Members != nil {
			f.Update = &controlmsg.Update{Members: on.Members}
		}
		if on.Gen > 0 || on.Shards != nil { // a configuration is long, and most have it from the core by now: who lacks it asks
			d := a.digest()
			f.Digest = &d
		}
		raw := transport.Encode(f)
		for _, f := range a.peers {
			if f.l != nil {
				f.l.SendRaw(raw)
			}
		}
	}
	if on.Gen > 0 || on.Members != nil || on.Shards != nil || drivers != nil {
		on.Count = max(len(a.drivers), 1)
		raw := transport.Encode(&controlmsg.Frame{Update: on})
		for p := range a.proxies {
			p.SendRaw(raw)
		}
	}
}

// choose keeps links to a few peers.
func (a *Agent) choose() {
	want := map[string]bool{}
	for _, d := range directory.Peers(a.drivers, a.self.Name, peerCount) {
		want[d.Addr] = true
		if a.peers[d.Addr] == nil {
			ctx, stop := context.WithCancel(a.ctx)
			a.peers[d.Addr] = &peer{stop: stop}
			go a.keepPeerLink(ctx, d.Addr)
		}
	}
	for addr, f := range a.peers {
		if !want[addr] {
			f.stop()
			if f.l != nil {
				f.l.Close()
			}
			delete(a.peers, addr)
		}
	}
}

func (a *Agent) keepPeerLink(ctx context.Context, addr string) {
	transport.Keep(ctx, addr, transport.Backoff{First: time.Second, Most: time.Second, DialTimeout: func(int) time.Duration { return transport.DialTimeout(2) }}, func(l *link) {
		l.CountInto(&PeerTraffic)
		a.do(func() {
			if f := a.peers[addr]; f != nil && ctx.Err() == nil {
				f.l = l
			} else {
				l.Close()
			}
		})
	}, a.take, func() {
		a.do(func() {
			if f := a.peers[addr]; f != nil {
				f.l = nil
			}
		})
	})
}

// proxyUp tells a proxy that has just come all that is known.
func (a *Agent) proxyUp(l *link) {
	a.proxies[l] = true
	l.Send(&controlmsg.Frame{Update: &controlmsg.Update{Gen: a.gen, Config: a.config, Members: a.members.List(), Shards: a.shards, Count: max(len(a.drivers), 1)}})
}

// fromProxy passes on what a proxy sees of primaries.
func (a *Agent) fromProxy(_ *link, f *controlmsg.Frame) {
	a.do(func() {
		if f.Report != nil && a.core != nil {
			f.Report.Driver = a.self.Name
			a.core.Send(f)
		}
	})
}
