package group

import "weirwind/internal/member/wire"

// Failure detection. Times are in milliseconds.
const (
	minProbeInterval = 200.0 // between two probes while the slot is empty and something waits, at first
	maxProbeInterval = 800.0
	probeBackoff     = 1.5 // factor of an interval over the one before

	minSuspicion       = 220.0 // time without any answer until a primary with pending requests is suspected, at least
	suspicionLatencies = 6.0   // and at least so many times its latency
	commitStall        = 450.0 // a commit unanswered for so long, while its member answers other requests, is stalled
)

// Outcome is how a request to a member ended.
type Outcome uint8

// Outcomes of requests.
const (
	Answered          Outcome = iota // as a member of any role may answer
	AnsweredAsPrimary                // as only a primary answers
	RefusedReadOnly                  // it is no primary: the request missed
	RefusedLagging                   // its log does not reach the required position
	NoAnswer                         // the connection ended, or the deadline passed
	ConnectFailed                    // no connection could be made

	OutcomeCount // of them
)

// outcomeNames are labels of figures, and stay as they are.
var outcomeNames = [OutcomeCount]string{"answered", "answered_as_primary", "refused_read_only", "refused_lagging",
	"no_answer", "connect_failed"}

// String is the outcome's name in figures.
func (o Outcome) String() string { return outcomeNames[o] }

// RecordSend notes a request to a member at now. commit: its answer waits for replicas too.
func (g *Group) RecordSend(member *Member, now float64, commit bool) {
	member.pendingSends = append(member.pendingSends, now)
	if commit {
		member.pendingCommits = append(member.pendingCommits, now)
	}
}

// RecordOutcome notes how the request that was sent at sentAt ended, and the log position in its answer.
func (g *Group) RecordOutcome(member *Member, sentAt, now float64, outcome Outcome, position wire.Position) {
	member.pendingSends = remove(member.pendingSends, sentAt)
	member.pendingCommits = remove(member.pendingCommits, sentAt)
	switch outcome {
	case NoAnswer:
		return
	case ConnectFailed:
		g.recordConnectFailure(member, now)
		return
	}
	member.responded(now)
	member.latency += (now - sentAt - member.latency) * latencySmoothing
	if member.Position.Less(position) {
		member.Position = position
	}
	switch outcome {
	case AnsweredAsPrimary:
		g.confirmPrimary(member, sentAt, "answer", position)
	case RefusedReadOnly:
		member.replicaSeenAt = now
		reason := "miss"
		if sentAt < g.Slot.SeenAt {
			reason = "miss, late"
		}
		g.vacateSlot(member.ID, now, reason)
	case RefusedLagging:
		member.laggedAt = now
	}
}

// recordConnectFailure ejects a member that takes no connection. One that answers on other connections has only no
// capacity for more at the moment.
func (g *Group) recordConnectFailure(member *Member, now float64) {
	if now-member.lastResponse < minEjection {
		return
	}
	member.eject(now)
	if g.Slot.Holder == member.ID {
		g.emptySlot(now, true, member.ID+" takes no connection")
	}
}

// confirmPrimary takes an answer that only a primary gives, to a request of the time requestedAt.
func (g *Group) confirmPrimary(member *Member, requestedAt float64, source string, position wire.Position) {
	g.offerSlot(member, requestedAt, source)
	if g.Slot.Holder == member.ID {
		g.watermarks.add(requestedAt, position)
	}
}

// RecordProbe notes the answer to a probe that was sent at sentAt.
func (g *Group) RecordProbe(member *Member, sentAt, now float64, status wire.MemberStatus) {
	member.probing = false
	member.responded(now)
	if !status.Primary {
		member.replicaSeenAt = now
		g.vacateSlot(member.ID, now, "replica by probe")
		return
	}
	if member.Position.Less(status.Received) {
		member.Position = status.Received
	}
	g.confirmPrimary(member, sentAt, "probe", status.Received)
}

// RecordProbeFailure notes that a probe was not answered.
func (g *Group) RecordProbeFailure(member *Member) { member.probing = false }

// SuspectPrimary checks whether the primary has requests pending and has answered nothing for too long. It returns
// true if the primary is suspected from now on.
func (g *Group) SuspectPrimary(now float64) bool {
	p := g.Primary()
	if p == nil || p.Suspected || len(p.pendingSends) == 0 {
		return false
	}
	if p.unresponsiveFor(now) < max(minSuspicion, suspicionLatencies*p.latency) {
		return false
	}
	p.Suspected = true
	g.resetProbes(now)
	return true
}

// TypicalLatency is the primary's average time from a request to its answer, in milliseconds; while there is no
// primary, that of the slowest member.
func (g *Group) TypicalLatency() float64 {
	if p := g.Primary(); p != nil {
		return p.latency
	}
	slowest := 0.0
	for _, m := range g.Members {
		slowest = max(slowest, m.latency)
	}
	return slowest
}

// CommitsStalled says that the primary answers requests, but has not answered a commit for too long: its replicas may
// not receive what it writes.
func (g *Group) CommitsStalled(now float64) bool {
	p := g.Primary()
	if p == nil || len(p.pendingCommits) == 0 {
		return false
	}
	oldest := p.pendingCommits[0]
	return now-oldest > commitStall && p.lastResponse > oldest+commitStall/2
}

// PrimaryUnresponsiveFor is how long the primary's oldest request is pending with no other answer since, in
// milliseconds; 0 if none is pending.
func (g *Group) PrimaryUnresponsiveFor(now float64) float64 {
	if p := g.Primary(); p != nil {
		return p.unresponsiveFor(now)
	}
	return 0
}

// ProbesToSend returns the members to send a health check now, and takes them for being checked: all that may lead
// while the slot is empty, or a suspected primary. The caller calls it only while something waits for a primary.
func (g *Group) ProbesToSend(now float64) []*Member {
	p := g.Primary()
	if now < g.nextProbe || p != nil && !p.Suspected {
		return nil
	}
	g.nextProbe = now + g.probeInterval
	g.probeInterval = min(g.probeInterval*probeBackoff, maxProbeInterval)
	var due []*Member
	for _, m := range g.Members {
		if !m.Draining && !m.probing && (p == nil || m == p) {
			m.probing = true
			due = append(due, m)
		}
	}
	return due
}

// resetProbes makes a probe due at once, the next ones at short intervals.
func (g *Group) resetProbes(now float64) {
	g.nextProbe, g.probeInterval = now, minProbeInterval
}
