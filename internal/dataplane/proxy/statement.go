package proxy

// This file owns how one statement is carried out: tried, tried again where that is harmless, and answered
// truthfully. What was sent and not answered is never promised to be undone, unless its connection's end rolls it
// back.

import (
	"errors"
	"strings"
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/dataplane/memberconn"
	"weirwind/internal/dataplane/sessionstate"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/shard/shardnode"
	"weirwind/internal/util/idempotency"
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
			return nil, nil, wire.CodeRetry
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

func (s *session) done(g *grant, c *conn, sent float64, word group.Outcome, pos wire.Position) {
	s.p.desk.do(func() {
		s.p.desk.heard(g, sent, word, pos)
		s.p.desk.back(g, c)
	})
}

// prepare adds what a connection must be told first, and gives the statement's text as it goes there.
func (s *session) prepare(b *strings.Builder, c *conn, text string, t wire.Statement) (string, int) {
	var shape *sessionstate.Statement
	if t.Verb == "EXEC" {
		sh, _ := s.kept.Prepared(t.Name)
		shape = &sh
	}
	texts, name := c.carrier.Sync(&s.kept, shape)
	for _, x := range texts {
		memberconn.AppendQuery(b, "-", x)
	}
	if shape != nil {
		text = "EXEC " + name + " " + t.Args
	}
	if s.tx == nil {
		text = s.on + text
	}
	return text, len(texts)
}

// skip reads the answers of what went before a statement.
func skip(c *conn, n int) error {
	for range n {
		a, err := c.ReadReply(nil)
		if err != nil {
			return err
		}
		if !a.OK || a.Text != wire.NoStamp {
			return errors.New("a member refused what goes before a statement: " + a.Text)
		}
	}
	return nil
}

// kindOf says what a second run of a statement would do, outside a transaction or as its COMMIT. Statements inside a
// transaction are not put again at all: it ends with its connection. BEGIN is idempotent, as the end of its
// connection rolls it back.
func kindOf(write bool) idempotency.Kind {
	if write {
		return idempotency.AtMostOnce
	}
	return idempotency.Idempotent
}

// stamped makes a success that bears no member's stamp an error: it belongs to another question, and this one has no
// answer.
func stamped(a *memberconn.Reply, err error) error {
	if err == nil && a.OK && a.Text == wire.NoStamp {
		return &idempotency.NoResponseError{Progress: idempotency.MaybeSent, Err: errors.New("a success without a stamp")}
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
	if a.OK {
		s.say(wire.MsgDone + " " + a.Text)
	} else {
		s.say(wire.MsgFail + " " + a.Text)
	}
	s.say(wire.MsgReady + " " + state + " " + a.Position.String())
}

// single carries out a statement outside a transaction.
func (s *session) single(id, text string, t wire.Statement, r *config.Route, at float64) {
	until := at + r.Timeout - margin
	write := s.writes(t)
	kind := kindOf(write)
	s.passed = false
	w := &waiter{at: at, until: until, sum: s.kept.ValuesHash()}
	if w.commit = write; write {
		w.need = group.Requirement{Write: true}
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
				s.fail(wire.CodeRetry, comeBack, wire.StateIdle)
				return
			case kind.MayRetry(err):
			case r.Shard != "":
				s.settle(r, id, at, until)
				return
			default:
				s.fail(wire.CodeOutcomeUnknown, "no answer came from "+g.rec.ID, wire.StateIdle)
				return
			}
			if write { // the member that leads is where it was
				continue
			}
			w.avoid = append(w.avoid, g.rec.ID)
			if w.need.Linearizable {
				w.avoid = nil
			}
			continue
		case a.OK:
			s.done(g, c, g.sent, word, a.Position)
			if write {
				s.commit, s.comAt = a.Position, s.p.now()
			}
			s.answer(a, wire.StateIdle)
			return
		}
		// What it left open is rolled back with its connection; what it forgot is prepared anew on another.
		if a.State != wire.StateIdle || a.Code == wire.CodeNoStatement {
			c.Close()
			c = nil
		}
		s.done(g, c, g.sent, word, a.Position)
		if r.Shard != "" && a.Code == shardnode.CodeMoved {
			s.missed(r, place, a.Text)
			try-- // bounded by the deadline: the slot is empty until a newer map comes
			continue
		}
		if code := shardRefusal(a.Code); r.Shard != "" && code != "" {
			s.fail(code, comeBack, wire.StateIdle)
			return
		}
		switch a.Code {
		case wire.CodeReadOnly, wire.CodeLagging:
			continue
		case wire.CodeRetry, wire.CodeFull, wire.CodeWrongHost, wire.CodeNoStatement:
			w.avoid = append(w.avoid, g.rec.ID)
			if s.p.now()+60 < until && try < 2 {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			s.fail(wire.CodeRetry, comeBack, wire.StateIdle)
			return
		case wire.CodeFailed, wire.CodeTimeout:
			if !write && try == 0 && !w.need.Linearizable && !s.passed {
				w.avoid = append(w.avoid, g.rec.ID)
				continue
			}
		}
		s.answer(a, wire.StateIdle)
		return
	}
	s.fail(wire.CodeRetry, comeBack, wire.StateIdle)
}

// attempt sends a single statement and reads its answer. A read that must be fresh runs in a transaction of the
// system's own, as a member that has lost the lead refuses to begin one; it is rolled back, and nothing of it is
// kept.
func (s *session) attempt(g *grant, c *conn, id, text string, t wire.Statement, write bool, until float64) (*memberconn.Reply, group.Outcome, error) {
	var b strings.Builder
	if !write {
		until = min(until, s.p.now()+readCut)
	}
	text, before := s.prepare(&b, c, text, t)
	prove := g.prove && !write
	if prove {
		memberconn.AppendQuery(&b, "-", "BEGIN")
		before++
	}
	after := ""
	if !write && !prove && !g.after.IsZero() {
		after = "AFTER " + g.after.String()
	}
	if prove { // whether it leads is known before the read runs
		if err := c.WriteBatch(b.String(), s.p.at(until)); err != nil {
			return nil, 0, err
		}
		if err := skip(c, before-1); err != nil {
			return nil, 0, err
		}
		a, err := c.ReadReply(nil)
		if err != nil {
			return nil, 0, err
		}
		if !a.OK {
			return &a, wordOf(&a), nil
		}
		b.Reset()
		before = 0
	}
	memberconn.AppendQuery(&b, id, after, text)
	if prove {
		memberconn.AppendQuery(&b, "-", "ABORT")
	}
	if err := c.WriteBatch(b.String(), s.p.at(until)); err != nil {
		return nil, 0, err
	}
	if err := skip(c, before); err != nil {
		return nil, 0, err
	}
	a, err := c.ReadReply(func(rows []string) error {
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
		e, err := c.ReadReply(nil)
		if err != nil {
			return nil, 0, err
		}
		a.State = e.State
		if a.OK {
			word = group.AnsweredAsPrimary
		}
	} else if write && a.OK {
		word = group.AnsweredAsPrimary
	}
	return &a, word, nil
}

// ran says whether a member that failed a statement by a code may have run it.
func ran(code string) bool { return code == wire.CodeFailed || code == wire.CodeTimeout }

func wordOf(a *memberconn.Reply) group.Outcome {
	switch a.Code {
	case wire.CodeReadOnly:
		return group.RefusedReadOnly
	case wire.CodeLagging:
		return group.RefusedLagging
	}
	return group.Answered
}
