package queue

// This file owns the limits of a site and of a session, and which part of the package takes which message.

// Limits bound what a site holds.
type Limits struct {
	Sessions        int     // at home
	SessionBytes    int64   // of a session's queues
	SessionMessages int     // in a session's queue
	MaxAge          float64 // milliseconds after which a message that nobody fetched is given up, and its session told
	TotalBytes      int64   // bytes of all queues, copies included
	MessageBytes    int     // bytes of one
	WindowMessages  int     // messages on the way to a client

	WindowBytes int64 // and their bytes, beyond the first

	Replicas   int // beside home
	RecentKeys int // producer's keys kept of a session
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

const (
	resendAfter     = 200.0            // milliseconds after which what was not answered is said again
	replyTimeout    = 2000.0           // milliseconds that a producer waits for the copies
	maxKeyBytes     = 128              // of a producer's key
	messageOverhead = 64               // bytes that a message takes beside its body
	idleTimeout     = 10 * 60 * 1000.0 // milliseconds after which an empty session without a socket is forgotten
)

// Status codes of a Reply, as HTTP's.
const (
	statusRepeated    = 200
	statusQueued      = 202
	statusBadKey      = 400
	statusNoSession   = 404
	statusTooLong     = 413
	statusQueueFull   = 429
	statusUnavailable = 503
	statusSiteFull    = 507
)

type session struct {
	SessionState
	id           string
	bytes        int64
	ackedIndex   map[string]uint64 // of the log, by each copy
	sentIndex    map[string]uint64 // what each was sent
	sentAt       map[string]float64
	replicaEpoch map[string]uint64 // epoch of each copy's site as it was told
	ops          []Op              // those that some copy may lack, the last one is Log
	waiters      []waiter

	edge       string
	socket     uint64
	delivered  uint64 // messages on the way to the edge
	handOverTo string // it is being handed to; nothing changes meanwhile
	handOverAt float64
	idleSince  float64 // no socket since
	attached   bool
}

// Receive takes a message of a site or an edge.
func (s *Site) Receive(from string, w *Envelope, now float64) {
	if s.Epoch == 0 || s.current == nil {
		if w.Kind == KindAttach {
			s.send(from, Envelope{Kind: KindRejected, Session: w.Session, Socket: w.Socket, Reason: "not now"})
		}
		return
	}
	if site, ok := s.current.Sites[from]; ok && w.SiteEpoch != site.Epoch {
		return // of another life of it, or of one that this site has not heard of yet: it is said again
	}
	switch w.Kind {
	case KindAttach:
		s.attach(from, w, now)
	case KindLocate:
		if x := s.owned[w.Session]; x != nil && s.holdsLease(now) {
			s.send(from, Envelope{Kind: KindRedirect, Session: w.Session, Socket: w.Socket, Owner: s.Name, Replicas: x.Replicas,
				Epoch: x.Epoch})
		}
	case KindAck, KindPublish, KindDetach:
		s.receiveFromEdge(from, w, now)
	case KindSnapshot:
		s.receiveSnapshot(from, w)
	case KindReplicate:
		s.receiveOps(from, w)
	case KindReplicateAck:
		s.receiveReplicateAck(from, w, now)
	case KindHandOver:
		s.acceptHandOver(from, w, now)
	case KindHandOverDone:
		if x := s.owned[w.Session]; x != nil && x.handOverTo == from && w.Epoch == x.Epoch+1 {
			s.finishHandOver(x, from, w.Epoch)
		}
	case KindDiscard:
		s.receiveDiscard(w)
	case KindDefer:
		s.receiveDefer(from, w, now)
	}
}
