package failover

// Member is what the control plane knows of one member.
type Member struct {
	ID             string
	Generation     string // as directory.Member has it
	Primary        bool   // by its latest heartbeat
	Replica        bool   // by its latest heartbeat
	Draining       bool
	Absent         bool    // on the roster, but can't be queried: it has departed, or nothing is known of it here
	Departed       bool    // Absent because it left, or was silent for long
	Unlisted       bool    // not on the roster yet: it is no candidate, and covers nothing
	SinceHeartbeat float64 // milliseconds
	Distance       float64 // from the old primary's zone, to choose among equals
}

// View is a service at one moment.
type View struct {
	Service      string
	SyncReplicas int      // on so many replicas a commit must be before it is acknowledged
	Members      []Member // those that are present, and those on the roster

	// MembershipUncertain is set while members may send heartbeats to machines of the control plane that this one
	// doesn't hear: there may be replicas that it doesn't know.
	MembershipUncertain bool

	Drivers        int // all of them
	SuspectReports int // drivers that get no reply from the primary
	StallReports   int // drivers that it replies to, but commits nothing for
	HealthyReports int // drivers that it serves
}

// Action is something that the caller has to do.
type Action struct {
	Kind   ActionKind
	ID     string // of the member
	Term   uint64 // the highest that was seen: pauses and step-downs must be above it
	Reason string
}

// ActionKind tells what is to be done.
type ActionKind uint8

// Kinds of actions. The outcome of QueryStatus, PauseReplication, ResumeReplication and StepDown goes to HandleStatus
// or HandleStatusFailure, that of Promote to HandlePromoteResult.
const (
	QueryStatus       ActionKind = iota // query the member's status
	PauseReplication                    // keep the replica from receiving
	ResumeReplication                   // let the replica receive again
	Promote                             // have the platform make the member the primary; Reason is the old primary
	EnforceDrain                        // drivers send nothing new to the member: it no longer leads, or is to step down
	Log                                 // Reason is for the log
	StepDown                            // have the primary become a replica
	AllowRemoval                        // the departed member is covered: it may leave the roster
)
