package consensus

import "math"

// This file holds two proofs that a node's knowledge is current: ReadIndex, for one read at a leader, and contact, a
// lease that every node has.
//
// Contact is the latest moment for which a node has proof that it knew everything committed by then. It relies on the
// answers of a majority and on monotonic clocks alone.
//
// The leader records when it sends a heartbeat round. Once a majority has answered the round in the leader's term, no
// later term can have committed anything before the round was sent, so what the leader knew to be committed was
// current at that moment. The leader passes that moment on to followers, translated to their clocks: a follower's
// answers carry the reading of its clock, and the leader shifts the moment by the difference between that reading and
// its own clock at receipt. Each step errs towards the past, by the time that messages were in transit. The clocks
// need not be synchronized; they only have to run at nearly the same rate for the few seconds for which a contact is
// valid, which is checked (clockrate.go).
//
// A follower never receives a later moment than that of its latest answer that reached the leader. So contact proves
// both directions: what a machine with contact knows can also be made known to the others.

// ContactLease is the age in milliseconds above which contact counts as lost. A healthy contact is renewed with each
// heartbeat, every 200 ms, and its age grows by that interval and one or two round trips: up to 500 ms over the
// longest links. The lease tolerates two heartbeats that are lost or delayed by a disk. It is shorter than the 1800
// ms after which the latest election starts, so that a partitioned machine knows that it is partitioned before the
// other side has another leader. It also leaves agents that must switch to another machine half of the
// shortest time in which a configuration must be in force everywhere (3 s).
const ContactLease = 1500.0

// contactState is the contact of a node in any role.
type contactState struct {
	// lastContact is a moment on this node's clock such that the node knows everything that was acknowledged anywhere
	// before it; -Inf if there was none since the process started. It never decreases.
	lastContact  float64
	contactRound contactRound
	// incarnation is drawn for each process: a contact on the clock of an earlier process is invalid.
	incarnation uint32
}

// contactRound is the heartbeat round that a leader uses to renew its contact. There is one at a time, and a new one
// starts only when it ends.
type contactRound struct {
	number uint64  // 0 if there is none
	sentAt float64 // milliseconds
}

// ReadIndex starts a heartbeat round that confirms a read, and returns its number: once ReadConfirmed reports true for
// it, what was known to be committed at this call was current. It may only be called on a leader.
func (n *Node) ReadIndex(now float64) uint64 {
	n.broadcastAppend(now)
	return n.round
}

// ReadConfirmed reports whether this node is an established leader that a majority has followed since a round.
func (n *Node) ReadConfirmed(round uint64) bool {
	return n.Established() && n.quorumAcked(n.HardState.Last.Voters, round)
}

// quorumAcked reports whether a majority of voters, counting this node, has answered a heartbeat round or a later one.
func (n *Node) quorumAcked(voters []Voter, round uint64) bool {
	return n.quorumOf(voters, func(peer *progress) bool { return peer.ackedRound >= round })
}

// ContactAge returns the age in milliseconds of the last contact; +Inf if there was none since this node started.
func (n *Node) ContactAge(now float64) float64 { return now - n.lastContact }

// LastContact returns the latest moment, on the caller's clock, before which everything acknowledged anywhere is
// certain to be known here; -Inf if there was none.
func (n *Node) LastContact() float64 { return n.lastContact }

// startContactRound uses the round that is about to be sent to renew contact, unless an earlier one is still open.
func (n *Node) startContactRound(now float64) {
	if n.contactRound.number == 0 {
		n.contactRound = contactRound{n.round, now}
	}
}

// endContactRound renews the leader's contact if a majority has answered the contact round or a later one.
func (n *Node) endContactRound() {
	if n.contactRound.number == 0 || !n.ReadConfirmed(n.contactRound.number) || n.ownClockDrifts() {
		return
	}
	n.lastContact = max(n.lastContact, n.contactRound.sentAt)
	n.contactRound = contactRound{}
}

// contactFor returns the leader's last contact on a follower's clock, or 0 if unknown.
func (n *Node) contactFor(peer *progress) float64 {
	if !n.Established() || peer.clock.reading == 0 || math.IsInf(n.lastContact, -1) || peer.clockRate.isDrifting() {
		return 0
	}
	return peer.clock.reading - peer.clock.receivedAt + min(n.lastContact, peer.clock.receivedAt)
}

// updateContact renews a follower's contact from a leader's message if the follower knows everything that the leader
// knew to be committed.
func (n *Node) updateContact(msg *Message, now float64) {
	// A contact with another incarnation refers to the clock of an earlier process of this machine.
	ownClock := msg.Contact != 0 && msg.Incarnation == n.incarnation
	if ownClock && n.committed.Index >= msg.Commit {
		n.lastContact = max(n.lastContact, min(msg.Contact, now))
	}
}
