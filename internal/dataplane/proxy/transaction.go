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
func (s *session) inside(id, text string, t wire.Text, at float64) {
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
		memberconn.Query(&b, id, said)
		sent := s.p.now()
		commit := t.Verb == "COMMIT" && x.wrote
		s.p.desk.do(func() { g.group.g.Sent(g.member, sent, commit) })
		err := c.Write(b.String(), s.p.at(until))
		if err == nil {
			err = skip(c, before)
		}
		var a memberconn.Reply
		if err == nil {
			a, err = c.Read(s.pass)
		}
		if err = stamped(&a, err); err != nil {
			s.p.desk.do(func() { s.p.desk.heard(g, sent, group.NoAnswer, wire.Position{}) })
			s.leave(x, nil)
			kept := t.Verb == "COMMIT" && x.wrote && idempotency.Ran(err) // else it is rolled back with its connection
			if kept && x.route.Shard != "" {
				s.tx = nil
				s.settle(x.route, id, at, until)
				return
			}
			if kept {
				s.tx = nil
				s.fail(wire.Unknown, "no answer to the commit came from "+g.rec.ID, wire.Idle)
				return
			}
			s.lost(wire.Aborted, "no answer came from "+g.rec.ID, t)
			return
		}
		word := wordOf(&a)
		if a.Done && !x.fetch {
			word = group.Led
		}
		s.p.desk.do(func() { s.p.desk.heard(g, sent, word, a.Pos) })
		if a.Code == wire.ReadOnly && !x.ran && !x.fetch { // its first statement met a member without the lead: it joins those held
			s.leave(x, nil)
			continue
		}
		x.ran = true
		if s.writes(t) && (a.Done || ran(a.Code)) {
			x.wrote = true
		}
		if t.Verb == "COMMIT" {
			s.tx = nil
			if a.Done && x.wrote {
				s.commit, s.comAt = a.Pos, s.p.now()
			}
			if a.State == wire.Idle {
				s.leave(x, c)
			} else {
				s.leave(x, nil)
			}
			s.answer(&a, wire.Idle)
			return
		}
		if a.State != wire.Open {
			x.failed = true
			s.leave(x, nil)
			s.answer(&a, wire.Broken)
			return
		}
		s.answer(&a, wire.Open)
		return
	}
	s.lost(wire.Retry, comeBack, t)
}

// lost answers a statement whose transaction is no more, with nothing of it kept.
func (s *session) lost(code, why string, t wire.Text) {
	if t.Verb == "COMMIT" {
		s.tx = nil
		s.fail(code, why, wire.Idle)
		return
	}
	s.tx.failed = true
	s.fail(code, why, wire.Broken)
}

// open begins the transaction at a member, before its first statement.
func (s *session) open(x *transaction, until float64) (code, why string) {
	w := &waiter{at: x.at, until: until, sum: s.kept.Sum()}
	if x.fetch {
		w.need = s.need(x.route, x.at)
	} else {
		w.need = group.Need{Write: true}
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
		texts, _ := c.carrier.Ready(&s.kept, nil)
		for _, t := range texts {
			memberconn.Query(&b, "-", t)
		}
		text := x.text
		if g.prove {
			text = "BEGIN" // only who leads takes a plain one
		}
		after := ""
		if x.fetch && !g.prove && !g.after.None() {
			after = "AFTER " + g.after.String()
		}
		memberconn.Query(&b, x.id, after, s.on+text)
		err := c.Write(b.String(), s.p.at(until))
		if err == nil {
			err = skip(c, len(texts))
		}
		var a memberconn.Reply
		if err == nil {
			a, err = c.Read(nil)
		}
		if err != nil {
			c.Close()
			s.done(g, nil, g.sent, group.NoAnswer, wire.Position{})
			if !w.need.Write && !w.need.Fresh {
				w.avoid = append(w.avoid, g.rec.ID)
			}
			continue
		}
		word := wordOf(&a)
		if a.Done && text == "BEGIN" {
			word = group.Led
		}
		if a.Done && a.State == wire.Open {
			x.lease, x.conn = g, c
			s.p.desk.do(func() { s.p.desk.heard(g, g.sent, word, a.Pos) })
			return "", ""
		}
		if a.State != wire.Idle {
			c.Close()
			c = nil
		}
		s.done(g, c, g.sent, word, a.Pos)
		if x.route.Shard != "" && a.Code == shardnode.CodeMoved {
			s.missed(x.route, place, a.Text)
			try--
			continue
		}
		if a.Code != wire.ReadOnly && a.Code != wire.Lagging {
			w.avoid = append(w.avoid, g.rec.ID)
			if s.p.now()+60 >= until {
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return wire.Retry, comeBack
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
		err := c.Write("QUERY - ABORT\r\n", until)
		var a memberconn.Reply
		if err == nil {
			a, err = c.Read(nil)
		}
		if err != nil || a.State != wire.Idle {
			c.Close()
			c = nil
		}
		s.p.desk.do(func() { s.p.desk.back(g, c) })
	}()
}
