package roster

// Source is where updates come from, the least trusted one first.
type Source uint8

// The sources of updates.
const (
	SourceKnown     Source = iota // what the start was given, or an earlier run has kept
	SourceDiscovery               // the platform's discovery
	SourceRegistry                // a key-value registry
	sources
)

// String names the source as logs do.
func (s Source) String() string { return [...]string{"known", "discovery", "registry"}[s] }

// Phase is a member's state.
type Phase uint8

// The phases of a member.
const (
	PhaseUp Phase = iota
	PhaseDraining
	PhaseRemoved
)

// Entry is one member as a source describes it.
type Entry struct {
	ID          string
	Address     string
	Zone        string
	Group       int64
	Phase       Phase
	Access      string
	StartedAt   float64 // Unix milliseconds; 0: long ago
	ModRevision int64   // at which it was written; 0: the source doesn't say
}

// InvalidEntry is an entry that can't be used. If it still says that the member drains or is removed, that counts.
type InvalidEntry struct {
	ID     string
	Reason string // for the log
	Phase  Phase
}

// Update is what a source says at once: a snapshot, or the changes of one revision.
type Update struct {
	Source   Source
	Epoch    string // names the history that revisions count in; empty where the source has no name for it
	Revision int64

	Snapshot     bool // complete: a member that it does not name is not there
	Linearizable bool // of a snapshot: the source's newest state, not that of a follower that may lag
	Fragment     bool // the revision goes on in the next update

	PreviousRevision int64 // of changes: the one that they continue from; 0: the source doesn't say
	Entries          []Entry
	Invalid          []InvalidEntry
}

// Verdict says what became of an update.
type Verdict uint8

// The verdicts on an update.
const (
	VerdictApplied     Verdict = iota
	VerdictFragment            // it goes on in the next one
	VerdictStale               // a duplicate, or older than what is known
	VerdictGap                 // revisions are missing before it: a snapshot is needed
	VerdictUnconfirmed         // it lost most members: another snapshot is needed, after Options.ConfirmAfter
)

// String names the verdict as logs do.
func (v Verdict) String() string { return [...]string{"applied", "partial", "old", "gap", "held"}[v] }

// Outcome is what an update, or time, led to.
type Outcome struct {
	Verdict Verdict
	Changes []Entry  // of the published membership, by id: entries that are new or differ; PhaseRemoved for what is gone
	Notes   []string // for the log: what was not applied as it came
}
