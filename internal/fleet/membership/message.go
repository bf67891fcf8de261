package membership

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping        Kind = iota + 1 // Target answers with Ack
	PingRequest                 // the receiver pings Target at TargetAddress for the sender
	Ack                         // Target is alive; sent by itself, or by a relay
	Nack                        // the relay is alive, but has not heard Target
	Gossip                      // carries only records, votes and changes
)

// Message is a datagram between two drivers. Every message can carry gossip.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	From Record `cbor:"2,keyasint"`
	// Counter numbers the sender's messages. A message whose counter does not increase is late or a duplicate.
	Counter uint64 `cbor:"3,keyasint"`
	// ProbeID is set by the prober and repeated in answers to the probe.
	ProbeID       uint64 `cbor:"4,keyasint,omitempty"`
	Target        string `cbor:"5,keyasint,omitempty"` // name
	TargetAddress string `cbor:"6,keyasint,omitempty"`
	// ViewHash is a hash of the processes that the sender regards as live.
	ViewHash uint64 `cbor:"7,keyasint,omitempty"`
	// RosterVersion and RosterHash identify the sender's roster; 0: none.
	RosterVersion uint64         `cbor:"8,keyasint,omitempty"`
	RosterHash    uint64         `cbor:"9,keyasint,omitempty"`
	Records       []Record       `cbor:"10,keyasint,omitempty"`
	Reachability  []Reachability `cbor:"11,keyasint,omitempty"`
	Vote          *Vote          `cbor:"12,keyasint,omitempty"`
	DecidedChange *Change        `cbor:"13,keyasint,omitempty"`
}

const (
	maxPiggybackBytes = 1000 // approximate bytes of gossip in a message
	maxUnreachable    = 16   // maximum names in a Reachability
	maxRecords        = 64   // maximum records in an accepted message
)

// Reachability lists the peers that a driver does not hear directly although others report them as live.
type Reachability struct {
	Name        string   `cbor:"1,keyasint"`
	Run         uint64   `cbor:"2,keyasint"`
	Sequence    uint32   `cbor:"3,keyasint"` // a higher one is newer
	Unreachable []string `cbor:"4,keyasint,omitempty"`
}

// size returns the approximate number of bytes that r takes in a message.
func (r *Reachability) size() int {
	n := 24 + len(r.Name)
	for _, name := range r.Unreachable {
		n += 2 + len(name)
	}
	return n
}

// Snapshot is a driver's full state, for a peer that starts or was partitioned.
type Snapshot struct {
	From         Record         `cbor:"1,keyasint"`
	Records      []Record       `cbor:"2,keyasint,omitempty"`
	Reachability []Reachability `cbor:"3,keyasint,omitempty"`
	Roster       *Roster        `cbor:"4,keyasint,omitempty"`
}

// Envelope is a message with its destination address.
type Envelope struct {
	Address string
	Message Message
}

// Event is a log entry: a reason code, the driver concerned, and details.
type Event struct {
	Reason, Name, Text string
}

// Output is what the caller must do after a call of a Fleet method.
type Output struct {
	Messages []Envelope
	SyncWith []string // addresses to exchange snapshots with
	Events   []Event
	Save     *SavedState // must be durable before Messages are sent, see Fleet.Saved; nil: nothing to save
}
