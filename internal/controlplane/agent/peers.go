package agent

// This file owns the links to a few peer agents: who they are, and how two agents' tables become alike.

import (
	"context"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/util/transport"
)

type peer struct {
	l    *link // nil while it is down
	stop context.CancelFunc
}

func (a *Agent) sendToPeers(f *controlmsg.Frame) {
	raw := transport.Encode(f)
	for _, p := range a.peers {
		if p.l != nil {
			p.l.SendEncoded(raw)
		}
	}
}

// compare mends the gap that a peer's digest shows, both ways.
func (a *Agent) compare(l *link, d *controlmsg.StateDigest) {
	mine := a.digest()
	n := &controlmsg.StateUpdate{}
	if a.gen > d.ConfigVersion {
		n.ConfigVersion, n.Config = a.gen, a.config
	}
	if mine.MembersHash != d.MembersHash {
		n.Members = a.members.Snapshot()
	}
	if mine.ShardMapVersion > d.ShardMapVersion {
		n.ShardMap = a.shards
	}
	if d.Isolated && a.coreServes() {
		n.CoreAddrs = a.cores
	}
	if n.ConfigVersion > 0 || n.Members != nil || n.ShardMap != nil || n.CoreAddrs != nil {
		l.Send(&controlmsg.Frame{Update: n})
	}
	if !d.NoReply && (mine.ConfigVersion < d.ConfigVersion || mine.ShardMapVersion < d.ShardMapVersion || mine.MembersHash != d.MembersHash) {
		mine.NoReply = true
		l.Send(&controlmsg.Frame{Digest: &mine})
	}
}

// choose keeps links to a few peers.
func (a *Agent) choose() {
	want := map[string]bool{}
	for _, d := range directory.GossipPeers(a.drivers, a.self.Name, peerCount) {
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
	transport.KeepConnected(ctx, addr, transport.Backoff{Initial: time.Second, Max: time.Second, DialTimeout: func(int) time.Duration { return transport.DialTimeout(2) }}, func(l *link) {
		l.SetCounters(&PeerTraffic)
		l.Send(controlmsg.NewHello("agent", a.self.Name, a.self.Addr))
		a.do(func() {
			if f := a.peers[addr]; f != nil && ctx.Err() == nil {
				f.l = l
			} else {
				l.Close()
			}
		})
	}, a.takeFromPeer, func() {
		a.do(func() {
			if f := a.peers[addr]; f != nil {
				f.l = nil
			}
		})
	})
}
