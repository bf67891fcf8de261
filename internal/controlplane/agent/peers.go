package agent

// This file owns the links to a few peer agents: which they are, and the anti-entropy with them.

import (
	"context"
	"net"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/util/transport"
)

const peerBackoff = time.Second // between two attempts to reach a peer

// peer is an agent to which this one keeps a link.
type peer struct {
	link *controlLink // nil while it is down
	stop context.CancelFunc
}

// servePeers serves agents that dialled this one. They are not in peers: they send, and are answered.
func (a *Agent) servePeers(mesh net.Listener) {
	up := func(link *controlLink) { link.SetCounters(&PeerTraffic) }
	transport.Serve(mesh, 3*digestInterval, up, a.takeFromPeer, func(*controlLink) {})
}

// takeFromPeer takes a peer's frame, on either kind of link.
func (a *Agent) takeFromPeer(link *controlLink, frame *controlmsg.Frame) {
	a.do(func() {
		if frame.Hello != nil {
			controlmsg.HandleHello(link, frame.Hello)
		}
		if frame.Update != nil {
			a.applyUpdate(frame.Update)
		}
		if frame.Digest != nil {
			a.reconcile(link, frame.Digest)
		}
		if frame.QuotaRequest != nil {
			a.takeRelayedRequest(link, frame)
		}
		if frame.QuotaAnswer != nil {
			a.takeQuotaAnswer(frame)
		}
	})
}

func (a *Agent) sendToPeers(frame *controlmsg.Frame) {
	encoded := transport.Encode(frame)
	for _, p := range a.peers {
		if p.link != nil {
			p.link.SendEncoded(encoded)
		}
	}
}

func (a *Agent) sendDigestToPeers() {
	digest := a.digest()
	a.sendToPeers(&controlmsg.Frame{Digest: &digest})
}

// digest sums up what is known here.
func (a *Agent) digest() controlmsg.StateDigest {
	digest := controlmsg.StateDigest{
		ConfigVersion: a.configVersion,
		MembersHash:   a.members.Digest(),
		DriversHash:   directory.DriversDigest(a.drivers),
		Isolated:      !a.coreServes(),
	}
	if a.shardMap != nil {
		digest.ShardMapVersion = a.shardMap.Version
	}
	return digest
}

// reconcile answers a digest: with what its sender lacks, and with the own digest where something is lacking here.
func (a *Agent) reconcile(link *controlLink, remote *controlmsg.StateDigest) {
	own := a.digest()
	if update := a.missing(&own, remote); update != nil {
		link.Send(&controlmsg.Frame{Update: update})
	}
	lacks := own.ConfigVersion < remote.ConfigVersion || own.ShardMapVersion < remote.ShardMapVersion ||
		own.MembersHash != remote.MembersHash
	if lacks && !remote.NoReply {
		own.NoReply = true
		link.Send(&controlmsg.Frame{Digest: &own})
	}
}

// missing returns what a digest's sender lacks; nil: nothing.
func (a *Agent) missing(own, remote *controlmsg.StateDigest) *controlmsg.StateUpdate {
	update := &controlmsg.StateUpdate{}
	if own.ConfigVersion > remote.ConfigVersion {
		update.ConfigVersion, update.Config = a.configVersion, a.config
	}
	if own.MembersHash != remote.MembersHash {
		update.Members = a.members.Snapshot()
	}
	if own.ShardMapVersion > remote.ShardMapVersion {
		update.ShardMap = a.shardMap
	}
	if remote.Isolated && a.coreServes() {
		update.CoreAddrs = a.coreAddrs
	}
	if update.ConfigVersion == 0 && update.Members == nil && update.ShardMap == nil && update.CoreAddrs == nil {
		return nil
	}
	return update
}

// choosePeers keeps links to a few of the drivers, the same as long as they exist: directory.GossipPeers.
func (a *Agent) choosePeers() {
	wanted := map[string]bool{}
	for _, d := range directory.GossipPeers(a.drivers, a.self.Name, peerCount) {
		wanted[d.Addr] = true
		if a.peers[d.Addr] == nil {
			ctx, stop := context.WithCancel(a.ctx)
			a.peers[d.Addr] = &peer{stop: stop}
			go a.runPeerLink(ctx, d.Addr)
		}
	}
	for addr, p := range a.peers {
		if !wanted[addr] {
			p.stop()
			if p.link != nil {
				p.link.Close()
			}
			delete(a.peers, addr)
		}
	}
}

// runPeerLink keeps a link to a peer until ctx ends. It runs on a goroutine of its own.
func (a *Agent) runPeerLink(ctx context.Context, addr string) {
	backoff := transport.Backoff{
		Initial: peerBackoff, Max: peerBackoff,
		DialTimeout: func(int) time.Duration { return transport.DialTimeout(2) },
	}
	transport.KeepConnected(ctx, addr, backoff, func(link *controlLink) {
		link.SetCounters(&PeerTraffic)
		link.Send(controlmsg.NewHello("agent", a.self.Name, a.self.Addr))
		a.do(func() { a.peerUp(ctx, addr, link) })
	}, a.takeFromPeer, func() {
		a.do(func() { a.peerDown(addr) })
	})
}

// peerUp takes a link to use, unless its peer was given up meanwhile.
func (a *Agent) peerUp(ctx context.Context, addr string, link *controlLink) {
	if p := a.peers[addr]; p != nil && ctx.Err() == nil {
		p.link = link
	} else {
		link.Close()
	}
}

func (a *Agent) peerDown(addr string) {
	if p := a.peers[addr]; p != nil {
		p.link = nil
	}
}
