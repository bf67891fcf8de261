package consensus

import "math"

// Options are a node's settings. Durations are in milliseconds.
type Options struct {
	Addr                string         // of this machine, as other voters know it
	Seeds               []string       // addresses to ask for a place among the voters
	MinVoters           int            // a removal never leaves fewer voters than this, and at least one
	HeartbeatInterval   float64        // between two heartbeats of a leader
	ElectionTimeout     float64        // a follower begins an election once it heard no leader for this to 1.5 times this
	RemoveAfter         float64        // a voter silent for longer is removed if enough others vote, or one waits to join
	FormerVoterLifetime float64        // for which a leader remembers whom it removed, at least: the term of leases
	Random              func() float64 // uniform in [0, 1): spreads elections, and tells processes apart
}

// Role of a node.
type Role uint8

// Roles. Role() shows a pre-candidate as a Candidate.
const (
	Follower Role = iota
	Candidate
	Leader
	preCandidate // asks whether an election could be won
)

// Node is one machine's part of the agreement. It isn't safe for concurrent use. Times are milliseconds on
// the caller's steady clock.
type Node struct {
	options Options

	// HardState is read by the caller, and written by the node alone. Messages wait in the outbox until it is synced.
	HardState HardState
	unsynced  bool // HardState changed since the last Synced
	outbox    []Envelope

	role Role
	// leader is that of HardState.Term as far as it is known, this node itself included; zero: none is.
	leader Voter
	// lastLeaderMessage is when that leader was last heard. Before any was, and after a broken connection to
	// it, it is one ElectionTimeout ago, so that no vote is refused on its account.
	lastLeaderMessage float64

	electionState
	lastFollowed followedLeader

	// committed is the newest entry known committed; HardState.Last is that or a newer one.
	committed Entry

	leaderState
	membershipState
	contactState
	shutdownState
}

// electionState is a non-leader's.
type electionState struct {
	// electionDeadline is when the next election begins, unless it is put off.
	electionDeadline float64
	// votes are the voters that granted what is being asked for, by ID: votes of HardState.Term to a
	// candidate, pre-votes of the next term to a pre-candidate. nil for a follower.
	votes            map[string]bool
	preVoteStartedAt float64
	// transferredElection says that the newest candidacy was asked for by the leader.
	transferredElection bool
}

// followedLeader is the last leader that was followed, also after its lead.
type followedLeader struct {
	voter         Voter
	lastMessageAt float64
}

// leaderState is a leader's.
type leaderState struct {
	// progress is by ID, of the other voters and of joiners; some are of voters that were removed. It begins
	// anew with each lead.
	progress map[string]*progress
	// formerSince is when this lead saw an address vote last, at most one entry for each voter or former one.
	formerSince map[string]float64
	// round numbers heartbeats. It grows for as long as the process lives, so that no answer to an earlier
	// lead confirms a later one.
	round         uint64
	roundTimes    roundTimes
	nextHeartbeat float64
	// termCommitted says that an entry of this leader's own term is committed, and so all that was committed
	// before is known to it.
	termCommitted bool
}

// New starts a node from what its disk holds.
func New(options Options, state HardState, now float64) *Node {
	n := &Node{options: options, HardState: state}
	n.progress = map[string]*progress{}
	n.joiners, n.leavingVoters, n.removedAddrs = map[string]joiner{}, map[string]float64{}, map[string]float64{}
	if state.lastCommitted() {
		n.committed = state.Last
	}
	n.lastContact, n.incarnation = math.Inf(-1), uint32(options.Random()*math.MaxUint32)
	n.lastLeaderMessage = now - options.ElectionTimeout
	// Early: a pre-vote costs nobody anything where somebody leads.
	n.electionDeadline = now + options.ElectionTimeout*(0.2+0.4*options.Random())
	return n
}

// Tick lets time pass. Call it several times a HeartbeatInterval.
func (n *Node) Tick(now float64) {
	switch {
	case n.role == Leader:
		n.tickLeader(now)
	case n.leaving():
		// it answers, and begins nothing
	case !n.isVoter(n.HardState.ID):
		n.tickNonVoter(now)
	case now >= n.electionDeadline:
		n.preCampaign(now)
	}
}

func (n *Node) tickLeader(now float64) {
	if now >= n.nextHeartbeat {
		n.broadcastAppend(now)
	}
	n.advance(now)
	switch {
	case n.role != Leader: // no quorum, or voted out
	case n.leaving():
		n.transferOrLeave(now)
	case n.ownClockDrifts() && n.mayTransfer(now):
		n.transferLeadership(now)
	default:
		n.maintainVoters(now)
	}
}

// Step takes a message.
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

// Dirty says that HardState must be synced before Messages are sent.
func (n *Node) Dirty() bool { return n.unsynced }

// Synced says that HardState, as it is now, is on disk.
func (n *Node) Synced(now float64) {
	n.unsynced = false
	if n.role == Leader {
		n.advance(now)
	}
}

// Messages gives what is to be sent, in order, and forgets it.
func (n *Node) Messages() []Envelope {
	out := n.outbox
	n.outbox = nil
	return out
}

// Role gives this node's.
func (n *Node) Role() Role {
	if n.role == preCandidate {
		return Candidate
	}
	return n.role
}

// Leader gives the leader that is known, this node included; false: none is.
func (n *Node) Leader() (Voter, bool) {
	if n.role == Leader {
		return n.self(), true
	}
	return n.leader, n.leader.ID != ""
}

// Established says that this node leads, and that all that was ever committed is known to it.
func (n *Node) Established() bool { return n.role == Leader && n.termCommitted }

// Committed gives the newest entry known committed, also while another is in flight; false: none is.
func (n *Node) Committed() (Entry, bool) { return n.committed, n.committed.Index > 0 }

// InFlight says that an entry is not known committed yet, or that this node is no established leader: no
// value can be proposed.
func (n *Node) InFlight() bool {
	return n.HardState.Commit < n.HardState.Last.Index || !n.termCommitted
}

func (n *Node) self() Voter { return Voter{n.HardState.ID, n.options.Addr} }
