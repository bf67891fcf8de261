package consensus

import "math"

// This file holds two proofs that this node's knowledge is the newest: ReadIndex, for one read at a leader,
// and contact, a lease that each node has.
//
// Contact is for how long this node has had no proof that a majority follows a leader whose commits reach it.
// It is granted by the majority's answers and measured by steady clocks alone.
//
// The leader times a round of heartbeats. Once a majority has answered it in the leader's term, no later term
// can have committed anything before the round was sent, so what the leader knows to be committed was the
// newest at that moment. A follower is notified of that moment on its own clock: its answers bear its clock's
// reading, and the leader shifts the moment by the difference between that reading and its own clock at
// receipt. Each step errs towards the past, by the time that messages were on their way; none needs clocks
// that agree, only clocks that run at nearly the same rate for the few seconds that a contact is valid, which is
// checked (clockrate.go).
//
// A follower whose answers don't reach the leader is notified of no later moment than that of its newest
// answer that did, so that contact means both directions: what is known to a machine with contact can also be
// made known to the others.

// ContactLease is the age in milliseconds above which contact counts as lost. A contact that is kept up is
// renewed with each heartbeat, every 200 ms, and ages by that and by a round trip or two: 500 ms over the
// longest links. The bound tolerates two heartbeats that are lost or wait for a disk, and is under the 1800
// ms at which the latest election begins, so that a machine that is partitioned off knows it before those on
// the other side have another leader. It also leaves half of the shortest time in which a configuration must
// be in force everywhere (3 s) to those who have to look for another machine.
const ContactLease = 1500.0

// contactState is of any role.
type contactState struct {
	// lastContact is a moment on this node's clock such that all that had been acknowledged anywhere before
	// it is known here; -Inf: there was none since this process started. It never falls.
	lastContact  float64
	contactRound contactRound
	// incarnation is drawn for each process: a contact on the clock of an earlier one is no contact.
	incarnation uint32
}

// contactRound is the heartbeat round of the leader's that is timed. One is at a time, so that each ends.
type contactRound struct {
	number uint64  // 0: none
	sentAt float64 // milliseconds
}

// ReadIndex begins a heartbeat round that confirms a read: once ReadConfirmed says so of its number, what was
// known committed at this call was the newest. Only a leader may be asked.
func (n *Node) ReadIndex(now float64) uint64 {
	n.broadcastAppend(now)
	return n.round
}

// ReadConfirmed says that this node is an established leader and that a majority has followed since a round.
func (n *Node) ReadConfirmed(round uint64) bool {
	return n.Established() && n.quorumAcked(n.HardState.Last.Voters, round)
}

// quorumAcked says that a majority of voters, this node with them, has answered a heartbeat round or a later one.
func (n *Node) quorumAcked(voters []Voter, round uint64) bool {
	return n.quorumOf(voters, func(peer *progress) bool { return peer.ackedRound >= round })
}

// ContactAge is the age in milliseconds of the newest moment at which all that had been acknowledged anywhere
// is certain to be known here. +Inf: there was none since this node started.
func (n *Node) ContactAge(now float64) float64 { return now - n.lastContact }

// LastContact is the moment itself, on the caller's clock; -Inf: there was none.
func (n *Node) LastContact() float64 { return n.lastContact }

// startContactRound times the round that is about to be sent, unless an earlier one is still open.
func (n *Node) startContactRound(now float64) {
	if n.contactRound.number == 0 {
		n.contactRound = contactRound{n.round, now}
	}
}

// endContactRound renews the leader's contact if a majority has answered the timed round or a later one.
func (n *Node) endContactRound() {
	if n.contactRound.number == 0 || !n.ReadConfirmed(n.contactRound.number) || n.ownClockDrifts() {
		return
	}
	n.lastContact = max(n.lastContact, n.contactRound.sentAt)
	n.contactRound = contactRound{}
}

// contactFor gives the moment of the leader's contact with a follower on the follower's clock; 0: not known.
func (n *Node) contactFor(peer *progress) float64 {
	if !n.Established() || peer.clock.reading == 0 || math.IsInf(n.lastContact, -1) || peer.clockRate.drifts() {
		return 0
	}
	return peer.clock.reading - peer.clock.receivedAt + min(n.lastContact, peer.clock.receivedAt)
}

// updateContact renews a follower's contact from a leader's message, where all that the leader knew to be
// committed is known here.
func (n *Node) updateContact(msg *Message, now float64) {
	// Of another incarnation, it is on the clock of this machine's process before.
	ownClock := msg.Contact != 0 && msg.Incarnation == n.incarnation
	if ownClock && n.committed.Index >= msg.Commit {
		n.lastContact = max(n.lastContact, min(msg.Contact, now))
	}
}
