package queue

// This file owns the limits of a site and of a session, and which part of the package takes which message.

// Limits bound what a site holds.
type Limits struct {
	Sessions int     // at home
	Bytes    int64   // of a session's queues
	Msgs     int     // in a session's queue
	Age      float64 // milliseconds after which a message that nobody fetched is given up, and its session told
	All      int64   // bytes of all queues, copies included
	Message  int     // bytes of one
	Window   int     // messages on the way to a client

	WindowBytes int64 // and their bytes, beyond the first

	Copies int // beside home
	Keys   int // producer's keys kept of a session
}

// DefaultLimits are a site's where nothing else is said.
var DefaultLimits = Limits{
	Sessions:    20000,
	Bytes:       1 << 20,
	Msgs:        1000,
	Age:         15 * 60 * 1000,
	All:         128 << 20,
	Message:     64 << 10,
	Window:      64,
	WindowBytes: 256 << 10,
	Copies:      1,
	Keys:        256,
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
	State
	id        string
	bytes     int64
	acked     map[string]uint64 // of the log, by each copy
	sent      map[string]uint64 // what each was sent
	sentAt    map[string]float64
	copyEpoch map[string]uint64 // epoch of each copy's site as it was told
	ops       []Op              // those that some copy may lack, the last one is Log
	waiting   []waiter

	edge       string
	sock       uint64
	delivered  uint64 // messages on the way to the edge
	handOverTo string // it is being handed to; nothing changes meanwhile
	handOverAt float64
	idleAt     float64 // no socket since
	attached   bool
}

// Receive takes a message of a site or an edge.
func (s *Site) Receive(from string, w *Envelope, now float64) {
	if s.Epoch == 0 || s.current == nil {
		if w.Kind == Attach {
			s.send(from, Envelope{Kind: Refused, Session: w.Session, Sock: w.Sock, Why: "not now"})
		}
		return
	}
	if site, ok := s.current.Sites[from]; ok && w.Site != site.Epoch {
		return // of another life of it, or of one that this site has not heard of yet: it is said again
	}
	switch w.Kind {
	case Attach:
		s.attach(from, w, now)
	case Find:
		if x := s.home[w.Session]; x != nil && s.holdsLease(now) {
			s.send(from, Envelope{Kind: Redirect, Session: w.Session, Sock: w.Sock, Home: s.Name, Copies: x.Copies,
				Epoch: x.Epoch})
		}
	case Ack, Publish, Detach:
		s.fromEdge(from, w, now)
	case Snapshot:
		s.receiveSnapshot(from, w)
	case Replicate:
		s.receiveOps(from, w)
	case ReplicateAck:
		s.receiveReplicateAck(from, w, now)
	case HandOver:
		s.acceptHandOver(from, w, now)
	case HandOverDone:
		if x := s.home[w.Session]; x != nil && x.handOverTo == from && w.Epoch == x.Epoch+1 {
			s.finishHandOver(x, from, w.Epoch)
		}
	case Forget:
		s.receiveForget(w)
	case Defer:
		s.receiveDefer(from, w, now)
	}
}
