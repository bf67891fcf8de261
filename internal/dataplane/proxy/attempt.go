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

// readTimeout bounds one attempt of a read, in milliseconds: then the read is retried at another member. A
// write is not retried, and waits until its deadline.
const readTimeout = 450.0

// acquire borrows a member connection, and checks that the member has not closed it while it was idle. It waits until
// there is one, at the latest until the request's deadline is near.
func (s *session) acquire(service string, request *connRequest) (*lentConn, error) {
	router := s.proxy.router
	for {
		request.reply, request.dialing = make(chan lentConn, 1), ""
		router.do(func() { router.enqueue(service, request) })
		var lent lentConn
		select {
		case lent = <-request.reply:
		case <-s.proxy.ctx.Done():
			return nil, errRetryLater
		}
		if lent.err != nil {
			return nil, lent.err
		}
		if lent.conn.Alive() {
			return &lent, nil
		}
		s.finish(&lent, false, group.NoAnswer, wire.Position{})
	}
}

// finish gives back a connection whose one request ended with the outcome. A connection that is not reusable is
// closed, which rolls back what is open on it.
func (s *session) finish(lent *lentConn, reusable bool, outcome group.Outcome, position wire.Position) {
	if !reusable {
		lent.conn.Close()
	}
	router := s.proxy.router
	router.do(func() {
		router.recordOutcome(lent, lent.sentAt, outcome, position)
		router.checkIn(lent, reusable)
	})
}

// recordOutcome notes how a request ended on a connection that stays checked out.
func (s *session) recordOutcome(lent *lentConn, sentAt float64, outcome group.Outcome, position wire.Position) {
	router := s.proxy.router
	router.do(func() { router.recordOutcome(lent, sentAt, outcome, position) })
}

// send sends a single statement to a member and reads its answer, with what it means for routing.
func (s *session) send(lent *lentConn, st *statement, write bool, deadline float64) (
	*memberconn.Reply, group.Outcome, error) {
	if write {
		return s.sendWrite(lent, st, s.proxy.timeAt(deadline))
	}
	until := s.proxy.timeAt(min(deadline, s.proxy.now()+readTimeout))
	if lent.verifyPrimary {
		return s.sendVerifiedRead(lent, st, until)
	}
	return s.sendRead(lent, st, until)
}

func (s *session) sendWrite(lent *lentConn, st *statement, deadline time.Time) (
	*memberconn.Reply, group.Outcome, error) {
	var batch strings.Builder
	text, preludes := s.appendPrelude(&batch, lent.conn, st)
	memberconn.AppendQuery(&batch, st.id, text)
	reply, err := exchange(lent.conn, batch.String(), preludes, deadline, discardRows)
	if err != nil {
		return nil, 0, err
	}
	outcome := outcomeOf(&reply)
	if reply.OK {
		outcome = group.AnsweredAsPrimary
	}
	return &reply, outcome, nil
}

// sendRead sends a read that any member may answer whose log reaches the position that the read must see.
func (s *session) sendRead(lent *lentConn, st *statement, deadline time.Time) (
	*memberconn.Reply, group.Outcome, error) {
	var batch strings.Builder
	text, preludes := s.appendPrelude(&batch, lent.conn, st)
	memberconn.AppendQuery(&batch, st.id, lent.positionClause(), text)
	reply, err := exchange(lent.conn, batch.String(), preludes, deadline, s.forwardRows)
	if err != nil {
		return nil, 0, err
	}
	return &reply, outcomeOf(&reply), nil
}

// sendVerifiedRead sends a read in a transaction of the proxy's own, as a member that is no longer the primary
// refuses to begin one. The answer to BEGIN is awaited before the read is sent: had the member lost its role in
// between, its rows could be forwarded before that is known. The transaction is rolled back, and nothing of it is
// kept.
func (s *session) sendVerifiedRead(lent *lentConn, st *statement, deadline time.Time) (
	*memberconn.Reply, group.Outcome, error) {
	var batch strings.Builder
	text, preludes := s.appendPrelude(&batch, lent.conn, st)
	memberconn.AppendQuery(&batch, internalQueryID, "BEGIN")
	begun, err := exchangeInternal(lent.conn, batch.String(), preludes, deadline)
	if err != nil {
		return nil, 0, err
	}
	if !begun.OK {
		return &begun, outcomeOf(&begun), nil
	}
	batch.Reset()
	memberconn.AppendQuery(&batch, st.id, text)
	memberconn.AppendQuery(&batch, internalQueryID, "ABORT")
	reply, err := exchange(lent.conn, batch.String(), 0, deadline, s.forwardRows)
	if err != nil {
		return nil, 0, err
	}
	outcome := outcomeOf(&reply)
	ended, err := lent.conn.ReadReply(nil)
	if err != nil {
		return nil, 0, err
	}
	reply.State = ended.State
	if reply.OK {
		outcome = group.AnsweredAsPrimary
	}
	return &reply, outcome, nil
}

// positionClause makes the member check that its log reaches the position that the read must see; "" for none.
func (c *lentConn) positionClause() string {
	if c.minPosition.IsZero() {
		return ""
	}
	return "AFTER " + c.minPosition.String()
}

// appendPrelude adds to a batch what the connection must be sent before the statement, so that it holds the session's
// state. It returns the statement's text as it goes to the connection, and the number of queries added.
func (s *session) appendPrelude(batch *strings.Builder, conn *memberConn, st *statement) (text string, preludes int) {
	text = st.text
	var prepared *sessionstate.Statement
	if st.parsed.Verb == "EXEC" {
		p, _ := s.kept.Prepared(st.parsed.Name)
		prepared = &p
	}
	texts, name := conn.state.Sync(&s.kept, prepared)
	for _, t := range texts {
		memberconn.AppendQuery(batch, internalQueryID, t)
	}
	if prepared != nil {
		text = "EXEC " + name + " " + st.parsed.Args
	}
	if s.tx == nil { // the BEGIN of a transaction has it already
		text = s.shardPrefix + text
	}
	return text, len(texts)
}

// exchange sends a batch and reads the answer to its statement, after those to the preludes. forward takes rows
// that are too many to keep.
func exchange(conn *memberConn, batch string, preludes int, deadline time.Time,
	forward func(rows []string) error) (memberconn.Reply, error) {
	if err := sendBatch(conn, batch, preludes, deadline); err != nil {
		return memberconn.Reply{}, err
	}
	reply, err := conn.ReadReply(forward)
	return reply, requireStamp(&reply, err)
}

// exchangeInternal is exchange for a query of the proxy's own or a BEGIN, whose answers have no stamp.
func exchangeInternal(conn *memberConn, batch string, preludes int, deadline time.Time) (memberconn.Reply, error) {
	if err := sendBatch(conn, batch, preludes, deadline); err != nil {
		return memberconn.Reply{}, err
	}
	return conn.ReadReply(nil)
}

// sendBatch sends a batch and reads the answers to the preludes, all of which must be successes.
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
			return errors.New("a member refused what goes before a statement: " + reply.Text)
		}
	}
	return nil
}

// requireStamp makes a success without a member's stamp an error: it is the answer to another query, and this one has
// none.
func requireStamp(reply *memberconn.Reply, err error) error {
	if err == nil && reply.OK && reply.Text == wire.NoStamp {
		return &idempotency.NoResponseError{Progress: idempotency.MaybeSent, Err: errors.New("a success without a stamp")}
	}
	return err
}

// discardRows drops rows that are too many to keep. Those of a write are not forwarded early: they are not needed.
func discardRows([]string) error { return nil }

// outcomeOf is what a member's answer means for routing, whatever the member's role.
func outcomeOf(reply *memberconn.Reply) group.Outcome {
	switch reply.Code {
	case wire.CodeReadOnly:
		return group.RefusedReadOnly
	case wire.CodeLagging:
		return group.RefusedLagging
	}
	return group.Answered
}
