package failover

// Member is what the control plane knows about one member.
type Member struct {
	ID             string
	Generation     string // software generation as in directory.Member; the higher text is preferred
	Primary        bool   // according to its latest heartbeat
	Draining       bool
	Absent         bool    // on the roster, but can't be queried: it departed, or only its ID is known
	Departed       bool    // absent because it left or has sent no heartbeat for a long time
	Unlisted       bool    // not on the roster yet: it can't become the candidate and does not count for coverage
	SinceHeartbeat float64 // milliseconds since the last heartbeat
	Distance       float64 // from the old primary's zone; smaller is preferred among equal candidates
	Reports        DriverReports
}

// DriverReports are the numbers of drivers by their recent report on a member that they take for the primary.
type DriverReports struct {
	Suspect int // they get no reply from it
	Stalled int // they get replies, but no commits
	Healthy int // it serves them
}

// View is a snapshot of a service.
type View struct {
	Service      string
	SyncReplicas int      // number of replicas that must have a commit before it is acknowledged
	Members      []Member // members that are present or on the roster

	// MembershipUncertain is set while members may be sending heartbeats to machines of the control plane that can't reach
	// this one: there may be replicas that it does not know.
	MembershipUncertain bool

	// DirectoryIncomplete is set while this process has run for so short a time that members may be unknown to it. No
	// failover begins.
	DirectoryIncomplete bool

	Drivers int // number of all drivers

	PendingPromote *PromoteRecord // the replicated record of a promote that may take effect; nil for none

	Writer Writer
}

// Writer is the newest assignment of the service's writer by this leader, as package writerlease describes it.
type Writer struct {
	Assigned    bool   // there is one
	ID          string // member that may be written to, "" for none
	Confirmed   bool   // no proxy acts by an earlier assignment any more
	Unconfirmed int    // proxies with a lease that have not confirmed it
}

// Action is a task for the caller.
type Action struct {
	Kind   ActionKind
	ID     string        // member ID
	Term   uint64        // highest term seen; pauses and step-downs must use a higher one
	Reason string        // see Log and Promote
	Record PromoteRecord // see RecordPromote and ClearPromote
}

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions. The caller reports the outcome of QueryStatus, PauseReplication, ResumeReplication and StepDown to
// HandleStatus or HandleStatusFailure, that of Promote to HandlePromoteResult, and that of RelayStatus and
// RelayStepDown to HandleRelayedStatus or HandleRelayFailure.
const (
	QueryStatus       ActionKind = iota // query the member's status
	PauseReplication                    // stop the replica from receiving the log
	ResumeReplication                   // let the replica receive the log again
	Promote                             // call the platform to make the member the primary; Reason is the old primary's ID
	EnforceDrain                        // stop drivers from using the member: it was replaced or will step down
	Log                                 // write Reason to the log
	StepDown                            // make the primary a replica
	AllowRemoval                        // the departed member is covered and may be removed from the roster
	RecordPromote                       // replicate Record, in place of the service's earlier one; repeated until it is
	ClearPromote                        // remove the service's record if it is Record; repeated until it is
	RelayStatus                         // have agents beside drivers query the member's status
	RelayStepDown                       // have agents beside drivers make the primary a replica
	AssignWriter                        // let proxies write to the member alone, or to none if ID is ""
)
