package proxy

import (
	"errors"
	"net"
	"sync"
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/dataplane/sessionstate"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
)

const (
	messageTimeout = 10 * time.Second // for the rest of a message that has begun, and for ATTACH
	configTimeout  = 1500 * time.Millisecond

	defaultTxIdle = 60000.0 // milliseconds, where the configuration sets no bound
	txIdleSlack   = 5.0     // milliseconds that a read deadline may fire early
)

// session is a client's connection. Its goroutine (run) reads the client's messages one at a time, carries each out
// to the end and writes the answer; all fields but mu and waiting belong to it.
type session struct {
	proxy  *Proxy
	client net.Conn
	reader *wire.Reader
	out    []byte // answers that were not written yet
	host   string // the database that the client attached to
	key    string // that it attached with
	ended  bool   // no further message of the client is taken

	startedAt  float64 // milliseconds, as the two below
	answeredAt float64 // of its last answer
	kept       sessionstate.Session

	lastCommit   wire.Position // of this session, which its reads by config.ConsistencySession must see
	lastCommitAt float64

	tx *transaction // nil: none is open

	// shardPrefix is "ON shard epoch ", which goes in front of a statement, or a BEGIN, of a route with a shard. It is
	// that of the last resolveService, and empty for other routes.
	shardPrefix string
	// rowsForwarded: rows of the current answer went to the client before the answer's end was known.
	rowsForwarded bool

	mu      sync.Mutex
	waiting bool // for the client's next message: wake may interrupt it
}

// errClientGone ends a statement whose client doesn't read the rows.
var errClientGone = errors.New("the client is gone")

// run serves the client until it disconnects or breaks the protocol, or the process shuts down.
func (s *session) run() {
	defer s.client.Close()
	defer s.abandonTransaction()
	s.reader = wire.NewReader(s.client).WithBudget(s.proxy.bufferBudget)
	s.startedAt = s.proxy.now()
	if !s.attach() {
		return
	}
	s.answeredAt = s.proxy.now()
	for {
		wait := s.idleTimeout()
		line, err := s.readMessage(wait)
		if err != nil {
			if s.endsOnReadError(err, wait) {
				return
			}
			continue
		}
		if !s.handleMessage(line) || !s.flush() || s.ended || s.endsAfterAnswer() {
			return
		}
		s.answeredAt = s.proxy.now()
	}
}

// endsOnReadError takes an error of readMessage. true: the session ends.
func (s *session) endsOnReadError(err error, wait time.Duration) bool {
	if errors.Is(err, errInterrupted) {
		return s.endsWhileIdle(wait)
	}
	if isProtocolError(err) {
		s.proxy.log.Event(events.MalformedMessage, "peer", s.client.RemoteAddr().String(), "why", err.Error())
		s.rejectSession(err)
	}
	return true
}

// attach takes the client's first message and answers it. false: the session ends.
func (s *session) attach() bool {
	s.mu.Lock()
	_ = s.client.SetReadDeadline(time.Now().Add(messageTimeout))
	s.mu.Unlock()
	line, err := s.reader.ReadMessage()
	if err != nil {
		if errors.Is(err, wire.ErrMalformedLine) || errors.Is(err, wire.ErrMessageTooLong) {
			s.rejectSession(err)
		}
		return false
	}
	word, rest := wire.CutField(line)
	host, key := wire.CutField(rest)
	if word != wire.MsgAttach || host == "" || key == "" {
		s.rejectSession(errAttachExpected)
		return false
	}
	cfg := s.awaitConfig()
	if cfg == nil {
		s.rejectSession(errNotConfigured)
		return false
	}
	s.host, s.key = host, key
	route := cfg.RouteForHost(host)
	if route == nil {
		s.rejectSession(databaseError(host))
		return false
	}
	if _, err := s.tenantFor(route); err != nil {
		s.proxy.denials.record(deniedAttach)
		s.rejectSession(err)
		return false
	}
	s.replyReady(wire.StateIdle, wire.NoStamp)
	return s.flush()
}

// awaitConfig waits for a configuration where a process has just started; nil: none came in time.
func (s *session) awaitConfig() *config.Config {
	if cfg := s.proxy.config.Load(); cfg != nil {
		return cfg
	}
	select {
	case <-s.proxy.router.configured:
	case <-time.After(configTimeout):
	case <-s.proxy.ctx.Done():
	}
	return s.proxy.config.Load()
}

// errInterrupted: no message came in time, or wake was called. The session's state is to be looked at.
var errInterrupted = errors.New("no message yet")

// readMessage waits for the client's next message, for as long as wait says; 0: for ever.
func (s *session) readMessage(wait time.Duration) (string, error) {
	if s.reader.Buffered() == 0 {
		if err := s.awaitBytes(wait); err != nil {
			return "", err
		}
	}
	_ = s.client.SetReadDeadline(time.Now().Add(messageTimeout))
	return s.reader.ReadMessage()
}

func (s *session) awaitBytes(wait time.Duration) error {
	s.mu.Lock()
	s.waiting = true
	var deadline time.Time
	if wait > 0 {
		deadline = time.Now().Add(wait)
	}
	_ = s.client.SetReadDeadline(deadline)
	s.mu.Unlock()
	err := s.reader.Wait()
	s.mu.Lock()
	s.waiting = false
	s.mu.Unlock()
	if err != nil && isTimeout(err) {
		return errInterrupted
	}
	return err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// wake interrupts a session that waits for its client, so that it looks at the process's phase.
func (s *session) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting {
		_ = s.client.SetReadDeadline(time.Unix(1, 0))
	}
}

// idleTimeout is how long the session waits for its client's next message; 0: for ever.
func (s *session) idleTimeout() time.Duration {
	if s.tx == nil {
		return s.proxy.idleTimeout()
	}
	idle := defaultTxIdle
	if cfg := s.proxy.config.Load(); cfg != nil && cfg.Limits.IdleInTransactionTimeout > 0 {
		idle = cfg.Limits.IdleInTransactionTimeout
	}
	return time.Duration(idle * 1e6)
}

// endsWhileIdle looks at a session whose client sent nothing for the time wait, or that was woken. A transaction
// that is idle for too long, or still open at the end of the process, is rolled back. true: the session ends.
func (s *session) endsWhileIdle(wait time.Duration) bool {
	phase := s.proxy.phase()
	if s.tx != nil && (s.proxy.now()-s.answeredAt > milliseconds(wait)-txIdleSlack || phase >= closingAll) {
		s.failIdleTransaction()
	}
	return s.tx == nil && phase >= draining && s.isIdle() && s.nothingUnread()
}

// isIdle says whether the session has been idle for so long that its client is hardly about to send anything: one
// that has just attached, or was just answered, may have its next message on the way.
func (s *session) isIdle() bool {
	return s.proxy.now()-s.answeredAt >= milliseconds(s.proxy.idleTimeout())/2
}

// nothingUnread says whether the client has sent nothing that was not read yet.
func (s *session) nothingUnread() bool {
	return (&memberconn.Conn{NetConn: s.client, Reader: s.reader}).Alive()
}

// state is the session's state as READY has it.
func (s *session) state() string {
	switch {
	case s.tx == nil:
		return wire.StateIdle
	case s.tx.failed:
		return wire.StateFailedTransaction
	}
	return wire.StateInTransaction
}

func milliseconds(d time.Duration) float64 { return float64(d) / 1e6 }
