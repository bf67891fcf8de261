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
	deadlineMargin = 25.0 // the client must be answered this many milliseconds before the route's timeout
	maxAttempts    = 5    // of a statement or a BEGIN

	retryDelay        = 20 * time.Millisecond // before an attempt after a member's refusal
	minTimeForRetry   = 60.0                  // milliseconds to the deadline that an attempt after a refusal requires
	maxDelayedRetries = 2                     // of a single statement: after more attempts a refusal is not retried
)

// execution runs a statement outside a transaction. It makes attempts until the client is answered.
//
// A statement that was sent to a member and not answered is retried only if a second run is harmless (package
// idempotency): reads are idempotent, writes are not. For a write without an answer the client is told that the outcome
// is unknown.
//
// The statement is a value rather than a pointer so that it stays on the stack with the execution.
type execution struct {
	*session
	statement statement
	route     *config.Route
	write     bool
	deadline  float64      // milliseconds
	request   *connRequest // the same for all attempts

	previousAttempts int // counted attempts before the current one
}

// attemptResult is the result of an attempt.
type attemptResult uint8

const (
	attemptAnswered     attemptResult = iota // the client is answered, or the transaction has begun at a member
	attemptRetry                             // make another attempt, up to maxAttempts
	attemptRetryAtOwner                      // make another attempt at the shard's next owner; this one is not counted
	attemptGiveUp                            // make no further attempt; the statement had no effect
)

// runSingle runs a statement outside a transaction, on behalf of a tenant.
func (s *session) runSingle(st *statement, route *config.Route, tenant string) {
	e := execution{session: s, statement: *st, route: route, write: s.isWrite(st),
		deadline: st.receivedAt + route.Timeout - deadlineMargin}
	e.request = &connRequest{tenant: tenant, startedAt: st.receivedAt, deadline: e.deadline,
		valuesHash: s.sessionState.ValuesHash(), commit: e.write}
	if e.write {
		e.request.requirement = group.Requirement{Write: true}
	} else {
		e.request.requirement = s.readRequirement(route, st.receivedAt)
	}
	s.rowsForwarded = false
	if !attemptUntilAnswered(e.attempt) {
		s.replyError(e.request.replyError(), wire.StateIdle)
	}
}

// attemptUntilAnswered calls attempt, with the number of counted attempts before, until it returns attemptAnswered. It
// returns false if no attempt is left; then none of them had an effect.
func attemptUntilAnswered(attempt func(previous int) attemptResult) bool {
	for attempts := 0; attempts < maxAttempts; {
		switch attempt(attempts) {
		case attemptAnswered:
			return true
		case attemptGiveUp:
			return false
		case attemptRetry:
			attempts++
		case attemptRetryAtOwner: // bounded by the deadline, as the shard has no owner until a newer map names one
		}
	}
	return false
}

// attempt sends the statement to one member. previous is the number of counted attempts before this one.
func (e *execution) attempt(previous int) attemptResult {
	e.previousAttempts = previous
	service, epoch, ok := e.resolveService(e.route, e.deadline)
	if !ok {
		return attemptGiveUp
	}
	checkout, err := e.acquire(service, e.request)
	if err != nil {
		return attemptGiveUp
	}
	reply, outcome, err := e.send(checkout, &e.statement, e.write, e.deadline)
	switch {
	case err != nil:
		return e.handleNoResponse(checkout, err)
	case reply.OK:
		return e.handleSuccess(checkout, reply, outcome)
	}
	return e.handleFail(checkout, epoch, reply, outcome)
}

func (e *execution) handleSuccess(checkout *connCheckout, reply *memberconn.Reply,
	outcome group.Outcome) attemptResult {
	// A connection with an open transaction is closed, as the next client's statement would run inside the transaction.
	e.release(checkout, reply.State == wire.StateIdle, outcome, reply.Position)
	if !e.write || e.acknowledgeCommit(checkout, reply.Position, e.deadline) {
		e.forwardReply(reply, wire.StateIdle)
	}
	return attemptAnswered
}

// handleNoResponse handles an attempt without an answer, or with an answer that belongs to another query.
func (e *execution) handleNoResponse(checkout *connCheckout, err error) attemptResult {
	e.release(checkout, false, group.NoAnswer, wire.Position{})
	switch {
	case e.rowsForwarded: // another member's rows need not continue those that the client has
		e.replyError(errRetryLater, wire.StateIdle)
	case idempotencyOf(e.write).MayRetry(err):
		if !e.write { // the next attempt of a write goes to the primary in any case
			e.request.avoidMember(checkout.record.ID)
		}
		return attemptRetry
	case e.route.Shard != "":
		e.resolveOutcome(e.route, e.statement.id, e.statement.receivedAt, e.deadline)
	default:
		e.replyError(unansweredError(outcomeUnknown, checkout.record.ID), wire.StateIdle)
	}
	return attemptAnswered
}

// handleFail handles a member's FAIL.
func (e *execution) handleFail(checkout *connCheckout, epoch uint64, reply *memberconn.Reply,
	outcome group.Outcome) attemptResult {
	// A connection with an open transaction is closed, which rolls the transaction back. A connection whose member no
	// longer knows a prepared statement is closed because its state differs from the state recorded here.
	reusable := reply.State == wire.StateIdle && reply.Code != wire.CodeNoStatement
	e.release(checkout, reusable, outcome, reply.Position)
	if e.route.Shard != "" {
		switch {
		case reply.Code == shardnode.CodeMoved:
			e.handleShardMoved(e.route, epoch, reply.Text)
			return attemptRetryAtOwner
		case isRetryableShardCode(reply.Code):
			return attemptGiveUp
		}
	}
	switch reply.Code {
	case wire.CodeReadOnly, wire.CodeLagging: // queue and route the statement again
		return attemptRetry
	case wire.CodeRetry, wire.CodeFull, wire.CodeWrongHost, wire.CodeNoStatement:
		e.request.avoidMember(checkout.record.ID)
		if e.proxy.now()+minTimeForRetry >= e.deadline || e.previousAttempts >= maxDelayedRetries {
			return attemptGiveUp
		}
		time.Sleep(retryDelay)
		return attemptRetry
	case wire.CodeFailed, wire.CodeTimeout:
		if e.mayRetryFailedRead() {
			e.request.avoidMember(checkout.record.ID)
			return attemptRetry
		}
	}
	e.forwardReply(reply, wire.StateIdle)
	return attemptAnswered
}

// mayRetryFailedRead reports whether a failed read may be retried. It is retried once at another member, as the replica
// may have caused the failure.
func (e *execution) mayRetryFailedRead() bool {
	return !e.write && e.previousAttempts == 0 && !e.request.requirement.Linearizable && !e.rowsForwarded
}

// idempotencyOf returns the kind of a statement outside a transaction. Statements inside a transaction are never
// retried, as the transaction ends with its connection. BEGIN is idempotent, as the end of its connection rolls the
// transaction back.
func idempotencyOf(write bool) idempotency.Kind {
	if write {
		return idempotency.AtMostOnce
	}
	return idempotency.Idempotent
}
