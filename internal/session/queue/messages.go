// Package queue is a site's part in open sessions: their queues, at home and as copies, and how one goes over to a
// neighbour.
//
// This file owns the messages between sites and edges. The package does no I/O and reads no clock. A message is queued
// for its producer only once home and copies hold it; of two sites that believe to be home only the newer may deliver;
// numbers go up by one and none is given to two messages.
package queue

import "weirwind/internal/session/sites"

// Kind of a message.
type MessageKind uint8

const (
	KindAttach       MessageKind = iota + 1 // edge: a socket of this session is here; Secret, Seq (0: a new connection), Got, New
	KindAttached                            // site: it is served here; Seq, Home, Copies, InLast, Secret for a new one
	KindRejected                            // site: Why
	KindDeliver                             // site: Msgs for the client
	KindAck                                 // edge: the client has all up to N
	KindPublish                             // edge: Msgs from the client
	KindPublishAck                          // site: those up to N are safe
	KindDetach                              // edge: the socket is gone; site: another one has taken its place
	KindRedirect                            // site: the session is at Home now
	KindReplicate                           // home to copy: Log from Base on
	KindReplicateAck                        // copy to home: Base is what it has
	KindSnapshot                            // home to copy: the whole session
	KindHandOver                            // home to copy: be home by Epoch
	KindHandOverDone                        // and its answer
	KindDiscard                             // home to a copy that is one no longer
	KindLocate                              // edge to all: who is home of it? (answered by Redirect)
	KindDefer                               // copy to the one that comes before it: the home we know is over, yours is the next word
)

// Msg is one message of a session, in either direction.
type Message struct {
	Number     uint64  `cbor:"1,keyasint"`
	Key        string  `cbor:"2,keyasint,omitempty"` // its producer's own name for it
	Body       []byte  `cbor:"3,keyasint"`
	EnqueuedAt float64 `cbor:"4,keyasint,omitempty"` // when it came, by its home's clock
}

// OpKind of an op.
type OpKind uint8

const (
	OpPut     OpKind = iota + 1 // a message for the client
	OpAck                       // the client has all up to N
	OpPublish                   // a message of the client
	OpConsume                   // the consumer has all up to N
	OpAttach                    // the Nth connection
)

// Op is one change of a session; its place in the session's log is what copies are told by.
type Op struct {
	Kind    OpKind   `cbor:"1,keyasint"`
	Number  uint64   `cbor:"2,keyasint,omitempty"`
	Message *Message `cbor:"3,keyasint,omitempty"`
}

// State is a session as a whole.
type SessionState struct {
	Secret     string    `cbor:"1,keyasint"`
	Epoch      uint64    `cbor:"2,keyasint"` // rises with each change of its home
	Owner      string    `cbor:"3,keyasint"`
	OwnerEpoch uint64    `cbor:"4,keyasint"` // the home's epoch as a site
	Replicas   []string  `cbor:"5,keyasint"` // who takes over, in this order
	LogLength  uint64    `cbor:"6,keyasint"` // ops so far
	Outbox     []Message `cbor:"7,keyasint"` // the client has not all of them
	OutboxLast uint64    `cbor:"8,keyasint"`
	Inbox      []Message `cbor:"9,keyasint"` // the consumer has not all of them
	InboxLast  uint64    `cbor:"10,keyasint"`
	Connection uint64    `cbor:"11,keyasint"` // of its newest connection
	RecentKeys []Message `cbor:"12,keyasint"` // newest keys and their numbers, without bodies
}

// Envelope is a message between sites and edges.
type Envelope struct {
	Kind       MessageKind   `cbor:"1,keyasint"`
	Session    string        `cbor:"2,keyasint"`
	Epoch      uint64        `cbor:"3,keyasint,omitempty"`
	SiteEpoch  uint64        `cbor:"4,keyasint,omitempty"` // epoch of the site that says it
	Secret     string        `cbor:"5,keyasint,omitempty"`
	Connection uint64        `cbor:"6,keyasint,omitempty"`
	Socket     uint64        `cbor:"7,keyasint,omitempty"` // the edge's number for the socket
	Number     uint64        `cbor:"8,keyasint,omitempty"`
	Messages   []Message     `cbor:"9,keyasint,omitempty"`
	Owner      string        `cbor:"10,keyasint,omitempty"`
	Replicas   []string      `cbor:"11,keyasint,omitempty"`
	Base       uint64        `cbor:"12,keyasint,omitempty"`
	Ops        []Op          `cbor:"13,keyasint,omitempty"`
	State      *SessionState `cbor:"14,keyasint,omitempty"`
	New        bool          `cbor:"15,keyasint,omitempty"`
	Reason     string        `cbor:"16,keyasint,omitempty"`

	Map *sites.Map `cbor:"17,keyasint,omitempty"` // a site's, for edges
}

// Send is a message for a site or an edge by name.
type Outgoing struct {
	To       string
	Envelope Envelope
}
