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

// transaction is one that the client has open. It begins at a member only before its first statement, so that one
// that is begun and not used takes no connection; from then on its connection is pinned, as only there it exists.
type transaction struct {
	id, text  string // of the client's BEGIN
	readOnly  bool
	startedAt float64 // milliseconds, when the BEGIN came
	route     *config.Route
	tenant    string // that it is run for, "" for none

	admitted bool // it was counted in its tenant's quota

	pinned *lentConn // nil: it has not begun at a member, or has ended there
	ran    bool      // a statement went to a member and was answered
	wrote  bool      // one that writes ran, or may have run

	failed     bool  // it is rolled back; only COMMIT or ABORT is accepted
	unreported error // why, while the client has not been answered with it
}

// begin opens a transaction, as yet at no member.
func (s *session) begin(id, text string, readOnly bool) {
	if s.tx != nil {
		s.replyError(errTransactionOpen, wire.StateInTransaction)
		return
	}
	if s.refuses() {
		s.replyError(errRetryLater, wire.StateIdle)
		return
	}
	route := s.route()
	if route == nil {
		s.replyError(databaseError(s.host), wire.StateIdle)
		return
	}
	tenant, err := s.tenantFor(route)
	if err != nil {
		s.deny()
		return
	}
	s.tx = &transaction{id: id, text: text, readOnly: readOnly, startedAt: s.proxy.now(), route: route, tenant: tenant}
	s.replyDone()
}

// abort ends the transaction on the client's ABORT.
func (s *session) abort() {
	if s.tx == nil {
		s.replyError(errNoTransaction, wire.StateIdle)
		return
	}
	s.rollBack(s.tx)
	s.tx = nil
	s.replyDone()
}

// runInTransaction carries out a statement, or the COMMIT, of the open transaction. A statement is sent once:
// without an answer the transaction ends, rolled back with its connection. Only a first statement that a member
// refused as read-only is sent to another one, in a new transaction.
func (s *session) runInTransaction(st *statement) {
	tx := s.tx
	if s.endWithdrawn(tx, st) {
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
		reply, err := s.sendInTransaction(tx, st, deadline)
		if err != nil {
			s.transactionUnanswered(tx, st, deadline, err)
			return
		}
		if reply.Code == wire.CodeReadOnly && !tx.ran && !tx.readOnly {
			s.unpin(tx, false)
			continue
		}
		s.forwardInTransaction(tx, st, &reply)
		return
	}
	s.failTransaction(errRetryLater, st)
}

// sendInTransaction sends a statement over the pinned connection and reads its answer.
func (s *session) sendInTransaction(tx *transaction, st *statement, deadline float64) (memberconn.Reply, error) {
	router, lent := s.proxy.router, tx.pinned
	var batch strings.Builder
	text, preludes := s.appendPrelude(&batch, lent.conn, st)
	memberconn.AppendQuery(&batch, st.id, text)
	sentAt := s.proxy.now()
	commit := st.parsed.Verb == "COMMIT" && tx.wrote
	router.do(func() { lent.group.routing.RecordSend(lent.member, sentAt, commit) })
	reply, err := exchange(lent.conn, batch.String(), preludes, s.proxy.timeAt(deadline), s.forwardRows)
	switch {
	case err != nil:
		s.recordOutcome(lent, sentAt, group.NoAnswer, wire.Position{})
	case reply.OK && !tx.readOnly:
		s.recordOutcome(lent, sentAt, group.AnsweredAsPrimary, reply.Position)
	default:
		s.recordOutcome(lent, sentAt, outcomeOf(&reply), reply.Position)
	}
	return reply, err
}

// transactionUnanswered ends a transaction one of whose statements was not answered. Its connection's end rolls it
// back, unless it was a COMMIT, after writes, that may have reached the member.
func (s *session) transactionUnanswered(tx *transaction, st *statement, deadline float64, err error) {
	memberID := tx.pinned.record.ID
	s.unpin(tx, false)
	switch {
	case st.parsed.Verb != "COMMIT" || !tx.wrote || !idempotency.MayHaveRun(err):
		s.failTransaction(unansweredError(aborted, memberID), st)
	case tx.route.Shard != "":
		s.tx = nil
		s.resolveOutcome(tx.route, st.id, st.receivedAt, deadline)
	default:
		s.tx = nil
		s.replyError(commitUnansweredError(memberID), wire.StateIdle)
	}
}

// forwardInTransaction forwards a member's answer and takes what it says of the transaction.
func (s *session) forwardInTransaction(tx *transaction, st *statement, reply *memberconn.Reply) {
	tx.ran = true
	if s.writes(st) && (reply.OK || mayHaveRun(reply.Code)) {
		tx.wrote = true
	}
	switch {
	case st.parsed.Verb == "COMMIT":
		s.tx = nil
		if reply.OK && tx.wrote {
			s.recordCommit(reply.Position)
		}
		s.unpin(tx, reply.State == wire.StateIdle)
		s.forwardReply(reply, wire.StateIdle)
	case reply.State != wire.StateInTransaction:
		tx.failed = true
		s.endFailed(tx, reply)
		s.forwardReply(reply, wire.StateFailedTransaction)
	default:
		s.forwardReply(reply, wire.StateInTransaction)
	}
}

// failTransaction answers a statement whose transaction has ended, with nothing of it kept.
func (s *session) failTransaction(err error, st *statement) {
	if st.parsed.Verb == "COMMIT" {
		s.tx = nil
		s.replyError(err, wire.StateIdle)
		return
	}
	s.tx.failed = true
	s.replyError(err, wire.StateFailedTransaction)
}

// pin begins the transaction at a member, whose connection is then pinned. Attempts are free: BEGIN is idempotent.
func (s *session) pin(tx *transaction, deadline float64) error {
	request := &connRequest{tenant: tx.tenant, startedAt: tx.startedAt, deadline: deadline,
		valuesHash: s.kept.ValuesHash()}
	if tx.readOnly {
		request.requirement = s.readRequirement(tx.route, tx.startedAt)
	} else {
		request.requirement = group.Requirement{Write: true}
	}
	request.admitted = tx.admitted
	if !attemptUntilAnswered(func(int) verdict { return s.attemptPin(tx, request) }) {
		return request.failure()
	}
	tx.admitted = true
	return nil
}

// attemptPin begins the transaction at one member. answered: its connection is pinned.
func (s *session) attemptPin(tx *transaction, request *connRequest) verdict {
	service, epoch, ok := s.resolveService(tx.route, request.deadline)
	if !ok {
		return giveUp
	}
	lent, err := s.acquire(service, request)
	if err != nil {
		return giveUp
	}
	reply, outcome, err := s.sendBegin(lent, tx, request.deadline)
	if err != nil {
		s.finish(lent, false, group.NoAnswer, wire.Position{})
		request.avoidMember(lent.record.ID)
		return retry
	}
	if reply.OK && reply.State == wire.StateInTransaction {
		tx.pinned = lent
		s.recordOutcome(lent, lent.sentAt, outcome, reply.Position)
		return answered
	}
	s.finish(lent, reply.State == wire.StateIdle, outcome, reply.Position)
	switch {
	case tx.route.Shard != "" && reply.Code == shardnode.CodeMoved:
		s.shardMoved(tx.route, epoch, reply.Text)
		return retryAtOwner
	case reply.Code == wire.CodeReadOnly || reply.Code == wire.CodeLagging:
		return retry
	}
	request.avoidMember(lent.record.ID)
	if s.proxy.now()+minRetryTime >= request.deadline {
		return giveUp
	}
	time.Sleep(retryPause)
	return retry
}

// sendBegin sends the transaction's BEGIN. Where the member must prove that it is the primary, that of a reading
// transaction is sent as a plain BEGIN, which only the primary accepts.
func (s *session) sendBegin(lent *lentConn, tx *transaction, deadline float64) (
	memberconn.Reply, group.Outcome, error) {
	var batch strings.Builder
	texts, _ := lent.conn.state.Sync(&s.kept, nil)
	for _, text := range texts {
		memberconn.AppendQuery(&batch, internalQueryID, text)
	}
	text, clause := tx.text, ""
	if lent.verifyPrimary {
		text = "BEGIN"
	} else if tx.readOnly {
		clause = lent.positionClause()
	}
	memberconn.AppendQuery(&batch, tx.id, clause, s.shardPrefix+text)
	reply, err := exchangeInternal(lent.conn, batch.String(), len(texts), s.proxy.timeAt(deadline))
	if err != nil {
		return reply, group.NoAnswer, err
	}
	outcome := outcomeOf(&reply)
	if reply.OK && text == "BEGIN" {
		outcome = group.AnsweredAsPrimary
	}
	return reply, outcome, nil
}

// recordCommit notes the log position of a commit of this session.
func (s *session) recordCommit(position wire.Position) {
	s.lastCommit, s.lastCommitAt = position, s.proxy.now()
}

// unpin gives the transaction's connection back. One that is not reusable is closed, which rolls the transaction
// back.
func (s *session) unpin(tx *transaction, reusable bool) {
	lent := tx.pinned
	if lent == nil {
		return
	}
	if !reusable {
		lent.conn.Close()
	}
	tx.pinned = nil
	router := s.proxy.router
	router.do(func() { router.checkIn(lent, reusable) })
}

// endFailed ends a transaction at its member that has failed there. The connection is closed, but kept where there are
// tenants: there it is seldom that another of the tenant is idle, and each new one holds up the member, which may have
// failed the transaction for want of capacity.
func (s *session) endFailed(tx *transaction, reply *memberconn.Reply) {
	if tx.tenant != "" && reply.Code != wire.CodeNoStatement {
		s.rollBack(tx)
		return
	}
	s.unpin(tx, false)
}

// rollBack ends a transaction at its member without waiting: the connection comes back once the member has answered.
func (s *session) rollBack(tx *transaction) {
	lent := tx.pinned
	if lent == nil {
		return
	}
	tx.pinned = nil
	router := s.proxy.router
	go func() { // ends by its timeout
		reusable := rolledBack(lent.conn)
		if !reusable {
			lent.conn.Close()
		}
		router.do(func() { router.checkIn(lent, reusable) })
	}()
}

// rolledBack has a member roll back the transaction on a connection, and says whether it did.
func rolledBack(conn *memberConn) bool {
	reply, err := exchangeInternal(conn, "QUERY - ABORT\r\n", 0, time.Now().Add(rollbackTimeout))
	return err == nil && reply.State == wire.StateIdle
}

// failIdleTransaction rolls back a transaction whose client is idle in it, and is answered so at its next statement.
func (s *session) failIdleTransaction() {
	if s.tx.failed {
		return
	}
	s.rollBack(s.tx)
	s.tx.failed, s.tx.unreported = true, errIdleTooLong
}

// abandonTransaction rolls back the transaction of a client that is gone.
func (s *session) abandonTransaction() {
	if s.tx != nil {
		s.rollBack(s.tx)
	}
}
