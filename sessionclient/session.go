// Package sessionclient is the Go client of sessions: message streams between a client and its server that outlive
// their connections.
//
// It speaks the subprotocol of docs/sessions.md. Messages are numbered in both directions; each is given once and in
// order, and what is not acknowledged is sent again over the next connection, to any edge.
package sessionclient

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coder/websocket"
)

const (
	subprotocol    = "weirwind.session.1"
	initialBackoff = 50 * time.Millisecond // between connections, with jitter; it doubles
	maxBackoff     = 2 * time.Second
	dialTimeout    = 3 * time.Second
	maxLineBytes   = 80 << 10
)

// Session is one. Its methods may be called from several goroutines.
type Session struct {
	edges    []string
	messages chan []byte
	ctx      context.Context // of the session: a caller's own would break the connection with its end
	cancel   context.CancelFunc
	done     chan struct{} // closed once run has ended

	writeMu sync.Mutex // held over the numbering and the writing of a message, so that numbers go out in their order

	mu          sync.Mutex // guards what follows; taken behind writing where both are
	token       string     // "" until the first connection has opened a new session
	received    uint64     // number of the last message that was given to the caller
	unacked     [][]byte   // sent and not acknowledged; the first has number acked+1
	acked       uint64     // number of the last message that was acknowledged
	conn        *websocket.Conn
	connections int
	opened      chan struct{} // closed with the first connection on which the session stood
	err         error
}

// Open begins a session at one of the edges ("ws://host:port"), or resumes the one that a token names ("" for a new
// one) behind message got. It returns at once and connects on its own, again and again, until ctx ends or Close.
func Open(ctx context.Context, edges []string, token string, lastReceived uint64) *Session {
	ctx, cancel := context.WithCancel(ctx)
	s := &Session{
		ctx:      ctx,
		edges:    edges,
		messages: make(chan []byte),
		cancel:   cancel,
		done:     make(chan struct{}),
		token:    token,
		received: lastReceived,
		opened:   make(chan struct{}),
	}
	go s.run(ctx)
	return s
}

// Messages gives what comes, each message once and in order. It is closed when the session ends here.
func (s *Session) Messages() <-chan []byte { return s.messages }

// Opened is closed once the session stands for the first time.
func (s *Session) Opened() <-chan struct{} { return s.opened }

// Token gives what another process needs to go on with the session: its token, and the number of the last message
// that Messages has given.
func (s *Session) Token() (token string, lastReceived uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.token, s.received
}

// Connections is how many connections the session stood on so far.
func (s *Session) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// Pending is how many sent messages are not acknowledged yet.
func (s *Session) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unacked)
}

// Send sends a message to the server; it is sent again over each next connection until it is acknowledged. It waits
// while the connection takes nothing; the error is that of a session that has ended here.
func (s *Session) Send(body []byte) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	number, conn := s.addUnacked(body)
	if conn != nil && conn.Write(s.ctx, websocket.MessageText, formatMessage(number, body)) != nil {
		_ = conn.CloseNow() // it is sent again over the next one
	}
	return s.ctx.Err()
}

// addUnacked numbers a message, and gives the connection to send it over; nil: there is none.
func (s *Session) addUnacked(body []byte) (number uint64, conn *websocket.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unacked = append(s.unacked, body)
	return s.acked + uint64(len(s.unacked)), s.conn
}

// Close ends the session here; the server keeps it for a while.
func (s *Session) Close() {
	s.cancel()
	<-s.done
}

// Err is why the server ended the session; nil: it didn't.
func (s *Session) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// run connects to the edges in turn until ctx or the session ends.
func (s *Session) run(ctx context.Context) {
	defer close(s.done)
	defer close(s.messages)
	backoff := initialBackoff
	for attempt := rand.IntN(len(s.edges)); ctx.Err() == nil; attempt++ {
		if established := s.connect(ctx, s.edges[attempt%len(s.edges)]); established {
			backoff = initialBackoff
		}
		if s.Err() != nil {
			return
		}
		select {
		case <-time.After(time.Duration(float64(backoff) * (0.5 + rand.Float64()))):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// handleReadError notes whether the end of a connection is the server's will.
func (s *Session) handleReadError(err error) {
	if websocket.CloseStatus(err) != websocket.StatusPolicyViolation {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = fmt.Errorf("the server ended the session: %w", err)
}
