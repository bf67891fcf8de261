package queue

// This file implements the calls of producers and consumers at a session's owner.

import "slices"

// Status is the answer to a producer, as an HTTP status code.
type Status int

// The statuses of an Enqueue.
const (
	StatusRepeated    Status = 200 // a message with the same key was queued before
	StatusQueued      Status = 202 // the owner and all replicas have the message
	StatusBadKey      Status = 400 // the key is too long
	StatusNoSession   Status = 404 // the session isn't owned here
	StatusTooLong     Status = 413 // the message is too long
	StatusQueueFull   Status = 429 // the session's outbox is full
	StatusUnavailable Status = 503 // temporarily: no lease, a hand-over, no replica, or a replica didn't answer in time
	StatusSiteFull    Status = 507
)

// Reply receives the answer to a producer: the status, and the message's number if it was queued.
type Reply func(status Status, number uint64)

// Enqueue queues a message for the client. key is the producer's idempotency key, which identifies the message, or ""
// for none. reply is called immediately or later, by another method of the site.
func (s *Site) Enqueue(id, key string, body []byte, now float64, reply Reply) {
	sess := s.owned[id]
	switch {
	case sess == nil:
		reply(StatusNoSession, 0)
	case len(body) > s.Limits.MessageBytes:
		reply(StatusTooLong, 0)
	case len(key) > maxKeyBytes:
		reply(StatusBadKey, 0)
	case !s.holdsLease(now) || sess.handOverTo != "" || len(sess.Replicas) == 0:
		reply(StatusUnavailable, 0)
	default:
		s.enqueue(sess, key, body, now, reply)
	}
}

// enqueue queues a message unless it is a duplicate or there is no space.
func (s *Site) enqueue(sess *session, key string, body []byte, now float64, reply Reply) {
	if key != "" {
		if i := slices.IndexFunc(sess.RecentKeys, func(m Message) bool { return m.Key == key }); i >= 0 {
			s.replyToRepeat(sess, sess.RecentKeys[i].Number, now, reply)
			return
		}
	}
	m := Message{Number: sess.OutboxLast + 1, Key: key, Body: body, EnqueuedAt: now}
	sessionFits, siteFits := s.fits(sess, len(sess.Outbox), &m)
	if !sessionFits {
		reply(StatusQueueFull, 0)
		return
	}
	if !siteFits {
		reply(StatusSiteFull, 0)
		return
	}
	s.applyAsOwner(sess, Op{Kind: OpPut, Message: &m}, now)
	sess.waiters = append(sess.waiters, waiter{sess.LogLength, m.Number, reply, now + replyTimeout})
}

// replyToRepeat answers a producer that sends a message again: immediately, or once the message is replicated.
func (s *Site) replyToRepeat(sess *session, number uint64, now float64, reply Reply) {
	if sess.replicatedOutbox(s.replicatedIndex(sess)) >= number {
		reply(StatusRepeated, number)
		return
	}
	sess.waiters = append(sess.waiters, waiter{sess.LogLength, number, reply, now + replyTimeout})
}

// Inbox returns the client's messages with higher numbers than after that are replicated and not consumed. ok is false
// if the session isn't owned here or the site has no lease.
func (s *Site) Inbox(id string, after uint64, now float64) (messages []Message, ok bool) {
	sess := s.owned[id]
	if sess == nil || !s.holdsLease(now) {
		return nil, false
	}
	last := sess.replicatedInbox(s.replicatedIndex(sess))
	for _, m := range sess.Inbox {
		if m.Number > after && m.Number <= last {
			messages = append(messages, m)
		}
	}
	return messages, true
}

// Consume removes the client's messages up to a number, which the consumer has processed. It returns false if the
// session isn't owned here, is being handed over, or the site has no lease.
func (s *Site) Consume(id string, number uint64, now float64) bool {
	sess := s.owned[id]
	if sess == nil || !s.holdsLease(now) || sess.handOverTo != "" {
		return false
	}
	if len(sess.Inbox) > 0 && sess.Inbox[0].Number <= number {
		s.applyAsOwner(sess, Op{Kind: OpConsume, Number: min(number, sess.InboxLast)}, now)
	}
	return true
}
