package controlplane

import (
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

const (
	heartbeatBatchIntervalMs = 300.0  // between two batches of heartbeats to other core machines
	maxBatchedHeartbeats     = 1024   // in a batch; more are not passed on, as the members repeat them
	digestIntervalMs         = 1000.0 // between two digests
)

// peerExchange is what this machine sends to the other core machines of its own accord: members' heartbeats in
// batches, and digests by which they find out what they missed. It belongs to softState.
type peerExchange struct {
	cores            *coreLinks
	heartbeats       []controlmsg.Heartbeat // of the next batch; nil: none
	nextHeartbeatsAt float64
	nextDigestAt     float64
}

func newPeerExchange(cores *coreLinks) peerExchange { return peerExchange{cores: cores} }

// broadcast sends a frame to all other core machines at once.
func (p *peerExchange) broadcast(frame *controlmsg.Frame) { p.cores.broadcast(frame) }

// addHeartbeat passes on, with the next batch, a member's heartbeat that changed nothing but its number.
func (p *peerExchange) addHeartbeat(member directory.Member) {
	if len(p.heartbeats) < maxBatchedHeartbeats {
		heartbeat := controlmsg.Heartbeat{MemberID: member.ID, Incarnation: member.Incarnation, Seq: member.Seq}
		p.heartbeats = append(p.heartbeats, heartbeat)
	}
}

// sendHeartbeats sends the batch, where one is due and there are any.
func (p *peerExchange) sendHeartbeats(now float64) {
	if now < p.nextHeartbeatsAt {
		return
	}
	p.nextHeartbeatsAt = now + heartbeatBatchIntervalMs
	if p.heartbeats != nil {
		p.broadcast(&controlmsg.Frame{Heartbeats: p.heartbeats})
		p.heartbeats = nil
	}
}

// sendDigest sends what this machine has, in short, where that is due, and the leases of the drivers that renew at it:
// each machine reports its own.
func (s *softState) sendDigest(now float64) {
	if now < s.peers.nextDigestAt {
		return
	}
	s.peers.nextDigestAt = now + digestIntervalMs
	digest, leases := s.digest(), s.drivers.leasesOf(s.agents.driverNames(), now)
	s.peers.broadcast(&controlmsg.Frame{Digest: &digest, Leases: leases})
	s.requestLeases(now)
}
