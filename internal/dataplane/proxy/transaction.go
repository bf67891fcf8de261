package proxy

import (
	"strings"
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/shard/shardnode"
	"weirwind/internal/util/idempotency"
)

const rollbackTimeout = time.Second

// transaction is the transaction that a client has open. It begins at a member just before its first statement, so that
// an unused transaction takes no connection. From then on its connection is pinned to the session.
type transaction struct {
	id, text  string // of the client's BEGIN
	readOnly  bool
	startedAt float64 // arrival of the BEGIN in milliseconds
	route     *config.Route
	tenant    string // the tenant for which it runs, "" for none

	admitted bool // it was counted in the quota of its tenant

	pinned         *connCheckout // nil before it begins at a member and after it has ended there
	statementRan   bool          // a member has answered one of its statements
	writeRan       bool          // one of its writes ran or may have run
	writeSucceeded bool          // one of its writes was answered with success; implies writeRan

	failed          bool  // it was rolled back; only COMMIT or ABORT is accepted
	unreportedError error // the reason of the failure, until the client is answered with it
}

// begin opens a transaction for the session. It does not begin at a member yet.
func (s *session) begin(id, text string, readOnly bool) {
	if s.tx != nil {
		s.replyError(errTransactionOpen, wire.StateInTransaction)
		return
	}
	route, tenant, ok := s.startOperation()
	if !ok {
		return
	}
	s.tx = &transaction{id: id, text: text, readOnly: readOnly, startedAt: s.proxy.now(), route: route, tenant: tenant}
	s.replyDone()
}

// abort handles the client's ABORT.
func (s *session) abort() {
	if s.tx == nil {
		s.replyError(errNoTransaction, wire.StateIdle)
		return
	}
	s.rollBack(s.tx)
	s.tx = nil
	s.replyDone()
}

// runInTransaction runs a statement or the COMMIT of the open transaction. A statement is sent once: if it is not
// answered, the transaction is rolled back by closing its connection. Only a first statement that the member refused as
// read-only is sent again, to another member in a new transaction.
func (s *session) runInTransaction(st *statement) {
	tx := s.tx
	if s.rollBackIfKeyRevoked(tx, st) {
		return
	}
	deadline := st.receivedAt + tx.route.Timeout - deadlineMargin
	for range maxAttempts {
		if tx.pinned == nil {
			if err := s.pin(tx, deadline); err != nil {
				s.failTransaction(err, st)
				return
			}
		}
		if s.isCommitOfWrites(tx, st) && !s.mayWritePinned(tx) {
			s.rollBack(tx)
			s.failTransaction(errPrimaryReplaced, st)
			return
		}
		reply, err := s.sendInTransaction(tx, st, deadline)
		if err != nil {
			s.handleNoResponseInTransaction(tx, st, deadline, err)
			return
		}
		if reply.Code == wire.CodeReadOnly && !tx.statementRan && !tx.readOnly {
			s.unpin(tx, false)
			continue
		}
		s.forwardInTransaction(tx, st, &reply, deadline)
		return
	}
	s.failTransaction(errRetryLater, st)
}

// isCommitOfWrites reports whether a statement is the COMMIT of a transaction that has written, or may have.
func (s *session) isCommitOfWrites(tx *transaction, st *statement) bool {
	return st.parsed.Verb == "COMMIT" && tx.writeRan
}

// mayWritePinned reports whether the member at which the transaction runs may be written to.
func (s *session) mayWritePinned(tx *transaction) bool {
	return s.proxy.writers.mayWrite(tx.pinned.group.routing.Service, tx.pinned.record.ID)
}

// sendInTransaction sends a statement over the pinned connection and returns the reply.
func (s *session) sendInTransaction(tx *transaction, st *statement, deadline float64) (memberconn.Reply, error) {
	router, checkout := s.proxy.router, tx.pinned
	var batch strings.Builder
	text, preludes := s.appendPrelude(&batch, checkout.conn, st)
	memberconn.AppendQuery(&batch, st.id, text)
	sentAt := s.proxy.now()
	commit := s.isCommitOfWrites(tx, st)
	router.do(func() { checkout.group.routing.RecordSend(checkout.member, sentAt, commit) })
	reply, err := exchange(checkout.conn, batch.String(), preludes, s.proxy.timeAt(deadline), s.forwardRows)
	if err != nil {
		s.recordOutcome(checkout, sentAt, group.NoAnswer, wire.Position{})
		return reply, err
	}
	s.recordOutcome(checkout, sentAt, tx.outcomeOf(st, &reply), reply.Position)
	return reply, nil
}

// outcomeOf returns the outcome for routing of a member's reply to a statement of the transaction. Unless the
// transaction is read-only, a success proves that the member is the primary, with one exception: a member that has lost
// the lead refuses all statements but the COMMIT of a transaction that wrote nothing.
func (tx *transaction) outcomeOf(st *statement, reply *memberconn.Reply) group.Outcome {
	mayBeReplica := tx.readOnly || st.parsed.Verb == "COMMIT" && !tx.writeSucceeded
	if reply.OK && !mayBeReplica {
		return group.AnsweredAsPrimary
	}
	return outcomeOf(reply)
}

// handleNoResponseInTransaction ends a transaction after a statement without an answer. Closing the connection rolls
// the transaction back, unless the statement was a COMMIT after writes that may have reached the member.
func (s *session) handleNoResponseInTransaction(tx *transaction, st *statement, deadline float64, err error) {
	memberID := tx.pinned.record.ID
	s.unpin(tx, false)
	switch {
	case st.parsed.Verb != "COMMIT" || !tx.writeRan || !idempotency.MayHaveRun(err):
		s.failTransaction(unansweredError(aborted, memberID), st)
	case tx.route.Shard != "":
		s.tx = nil
		s.resolveOutcome(tx.route, st.id, st.receivedAt, deadline)
	default:
		s.tx = nil
		s.replyError(commitUnansweredError(memberID), wire.StateIdle)
	}
}

// forwardInTransaction forwards a member's reply and updates the state of the transaction from it.
func (s *session) forwardInTransaction(tx *transaction, st *statement, reply *memberconn.Reply, deadline float64) {
	tx.statementRan = true
	if s.isWrite(st) {
		tx.writeRan = tx.writeRan || reply.OK || mayHaveRun(reply.Code)
		tx.writeSucceeded = tx.writeSucceeded || reply.OK
	}
	switch {
	case st.parsed.Verb == "COMMIT":
		s.tx = nil
		checkout := tx.pinned
		s.unpin(tx, reply.State == wire.StateIdle)
		written := reply.OK && tx.writeRan
		if !written || s.acknowledgeCommit(checkout, reply.Position, deadline) {
			s.forwardReply(reply, wire.StateIdle)
		}
	case reply.State != wire.StateInTransaction:
		tx.failed = true
		s.releaseFailed(tx, reply)
		s.forwardReply(reply, wire.StateFailedTransaction)
	default:
		s.forwardReply(reply, wire.StateInTransaction)
	}
}

// failTransaction answers a statement whose transaction was rolled back or never began at a member.
func (s *session) failTransaction(err error, st *statement) {
	if st.parsed.Verb == "COMMIT" {
		s.tx = nil
		s.replyError(err, wire.StateIdle)
		return
	}
	s.tx.failed = true
	s.replyError(err, wire.StateFailedTransaction)
}

// pin begins the transaction at a member and pins the connection. It may make several attempts, as BEGIN is idempotent.
func (s *session) pin(tx *transaction, deadline float64) error {
	request := &connRequest{tenant: tx.tenant, startedAt: tx.startedAt, deadline: deadline,
		valuesHash: s.sessionState.ValuesHash()}
	if tx.readOnly {
		request.requirement = s.readRequirement(tx.route, tx.startedAt)
	} else {
		request.requirement = group.Requirement{Write: true}
	}
	request.admitted = tx.admitted
	if !attemptUntilAnswered(func(int) attemptResult { return s.pinAt(tx, request) }) {
		return request.replyError()
	}
	tx.admitted = true
	return nil
}

// pinAt tries to begin the transaction at one member. It returns attemptAnswered if the connection is pinned.
func (s *session) pinAt(tx *transaction, request *connRequest) attemptResult {
	service, epoch, ok := s.resolveService(tx.route, request.deadline)
	if !ok {
		return attemptGiveUp
	}
	checkout, err := s.acquire(service, request)
	if err != nil {
		return attemptGiveUp
	}
	reply, outcome, err := s.sendBegin(checkout, tx, request.deadline)
	if err != nil {
		s.release(checkout, false, group.NoAnswer, wire.Position{})
		request.avoidMember(checkout.record.ID)
		return attemptRetry
	}
	if reply.OK && reply.State == wire.StateInTransaction {
		tx.pinned = checkout
		s.recordOutcome(checkout, checkout.sentAt, outcome, reply.Position)
		return attemptAnswered
	}
	s.release(checkout, reply.State == wire.StateIdle, outcome, reply.Position)
	switch {
	case tx.route.Shard != "" && reply.Code == shardnode.CodeMoved:
		s.handleShardMoved(tx.route, epoch, reply.Text)
		return attemptRetryAtOwner
	case reply.Code == wire.CodeReadOnly || reply.Code == wire.CodeLagging:
		return attemptRetry
	}
	request.avoidMember(checkout.record.ID)
	if s.proxy.now()+minTimeForRetry >= request.deadline {
		return attemptGiveUp
	}
	time.Sleep(retryDelay)
	return attemptRetry
}

// sendBegin sends the BEGIN of the transaction. If the member must prove that it is the primary, the BEGIN of a
// read-only transaction is sent as a plain BEGIN, which only the primary accepts.
func (s *session) sendBegin(checkout *connCheckout, tx *transaction, deadline float64) (
	memberconn.Reply, group.Outcome, error) {
	var batch strings.Builder
	texts, _ := checkout.conn.state.Sync(&s.sessionState, nil)
	for _, text := range texts {
		memberconn.AppendQuery(&batch, internalQueryID, text)
	}
	text, clause := tx.text, ""
	if checkout.verifyPrimary {
		text = "BEGIN"
	} else if tx.readOnly {
		clause = checkout.positionClause()
	}
	memberconn.AppendQuery(&batch, tx.id, clause, s.shardPrefix+text)
	reply, err := exchangeInternal(checkout.conn, batch.String(), len(texts), s.proxy.timeAt(deadline))
	if err != nil {
		return reply, group.NoAnswer, err
	}
	outcome := outcomeOf(&reply)
	if reply.OK && text == "BEGIN" {
		outcome = group.AnsweredAsPrimary
	}
	return reply, outcome, nil
}

// recordCommit records the log position of the session's last commit.
func (s *session) recordCommit(position wire.Position) {
	s.lastCommit, s.lastCommitAt = position, s.proxy.now()
}

// unpin returns the connection of the transaction. A connection that is not reusable is closed, which rolls the
// transaction back.
func (s *session) unpin(tx *transaction, reusable bool) {
	checkout := tx.pinned
	if checkout == nil {
		return
	}
	if !reusable {
		checkout.conn.Close()
	}
	tx.pinned = nil
	router := s.proxy.router
	router.do(func() { router.checkIn(checkout, reusable) })
}

// releaseFailed ends a transaction at the member where it has failed. Without a tenant it closes the connection. With a
// tenant it rolls back and keeps the connection: the tenant rarely has another idle connection, and each new one delays
// the member, which may have failed the transaction for lack of capacity.
func (s *session) releaseFailed(tx *transaction, reply *memberconn.Reply) {
	if tx.tenant != "" && reply.Code != wire.CodeNoStatement {
		s.rollBack(tx)
		return
	}
	s.unpin(tx, false)
}

// rollBack rolls back a transaction at its member without waiting. The connection is returned once the member has
// answered.
func (s *session) rollBack(tx *transaction) {
	checkout := tx.pinned
	if checkout == nil {
		return
	}
	tx.pinned = nil
	router := s.proxy.router
	go func() { // ends after rollbackTimeout at the latest
		reusable := rollBackConn(checkout.conn)
		if !reusable {
			checkout.conn.Close()
		}
		router.do(func() { router.checkIn(checkout, reusable) })
	}()
}

// rollBackConn rolls back the transaction on a connection and reports whether that succeeded.
func rollBackConn(conn *memberConn) bool {
	reply, err := exchangeInternal(conn, "QUERY - ABORT\r\n", 0, time.Now().Add(rollbackTimeout))
	return err == nil && reply.State == wire.StateIdle
}

// failIdleTransaction rolls back the transaction of an idle client. The client gets the error at its next statement.
func (s *session) failIdleTransaction() {
	if s.tx.failed {
		return
	}
	s.rollBack(s.tx)
	s.tx.failed, s.tx.unreportedError = true, errTransactionIdle
}

// abandonTransaction rolls back the open transaction of a session that ends.
func (s *session) abandonTransaction() {
	if s.tx != nil {
		s.rollBack(s.tx)
	}
}
