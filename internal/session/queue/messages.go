package queue

// This file owns what is stored of a session, and the messages between sites and edges.

import "weirwind/internal/session/sites"

// MessageKind of an Envelope. Its values are sent.
type MessageKind uint8

// The kinds of envelopes, with who sends them and the fields that they have beside Session.
const (
	// KindAttach (edge to site): a client's socket is here. Socket; Secret; Connection, 0 for a new one; Number, the
	// last message that was delivered to the socket; Base, the last one that the client acknowledged; New, if the
	// session is to be created.
	KindAttach MessageKind = iota + 1
	// KindAttached (owner to edge): the socket is attached. Connection; Owner, Replicas; Number, the last message of the
	// client that is safe; Base, the last message that the client has acknowledged.
	KindAttached
	// KindRejected (site to edge): Reason.
	KindRejected
	// KindDeliver (owner to edge): Messages for the client.
	KindDeliver
	// KindAck (edge to owner): the client has all messages up to Number.
	KindAck
	// KindPublish (edge to owner): Messages of the client.
	KindPublish
	// KindPublishAck (owner to edge): the client's messages up to Number are replicated.
	KindPublishAck
	// KindDetach: the socket is closed (edge to owner), or another one has taken its place (owner to edge).
	KindDetach
	// KindRedirect (site to edge): Owner has the session by Epoch, and Replicas are its replicas.
	KindRedirect
	// KindReplicate (owner to replica): Ops behind index Base.
	KindReplicate
	// KindReplicateAck (replica to owner): Base is the replica's log length, or New if it needs a snapshot.
	KindReplicateAck
	// KindSnapshot (owner to replica): State.
	KindSnapshot
	// KindHandOver (owner to replica): become the owner by Epoch.
	KindHandOver
	// KindHandOverDone (new owner to old): its answer.
	KindHandOverDone
	// KindDiscard (owner to a site): it holds no replica any more, by Epoch and those before.
	KindDiscard
	// KindLocate (edge to all sites): who owns the session? The owner answers with KindRedirect.
	KindLocate
	// KindTakeOverRequest (replica to the one before it): the owner's epoch is over, take over. New: its answer, of a site that
	// has nothing of the session.
	KindTakeOverRequest
)

// Reasons of a KindRejected.
const (
	reasonNotNow  = "not now" // no lease, or a hand-over is under way
	reasonFull    = "full"
	reasonUnknown = "unknown" // no such session, or a wrong secret
)

// Message is one message of a session, in either direction.
type Message struct {
	Number     uint64  `cbor:"1,keyasint"`
	Key        string  `cbor:"2,keyasint,omitempty"` // the producer's idempotency key
	Body       []byte  `cbor:"3,keyasint"`
	EnqueuedAt float64 `cbor:"4,keyasint,omitempty"` // by its owner's clock, in milliseconds
}

// OpKind of an Op. Its values are sent.
type OpKind uint8

// The kinds of ops.
const (
	OpPut     OpKind = iota + 1 // Message is queued for the client
	OpAck                       // the client has all up to Number
	OpPublish                   // Message of the client is queued
	OpConsume                   // the consumer has all up to Number
	OpAttach                    // the client's connection of this Number has begun
)

// Op is one change of a session, an entry of its log.
type Op struct {
	Kind    OpKind   `cbor:"1,keyasint"`
	Number  uint64   `cbor:"2,keyasint,omitempty"`
	Message *Message `cbor:"3,keyasint,omitempty"`
}

// SessionState is what a replica holds of a session.
type SessionState struct {
	Secret     string    `cbor:"1,keyasint"`
	Epoch      uint64    `cbor:"2,keyasint"` // rises with each change of the owner or of the order of replicas
	Owner      string    `cbor:"3,keyasint"`
	OwnerEpoch uint64    `cbor:"4,keyasint"`  // the owner's epoch as a site
	Replicas   []string  `cbor:"5,keyasint"`  // sites that take over, in this order
	LogLength  uint64    `cbor:"6,keyasint"`  // ops that were applied
	Outbox     []Message `cbor:"7,keyasint"`  // not acknowledged by the client; numbers without gaps up to OutboxLast
	OutboxLast uint64    `cbor:"8,keyasint"`  // the highest number that was given out
	Inbox      []Message `cbor:"9,keyasint"`  // not consumed; numbers without gaps up to InboxLast
	InboxLast  uint64    `cbor:"10,keyasint"` // the highest number that was taken
	Connection uint64    `cbor:"11,keyasint"` // number of the client's newest connection
	RecentKeys []Message `cbor:"12,keyasint"` // the newest messages with a key, without their bodies
}

// Envelope is a message between sites and edges.
type Envelope struct {
	Kind       MessageKind   `cbor:"1,keyasint"`
	Session    string        `cbor:"2,keyasint"`
	Epoch      uint64        `cbor:"3,keyasint,omitempty"` // of the session
	SiteEpoch  uint64        `cbor:"4,keyasint,omitempty"` // of the site that sends it
	Secret     string        `cbor:"5,keyasint,omitempty"`
	Connection uint64        `cbor:"6,keyasint,omitempty"`
	Socket     uint64        `cbor:"7,keyasint,omitempty"` // the edge's number for it
	Number     uint64        `cbor:"8,keyasint,omitempty"`
	Messages   []Message     `cbor:"9,keyasint,omitempty"`
	Owner      string        `cbor:"10,keyasint,omitempty"`
	Replicas   []string      `cbor:"11,keyasint,omitempty"`
	Base       uint64        `cbor:"12,keyasint,omitempty"`
	Ops        []Op          `cbor:"13,keyasint,omitempty"`
	State      *SessionState `cbor:"14,keyasint,omitempty"`
	New        bool          `cbor:"15,keyasint,omitempty"`
	Reason     string        `cbor:"16,keyasint,omitempty"`

	Map *sites.Map `cbor:"17,keyasint,omitempty"` // from a site's runner to edges', without a kind
}

// Outgoing is an envelope for a site or an edge, by its name.
type Outgoing struct {
	To       string
	Envelope Envelope
}
