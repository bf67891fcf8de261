package queue

// This file implements a session at a site, and the effects of ops.

import "slices"

// session is the state of a session at a site, its owner or a replica.
type session struct {
	SessionState
	id    string
	bytes int64 // sum of the message sizes of outbox and inbox

	// Replication, at the owner; the maps are keyed by replica. A replica that is in none of them has not been sent a
	// snapshot of this epoch yet.
	ackedIndex   map[string]uint64  // log index that it has acknowledged; missing: it needs a snapshot
	sentIndex    map[string]uint64  // log index up to which ops were sent to it; at least ackedIndex
	sentAt       map[string]float64 // time of the latest send
	replicaEpoch map[string]uint64  // epoch of its site when its snapshot was sent
	ops          []Op               // tail of the log that some replica may lack; the last op has index LogLength
	waiters      []waiter           // in the order of their log indexes

	// The client's socket, at the owner.
	attached  bool
	edge      string
	socket    uint64  // the edge's number for the socket
	delivered uint64  // highest message number sent to the socket
	idleSince float64 // when the socket was detached

	// A hand-over, at the owner. The session doesn't change while handOverTo is set.
	handOverTo string
	handOverAt float64 // time of the latest KindHandOver
}

// waiter is a producer that waits until its message is replicated.
type waiter struct {
	logIndex uint64
	number   uint64
	reply    Reply
	deadline float64
}

// apply applies the next op of the log, at the owner and at replicas. It returns the number of bytes by which the
// session grew.
func (sess *session) apply(op *Op, maxKeys int) (growth int64) {
	sess.LogLength++
	switch op.Kind {
	case OpPut:
		growth = sess.applyPut(op.Message, maxKeys)
	case OpAck:
		sess.Outbox, growth = removeUpTo(sess.Outbox, op.Number)
	case OpPublish:
		sess.InboxLast = op.Message.Number
		sess.Inbox = append(sess.Inbox, *op.Message)
		growth = messageSize(op.Message)
	case OpConsume:
		sess.Inbox, growth = removeUpTo(sess.Inbox, op.Number)
	case OpAttach:
		sess.Connection = op.Number
	}
	sess.bytes += growth
	return growth
}

func (sess *session) applyPut(m *Message, maxKeys int) (growth int64) {
	sess.OutboxLast = m.Number
	sess.Outbox = append(sess.Outbox, *m)
	if m.Key != "" {
		sess.RecentKeys = append(sess.RecentKeys, Message{Number: m.Number, Key: m.Key})
		if len(sess.RecentKeys) > maxKeys {
			sess.RecentKeys = slices.Delete(sess.RecentKeys, 0, 1)
		}
	}
	return messageSize(m)
}

// removeUpTo removes the messages up to a number. growth is the change of the total size, at most 0.
func removeUpTo(messages []Message, number uint64) (rest []Message, growth int64) {
	for len(messages) > 0 && messages[0].Number <= number {
		growth -= messageSize(&messages[0])
		messages = messages[1:]
	}
	return messages, growth
}

// outboxAcked returns the number up to which the client has acknowledged messages.
func (sess *session) outboxAcked() uint64 { return sess.OutboxLast - uint64(len(sess.Outbox)) }

// replicatedOutbox returns the number up to which messages for the client are replicated.
func (sess *session) replicatedOutbox(replicated uint64) uint64 {
	return sess.replicatedNumber(OpPut, sess.OutboxLast, replicated)
}

// replicatedInbox returns the number up to which messages from the client are replicated.
func (sess *session) replicatedInbox(replicated uint64) uint64 {
	return sess.replicatedNumber(OpPublish, sess.InboxLast, replicated)
}

// replicatedNumber returns the highest replicated message number of a kind of op. It starts from the last number and
// goes back over the ops that are not replicated.
func (sess *session) replicatedNumber(kind OpKind, last, replicated uint64) uint64 {
	index := sess.LogLength
	for i := len(sess.ops) - 1; i >= 0 && index > replicated; i-- {
		if sess.ops[i].Kind == kind {
			last = sess.ops[i].Message.Number - 1
		}
		index--
	}
	return last
}

// resetReplication clears the replication state of all replicas.
func (sess *session) resetReplication() {
	sess.ackedIndex = map[string]uint64{}
	sess.sentIndex = map[string]uint64{}
	sess.sentAt = map[string]float64{}
	sess.replicaEpoch = map[string]uint64{}
	sess.ops = nil
}

// resyncReplicas causes a snapshot to be sent to all replicas, because the owner's epoch or the list of replicas has
// changed.
func (sess *session) resyncReplicas() {
	clear(sess.sentAt)
	clear(sess.ackedIndex)
}

// failWaiters answers all waiting producers with a status.
func (sess *session) failWaiters(status Status) {
	for _, w := range sess.waiters {
		w.reply(status, 0)
	}
	sess.waiters = nil
}

// detach records that the client's socket is gone.
func (sess *session) detach(now float64) { sess.attached, sess.idleSince = false, now }

// recomputeBytes sets bytes to the sum of the message sizes.
func (sess *session) recomputeBytes() {
	sess.bytes = 0
	for i := range sess.Outbox {
		sess.bytes += messageSize(&sess.Outbox[i])
	}
	for i := range sess.Inbox {
		sess.bytes += messageSize(&sess.Inbox[i])
	}
}
