package proxy

import (
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/shard/shardnode"
	"weirwind/internal/util/idempotency"
)

const (
	deadlineMargin = 25.0 // milliseconds before a route's timeout by which the client must be answered
	maxAttempts    = 5

	retryPause       = 20 * time.Millisecond // before an attempt that follows a member's refusal
	minRetryTime     = 60.0                  // milliseconds to the deadline below which there is none
	maxPausedRetries = 2                     // attempts of a single statement that may be followed by such a pause
)

// execution carries out a statement outside a transaction: attempt after attempt, until its client is answered.
//
// What was sent to a member and not answered is retried only if a second run is harmless (idempotency): reads are
// idempotent, writes are not. The client of a write without an answer is answered that the outcome is unknown.
//
// An execution, its statement included, stays on the stack: the statement is a value, as what a field points to
// would not.
type execution struct {
	*session
	statement statement
	route     *config.Route
	write     bool
	deadline  float64      // milliseconds
	request   *connRequest // of a connection, the same for all attempts
	attempts  int          // attempts before the current one that count
}

// verdict is what follows from an attempt.
type verdict uint8

const (
	answered     verdict = iota // the client has its answer
	retry                       // another attempt, if there were not too many
	retryAtOwner                // another attempt at the shard's next owner; this one doesn't count
	giveUp                      // no attempt is left, and nothing of the statement was kept
)

// runSingle carries out a statement outside a transaction, for a tenant.
func (s *session) runSingle(st *statement, route *config.Route, tenant string) {
	e := execution{session: s, statement: *st, route: route, write: s.writes(st),
		deadline: st.receivedAt + route.Timeout - deadlineMargin}
	e.request = &connRequest{tenant: tenant, startedAt: st.receivedAt, deadline: e.deadline,
		valuesHash: s.kept.ValuesHash(), commit: e.write}
	if e.write {
		e.request.requirement = group.Requirement{Write: true}
	} else {
		e.request.requirement = s.readRequirement(route, st.receivedAt)
	}
	s.rowsForwarded = false
	if !attemptUntilAnswered(e.attempt) {
		s.replyError(e.request.failure(), wire.StateIdle)
	}
}

// attemptUntilAnswered makes attempts, each of which is passed the number of those before it that count. false: none is
// left, and nothing was kept of those that were made.
func attemptUntilAnswered(attempt func(previous int) verdict) bool {
	for attempts := 0; attempts < maxAttempts; {
		switch attempt(attempts) {
		case answered:
			return true
		case giveUp:
			return false
		case retry:
			attempts++
		case retryAtOwner: // bounded by the deadline: the shard has no owner until a newer map names one
		}
	}
	return false
}

// attempt sends the statement to one member.
func (e *execution) attempt(previous int) verdict {
	e.attempts = previous
	service, epoch, ok := e.resolveService(e.route, e.deadline)
	if !ok {
		return giveUp
	}
	lent, err := e.acquire(service, e.request)
	if err != nil {
		return giveUp
	}
	reply, outcome, err := e.send(lent, &e.statement, e.write, e.deadline)
	switch {
	case err != nil:
		return e.unanswered(lent, err)
	case reply.OK:
		return e.succeeded(lent, reply, outcome)
	}
	return e.refused(lent, epoch, reply, outcome)
}

func (e *execution) succeeded(lent *lentConn, reply *memberconn.Reply, outcome group.Outcome) verdict {
	// A connection on which a transaction is still open is closed, as the next client's statement would run inside it.
	e.finish(lent, reply.State == wire.StateIdle, outcome, reply.Position)
	if e.write {
		e.recordCommit(reply.Position)
	}
	e.forwardReply(reply, wire.StateIdle)
	return answered
}

// unanswered takes an attempt without an answer, or with one that doesn't belong to it.
func (e *execution) unanswered(lent *lentConn, err error) verdict {
	e.finish(lent, false, group.NoAnswer, wire.Position{})
	switch {
	case e.rowsForwarded: // another member's rows would not be those that the client has the first of
		e.replyError(errRetryLater, wire.StateIdle)
	case kindOf(e.write).MayRetry(err):
		if !e.write { // a write's next attempt goes to the primary, wherever that is
			e.request.avoidMember(lent.record.ID)
		}
		return retry
	case e.route.Shard != "":
		e.resolveOutcome(e.route, e.statement.id, e.statement.receivedAt, e.deadline)
	default:
		e.replyError(unansweredError(outcomeUnknown, lent.record.ID), wire.StateIdle)
	}
	return answered
}

// refused takes a member's FAIL.
func (e *execution) refused(lent *lentConn, epoch uint64, reply *memberconn.Reply, outcome group.Outcome) verdict {
	// A connection on which a transaction is still open is closed, which rolls it back. So is one whose member doesn't
	// know a prepared statement any more, as its state is not the one that is kept here.
	reusable := reply.State == wire.StateIdle && reply.Code != wire.CodeNoStatement
	e.finish(lent, reusable, outcome, reply.Position)
	if e.route.Shard != "" {
		switch {
		case reply.Code == shardnode.CodeMoved:
			e.shardMoved(e.route, epoch, reply.Text)
			return retryAtOwner
		case isRetryableShardCode(reply.Code):
			return giveUp
		}
	}
	switch reply.Code {
	case wire.CodeReadOnly, wire.CodeLagging: // the statement is queued and routed anew
		return retry
	case wire.CodeRetry, wire.CodeFull, wire.CodeWrongHost, wire.CodeNoStatement:
		e.request.avoidMember(lent.record.ID)
		if e.proxy.now()+minRetryTime >= e.deadline || e.attempts >= maxPausedRetries {
			return giveUp
		}
		time.Sleep(retryPause)
		return retry
	case wire.CodeFailed, wire.CodeTimeout:
		if e.mayRetryFailedRead() {
			e.request.avoidMember(lent.record.ID)
			return retry
		}
	}
	e.forwardReply(reply, wire.StateIdle)
	return answered
}

// mayRetryFailedRead: that a read failed may be the replica's fault, so that it is retried once, elsewhere.
func (e *execution) mayRetryFailedRead() bool {
	return !e.write && e.attempts == 0 && !e.request.requirement.Linearizable && !e.rowsForwarded
}

// kindOf says what a second run of a statement would do, outside a transaction or as its COMMIT. Statements inside
// a transaction are never retried: it ends with its connection. BEGIN is idempotent, as the end of its connection
// rolls it back.
func kindOf(write bool) idempotency.Kind {
	if write {
		return idempotency.AtMostOnce
	}
	return idempotency.Idempotent
}
