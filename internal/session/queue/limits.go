package queue

// This file owns the limits of a site and of a session.

// Limits bound what a site holds.
type Limits struct {
	Sessions        int     // that the site owns
	SessionBytes    int64   // of a session's outbox and inbox
	SessionMessages int     // in a session's outbox, and as many in its inbox
	MaxAge          float64 // milliseconds after which a message that was not acknowledged is dropped
	TotalBytes      int64   // of all sessions, replicas included
	MessageBytes    int     // of one message

	WindowMessages int   // not acknowledged, that are delivered to a client
	WindowBytes    int64 // and their bytes, beyond the first

	Replicas   int // beside the owner
	RecentKeys int // idempotency keys that are remembered of a session
}

// DefaultLimits are a site's where nothing else is said.
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
	resendAfter      = 200.0            // after which what was not answered is sent again
	replyTimeout     = 2000.0           // for which a producer's reply waits for replication
	idleTimeout      = 10 * 60 * 1000.0 // after which an empty session without a socket is discarded
	takeOverInterval = 5 * resendAfter  // between checks for sessions whose owner is gone
	maxKeyBytes      = 128              // of an idempotency key
	messageOverhead  = 64               // bytes that a message takes beside its body and key
)

func messageSize(m *Message) int64 { return int64(len(m.Body) + len(m.Key) + messageOverhead) }

// fits says whether a session, and the site, have space for one more message in a queue of that length.
func (s *Site) fits(sess *session, queued int, m *Message) (session, site bool) {
	size := messageSize(m)
	return queued < s.Limits.SessionMessages && sess.bytes+size <= s.Limits.SessionBytes,
		s.bytes+size <= s.Limits.TotalBytes
}
