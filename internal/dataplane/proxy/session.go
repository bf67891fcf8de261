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
	messageTimeout = 10 * time.Second        // for ATTACH, and for the rest of a message after its first byte
	configTimeout  = 1500 * time.Millisecond // maximum wait of ATTACH for the first configuration

	defaultIdleInTransactionTimeout = 60000.0 // milliseconds, if the configuration sets none
	readTimerSlack                  = 5.0     // milliseconds by which a read deadline may fire early
)

// session is the session of a client connection. Its goroutine (run) reads the client's messages one at a time,
// processes each to the end and writes the answer. All fields except mu and waiting belong to that goroutine.
type session struct {
	proxy     *Proxy
	client    net.Conn
	reader    *wire.Reader
	outBuffer []byte // answers that are not written yet
	host      string // the database in the client's ATTACH
	key       string // the key in the client's ATTACH
	closing   bool   // the session ends after the current answer

	startedAt    float64 // milliseconds
	answeredAt   float64 // time of the last answer in milliseconds
	sessionState sessionstate.Session

	lastCommit   wire.Position // of this session; reads with config.ConsistencySession must see it
	lastCommitAt float64       // milliseconds

	tx *transaction // nil if no transaction is open

	// shardPrefix is "ON shard epoch ", which precedes a statement or a BEGIN on a route with a shard. resolveService
	// sets it, to "" for routes without a shard.
	shardPrefix string
	// rowsForwarded means that rows of the current answer were sent to the client before the answer was complete.
	rowsForwarded bool

	mu      sync.Mutex
	waiting bool // the session waits for the client's next message, so wake may interrupt it; guarded by mu
}

// errClientGone is the error of a statement whose rows could not be written to the client.
var errClientGone = errors.New("the client is gone")

// run serves the client until it disconnects or violates the protocol, or the process shuts down.
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
			if s.handleReadError(err, wait) {
				return
			}
			continue
		}
		if !s.handleMessage(line) || !s.flush() || s.closing || s.closeIfRefusing() {
			return
		}
		s.answeredAt = s.proxy.now()
	}
}

// handleReadError handles an error of readMessage and reports whether the session ends.
func (s *session) handleReadError(err error, wait time.Duration) bool {
	if errors.Is(err, errInterrupted) {
		return s.handleIdle(wait)
	}
	if isProtocolError(err) {
		s.proxy.log.Event(events.MalformedMessage, "peer", s.client.RemoteAddr().String(), "why", err.Error())
		s.rejectSession(err)
	}
	return true
}

// attach reads the client's first message and answers it. It returns false if the session ends.
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

// awaitConfig returns the configuration. In a process that has just started it waits for the first one, and returns nil
// if none arrives in time.
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

// errInterrupted is the error of a wait for a message that timed out or was interrupted by wake.
var errInterrupted = errors.New("no message yet")

// readMessage reads the client's next message. It waits up to the given time for its first byte, without limit if the
// time is 0.
func (s *session) readMessage(wait time.Duration) (string, error) {
	if s.reader.Buffered() == 0 {
		if err := s.waitForInput(wait); err != nil {
			return "", err
		}
	}
	_ = s.client.SetReadDeadline(time.Now().Add(messageTimeout))
	return s.reader.ReadMessage()
}

// waitForInput waits until input from the client is available, with the time limit of readMessage.
func (s *session) waitForInput(wait time.Duration) error {
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

// wake interrupts a session that waits for its client, so that it checks the shutdown phase.
func (s *session) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting {
		_ = s.client.SetReadDeadline(time.Unix(1, 0))
	}
}

// idleTimeout returns how long the session waits for the client's next message, 0 for no limit.
func (s *session) idleTimeout() time.Duration {
	if s.tx == nil {
		return s.proxy.idleTimeout()
	}
	idle := defaultIdleInTransactionTimeout
	if cfg := s.proxy.config.Load(); cfg != nil && cfg.Limits.IdleInTransactionTimeout > 0 {
		idle = cfg.Limits.IdleInTransactionTimeout
	}
	return time.Duration(idle * 1e6)
}

// handleIdle handles a wait for the client that timed out or was interrupted, and reports whether the session ends. It
// rolls back a transaction that is idle for too long, or still open late in the shutdown.
func (s *session) handleIdle(wait time.Duration) bool {
	phase := s.proxy.phase()
	if s.tx != nil && (s.proxy.now()-s.answeredAt > milliseconds(wait)-readTimerSlack || phase >= closingAll) {
		s.failIdleTransaction()
	}
	return s.tx == nil && phase >= draining && s.isIdle() && s.noUnreadInput()
}

// isIdle reports whether the session has been idle for at least half of the phase's idle timeout. Before that the
// client's next message may be in flight, as it has just attached or just received an answer.
func (s *session) isIdle() bool {
	return s.proxy.now()-s.answeredAt >= milliseconds(s.proxy.idleTimeout())/2
}

// noUnreadInput reports whether the client has sent nothing that is still unread.
func (s *session) noUnreadInput() bool {
	return (&memberconn.Conn{NetConn: s.client, Reader: s.reader}).Alive()
}

// state returns the session's state as READY reports it.
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
