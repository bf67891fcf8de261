package consensus

// This file owns contact: for how long this node has had no proof that a majority follows a leader whose commits reach it. It is a lease
// for reading, granted by the majority's answers and measured by steady clocks alone.
//
// The leader times a round of heartbeats. Once a majority has answered it in the leader's term, no later term can have committed anything
// before the round was sent, so what the leader knows to be committed was the newest at that moment. A follower is told that moment on
// its own clock: its answers bear its clock's reading, and the leader shifts the moment by the difference between that reading and its
// own clock at receipt. Each step errs towards the past, by the time that messages were on their way; none needs clocks that agree, only
// clocks that run at nearly the same rate for the few seconds that a contact is worth anything.
//
// A follower whose answers don't reach the leader is told no later moment than that of its newest answer that did, so that contact means
// both directions: what is known to a machine with contact can also be made known to the others.

import "math"

// ContactLease is the age in milliseconds above which contact counts as lost. A contact that is kept up is renewed with each heartbeat,
// every 200 ms, and ages by that and by a round trip or two: 500 ms over the longest links. The bound leaves room for two heartbeats that
// are lost or wait for a disk, and is under the 1800 ms at which the latest election begins, so that a machine that is cut off knows it
// before those on the other side have another leader. It also leaves half of the shortest time in which a configuration must be in
// force everywhere (3 s) to those who have to look for another machine.
const ContactLease = 1500.0

// probe is the round of heartbeats that is timed.
type probe struct {
	round uint64 // 0: none
	sent  float64
}

// ContactAge is the age in milliseconds of the newest moment at which all that had been acknowledged anywhere is certain to be known here.
// +Inf: there was none since this node started.
func (n *Node) ContactAge(now float64) float64 { return now - n.contactAt }

// LastContact is the moment itself, on the caller's clock; -Inf: there was none.
func (n *Node) LastContact() float64 { return n.contactAt }

// startProbe times the round that is about to be sent, unless an earlier one is still out.
func (n *Node) startProbe(now float64) {
	if n.probe.round == 0 {
		n.probe = probe{n.round, now}
	}
}

// endProbe renews the leader's contact if a majority has answered the timed round or a later one.
func (n *Node) endProbe() {
	if n.probe.round == 0 || !n.ReadConfirmed(n.probe.round) {
		return
	}
	n.contactAt = max(n.contactAt, n.probe.sent)
	n.probe = probe{}
}

// contactFor gives the moment of the leader's contact with a follower on the follower's clock; 0: not known.
func (n *Node) contactFor(p *peer) float64 {
	if !n.Established() || p.clock == 0 || math.IsInf(n.contactAt, -1) {
		return 0
	}
	return p.clock - p.clockAt + min(n.contactAt, p.clockAt)
}

// takeContact renews a follower's contact from a leader's message, where all that the leader knew to be committed is known here.
func (n *Node) takeContact(m *Message, now float64) {
	ownClock := m.Contact != 0 && m.Incarnation == n.life // else it was shifted by an answer of this machine's process before
	if ownClock && n.decided.Index >= m.Commit {
		n.contactAt = max(n.contactAt, min(m.Contact, now))
	}
}
