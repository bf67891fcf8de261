package proxy

// This file owns how one statement is carried out: tried, tried again where that is harmless, and answered
// truthfully. What was sent and not answered is never promised to be undone, unless its connection's end rolls it
// back.

import (
	"errors"
	"strings"
	"time"

	"weirwind/internal/config"
	"weirwind/internal/group"
	"weirwind/internal/memberconn"
	"weirwind/internal/repeat"
	"weirwind/internal/sessionstate"
	"weirwind/internal/shard/shardnode"
	"weirwind/internal/wire"
)

// acquire asks the desk for a member connection, and looks that the member has not ended it while it rested.
func (s *session) acquire(svc string, w *waiter) (*grant, *conn, string) {
	for {
		w.reply, w.asked = make(chan grant, 1), ""
		s.p.desk.do(func() { s.p.desk.want(svc, w) })
		var g grant
		select {
		case g = <-w.reply:
		case <-s.p.ctx.Done():
			return nil, nil, wire.Retry
		}
		if g.fail != "" {
			return nil, nil, g.fail
		}
		if g.conn.Alive() {
			return &g, g.conn, ""
		}
		g.conn.Close()
		s.done(&g, nil, g.sent, group.NoAnswer, wire.Position{})
	}
}

func (s *session) done(g *grant, c *conn, sent float64, word group.Word, pos wire.Position) {
	s.p.desk.do(func() {
		s.p.desk.heard(g, sent, word, pos)
		s.p.desk.back(g, c)
	})
}

// prepare adds what a connection must be told first, and gives the statement's text as it goes there.
func (s *session) prepare(b *strings.Builder, c *conn, text string, t wire.Text) (string, int) {
	var shape *sessionstate.Shape
	if t.Verb == "EXEC" {
		sh, _ := s.kept.Shape(t.Name)
		shape = &sh
	}
	texts, name := c.carrier.Ready(&s.kept, shape)
	for _, x := range texts {
		memberconn.Query(b, "-", x)
	}
	if shape != nil {
		text = "EXEC " + name + " " + t.Rest
	}
	if s.tx == nil {
		text = s.on + text
	}
	return text, len(texts)
}

// skip reads the answers of what went before a statement.
func skip(c *conn, n int) error {
	for range n {
		a, err := c.Read(nil)
		if err != nil {
			return err
		}
		if !a.Done || a.Text != wire.NoStamp {
			return errors.New("a member refused what goes before a statement: " + a.Text)
		}
	}
	return nil
}

// kindOf says what a second run of a statement would do, outside a transaction or as its COMMIT. Statements inside a
// transaction are not put again at all: it ends with its connection. BEGIN is idempotent, as the end of its
// connection rolls it back.
func kindOf(write bool) repeat.Kind {
	if write {
		return repeat.Once
	}
	return repeat.Idempotent
}

// stamped makes a success that bears no member's stamp an error: it belongs to another question, and this one has no
// answer.
func stamped(a *memberconn.Reply, err error) error {
	if err == nil && a.Done && a.Text == wire.NoStamp {
		return &repeat.Unanswered{Progress: repeat.Sent, Err: errors.New("a success without a stamp")}
	}
	return err
}

// pass gives rows that are too many to keep to the client. From then on no other member may answer the statement.
func (s *session) pass(rows []string) error {
	s.passed = true
	for _, r := range rows {
		s.say(r)
	}
	if !s.flush() {
		return errors.New("the client is gone")
	}
	return nil
}

// answer passes a member's answer on.
func (s *session) answer(a *memberconn.Reply, state string) {
	for _, r := range a.Rows {
		s.say(r)
	}
	if a.Done {
		s.say(wire.Done + " " + a.Text)
	} else {
		s.say(wire.Fail + " " + a.Text)
	}
	s.say(wire.Ready + " " + state + " " + a.Pos.String())
}

// single carries out a statement outside a transaction.
func (s *session) single(id, text string, t wire.Text, r *config.Route, at float64) {
	until := at + r.Timeout - margin
	write := s.writes(t)
	kind := kindOf(write)
	s.passed = false
	w := &waiter{at: at, until: until, sum: s.kept.Sum()}
	if w.commit = write; write {
		w.need = group.Need{Write: true}
	} else {
		w.need = s.need(r, at)
	}
	for try := 0; try < mostTries; try++ {
		svc, place, ok := s.serves(r, until)
		if !ok {
			break
		}
		g, c, fail := s.acquire(svc, w)
		if fail != "" {
			break
		}
		a, word, err := s.attempt(g, c, id, text, t, write, until)
		switch {
		case err != nil:
			c.Close()
			s.done(g, nil, g.sent, group.NoAnswer, wire.Position{})
			switch {
			case s.passed:
				s.fail(wire.Retry, comeBack, wire.Idle)
				return
			case kind.May(err):
			case r.Shard != "":
				s.settle(r, id, at, until)
				return
			default:
				s.fail(wire.Unknown, "no answer came from "+g.rec.ID, wire.Idle)
				return
			}
			if write { // the member that leads is where it was
				continue
			}
			w.avoid = append(w.avoid, g.rec.ID)
			if w.need.Fresh {
				w.avoid = nil
			}
			continue
		case a.Done:
			s.done(g, c, g.sent, word, a.Pos)
			if write {
				s.commit, s.comAt = a.Pos, s.p.now()
			}
			s.answer(a, wire.Idle)
			return
		}
		// What it left open is rolled back with its connection; what it forgot is prepared anew on another.
		if a.State != wire.Idle || a.Code == wire.NoStmt {
			c.Close()
			c = nil
		}
		s.done(g, c, g.sent, word, a.Pos)
		if r.Shard != "" && a.Code == shardnode.CodeMoved {
			s.missed(r, place, a.Text)
			try-- // bounded by the deadline: the slot is empty until a newer map comes
			continue
		}
		if code := shardRefusal(a.Code); r.Shard != "" && code != "" {
			s.fail(code, comeBack, wire.Idle)
			return
		}
		switch a.Code {
		case wire.ReadOnly, wire.Lagging:
			continue
		case wire.Retry, wire.Full, wire.WrongHost, wire.NoStmt:
			w.avoid = append(w.avoid, g.rec.ID)
			if s.p.now()+60 < until && try < 2 {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			s.fail(wire.Retry, comeBack, wire.Idle)
			return
		case wire.Failed, wire.Timeout:
			if !write && try == 0 && !w.need.Fresh && !s.passed {
				w.avoid = append(w.avoid, g.rec.ID)
				continue
			}
		}
		s.answer(a, wire.Idle)
		return
	}
	s.fail(wire.Retry, comeBack, wire.Idle)
}

// attempt sends a single statement and reads its answer. A read that must be fresh runs in a transaction of the
// system's own, as a member that has lost the lead refuses to begin one; it is rolled back, and nothing of it is
// kept.
func (s *session) attempt(g *grant, c *conn, id, text string, t wire.Text, write bool, until float64) (*memberconn.Reply, group.Word, error) {
	var b strings.Builder
	if !write {
		until = min(until, s.p.now()+readCut)
	}
	text, before := s.prepare(&b, c, text, t)
	prove := g.prove && !write
	if prove {
		memberconn.Query(&b, "-", "BEGIN")
		before++
	}
	after := ""
	if !write && !prove && !g.after.None() {
		after = "AFTER " + g.after.String()
	}
	if prove { // whether it leads is known before the read runs
		if err := c.Write(b.String(), s.p.at(until)); err != nil {
			return nil, 0, err
		}
		if err := skip(c, before-1); err != nil {
			return nil, 0, err
		}
		a, err := c.Read(nil)
		if err != nil {
			return nil, 0, err
		}
		if !a.Done {
			return &a, wordOf(&a), nil
		}
		b.Reset()
		before = 0
	}
	memberconn.Query(&b, id, after, text)
	if prove {
		memberconn.Query(&b, "-", "ABORT")
	}
	if err := c.Write(b.String(), s.p.at(until)); err != nil {
		return nil, 0, err
	}
	if err := skip(c, before); err != nil {
		return nil, 0, err
	}
	a, err := c.Read(func(rows []string) error {
		if write {
			return nil
		}
		return s.pass(rows)
	})
	if err = stamped(&a, err); err != nil {
		return nil, 0, err
	}
	word := wordOf(&a)
	if prove {
		e, err := c.Read(nil)
		if err != nil {
			return nil, 0, err
		}
		a.State = e.State
		if a.Done {
			word = group.Led
		}
	} else if write && a.Done {
		word = group.Led
	}
	return &a, word, nil
}

// ran says whether a member that failed a statement by a code may have run it.
func ran(code string) bool { return code == wire.Failed || code == wire.Timeout }

func wordOf(a *memberconn.Reply) group.Word {
	switch a.Code {
	case wire.ReadOnly:
		return group.NotLeader
	case wire.Lagging:
		return group.Lagged
	}
	return group.Answered
}

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
			kept := t.Verb == "COMMIT" && x.wrote && repeat.Ran(err) // else it is rolled back with its connection
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
