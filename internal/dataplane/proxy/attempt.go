package proxy

import (
	"errors"
	"strings"
	"time"

	"weirwind/internal/dataplane/group"
	"weirwind/internal/dataplane/sessionstate"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/idempotency"
)

// readTimeout is the time limit of one attempt of a read, in milliseconds. After it the read is retried at another
// member. A write is not retried and waits until its deadline.
const readTimeout = 450.0

// acquire checks out a member connection that the member has not closed while it was idle. It waits for a connection
// until the request's deadline is near.
func (s *session) acquire(service string, request *connRequest) (*connCheckout, error) {
	router := s.proxy.router
	for {
		request.reply, request.dialing = make(chan connCheckout, 1), ""
		router.do(func() { router.enqueue(service, request) })
		var checkout connCheckout
		select {
		case checkout = <-request.reply:
		case <-s.proxy.ctx.Done():
			return nil, errRetryLater
		}
		if checkout.err != nil {
			return nil, checkout.err
		}
		if checkout.conn.Alive() {
			return &checkout, nil
		}
		s.release(&checkout, false, group.NoAnswer, wire.Position{})
	}
}

// release returns a connection after its only request, which ended with the outcome. A connection that is not reusable
// is closed, so that the member rolls back a transaction that is open on it.
func (s *session) release(checkout *connCheckout, reusable bool, outcome group.Outcome, position wire.Position) {
	if !reusable {
		checkout.conn.Close()
	}
	router := s.proxy.router
	router.do(func() {
		router.recordOutcome(checkout, checkout.sentAt, outcome, position)
		router.checkIn(checkout, reusable)
	})
}

// recordOutcome records how a request ended on a connection that stays checked out.
func (s *session) recordOutcome(checkout *connCheckout, sentAt float64, outcome group.Outcome, position wire.Position) {
	router := s.proxy.router
	router.do(func() { router.recordOutcome(checkout, sentAt, outcome, position) })
}

// send sends a single statement to a member. It returns the reply and the outcome for routing.
func (s *session) send(checkout *connCheckout, st *statement, write bool, deadline float64) (
	*memberconn.Reply, group.Outcome, error) {
	if write {
		return s.sendWrite(checkout, st, s.proxy.timeAt(deadline))
	}
	readDeadline := s.proxy.timeAt(min(deadline, s.proxy.now()+readTimeout))
	if checkout.verifyPrimary {
		return s.sendVerifiedRead(checkout, st, readDeadline)
	}
	return s.sendRead(checkout, st, readDeadline)
}

func (s *session) sendWrite(checkout *connCheckout, st *statement, deadline time.Time) (
	*memberconn.Reply, group.Outcome, error) {
	var batch strings.Builder
	text, preludes := s.appendPrelude(&batch, checkout.conn, st)
	memberconn.AppendQuery(&batch, st.id, text)
	reply, err := exchange(checkout.conn, batch.String(), preludes, deadline, discardRows)
	if err != nil {
		return nil, 0, err
	}
	outcome := outcomeOf(&reply)
	if reply.OK {
		outcome = group.AnsweredAsPrimary
	}
	return &reply, outcome, nil
}

// sendRead sends a read that may be answered by any member whose log has reached the position that the read must see.
func (s *session) sendRead(checkout *connCheckout, st *statement, deadline time.Time) (
	*memberconn.Reply, group.Outcome, error) {
	var batch strings.Builder
	text, preludes := s.appendPrelude(&batch, checkout.conn, st)
	memberconn.AppendQuery(&batch, st.id, checkout.positionClause(), text)
	reply, err := exchange(checkout.conn, batch.String(), preludes, deadline, s.forwardRows)
	if err != nil {
		return nil, 0, err
	}
	return &reply, outcomeOf(&reply), nil
}

// sendVerifiedRead sends a read inside a transaction that the proxy begins, because a member that is no longer the
// primary refuses BEGIN. It waits for the answer to BEGIN before it sends the read: otherwise rows of a member that has
// lost its role could be forwarded before the refusal is known. The transaction is rolled back afterwards.
func (s *session) sendVerifiedRead(checkout *connCheckout, st *statement, deadline time.Time) (
	*memberconn.Reply, group.Outcome, error) {
	var batch strings.Builder
	text, preludes := s.appendPrelude(&batch, checkout.conn, st)
	memberconn.AppendQuery(&batch, internalQueryID, "BEGIN")
	beginReply, err := exchangeInternal(checkout.conn, batch.String(), preludes, deadline)
	if err != nil {
		return nil, 0, err
	}
	if !beginReply.OK {
		return &beginReply, outcomeOf(&beginReply), nil
	}
	batch.Reset()
	memberconn.AppendQuery(&batch, st.id, text)
	memberconn.AppendQuery(&batch, internalQueryID, "ABORT")
	reply, err := exchange(checkout.conn, batch.String(), 0, deadline, s.forwardRows)
	if err != nil {
		return nil, 0, err
	}
	outcome := outcomeOf(&reply)
	abortReply, err := checkout.conn.ReadReply(nil)
	if err != nil {
		return nil, 0, err
	}
	reply.State = abortReply.State
	if reply.OK {
		outcome = group.AnsweredAsPrimary
	}
	return &reply, outcome, nil
}

// positionClause returns the AFTER clause by which the member checks that its log has reached the position that the
// read must see. It returns "" if the read requires no position.
func (c *connCheckout) positionClause() string {
	if c.minPosition.IsZero() {
		return ""
	}
	return "AFTER " + c.minPosition.String()
}

// appendPrelude appends to a batch the queries that bring the connection to the session's state. It returns the text
// of the statement in the form to send on this connection, and the number of queries that it appended.
func (s *session) appendPrelude(batch *strings.Builder, conn *memberConn, st *statement) (text string, preludes int) {
	text = st.text
	var prepared *sessionstate.Statement
	if st.parsed.Verb == "EXEC" {
		original, _ := s.sessionState.Prepared(st.parsed.Name)
		prepared = &original
	}
	preludeTexts, memberName := conn.state.Sync(&s.sessionState, prepared)
	for _, preludeText := range preludeTexts {
		memberconn.AppendQuery(batch, internalQueryID, preludeText)
	}
	if prepared != nil {
		text = "EXEC " + memberName + " " + st.parsed.Args
	}
	if s.tx == nil { // in a transaction the BEGIN had the prefix
		text = s.shardPrefix + text
	}
	return text, len(preludeTexts)
}

// exchange sends a batch, reads the answers to its preludes and returns the answer to its statement. It passes rows
// beyond the buffer limit to forward.
func exchange(conn *memberConn, batch string, preludes int, deadline time.Time,
	forward func(rows []string) error) (memberconn.Reply, error) {
	if err := sendBatch(conn, batch, preludes, deadline); err != nil {
		return memberconn.Reply{}, err
	}
	reply, err := conn.ReadReply(forward)
	return reply, requireStamp(&reply, err)
}

// exchangeInternal is like exchange, for a query that the proxy itself makes or for a BEGIN. Their answers bear no
// stamp, and no rows are forwarded.
func exchangeInternal(conn *memberConn, batch string, preludes int, deadline time.Time) (memberconn.Reply, error) {
	if err := sendBatch(conn, batch, preludes, deadline); err != nil {
		return memberconn.Reply{}, err
	}
	return conn.ReadReply(nil)
}

// sendBatch sends a batch and reads the answers to its preludes. It returns an error unless all of them succeeded.
func sendBatch(conn *memberConn, batch string, preludes int, deadline time.Time) error {
	if err := conn.WriteBatch(batch, deadline); err != nil {
		return err
	}
	for range preludes {
		reply, err := conn.ReadReply(nil)
		if err != nil {
			return err
		}
		if !reply.OK || reply.Text != wire.NoStamp {
			return errors.New("a member refused a query that sets up the session state: " + reply.Text)
		}
	}
	return nil
}

// requireStamp returns an error for a success without a stamp: such a reply belongs to another query, so this query was
// not answered.
func requireStamp(reply *memberconn.Reply, err error) error {
	if err == nil && reply.OK && reply.Text == wire.NoStamp {
		return &idempotency.NoResponseError{Progress: idempotency.MaybeSent, Err: errors.New("the reply has no stamp")}
	}
	return err
}

// discardRows drops rows beyond the buffer limit. It is used for writes, whose rows are not needed.
func discardRows([]string) error { return nil }

// outcomeOf returns the outcome for routing of a member's reply, without regard to the member's role.
func outcomeOf(reply *memberconn.Reply) group.Outcome {
	switch reply.Code {
	case wire.CodeReadOnly:
		return group.RefusedReadOnly
	case wire.CodeLagging:
		return group.RefusedLagging
	}
	return group.Answered
}
