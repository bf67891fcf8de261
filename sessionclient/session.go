// Package sessionclient is the Go client for sessions: message streams between a client and its server that outlive
// individual connections.
//
// It uses the subprotocol of docs/sessions.md. Messages are numbered in both directions; each is delivered once and in
// order, and unacknowledged messages are sent again over the next connection, which may be to any edge.
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
	initialBackoff = 50 * time.Millisecond // between connections, with jitter; doubles each time
	maxBackoff     = 2 * time.Second
	dialTimeout    = 3 * time.Second
	maxLineBytes   = 80 << 10
)

// Session is the client's end of a session. Its methods are safe for concurrent use.
type Session struct {
	edges    []string
	messages chan []byte
	ctx      context.Context // ends with the session; a caller's context would close the connection at its own end
	cancel   context.CancelFunc
	done     chan struct{} // closed when run has returned

	writeMu sync.Mutex // held while a message is numbered and written, so that messages are sent in order

	mu          sync.Mutex // guards the fields below; locked after writeMu if both are held
	token       string     // "" until the first connection has opened a new session
	received    uint64     // number of the last message passed to the reader of Messages
	unacked     [][]byte   // messages sent and not acknowledged; the first one has number acked+1
	acked       uint64     // number of the last message that was acknowledged
	conn        *websocket.Conn
	connections int
	opened      chan struct{} // closed when the session is attached to a connection for the first time
	err         error
}

// Open opens a session at one of the edges ("ws://host:port"). If token is "" it creates a new session, otherwise it
// resumes the session of the token after the message with the number lastReceived. It returns immediately; the session
// connects in the background, and reconnects until ctx ends or Close is called.
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

// Messages returns the channel of received messages, each once and in order. It is closed when the Session ends.
func (s *Session) Messages() <-chan []byte { return s.messages }

// Opened returns a channel that is closed when the session is attached to a connection for the first time.
func (s *Session) Opened() <-chan struct{} { return s.opened }

// Token returns the values that another process needs to resume the session: its token, and the number of the last
// message that was received from Messages.
func (s *Session) Token() (token string, lastReceived uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.token, s.received
}

// Connections returns the number of connections to which the session has been attached so far.
func (s *Session) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}

// Pending returns the number of sent messages that are not acknowledged yet.
func (s *Session) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unacked)
}

// Send sends a message to the server. The message is sent again over each new connection until it is acknowledged. Send
// blocks while the connection accepts no data, and returns an error only if the Session has ended.
func (s *Session) Send(body []byte) error {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	number, conn := s.addUnacked(body)
	if conn != nil && conn.Write(s.ctx, websocket.MessageText, formatMessage(number, body)) != nil {
		_ = conn.CloseNow() // the message is sent again over the next connection
	}
	return s.ctx.Err()
}

// addUnacked assigns a number to a message, and returns the connection to send it over, nil if there is none.
func (s *Session) addUnacked(body []byte) (number uint64, conn *websocket.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unacked = append(s.unacked, body)
	return s.acked + uint64(len(s.unacked)), s.conn
}

// Close ends the Session. The server keeps the session for a while, so that it can be resumed.
func (s *Session) Close() {
	s.cancel()
	<-s.done
}

// Err returns the error with which the server ended the session, or nil if it hasn't.
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

// handleReadError sets the session's error if the server has ended the session, and not just the connection.
func (s *Session) handleReadError(err error) {
	if websocket.CloseStatus(err) != websocket.StatusPolicyViolation {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = fmt.Errorf("the server ended the session: %w", err)
}
