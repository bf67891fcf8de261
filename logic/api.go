// Package logic decides where each op goes. This file holds the types that cross its door: what a driver
// is opened with, the events it takes and the actions it returns. Decisions are in logic.go.
package logic

// Need is what an op demands of the data it is answered from.
type Need uint8

const (
	Any     Need = iota // every member will do
	Bounded             // data no older than OpType.MaxAge at the moment of the send
	Session             // all that the session has written
	Fresh               // all that was written before the op arrived
	Write               // only the primary takes it
)

// Effect says how often an op may run.
type Effect uint8

const (
	Retryable    Effect = iota // may run again
	Tokened                    // repeats are dropped within Scope and Window
	NonRetryable               // must never run twice
)

// Scope is the set of members among which a tokened op's repeats are recognised.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// Checks is what a member does with a read for which it lags too far.
type Checks uint8

const (
	ChecksNone Checks = iota // answers from the data it has
	ChecksRefuse
	ChecksWait
)

// ListRole is how the member list tracks the primary.
type ListRole uint8

const (
	RoleNone ListRole = iota
	RoleAtStart
	RoleLate
)

// OpType describes one kind of op. Times are milliseconds.
type OpType struct {
	Need          Need
	MaxAge        float64
	Effect        Effect
	Scope         Scope
	Window        float64
	LatencyTarget float64
	OpTimeout     float64
	Value         float64
}

// Opening is what a driver is told when it starts. Times are milliseconds.
type Opening struct {
	Seed            uint64
	Drivers         int
	Zone            string
	OpTypes         []OpType
	Tick            float64
	Checks          Checks
	ListRole        ListRole
	SessionCarried  bool // session reads say how long ago the session wrote; else the driver remembers
	PositionZero    float64
	Positions       bool // members tell how far they have applied the log
	ListOnRequest   bool
	ReportsByProbe  bool // a probe's report shows role and position
	MayProbe        bool
	MayCancel       bool
	MayMessage      bool
	MayOverlap      bool    // two sends of an op may be out at once
	MaxRetryAfter   float64 // 0: a busy reply can't advise
	SendCap         int
	ColdFrom        float64
	ColdFor         float64
	FallMultiple    float64
	FallSpan        float64
	OnlyDrainBinds  bool
	MaxMessageBytes int
	MaxMessages     float64 // messages of fellow drivers that one takes a second, about; 0: the fewer the more drivers
}

// EventKind names what happened.
type EventKind uint8

const (
	EvOpen    EventKind = iota // Opening
	EvMembers                  // List, Members
	EvOp                       // Op, OpType, Group, Left, WroteAgo
	EvAnswer                   // Op, Send, Member, Outcome, Note, Closed, Opened, Report
	EvProbed                   // Member, Outcome, Report, Took
	EvGone                     // Op
	EvTimer
	EvMessage  // Data
	EvRecall   // Memory: what an earlier run knew, behind the first list and before the first op
	EvRemember // Memory, which the module fills for a run to come
	EvDrivers  // Drivers: how many there are by now, where they may send each other messages
	EvTolls    // Tolls: what a plan of zones asks for each; nil: there is none any more
)

// ListKind says how Members relates to the list known so far.
type ListKind uint8

const (
	ListChanges ListKind = iota
	ListFull
	ListCached // full, but as last held
	ListFailed
)

// Phase is a member's state in the list.
type Phase uint8

const (
	Ready Phase = iota
	Draining
	Gone
)

// ListEntry is one line of the member list.
type ListEntry struct {
	Member  string
	Phase   Phase
	Zone    string
	Started float64 // clock time, 0 for long ago
	Group   int64
	Primary bool
}

// Outcome is how a send or a probe ended.
type Outcome uint8

const (
	OK Outcome = iota
	Miss
	Full
	ConnectFailed
	Moot // never sent
	Fault
	TimedOut
	Reset
	Cancelled
)

// Role is what a member said of itself.
type Role uint8

const (
	RoleUnknown Role = iota
	Primary
	Replica
)

// Sight is what a member tells of itself, in an answer's note or a load report.
type Sight struct {
	Role     Role
	Position float64 // milliseconds after PositionZero up to which it has applied all commits; 0 for unknown
}

// Event is one thing that happened; Kind says which fields count.
type Event struct {
	Kind     EventKind
	Opening  *Opening
	List     ListKind
	Members  []ListEntry
	Op       string
	OpType   int
	Group    int64
	Left     float64
	WroteAgo float64
	Send     int
	Member   string
	Outcome  Outcome
	Took     float64
	Note     Sight
	Closed   bool
	Opened   float64 // clock time at which the connection of a good answer was opened, 0 for unknown
	Report   Sight
	Data     []byte
	Memory   *Memory
	Drivers  int
	Tolls    map[string]float64 // by zone, in sends in flight; not changed after it was given
}

// Memory is what one run of a driver leaves to the next. Times are clock times in milliseconds. Who hands one to
// EvRecall has left out what is too old or too doubtful to be said at all; the module decides by the dates what the
// rest may do. EvRemember keeps the slices' room.
type Memory struct {
	Ceiling     float64 // a position that no commit of an earlier run lies beyond, in milliseconds after PositionZero
	TrustWindow float64 // milliseconds: a primary can't be replaced in less
	OpTypes     []TypeMemory
	Groups      []GroupMemory
	Members     []MemberMemory
}

// TypeMemory is of the op type at the same index: its usual and best time, 0 for unknown.
type TypeMemory struct {
	Typical, Best float64
}

// GroupMemory names the primary that a group's slot held, or held last.
type GroupMemory struct {
	Group    int64
	Primary  string  // empty for none ever
	InSlot   bool    // it was in the slot still
	SeenAt   float64 // newest evidence that it is the primary
	WorkRate float64 // usual milliseconds of work answered a millisecond; 0 for unknown

	LastCommit float64 // the position of the last own write, 0 for none or where sessions carry theirs
}

// MemberMemory is of one member.
type MemberMemory struct {
	Member       string
	Group        int64
	Position     float64 // as in Sight
	StartedAt    float64 // by the list, or as its return was taken for a start; 0 for long ago
	EjectedAt    float64 // since when it has been set aside, 0 for not
	Disconnected bool    // as its connections broke or none came
	Window       float64 // sends that may be out there; 0 for unknown
}

// ActionKind names what is to be done.
type ActionKind uint8

const (
	ActSend   ActionKind = iota // Op, Member, Wait
	ActCancel                   // Op, Send; Wait: so much later, if it is still out
	ActRefuse                   // busy reply; Wait is the retry advice
	ActFail                     // error reply
	ActProbe
	ActTimer   // Wait
	ActMessage // Data, to every other driver
	ActWatch
	ActLog
)

// Action is one thing to be done; Kind says which fields count.
type Action struct {
	Kind   ActionKind
	Op     string
	Send   int
	Member string
	Wait   float64
	Data   []byte
	Text   string
}
