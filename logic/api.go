package logic

// This file holds the types that Step takes and returns: options, events and actions. Times are in milliseconds.

// Need is what an op requires of the data that answers it.
type Need uint8

const (
	Any     Need = iota // any member's data
	Bounded             // data no older than OpType.MaxAge at the moment of the send
	Session             // data that includes all writes of the session
	Fresh               // data that includes all writes before the op arrived
	Write               // a write, which only the primary accepts
)

// Effect is a limit on how often an op may run.
type Effect uint8

const (
	Retryable    Effect = iota // may run any number of times
	Tokened                    // carries a token by which members within Scope drop repeats for the time Window
	NonRetryable               // must not run twice
)

// Scope is the set of members that recognise each other's tokened ops as repeats.
type Scope uint8

const (
	ScopeAll   Scope = iota // all members
	ScopeZone               // the members of one zone
	ScopeGroup              // the members of one group
)

// Checks is what a member does with a read for which its data is not fresh enough.
type Checks uint8

const (
	ChecksNone   Checks = iota // answers from the data it has
	ChecksRefuse               // answers with a Miss
	ChecksWait                 // waits until its data is fresh enough
)

// ListRole is how the member list shows the primary.
type ListRole uint8

const (
	RoleNone    ListRole = iota // not at all
	RoleAtStart                 // the primary at the driver's start; never updated
	RoleLate                    // the current primary, with a delay
)

// OpType describes one type of op.
type OpType struct {
	Need          Need
	MaxAge        float64 // of the data, for Bounded
	Effect        Effect
	Scope         Scope   // for Tokened
	Window        float64 // for Tokened: how long members recognise a repeat
	LatencyTarget float64 // an answer within it is in time
	OpTimeout     float64 // the client's time limit
	Value         float64 // of an answer in time, relative to other op types
}

// Opening holds the options that a driver is opened with.
type Opening struct {
	Seed            uint64 // of the random numbers
	Drivers         int    // of the fleet, this one included
	Zone            string
	OpTypes         []OpType
	Tick            float64 // resolution of the timer
	Checks          Checks
	ListRole        ListRole
	SessionCarried  bool    // session reads carry WroteAgo; else the driver tracks its own commits
	PositionZero    float64 // clock time of position 0
	Positions       bool    // members report how far they have applied the log
	ListOnRequest   bool    // the member list must be requested (ActWatch)
	ReportsByProbe  bool    // the load report that a probe returns shows role and position
	MayProbe        bool    // probes are allowed
	MayCancel       bool    // sends may be cancelled
	MayMessage      bool    // drivers may exchange messages
	MayOverlap      bool    // an op may have several open sends
	MaxRetryAfter   float64 // longest delay before a retry that a busy reply may advise; 0: none can be advised
	SendCap         int     // sends per op
	ColdFrom        float64 // fraction of its capacity that a member has at its start
	ColdFor         float64 // warm-up time, in which the capacity grows linearly to 1
	FallMultiple    float64 // a cold member fails under more than this multiple of its capacity
	FallSpan        float64 // period over which that load is counted
	OnlyDrainBinds  bool    // only Draining takes a member out of service; Gone in the list may be wrong
	MaxMessageBytes int     // of one message between drivers
	MaxMessages     float64 // rough maximum that a driver receives per second; 0: a default that falls with Drivers
}

// EventKind is the kind of an event. The comments name the fields of Event that it uses.
type EventKind uint8

const (
	EvOpen     EventKind = iota // Opening
	EvMembers                   // List, Members
	EvOp                        // Op, OpType, Group, Left, WroteAgo
	EvAnswer                    // Op, Send, Member, Outcome, Note, Closed, Opened, Report
	EvProbed                    // Member, Outcome, Report, Took
	EvGone                      // Op: its client no longer waits for an answer
	EvTimer                     // a timer of ActTimer expired
	EvMessage                   // Data: a message from another driver
	EvRecall                    // Memory: saved by an earlier run; follows the first member list, before any op
	EvRemember                  // Memory: the module fills it in, to be saved for a later run
	EvDrivers                   // Drivers: their number has changed
	EvTolls                     // Tolls: the zone penalties of the plan in force; nil: no plan
)

// ListKind tells what an EvMembers event holds.
type ListKind uint8

const (
	ListChanges ListKind = iota // only entries that changed
	ListFull                    // all members
	ListCached                  // all members, from a cache
	ListFailed                  // no entries: the request failed
)

// Phase is a member's state in the list.
type Phase uint8

const (
	Ready    Phase = iota
	Draining       // gets no new sends
	Gone           // removed or down
)

// ListEntry is an entry of the member list.
type ListEntry struct {
	Member  string
	Phase   Phase
	Zone    string
	Started float64 // clock time of its last start; 0 if that was long ago
	Group   int64
	Primary bool // according to the list, see ListRole
}

// Outcome is how a send or a probe ended.
type Outcome uint8

const (
	OK            Outcome = iota
	Miss                  // refused without running: not the primary, or its data is not fresh enough
	Full                  // refused without running: no capacity
	ConnectFailed         // no connection; nothing was transmitted
	Moot                  // dropped before it was transmitted
	Fault                 // answered with an error
	TimedOut
	Reset // the connection broke
	Cancelled
)

// Role is the role that a member reports about itself.
type Role uint8

const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// Sight is what a member reports about itself: in an answer (Note), or in the load report of an answer or probe
// (Report).
type Sight struct {
	Role     Role
	Position float64 // up to which it has applied all commits, in milliseconds after PositionZero; 0 for unknown
}

// Event is an input of the module; Kind determines which fields are set.
type Event struct {
	Kind     EventKind
	Opening  *Opening
	List     ListKind
	Members  []ListEntry
	Op       string
	OpType   int
	Group    int64
	Left     float64 // time until the client's deadline
	WroteAgo float64 // time since the session's last write, 0 for none
	Send     int     // index among the op's sends
	Member   string
	Outcome  Outcome
	Took     float64 // time from the probe to its answer
	Note     Sight
	Closed   bool    // the client has its final answer
	Opened   float64 // clock time at which the connection of an OK answer was opened, 0 for unknown
	Report   Sight
	Data     []byte
	Memory   *Memory
	Drivers  int
	Tolls    map[string]float64 // by zone, in sends in flight; must not be modified later
}

// Memory is the state that one run of a driver saves for the next. Its times are clock times. The sender of EvRecall
// omits what is too old or too uncertain to use at all; the module decides by the dates how to use the rest.
// EvRemember reuses the slices' capacity.
type Memory struct {
	Ceiling     float64 // no commit of an earlier run has a higher position
	TrustWindow float64 // shortest time in which another primary can be promoted
	OpTypes     []TypeMemory
	Groups      []GroupMemory
	Members     []MemberMemory
}

// TypeMemory holds the mean and the best mean latency of the op type at the same index, 0 for unknown.
type TypeMemory struct {
	Typical, Best float64
}

// GroupMemory is the saved state of a group and its writer slot.
type GroupMemory struct {
	Group    int64
	Primary  string  // the slot's current or last holder; empty for none
	InSlot   bool    // the slot still held it
	SeenAt   float64 // newest evidence that it is the primary
	WorkRate float64 // milliseconds of work answered per millisecond, smoothed; 0 for unknown

	LastCommit float64 // position of the last own write, 0 for none or if sessions carry theirs
}

// MemberMemory is the saved state of a member.
type MemberMemory struct {
	Member       string
	Group        int64
	Position     float64 // as in Sight
	StartedAt    float64 // by the list, or inferred when it was readmitted; 0 for long ago
	EjectedAt    float64 // 0 if it is not ejected
	Disconnected bool    // it was ejected because connections broke or were refused
	Window       float64 // maximum of sends in flight; 0 for unknown
}

// ActionKind is the kind of an action. The comments name the fields of Action that it uses.
type ActionKind uint8

const (
	ActSend    ActionKind = iota // Op, Member; Wait: time limit
	ActCancel                    // Op, Send; Wait: delay, after which it is cancelled if it is still open
	ActRefuse                    // Op: busy reply; Wait: advised delay before a retry
	ActFail                      // Op: error reply
	ActProbe                     // Member
	ActTimer                     // Wait: until EvTimer
	ActMessage                   // Data: a message to all other drivers
	ActWatch                     // request the member list
	ActLog                       // Text
)

// Action is an output of the module; Kind determines which fields are set.
type Action struct {
	Kind   ActionKind
	Op     string
	Send   int
	Member string
	Wait   float64
	Data   []byte
	Text   string
}
