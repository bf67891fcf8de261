package group

import "weirwind/internal/member/wire"

// Failure detection. Times are in milliseconds.
const (
	minProbeInterval = 200.0 // first interval between probes while requests wait for a primary
	maxProbeInterval = 800.0
	probeBackoff     = 1.5 // ratio of each interval to the one before

	minSuspicion           = 220.0 // shortest time without any answer until a primary with pending requests is suspected
	suspicionLatencyFactor = 6.0   // that time is also at least this multiple of the primary's latency
	commitStallTime        = 450.0 // a commit unanswered for longer, while the member answers other requests, is stalled
)

// Outcome is the way in which a request to a member ended.
type Outcome uint8

// Outcomes of requests.
const (
	Answered          Outcome = iota // with an answer that a member of any role may send
	AnsweredAsPrimary                // with an answer that only a primary sends
	RefusedReadOnly                  // the member is not the primary (a miss)
	RefusedLagging                   // its log does not reach the required position
	NoAnswer                         // the connection ended, or the deadline passed
	ConnectFailed                    // no connection could be made

	OutcomeCount // number of outcomes
)

// outcomeNames are label values of metrics.
var outcomeNames = [OutcomeCount]string{"answered", "answered_as_primary", "refused_read_only", "refused_lagging",
	"no_answer", "connect_failed"}

// String returns the outcome's name in metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// RecordSend records a request that was sent to a member. commit means that its answer waits for replicas too.
func (g *Group) RecordSend(member *Member, now float64, commit bool) {
	member.pendingSends = append(member.pendingSends, now)
	if commit {
		member.pendingCommits = append(member.pendingCommits, now)
	}
}

// RecordOutcome records how the request that was sent at sentAt ended, and the log position in its answer.
func (g *Group) RecordOutcome(member *Member, sentAt, now float64, outcome Outcome, position wire.Position) {
	member.pendingSends = removeTime(member.pendingSends, sentAt)
	member.pendingCommits = removeTime(member.pendingCommits, sentAt)
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
		reason := "miss"
		if sentAt < g.Slot.SeenAt {
			reason = "miss, late"
		}
		g.recordReplica(member, sentAt, now, reason)
	case RefusedLagging:
		member.laggedAt = now
	}
}

// recordConnectFailure ejects a member that accepts no connection. A member that answers on other connections merely
// has no capacity for more at the moment, and is not ejected.
func (g *Group) recordConnectFailure(member *Member, now float64) {
	if now-member.lastResponse < minEjection {
		return
	}
	member.eject(now)
	if g.Slot.Holder == member.ID {
		g.emptySlot(now, true, member.ID+" takes no connection")
	}
}

// confirmPrimary processes an answer that only a primary sends, to a request that was sent at requestedAt.
func (g *Group) confirmPrimary(member *Member, requestedAt float64, source string, position wire.Position) {
	g.offerSlot(member, requestedAt, source)
	if g.Slot.Holder == member.ID {
		g.watermarks.add(requestedAt, position)
	}
}

// RecordProbe records the answer to a probe that was sent at sentAt.
func (g *Group) RecordProbe(member *Member, sentAt, now float64, status wire.MemberStatus) {
	member.probing = false
	member.responded(now)
	if !status.Primary {
		g.recordReplica(member, sentAt, now, "replica by probe")
		return
	}
	if member.Position.Less(status.Received) {
		member.Position = status.Received
	}
	g.confirmPrimary(member, sentAt, "probe", status.Received)
}

// RecordProbeFailure records that a probe was not answered.
func (g *Group) RecordProbeFailure(member *Member) { member.probing = false }

// SuspectPrimary suspects the primary if it has pending requests and has answered nothing for too long. It reports
// whether the primary became suspected in this call.
func (g *Group) SuspectPrimary(now float64) bool {
	primary := g.Primary()
	if primary == nil || primary.Suspected || len(primary.pendingSends) == 0 {
		return false
	}
	if primary.unresponsiveFor(now) < max(minSuspicion, suspicionLatencyFactor*primary.latency) {
		return false
	}
	primary.Suspected = true
	g.resetProbes(now)
	return true
}

// TypicalLatency returns the primary's average time from a request to its answer, in milliseconds, or that of the
// slowest member while there is no primary.
func (g *Group) TypicalLatency() float64 {
	if primary := g.Primary(); primary != nil {
		return primary.latency
	}
	slowest := 0.0
	for _, m := range g.Members {
		slowest = max(slowest, m.latency)
	}
	return slowest
}

// CommitsStalled reports whether the primary answers requests, but has not answered a commit for too long: its replicas
// may not be receiving what it writes.
func (g *Group) CommitsStalled(now float64) bool {
	primary := g.Primary()
	if primary == nil || len(primary.pendingCommits) == 0 {
		return false
	}
	oldest := primary.pendingCommits[0]
	return now-oldest > commitStallTime && primary.lastResponse > oldest+commitStallTime/2
}

// PrimaryUnresponsiveFor returns how long, in milliseconds, the primary's oldest request has been pending without any
// other answer since; 0 if none is pending.
func (g *Group) PrimaryUnresponsiveFor(now float64) float64 {
	if primary := g.Primary(); primary != nil {
		return primary.unresponsiveFor(now)
	}
	return 0
}

// ProbesToSend returns the members to send a health check to now, and marks them as being probed: all candidates for
// primary while the slot is empty or its member may not be written to, or a suspected primary. It should be called only
// while requests wait for a primary.
func (g *Group) ProbesToSend(now float64) []*Member {
	primary := g.Primary()
	if primary != nil && !g.mayWrite(primary) {
		primary = nil
	}
	if now < g.nextProbe || primary != nil && !primary.Suspected {
		return nil
	}
	g.nextProbe = now + g.probeInterval
	g.probeInterval = min(g.probeInterval*probeBackoff, maxProbeInterval)
	var due []*Member
	for _, m := range g.Members {
		if !m.Draining && !m.probing && (primary == nil || m == primary) {
			m.probing = true
			due = append(due, m)
		}
	}
	return due
}

// resetProbes makes a probe due at once, and resets the interval of the following ones.
func (g *Group) resetProbes(now float64) {
	g.nextProbe, g.probeInterval = now, minProbeInterval
}
