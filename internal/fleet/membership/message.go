package membership

// Kind of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping        Kind = iota + 1 // Target answers by Ack
	PingRequest                 // the receiver pings Target at TargetAddress for the sender
	Ack                         // Target lives: from itself, or from who pinged it for the receiver
	Nack                        // who was requested to ping lives, and Target does not answer
	Gossip                      // bears records, votes and changes alone
)

// Message is a datagram between two drivers. Gossip goes along with each.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	From Record `cbor:"2,keyasint"`
	// Counter numbers the sender's messages: one that is not higher than an earlier one is late, or a copy.
	Counter uint64 `cbor:"3,keyasint"`
	// ProbeID is drawn by who begins a probe, and comes back with its answers.
	ProbeID       uint64 `cbor:"4,keyasint,omitempty"`
	Target        string `cbor:"5,keyasint,omitempty"` // name
	TargetAddress string `cbor:"6,keyasint,omitempty"`
	// ViewHash stands for the processes that live, as the sender sees it.
	ViewHash uint64 `cbor:"7,keyasint,omitempty"`
	// RosterVersion and RosterHash tell which roster the sender has; 0: none.
	RosterVersion uint64         `cbor:"8,keyasint,omitempty"`
	RosterHash    uint64         `cbor:"9,keyasint,omitempty"`
	Records       []Record       `cbor:"10,keyasint,omitempty"`
	Reachability  []Reachability `cbor:"11,keyasint,omitempty"`
	Vote          *Vote          `cbor:"12,keyasint,omitempty"`
	DecidedChange *Change        `cbor:"13,keyasint,omitempty"`
}

const (
	maxPiggybackBytes = 1000 // of gossip in a message, about
	maxUnreachable    = 16   // names in a Reachability
	maxRecords        = 64   // in a message that is accepted
)

// Reachability tells which peers a driver doesn't hear itself, though others say that they live.
type Reachability struct {
	Name        string   `cbor:"1,keyasint"`
	Run         uint64   `cbor:"2,keyasint"`
	Sequence    uint32   `cbor:"3,keyasint"` // a higher one is newer
	Unreachable []string `cbor:"4,keyasint,omitempty"`
}

// size is about how many bytes it takes in a message.
func (h *Reachability) size() int {
	n := 24 + len(h.Name)
	for _, name := range h.Unreachable {
		n += 2 + len(name)
	}
	return n
}

// Snapshot is all that a driver knows, for a peer that starts or was partitioned off.
type Snapshot struct {
	From         Record         `cbor:"1,keyasint"`
	Records      []Record       `cbor:"2,keyasint,omitempty"`
	Reachability []Reachability `cbor:"3,keyasint,omitempty"`
	Roster       *Roster        `cbor:"4,keyasint,omitempty"`
}

// Envelope is a message with the address that it is for.
type Envelope struct {
	Address string
	Message Message
}

// Event is a line for the log: a reason code, whom it is about, and more.
type Event struct {
	Reason, Name, Text string
}

// Output is what a call of Fleet's asks of its caller.
type Output struct {
	Messages []Envelope
	SyncWith []string // addresses with which snapshots are to be exchanged
	Events   []Event
	Save     *SavedState // to be durable before Messages go out, see Fleet.Saved; nil: nothing new
}
