package controlplane

import (
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

const (
	heartbeatBatchIntervalMs = 300.0  // time between two batches of heartbeats to other core machines
	maxBatchedHeartbeats     = 1024   // heartbeats in a batch; more are dropped, as members repeat them
	digestIntervalMs         = 1000.0 // time between two digests
)

// peerExchange holds what this machine sends to the other core machines periodically: members' heartbeats in batches,
// and digests by which they detect missed updates. It belongs to softState.
type peerExchange struct {
	cores            *coreLinks
	heartbeats       []controlmsg.Heartbeat // next batch; nil if it is empty
	nextHeartbeatsAt float64
	nextDigestAt     float64
}

func newPeerExchange(cores *coreLinks) peerExchange { return peerExchange{cores: cores} }

// broadcast sends a frame to all other core machines immediately.
func (p *peerExchange) broadcast(frame *controlmsg.Frame) { p.cores.broadcast(frame) }

// addHeartbeat adds to the next batch a member's heartbeat that changed nothing but the sequence number.
func (p *peerExchange) addHeartbeat(member directory.Member) {
	if len(p.heartbeats) < maxBatchedHeartbeats {
		heartbeat := controlmsg.Heartbeat{MemberID: member.ID, Incarnation: member.Incarnation, Seq: member.Seq}
		p.heartbeats = append(p.heartbeats, heartbeat)
	}
}

// sendHeartbeats sends the batch if it is due and not empty.
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

// sendDigest sends, if it is due, the digest of this machine's state together with the leases of the drivers that renew
// here. Each machine reports its own drivers.
func (s *softState) sendDigest(now float64) {
	if now < s.peers.nextDigestAt {
		return
	}
	s.peers.nextDigestAt = now + digestIntervalMs
	digest, leases := s.digest(), s.drivers.leasesByName(s.agents.driverNames(), now)
	s.peers.broadcast(&controlmsg.Frame{Digest: &digest, Leases: leases})
	s.requestLeases(now)
}
