package queue

// This file owns a session as a site has it, and how ops change it.

import "slices"

// session is what a site holds of a session, as its owner or as a replica.
type session struct {
	SessionState
	id    string
	bytes int64 // the sizes of outbox and inbox

	// Replication, at the owner; the maps are by replica. A replica that is in none of them has not been sent a
	// snapshot of this epoch yet.
	ackedIndex   map[string]uint64  // log index up to which it has acknowledged; none: a snapshot is needed
	sentIndex    map[string]uint64  // and up to which it was sent, at least ackedIndex
	sentAt       map[string]float64 // newest sending
	replicaEpoch map[string]uint64  // its epoch as a site, as its snapshot was sent
	ops          []Op               // the log's end that some replica may lack; the last one has index LogLength
	waiters      []waiter           // in the order of their log indexes

	// The client's socket, at the owner.
	attached  bool
	edge      string
	socket    uint64  // the edge's number for it
	delivered uint64  // the highest number that was sent to it
	idleSince float64 // when it was detached

	// A hand-over, at the owner. While handOverTo names a site the session doesn't change.
	handOverTo string
	handOverAt float64 // newest sending
}

// waiter is a producer who waits until its message is replicated.
type waiter struct {
	logIndex uint64
	number   uint64
	reply    Reply
	deadline float64
}

// apply applies the next op of the log, at the owner and at replicas alike, and gives by how many bytes the session
// grew.
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

// removeUpTo removes the messages up to a number.
func removeUpTo(messages []Message, number uint64) (rest []Message, growth int64) {
	for len(messages) > 0 && messages[0].Number <= number {
		growth -= messageSize(&messages[0])
		messages = messages[1:]
	}
	return messages, growth
}

// outboxAcked is the highest number up to which the client has acknowledged.
func (sess *session) outboxAcked() uint64 { return sess.OutboxLast - uint64(len(sess.Outbox)) }

// replicatedOutbox is the highest number for the client whose op is within the replicated part of the log.
func (sess *session) replicatedOutbox(replicated uint64) uint64 {
	return sess.replicatedNumber(OpPut, sess.OutboxLast, replicated)
}

// replicatedInbox is the highest number of the client whose op is.
func (sess *session) replicatedInbox(replicated uint64) uint64 {
	return sess.replicatedNumber(OpPublish, sess.InboxLast, replicated)
}

// replicatedNumber goes back from a kind's last number over the ops that are not replicated.
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

// resetReplication forgets what replicas have.
func (sess *session) resetReplication() {
	sess.ackedIndex = map[string]uint64{}
	sess.sentIndex = map[string]uint64{}
	sess.sentAt = map[string]float64{}
	sess.replicaEpoch = map[string]uint64{}
	sess.ops = nil
}

// resyncReplicas has a snapshot sent to all replicas, as what they know of owner and replicas is no longer so.
func (sess *session) resyncReplicas() {
	clear(sess.sentAt)
	clear(sess.ackedIndex)
}

// failWaiters answers all producers that wait.
func (sess *session) failWaiters(status Status) {
	for _, w := range sess.waiters {
		w.reply(status, 0)
	}
	sess.waiters = nil
}

// detach notes that the client has no socket any more.
func (sess *session) detach(now float64) { sess.attached, sess.idleSince = false, now }

// measure sums the messages' sizes up.
func (sess *session) recomputeBytes() {
	sess.bytes = 0
	for i := range sess.Outbox {
		sess.bytes += messageSize(&sess.Outbox[i])
	}
	for i := range sess.Inbox {
		sess.bytes += messageSize(&sess.Inbox[i])
	}
}
