package consensus

import "math"

// Options are a node's settings. Durations are in milliseconds.
type Options struct {
	Addr                string         // this machine's address, as other voters know it
	Seeds               []string       // addresses to send Join to
	MinVoters           int            // removals never leave fewer voters than this, and at least one
	HeartbeatInterval   float64        // time between a leader's heartbeats
	ElectionTimeout     float64        // followers that hear no leader start an election after 1 to 1.5 times this
	RemoveAfter         float64        // voters silent for longer are removed if enough others vote, or one joins
	FormerVoterLifetime float64        // minimum time for which a leader lists former voters: the lifetime of leases
	Random              func() float64 // uniform in [0, 1): spreads elections and draws the incarnation of the process
}

// Role is a node's role in the current term.
type Role uint8

// Roles. Node.Role reports a pre-candidate as a Candidate.
const (
	Follower Role = iota
	Candidate
	Leader
	preCandidate // collects pre-votes before it starts an election
)

// Node is one machine's instance of the consensus algorithm. It isn't safe for concurrent use. Times are in
// milliseconds on the caller's monotonic clock.
type Node struct {
	options Options

	// HardState is read by the caller and written only by the node. Messages wait in the outbox until it is synced.
	HardState HardState
	unsynced  bool // HardState changed since the last Synced
	outbox    []Envelope

	role Role
	// leader is the leader of HardState.Term if known, possibly this node itself; zero otherwise.
	leader Voter
	// lastLeaderMessage is the time of that leader's latest message. Before the first message, and after the
	// connection to the leader broke, it is one ElectionTimeout ago, so that this node refuses no vote because of it.
	lastLeaderMessage float64

	electionState
	lastFollowed followedLeader

	// committed is the latest entry known to be committed; HardState.Last is that entry or a newer one.
	committed Entry

	leaderState
	membershipState
	contactState
	shutdownState
}

// electionState is the state of a node that doesn't lead.
type electionState struct {
	// electionDeadline is when the next election starts unless the deadline is reset.
	electionDeadline float64
	// votes are the IDs of the voters that granted the current request: votes of HardState.Term to a candidate,
	// pre-votes of the next term to a pre-candidate. It is nil for a follower.
	votes            map[string]bool
	preVoteStartedAt float64
	// transferredElection is set if the latest candidacy was triggered by a leadership transfer.
	transferredElection bool
}

// followedLeader is the leader that the node followed last, kept also after the end of its leadership.
type followedLeader struct {
	voter         Voter
	lastMessageAt float64
}

// leaderState is the state of a leader.
type leaderState struct {
	// progress holds the other voters and joining machines by ID, and possibly voters that were removed. It is reset
	// at each election to leader.
	progress map[string]*progress
	// formerSince holds the time at which this leader last saw an address among the voters. It has at most one element
	// for each voter and former voter.
	formerSince map[string]float64
	// round is the number of the latest heartbeat round. It only grows while the process lives, so that no answer to a
	// heartbeat of an earlier leadership confirms a later one.
	round           uint64
	roundTimes      roundTimes
	nextHeartbeatAt float64
	// termCommitted is set once an entry of this leader's own term is committed, so that the leader knows everything
	// that was committed before.
	termCommitted bool
}

// New returns a node that starts from the state on its disk.
func New(options Options, state HardState, now float64) *Node {
	n := &Node{options: options, HardState: state}
	n.progress = map[string]*progress{}
	n.joiners, n.leavingVoters, n.removedAddrs = map[string]joiner{}, map[string]float64{}, map[string]float64{}
	if state.lastCommitted() {
		n.committed = state.Last
	}
	n.lastContact, n.incarnation = math.Inf(-1), uint32(options.Random()*math.MaxUint32)
	n.lastLeaderMessage = now - options.ElectionTimeout
	// The first deadline is early: a pre-vote has no effect while there is a leader.
	n.electionDeadline = now + options.ElectionTimeout*(0.2+0.4*options.Random())
	return n
}

// Tick advances the node's time. It must be called several times per HeartbeatInterval.
func (n *Node) Tick(now float64) {
	switch {
	case n.role == Leader:
		n.tickLeader(now)
	case n.leaving():
		// a node that shuts down answers messages and starts nothing
	case !n.isVoter(n.HardState.ID):
		n.tickNonVoter(now)
	case now >= n.electionDeadline:
		n.preCampaign(now)
	}
}

func (n *Node) tickLeader(now float64) {
	if now >= n.nextHeartbeatAt {
		n.broadcastAppend(now)
	}
	n.advance(now)
	switch {
	case n.role != Leader: // it lost its quorum, or was removed from the voters
	case n.leaving():
		n.removeSelfOrTransfer(now)
	case n.ownClockDrifts() && n.canTransfer(now):
		n.transferLeadership(now)
	default:
		n.maintainVoters(now)
	}
}

// Step processes a message.
func (n *Node) Step(msg *Message, now float64) {
	switch msg.Kind {
	case RequestPreVote:
		n.handlePreVoteRequest(msg, now)
	case PreVoteResponse:
		n.handlePreVoteResponse(msg, now)
	case RequestVote:
		n.handleVoteRequest(msg, now)
	case VoteResponse:
		n.handleVoteResponse(msg, now)
	case AppendEntries:
		n.handleAppend(msg, now)
	case AppendEntriesResponse:
		n.handleAppendResponse(msg, now)
	case Join:
		n.handleJoin(msg, now)
	case Leave:
		n.setLeaving(msg.From.ID, true, now)
	case TimeoutNow:
		n.handleTimeoutNow(msg, now)
	}
}

// Dirty reports whether HardState must be synced before Messages are sent.
func (n *Node) Dirty() bool { return n.unsynced }

// Synced tells the node that HardState, as it is now, is on disk.
func (n *Node) Synced(now float64) {
	n.unsynced = false
	if n.role == Leader {
		n.advance(now)
	}
}

// Messages returns the queued messages in order and empties the queue.
func (n *Node) Messages() []Envelope {
	messages := n.outbox
	n.outbox = nil
	return messages
}

// Role returns this node's role.
func (n *Node) Role() Role {
	if n.role == preCandidate {
		return Candidate
	}
	return n.role
}

// Leader returns the known leader, possibly this node itself, and false if none is known.
func (n *Node) Leader() (Voter, bool) {
	if n.role == Leader {
		return n.self(), true
	}
	return n.leader, n.leader.ID != ""
}

// Established reports whether this node leads and knows everything that was ever committed.
func (n *Node) Established() bool { return n.role == Leader && n.termCommitted }

// Committed returns the latest entry known to be committed, also while another is in flight; false if there is none.
func (n *Node) Committed() (Entry, bool) { return n.committed, n.committed.Index > 0 }

// InFlight reports whether the last entry is not yet known to be committed, or this node has not yet committed an entry
// of its own term as leader. No value can be proposed then.
func (n *Node) InFlight() bool {
	return n.HardState.Commit < n.HardState.Last.Index || !n.termCommitted
}

func (n *Node) self() Voter { return Voter{n.HardState.ID, n.options.Addr} }
