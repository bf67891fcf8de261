package roster

// Source is the origin of updates, in ascending order of trust.
type Source uint8

// The sources of updates.
const (
	SourceKnown     Source = iota // the list that the start was given, or that an earlier run saved
	SourceDiscovery               // the platform's discovery
	SourceRegistry                // a key-value registry
	sourceCount
)

// String returns the source's name in logs.
func (s Source) String() string { return [...]string{"known", "discovery", "registry"}[s] }

// Phase is a member's state.
type Phase uint8

// The phases of a member.
const (
	PhaseUp Phase = iota
	PhaseDraining
	PhaseRemoved
)

// Entry describes one member.
type Entry struct {
	ID          string
	Address     string
	Zone        string
	Group       int64
	Phase       Phase
	Access      string
	StartedAt   float64 // Unix milliseconds, 0 for long ago
	ModRevision int64   // revision of its last write; 0 if the source has none
}

// InvalidEntry is an unusable entry. A drain or removal that it states still applies.
type InvalidEntry struct {
	ID     string
	Reason string // for the log
	Phase  Phase
}

// Update is a message of a source: a snapshot, or the changes of one revision.
type Update struct {
	Source   Source
	Epoch    string // identifies the history that revisions count in; empty if the source has no identifier
	Revision int64

	Snapshot     bool // complete: members that are missing from it don't exist
	Linearizable bool // of a snapshot: the source's newest state, not that of a follower that may lag
	Fragment     bool // the revision continues in the next update

	PreviousRevision int64 // of changes: the revision that they continue from; 0 if the source doesn't state it
	Entries          []Entry
	Invalid          []InvalidEntry
}

// Verdict is the result of applying an update.
type Verdict uint8

// The verdicts on an update.
const (
	VerdictApplied     Verdict = iota
	VerdictFragment            // the revision continues in the next update
	VerdictStale               // a duplicate, or older than the known state
	VerdictGap                 // revisions before it are missing: a snapshot is needed
	VerdictUnconfirmed         // it lacks most members: another snapshot is needed, after Options.ConfirmAfter
)

// String returns the verdict's name in logs.
func (v Verdict) String() string { return [...]string{"applied", "partial", "old", "gap", "held"}[v] }

// Outcome is the result of an update, or of the passing of time.
type Outcome struct {
	Verdict Verdict
	Changes []Entry  // of the published membership, by id: new or changed entries, and removed ones in PhaseRemoved
	Notes   []string // for the log: the parts that were not applied as received
}
