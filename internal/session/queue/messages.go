package queue

// This file defines the stored state of a session and the messages between sites and edges.

import "weirwind/internal/session/sites"

// MessageKind is the kind of an Envelope. Its values are sent.
type MessageKind uint8

// The kinds of envelopes, with their senders and receivers, and the fields that they use besides Session.
const (
	// KindAttach (edge to site): attach a client's socket. Socket; Secret; Connection, 0 for a new one; Number, the last
	// message delivered to the socket; Base, the last message that the client acknowledged; New, whether the session is
	// to be created.
	KindAttach MessageKind = iota + 1
	// KindAttached (owner to edge): the socket is attached. Connection; Owner, Replicas; Number, up to which the client's
	// messages are replicated; Base, the last message that the client has acknowledged.
	KindAttached
	// KindRejected (site to edge): KindAttach is rejected. Reason.
	KindRejected
	// KindDeliver (owner to edge): Messages for the client.
	KindDeliver
	// KindAck (edge to owner): the client acknowledges all messages up to Number.
	KindAck
	// KindPublish (edge to owner): Messages of the client.
	KindPublish
	// KindPublishAck (owner to edge): the client's messages up to Number are replicated.
	KindPublishAck
	// KindDetach: the socket is closed (edge to owner), or replaced by another one (owner to edge).
	KindDetach
	// KindRedirect (site to edge): Owner owns the session with Epoch, and Replicas are its replicas.
	KindRedirect
	// KindReplicate (owner to replica): Ops, which follow log index Base.
	KindReplicate
	// KindReplicateAck (replica to owner): Base, the replica's log length, or New, if it needs a snapshot.
	KindReplicateAck
	// KindSnapshot (owner to replica): State.
	KindSnapshot
	// KindHandOver (owner to replica): become the owner with Epoch.
	KindHandOver
	// KindHandOverDone (new owner to old owner): answers KindHandOver.
	KindHandOverDone
	// KindDiscard (owner to site): discard the session's data of Epoch and older epochs.
	KindDiscard
	// KindLocate (edge to all sites): asks for the session's owner, which answers with KindRedirect.
	KindLocate
	// KindTakeOverRequest (replica to an earlier replica): the owner's epoch has ended, take the session over. With New
	// it is the answer of a site that has no data of the session.
	KindTakeOverRequest
)

// Reasons of a KindRejected.
const (
	reasonNotNow  = "not now" // no lease, or a hand-over is in progress
	reasonFull    = "full"
	reasonUnknown = "unknown" // no such session, or a wrong secret
)

// Message is one message of a session, in either direction.
type Message struct {
	Number     uint64  `cbor:"1,keyasint"`
	Key        string  `cbor:"2,keyasint,omitempty"` // the producer's idempotency key
	Body       []byte  `cbor:"3,keyasint"`
	EnqueuedAt float64 `cbor:"4,keyasint,omitempty"` // milliseconds of its owner's clock
}

// OpKind is the kind of an Op. Its values are sent.
type OpKind uint8

// The kinds of ops.
const (
	OpPut     OpKind = iota + 1 // Message is queued for the client
	OpAck                       // the client has acknowledged all messages up to Number
	OpPublish                   // Message from the client is queued
	OpConsume                   // the consumer has processed all messages up to Number
	OpAttach                    // the client has connected with connection Number
)

// Op is a change of a session, an entry of its log.
type Op struct {
	Kind    OpKind   `cbor:"1,keyasint"`
	Number  uint64   `cbor:"2,keyasint,omitempty"`
	Message *Message `cbor:"3,keyasint,omitempty"`
}

// SessionState is the replicated state of a session.
type SessionState struct {
	Secret     string    `cbor:"1,keyasint"`
	Epoch      uint64    `cbor:"2,keyasint"` // rises with each change of the owner or of the order of replicas
	Owner      string    `cbor:"3,keyasint"`
	OwnerEpoch uint64    `cbor:"4,keyasint"`  // the owner's epoch as a site
	Replicas   []string  `cbor:"5,keyasint"`  // sites with a replica, in the order in which they take over
	LogLength  uint64    `cbor:"6,keyasint"`  // number of ops applied
	Outbox     []Message `cbor:"7,keyasint"`  // not acknowledged by the client; numbered without gaps up to OutboxLast
	OutboxLast uint64    `cbor:"8,keyasint"`  // highest number assigned to a message for the client
	Inbox      []Message `cbor:"9,keyasint"`  // not consumed; numbered without gaps up to InboxLast
	InboxLast  uint64    `cbor:"10,keyasint"` // highest number of an accepted message of the client
	Connection uint64    `cbor:"11,keyasint"` // number of the client's newest connection
	RecentKeys []Message `cbor:"12,keyasint"` // the latest messages with a key, without their bodies
}

// Envelope is a message between sites and edges.
type Envelope struct {
	Kind       MessageKind   `cbor:"1,keyasint"`
	Session    string        `cbor:"2,keyasint"`
	Epoch      uint64        `cbor:"3,keyasint,omitempty"` // of the session
	SiteEpoch  uint64        `cbor:"4,keyasint,omitempty"` // of the sending site
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

	Map *sites.Map `cbor:"17,keyasint,omitempty"` // sent by a site's runner to an edge's, with Kind 0
}

// Outgoing is an envelope to be sent to the site or edge named To.
type Outgoing struct {
	To       string
	Envelope Envelope
}
