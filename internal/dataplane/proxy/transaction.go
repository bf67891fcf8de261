package proxy

// This file owns open transactions: how one is begun at a member, how its statements go there, and how it ends.

import (
	"strings"
	"time"

	"weirwind/internal/dataplane/group"
	"weirwind/internal/dataplane/memberconn"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/shard/shardnode"
	"weirwind/internal/util/idempotency"
)

// inside carries out a statement of an open transaction.
func (s *session) inside(id, text string, t wire.Statement, at float64) {
	x := s.tx
	until := at + x.route.Timeout - margin
	for try := 0; try < mostTries; try++ {
		if x.conn == nil {
			if code, why := s.open(x, until); code != "" {
				s.lost(code, why, t)
				return
			}
		}
		g, c := x.lease, x.conn
		var b strings.Builder
		said, before := s.prepare(&b, c, text, t)
		memberconn.AppendQuery(&b, id, said)
		sent := s.p.now()
		commit := t.Verb == "COMMIT" && x.wrote
		s.p.desk.do(func() { g.group.g.RecordSend(g.member, sent, commit) })
		err := c.WriteBatch(b.String(), s.p.at(until))
		if err == nil {
			err = skip(c, before)
		}
		var a memberconn.Reply
		if err == nil {
			a, err = c.ReadReply(s.pass)
		}
		if err = stamped(&a, err); err != nil {
			s.p.desk.do(func() { s.p.desk.heard(g, sent, group.NoAnswer, wire.Position{}) })
			s.leave(x, nil)
			kept := t.Verb == "COMMIT" && x.wrote && idempotency.MayHaveRun(err) // else it is rolled back with its connection
			if kept && x.route.Shard != "" {
				s.tx = nil
				s.settle(x.route, id, at, until)
				return
			}
			if kept {
				s.tx = nil
				s.fail(wire.CodeOutcomeUnknown, "no answer to the commit came from "+g.rec.ID, wire.StateIdle)
				return
			}
			s.lost(wire.CodeAborted, "no answer came from "+g.rec.ID, t)
			return
		}
		word := wordOf(&a)
		if a.OK && !x.fetch {
			word = group.AnsweredAsPrimary
		}
		s.p.desk.do(func() { s.p.desk.heard(g, sent, word, a.Position) })
		if a.Code == wire.CodeReadOnly && !x.ran && !x.fetch { // its first statement met a member without the lead: it joins those held
			s.leave(x, nil)
			continue
		}
		x.ran = true
		if s.writes(t) && (a.OK || ran(a.Code)) {
			x.wrote = true
		}
		if t.Verb == "COMMIT" {
			s.tx = nil
			if a.OK && x.wrote {
				s.commit, s.comAt = a.Position, s.p.now()
			}
			if a.State == wire.StateIdle {
				s.leave(x, c)
			} else {
				s.leave(x, nil)
			}
			s.answer(&a, wire.StateIdle)
			return
		}
		if a.State != wire.StateInTransaction {
			x.failed = true
			s.leave(x, nil)
			s.answer(&a, wire.StateFailedTransaction)
			return
		}
		s.answer(&a, wire.StateInTransaction)
		return
	}
	s.lost(wire.CodeRetry, comeBack, t)
}

// lost answers a statement whose transaction is no more, with nothing of it kept.
func (s *session) lost(code, why string, t wire.Statement) {
	if t.Verb == "COMMIT" {
		s.tx = nil
		s.fail(code, why, wire.StateIdle)
		return
	}
	s.tx.failed = true
	s.fail(code, why, wire.StateFailedTransaction)
}

// open begins the transaction at a member, before its first statement.
func (s *session) open(x *transaction, until float64) (code, why string) {
	w := &waiter{at: x.at, until: until, sum: s.kept.ValuesHash()}
	if x.fetch {
		w.need = s.need(x.route, x.at)
	} else {
		w.need = group.Requirement{Write: true}
	}
	for try := 0; try < mostTries; try++ {
		svc, place, ok := s.serves(x.route, until)
		if !ok {
			break
		}
		g, c, fail := s.acquire(svc, w)
		if fail != "" {
			return fail, comeBack
		}
		var b strings.Builder
		texts, _ := c.carrier.Sync(&s.kept, nil)
		for _, t := range texts {
			memberconn.AppendQuery(&b, "-", t)
		}
		text := x.text
		if g.prove {
			text = "BEGIN" // only who leads takes a plain one
		}
		after := ""
		if x.fetch && !g.prove && !g.after.IsZero() {
			after = "AFTER " + g.after.String()
		}
		memberconn.AppendQuery(&b, x.id, after, s.on+text)
		err := c.WriteBatch(b.String(), s.p.at(until))
		if err == nil {
			err = skip(c, len(texts))
		}
		var a memberconn.Reply
		if err == nil {
			a, err = c.ReadReply(nil)
		}
		if err != nil {
			c.Close()
			s.done(g, nil, g.sent, group.NoAnswer, wire.Position{})
			if !w.need.Write && !w.need.Linearizable {
				w.avoid = append(w.avoid, g.rec.ID)
			}
			continue
		}
		word := wordOf(&a)
		if a.OK && text == "BEGIN" {
			word = group.AnsweredAsPrimary
		}
		if a.OK && a.State == wire.StateInTransaction {
			x.lease, x.conn = g, c
			s.p.desk.do(func() { s.p.desk.heard(g, g.sent, word, a.Position) })
			return "", ""
		}
		if a.State != wire.StateIdle {
			c.Close()
			c = nil
		}
		s.done(g, c, g.sent, word, a.Position)
		if x.route.Shard != "" && a.Code == shardnode.CodeMoved {
			s.missed(x.route, place, a.Text)
			try--
			continue
		}
		if a.Code != wire.CodeReadOnly && a.Code != wire.CodeLagging {
			w.avoid = append(w.avoid, g.rec.ID)
			if s.p.now()+60 >= until {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return wire.CodeRetry, comeBack
}

// leave gives a transaction's connection back; nil: it is closed, which rolls back.
func (s *session) leave(x *transaction, c *conn) {
	if x.conn == nil {
		return
	}
	if c == nil {
		x.conn.Close()
	}
	g := x.lease
	x.conn, x.lease = nil, nil
	s.p.desk.do(func() { s.p.desk.back(g, c) })
}

// rollback ends a transaction at its member without waiting: the connection comes back once the member has answered.
func (s *session) rollback(x *transaction) {
	c, g := x.conn, x.lease
	if c == nil {
		return
	}
	x.conn, x.lease = nil, nil
	go func() {
		until := time.Now().Add(time.Second)
		err := c.WriteBatch("QUERY - ABORT\r\n", until)
		var a memberconn.Reply
		if err == nil {
			a, err = c.ReadReply(nil)
		}
		if err != nil || a.State != wire.StateIdle {
			c.Close()
			c = nil
		}
		s.p.desk.do(func() { s.p.desk.back(g, c) })
	}()
}
