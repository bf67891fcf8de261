package agent

// This file has the links to a few peer agents: how they are chosen, and the anti-entropy with them.

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

// servePeers serves agents that dialled this one. They are not added to peers: they are sent answers only.
func (a *Agent) servePeers(listener net.Listener) {
	up := func(link *controlLink) { link.SetCounters(&PeerTraffic) }
	transport.Serve(listener, 3*digestInterval, up, a.handlePeerFrame, func(*controlLink) {})
}

// handlePeerFrame handles a peer's frame, whichever side dialled the link.
func (a *Agent) handlePeerFrame(link *controlLink, frame *controlmsg.Frame) {
	a.enqueue(func() {
		if frame.Hello != nil {
			controlmsg.HandleHello(link, frame.Hello)
		}
		if frame.Update != nil {
			a.applyUpdate(frame.Update)
		}
		if frame.Digest != nil {
			a.reconcile(link, frame.Digest)
		}
		if frame.WriterLeaseRequest != nil {
			a.forwardPeerRequest(frame.WriterLeaseRequest)
		}
		if frame.QuotaRequest != nil {
			a.handleRelayedRequest(link, frame)
		}
		if frame.QuotaAnswer != nil {
			a.handleQuotaAnswer(frame)
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

// digest returns the versions and hashes of this agent's state.
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

// reconcile answers a digest with the state that its sender lacks, and with this agent's digest if this agent lacks
// state, unless the sender asked for no reply.
func (a *Agent) reconcile(link *controlLink, remote *controlmsg.StateDigest) {
	own := a.digest()
	if update := a.missingState(&own, remote); update != nil {
		link.Send(&controlmsg.Frame{Update: update})
	}
	behind := own.ConfigVersion < remote.ConfigVersion || own.ShardMapVersion < remote.ShardMapVersion ||
		own.MembersHash != remote.MembersHash
	if behind && !remote.NoReply {
		own.NoReply = true
		link.Send(&controlmsg.Frame{Digest: &own})
	}
}

// missingState returns the state that a digest's sender lacks, or nil if it lacks none.
func (a *Agent) missingState(own, remote *controlmsg.StateDigest) *controlmsg.StateUpdate {
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

// choosePeers keeps links to the drivers that directory.GossipPeers selects, and closes the others.
func (a *Agent) choosePeers() {
	wanted := map[string]bool{}
	for _, driver := range directory.GossipPeers(a.drivers, a.self.Name, peerCount) {
		wanted[driver.Addr] = true
		if a.peers[driver.Addr] == nil {
			ctx, stop := context.WithCancel(a.ctx)
			a.peers[driver.Addr] = &peer{stop: stop}
			go a.runPeerLink(ctx, driver.Addr)
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

// runPeerLink keeps a link to a peer until ctx ends. It runs on its own goroutine.
func (a *Agent) runPeerLink(ctx context.Context, addr string) {
	backoff := transport.Backoff{
		Initial: peerBackoff, Max: peerBackoff,
		DialTimeout: func(int) time.Duration { return transport.DialTimeout(2) },
	}
	transport.KeepConnected(ctx, addr, backoff, func(link *controlLink) {
		link.SetCounters(&PeerTraffic)
		link.Send(controlmsg.NewHello("agent", a.self.Name, a.self.Addr))
		a.enqueue(func() { a.peerUp(ctx, addr, link) })
	}, a.handlePeerFrame, func() {
		a.enqueue(func() { a.peerDown(addr) })
	})
}

// peerUp records a new link to a peer, or closes it if the peer was dropped in the meantime.
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
