// Package agent is the agent beside each proxy: it holds the driver's lease at the core, takes updates from there and
// from a few peer agents, passes it on to them, and feeds the proxy on its machine over loopback.
//
// This file owns the agent's life and its tables, in one goroutine with a queue of commands. It decides nothing about traffic: what it has
// not heard, its proxy doesn't know, and what it heard once holds until it hears better.
package agent

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
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
)

type link = transport.Link[controlmsg.Frame]

const (
	renewEvery  = time.Second
	digestEvery = 3 * time.Second
	peerCount   = 2
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

	core        *coreLink // in use
	trial       *coreLink // dialled or on trial beside it
	seekPlanned bool
	pause       float64 // before the next try, in milliseconds
	tries       int     // since a link stood well
	nth         int     // of the known core machines
	nearAt      float64 // when a near machine is tried again

	proxies map[*link]bool
	peers   map[string]*peer // by address
}

// Run serves until ctx ends.
func Run(ctx context.Context, s *settings.Settings, log events.Log) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	a := &Agent{set: s, log: log, ctx: inner, q: commandqueue.New(inner, 1024), at: time.Now(), members: directory.NewMembers(),
		proxies: map[*link]bool{}, peers: map[string]*peer{}, cores: s.Peers, pause: firstPause}
	a.self = directory.Driver{Name: s.Hostname, Addr: s.PortAddr(s.IP, 0), Zone: s.Zone, Incarnation: uint64(time.Now().UnixMilli())}
	mesh, err := net.Listen("tcp4", a.self.Addr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer mesh.Close()
	loop, err := net.Listen("tcp4", s.FeedAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	defer loop.Close()
	go transport.Serve(mesh, 3*digestEvery, func(l *link) { l.SetCounters(&PeerTraffic) }, a.takeFromPeer, func(*link) {})
	go transport.Serve(loop, 0, func(l *link) {
		l.SetCounters(&ProxyTraffic)
		a.do(func() { a.proxyUp(l) })
	}, a.fromProxy, func(l *link) { a.do(func() { delete(a.proxies, l) }) })
	a.seek()
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
			term, last = nil, time.After(s.GracePeriod-600*time.Millisecond)
			log.Event(events.Stopping)
		case <-last:
			a.leave()
			return nil
		case f := <-a.q.Commands:
			f()
		case <-renew.C:
			a.renew()
			a.checkCore()
			a.members.PurgeTombstones(a.now(), float64(memberKeep.Milliseconds()))
		case <-digest.C:
			d := a.digest()
			a.sendToPeers(&controlmsg.Frame{Digest: &d})
		}
	}
}

// leave gives the lease back, and lets the word of it go out.
func (a *Agent) leave() {
	if a.core != nil {
		a.core.l.Send(&controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: a.self, Release: true}})
		select {
		case <-a.core.l.Done():
		case <-time.After(50 * time.Millisecond):
		}
		a.core.l.Close()
	}
	a.log.Event(events.Stopped, "coreTraffic", controlmsg.ReadTraffic(&CoreTraffic), "peerTraffic", controlmsg.ReadTraffic(&PeerTraffic))
}

func (a *Agent) now() float64 { return float64(time.Since(a.at)) / 1e6 }

func (a *Agent) do(f func()) { a.q.Do(f) }
