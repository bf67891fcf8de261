package proxy

// This file owns a client's session: its messages, its state, and what it is answered.

import (
	"net"
	"strings"
	"sync"
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/dataplane/memberconn"
	"weirwind/internal/dataplane/sessionstate"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/util/events"
)

const (
	attachTime  = 10 * time.Second
	configWait  = 1500 * time.Millisecond
	writeTime   = 5 * time.Second
	margin      = 25.0  // milliseconds before a deadline at which what was held is refused
	readCut     = 450.0 // a read's answer is waited for so long before another member is asked
	comeBack    = "come back after 200 ms"
	mostTries   = 5
	txIdleElse  = 60000.0
	bytesMostly = 4096
)

type session struct {
	p      *Proxy
	c      net.Conn
	r      *wire.Reader
	host   string
	out    []byte
	kept   sessionstate.Session
	at     float64 // of its start
	commit wire.Position
	comAt  float64
	tx     *transaction
	on     string  // ON shard epoch, in front of a statement of a sharded route
	heard  float64 // when it was last answered
	passed bool    // rows of the statement's answer went to the client before its end

	mu      sync.Mutex
	resting bool
}

// transaction is one that the client has open.
type transaction struct {
	id, text string // of its BEGIN
	fetch    bool
	at       float64 // of its first byte
	route    *config.Route
	lease    *grant
	conn     *conn
	ran      bool // a statement went to a member
	wrote    bool
	failed   bool
	why      string // that its client was not told yet
}

func (s *session) kick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resting {
		s.c.SetReadDeadline(time.Unix(1, 0))
	}
}

// line waits for the client's next message. ok false with a nil error: there is none, and the session's state is to be looked at.
func (s *session) line(wait time.Duration) (string, bool, error) {
	if s.r.Buffered() == 0 {
		s.mu.Lock()
		s.resting = true
		if wait > 0 {
			s.c.SetReadDeadline(time.Now().Add(wait))
		} else {
			s.c.SetReadDeadline(time.Time{})
		}
		s.mu.Unlock()
		err := s.r.Wait()
		s.mu.Lock()
		s.resting = false
		s.mu.Unlock()
		if err != nil {
			if ne, ok := err.(net.Error); ok && ne.Timeout() {
				return "", false, nil
			}
			return "", false, err
		}
	}
	s.c.SetReadDeadline(time.Now().Add(attachTime)) // a message that was begun is to be ended
	line, err := s.r.ReadMessage()
	return line, err == nil, err
}

func (s *session) run() {
	defer s.c.Close()
	defer s.drop()
	s.r = wire.NewReader(s.c).WithBudget(s.p.room)
	s.at = s.p.now()
	if !s.attach() {
		return
	}
	s.heard = s.p.now()
	for {
		wait := time.Duration(0)
		if s.tx != nil {
			idle := txIdleElse
			if cfg := s.p.cfg.Load(); cfg != nil && cfg.Limits.IdleInTransactionTimeout > 0 {
				idle = cfg.Limits.IdleInTransactionTimeout
			}
			wait = time.Duration(idle * 1e6)
		} else if w := s.p.patience(); w > 0 {
			wait = w
		}
		line, ok, err := s.line(wait)
		switch {
		case err == wire.ErrMalformedLine || err == wire.ErrMessageTooLong || err == wire.ErrBufferBudget:
			s.p.log.Event(events.SessionBad, "peer", s.c.RemoteAddr().String(), "why", err.Error())
			s.fail(wire.CodeMalformed, err.Error(), "")
			s.flush()
			return
		case err != nil:
			return
		case !ok:
			if s.tx != nil && (s.p.now()-s.heard > ms(wait)-5 || s.p.phase.Load() >= lastCalls) {
				s.abandon() // it rested for too long, or this process ends
			}
			if s.tx == nil && s.p.phase.Load() >= leaving && s.rested() && s.quiet() {
				return // with nothing asked
			}
			continue
		}
		if !s.message(line) || !s.flush() {
			return
		}
		s.heard = s.p.now()
	}
}

func ms(d time.Duration) float64 { return float64(d) / 1e6 }

// rested says whether the session has asked nothing for so long that its client is hardly about to: one that has just come, or
// was just answered, may have its next message on the way.
func (s *session) rested() bool { return s.p.now()-s.heard >= ms(s.p.patience())/2 }

// quiet says whether nothing has come from the client that was not read yet.
func (s *session) quiet() bool { return (&memberconn.Conn{NetConn: s.c, Reader: s.r}).Alive() }

// drop lets go of a transaction whose client is gone.
func (s *session) drop() {
	if s.tx != nil {
		s.rollback(s.tx)
	}
}

func (s *session) attach() bool {
	s.mu.Lock()
	s.c.SetReadDeadline(time.Now().Add(attachTime))
	s.mu.Unlock()
	line, err := s.r.ReadMessage()
	if err != nil {
		if err == wire.ErrMalformedLine || err == wire.ErrMessageTooLong {
			s.fail(wire.CodeMalformed, err.Error(), "")
			s.flush()
		}
		return false
	}
	word, rest := wire.CutField(line)
	host, user := wire.CutField(rest)
	if word != wire.MsgAttach || host == "" || user == "" {
		s.fail(wire.CodeMalformed, "ATTACH database who begins a session", "")
		s.flush()
		return false
	}
	cfg := s.p.cfg.Load()
	if cfg == nil {
		select {
		case <-s.p.desk.asked:
		case <-time.After(configWait):
		case <-s.p.ctx.Done():
		}
		if cfg = s.p.cfg.Load(); cfg == nil {
			s.fail(wire.CodeRetry, "no configuration is known yet", "")
			s.flush()
			return false
		}
	}
	s.host = host
	if cfg.RouteForHost(host) == nil {
		s.fail(wire.CodeNoDatabase, host, "")
		s.flush()
		return false
	}
	s.say(wire.MsgReady + " I -")
	return s.flush()
}

func (s *session) say(line string) { s.out = append(append(s.out, line...), '\r', '\n') }

func (s *session) flush() bool {
	if len(s.out) == 0 {
		return true
	}
	s.c.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := s.c.Write(s.out)
	if cap(s.out) > bytesMostly {
		s.out = nil
	}
	s.out = s.out[:0]
	return err == nil
}

// fail answers with a code; state "" sends no READY, as before a close.
func (s *session) fail(code, text, state string) {
	s.say(strings.TrimRight(wire.MsgFail+" "+code+" "+text, " "))
	if state != "" {
		s.say(wire.MsgReady + " " + state + " -")
	}
}

// own answers what the system answers itself.
func (s *session) own() {
	s.say(wire.MsgDone + " -")
	s.say(wire.MsgReady + " " + s.state() + " -")
}

func (s *session) state() string {
	switch {
	case s.tx == nil:
		return wire.StateIdle
	case s.tx.failed:
		return wire.StateFailedTransaction
	}
	return wire.StateInTransaction
}

// message takes one. False: the session ends.
func (s *session) message(line string) bool {
	word, rest := wire.CutField(line)
	if word == wire.MsgBye {
		return false
	}
	id, text := wire.CutField(rest)
	if word != wire.MsgQuery || id == "" || text == "" {
		s.fail(wire.CodeMalformed, "QUERY id text, or BYE", "")
		s.flush()
		return false
	}
	t := wire.ParseStatement(text)
	if !t.Valid || id == "-" {
		s.fail(wire.CodeMalformed, "no such text", s.state())
		return true
	}
	if s.tx != nil && s.tx.failed {
		switch t.Verb {
		case "ABORT":
			s.tx = nil
			s.own()
		case "COMMIT":
			s.tx = nil
			s.fail(wire.CodeAborted, "the transaction had failed", wire.StateIdle)
		default:
			if why := s.tx.why; why != "" { // it is told of it for the first time
				s.tx.why = ""
				s.fail(wire.CodeAborted, why, wire.StateFailedTransaction)
				return true
			}
			s.fail(wire.CodeMalformed, "the transaction has failed and is to be ended", wire.StateFailedTransaction)
		}
		return true
	}
	switch t.Verb {
	case "SET":
		if !s.kept.SetValue(t.Name, t.Args) {
			s.fail(wire.CodeMalformed, "too many values", s.state())
			return true
		}
		s.own()
	case "PREP":
		if !s.kept.Prepare(t.Name, sessionstate.Statement{Kind: t.PreparedVerb, Text: t.Args}) {
			s.fail(wire.CodeMalformed, "too many prepared statements", s.state())
			return true
		}
		s.own()
	case "UNPREP":
		if !s.kept.Unprepare(t.Name) {
			s.fail(wire.CodeNoStatement, t.Name, s.state())
			return true
		}
		s.own()
	case "BEGIN":
		s.begin(id, text, t)
	case "ABORT":
		if s.tx == nil {
			s.fail(wire.CodeMalformed, "no transaction is open", wire.StateIdle)
			return true
		}
		s.rollback(s.tx)
		s.tx = nil
		s.own()
	case "COMMIT":
		if s.tx == nil {
			s.fail(wire.CodeMalformed, "no transaction is open", wire.StateIdle)
			return true
		}
		s.statement(id, text, t)
	default:
		if t.Verb == "EXEC" {
			if _, ok := s.kept.Prepared(t.Name); !ok {
				s.fail(wire.CodeNoStatement, t.Name, s.state())
				return true
			}
		}
		s.statement(id, text, t)
	}
	return true
}

func (s *session) begin(id, text string, t wire.Statement) {
	if s.tx != nil {
		s.fail(wire.CodeMalformed, "a transaction is open", wire.StateInTransaction)
		return
	}
	r := s.route()
	if r == nil {
		s.fail(wire.CodeNoDatabase, s.host, wire.StateIdle)
		return
	}
	s.tx = &transaction{id: id, text: text, fetch: t.ReadOnly, at: s.p.now(), route: r}
	s.own()
}

// route is the host's now; it binds a single statement or a whole transaction.
func (s *session) route() *config.Route {
	if cfg := s.p.cfg.Load(); cfg != nil {
		return cfg.RouteForHost(s.host)
	}
	return nil
}

// need is what a read or a transaction that reads demands.
func (s *session) need(r *config.Route, at float64) group.Requirement {
	switch {
	case r.Shard != "":
	case r.Consistency == config.ConsistencyBoundedStaleness:
		return group.Requirement{AckedBefore: at - r.MaxStaleness}
	case r.Consistency == config.ConsistencySession:
		// What the client wrote before this session began, perhaps at another driver, was acknowledged before it.
		return group.Requirement{AckedBefore: max(at-r.MaxStaleness, s.at), SessionCommit: s.commit, SessionCommitAt: s.comAt}
	}
	return group.Requirement{Linearizable: true}
}

// writes says whether a statement writes.
func (s *session) writes(t wire.Statement) bool {
	if t.Verb == "EXEC" {
		shape, _ := s.kept.Prepared(t.Name)
		return shape.Kind == "STORE"
	}
	return t.Verb == "STORE"
}

func (s *session) statement(id, text string, t wire.Statement) {
	now := s.p.now()
	if s.tx != nil {
		s.inside(id, text, t, now)
		return
	}
	r := s.route()
	if r == nil {
		s.fail(wire.CodeNoDatabase, s.host, wire.StateIdle)
		return
	}
	s.single(id, text, t, r, now)
}

// abandon ends a transaction whose client rests in it.
func (s *session) abandon() {
	if s.tx.failed {
		return
	}
	s.rollback(s.tx)
	s.tx.failed, s.tx.why = true, "it rested for too long"
}
