package queue

// This file defines the limits of a site and of a session.

// Limits limit the resources of a site.
type Limits struct {
	Sessions        int     // number of sessions that the site owns
	SessionBytes    int64   // bytes of a session's outbox and inbox together
	SessionMessages int     // messages in a session's outbox, and in its inbox
	MaxAge          float64 // milliseconds after which an unacknowledged message is dropped
	TotalBytes      int64   // bytes of all sessions, including replicas
	MessageBytes    int     // bytes of one message's body

	WindowMessages int   // unacknowledged messages that are delivered to a client
	WindowBytes    int64 // bytes of these messages; the first one may exceed it

	Replicas   int // replicas of a session in addition to the owner
	RecentKeys int // idempotency keys that are kept for each session
}

// DefaultLimits are the default limits of a site.
var DefaultLimits = Limits{
	Sessions:        20000,
	SessionBytes:    1 << 20,
	SessionMessages: 1000,
	MaxAge:          15 * 60 * 1000,
	TotalBytes:      128 << 20,
	MessageBytes:    64 << 10,
	WindowMessages:  64,
	WindowBytes:     256 << 10,
	Replicas:        1,
	RecentKeys:      256,
}

// Times are milliseconds.
const (
	resendAfter      = 200.0            // after which an unanswered message is sent again
	replyTimeout     = 2000.0           // for which a producer's reply waits for replication
	idleTimeout      = 10 * 60 * 1000.0 // after which an empty session without a socket is discarded
	takeOverInterval = 5 * resendAfter  // between checks for sessions whose owner is gone
	maxKeyBytes      = 128              // length of an idempotency key
	messageOverhead  = 64               // bytes that a message takes in addition to its body and key
)

func messageSize(m *Message) int64 { return int64(len(m.Body) + len(m.Key) + messageOverhead) }

// fits reports whether the session and the site have space for one more message in a queue that holds queued messages.
func (s *Site) fits(sess *session, queued int, m *Message) (session, site bool) {
	size := messageSize(m)
	return queued < s.Limits.SessionMessages && sess.bytes+size <= s.Limits.SessionBytes,
		s.bytes+size <= s.Limits.TotalBytes
}
