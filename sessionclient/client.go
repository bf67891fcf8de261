// Package sessionclient is the client of open sessions for Go programs: a session that outlives its connections.
//
// It speaks the subprotocol of docs/sessions.md: messages have numbers in both directions, each is given once and in
// order, and what has no acknowledgement is sent again over the next connection.
package sessionclient

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"
)

const (
	subprotocol = "weirwind.session.1"
	pauseLeast  = 50 * time.Millisecond
	pauseMost   = 2 * time.Second
	mostLine    = 80 << 10
)

// Session is one. Its methods may be called from several goroutines.
type Session struct {
	edges []string
	in    chan []byte
	ctx   context.Context // of the session: a caller's own would break the connection with its end
	stop  context.CancelFunc
	done  chan struct{}

	writing sync.Mutex // numbers go out in their order

	mu     sync.Mutex
	token  string
	got    uint64
	sent   [][]byte // not acknowledged; the first has number acked+1
	acked  uint64
	conn   *websocket.Conn
	conns  int
	opened chan struct{}
	err    error
}

// Open begins a session at one of the edges ("ws://host:port"), or resumes the one that a token names ("" for a new
// one) behind message got. It returns at once and connects on its own, again and again, until ctx ends or Close.
func Open(ctx context.Context, edges []string, token string, got uint64) *Session {
	inner, stop := context.WithCancel(ctx)
	s := &Session{
		ctx:    inner,
		edges:  edges,
		in:     make(chan []byte),
		stop:   stop,
		done:   make(chan struct{}),
		token:  token,
		got:    got,
		opened: make(chan struct{}),
	}
	go s.run(inner)
	return s
}

// Messages gives what comes, each message once and in order. It is closed when the session ends here.
func (s *Session) Messages() <-chan []byte { return s.in }

// Opened is closed once the session stands for the first time.
func (s *Session) Opened() <-chan struct{} { return s.opened }

// Token and Got are what another process needs to go on with the session.
func (s *Session) Token() (token string, got uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.token, s.got
}

// Connections is how many there were so far.
func (s *Session) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// Pending is how many sent messages are not acknowledged yet.
func (s *Session) Pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sent)
}

// Send queues a message for the server; it goes out again over each next connection until it is acknowledged. It waits
// while the connection takes nothing; the error is that of a session that has ended here.
func (s *Session) Send(body []byte) error {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	s.sent = append(s.sent, body)
	n, c := s.acked+uint64(len(s.sent)), s.conn
	s.mu.Unlock()
	if c != nil && c.Write(s.ctx, websocket.MessageText, line("m", n, body)) != nil {
		c.CloseNow() // it goes again over the next one
	}
	return s.ctx.Err()
}

// Close ends the session here; the server keeps it for a while.
func (s *Session) Close() {
	s.stop()
	<-s.done
}

// Err is why the session ended, where it was the server's will.
func (s *Session) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

func line(word string, n uint64, body []byte) []byte {
	return append([]byte(word+" "+strconv.FormatUint(n, 10)+" "), body...)
}

func (s *Session) run(ctx context.Context) {
	defer close(s.done)
	defer close(s.in)
	pause := pauseLeast
	for n := rand.IntN(len(s.edges)); ctx.Err() == nil; n++ {
		if s.connect(ctx, s.edges[n%len(s.edges)]) {
			pause = pauseLeast
		}
		if s.Err() != nil {
			return
		}
		select {
		case <-time.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
		case <-ctx.Done():
		}
		pause = min(2*pause, pauseMost)
	}
}

// connect serves one connection to its end. ok: the session stood on it.
func (s *Session) connect(ctx context.Context, edge string) (ok bool) {
	token, got := s.Token()
	where := edge + "/session"
	if token != "" {
		where += "?token=" + url.QueryEscape(token) + "&got=" + strconv.FormatUint(got, 10)
	}
	dial, stop := context.WithTimeout(ctx, 3*time.Second)
	c, _, err := websocket.Dial(dial, where, &websocket.DialOptions{Subprotocols: []string{subprotocol}})
	stop()
	if err != nil {
		return false
	}
	defer c.CloseNow()
	c.SetReadLimit(mostLine)
	defer func() {
		s.mu.Lock()
		s.conn = nil
		s.mu.Unlock()
	}()
	for {
		_, b, err := c.Read(ctx)
		if err != nil {
			if websocket.CloseStatus(err) == websocket.StatusPolicyViolation {
				s.mu.Lock()
				s.err = fmt.Errorf("the server ended the session: %w", err)
				s.mu.Unlock()
			}
			return ok
		}
		word, rest, _ := strings.Cut(string(b), " ")
		first, body, _ := strings.Cut(rest, " ")
		switch word {
		case "s":
			n, err := strconv.ParseUint(body, 10, 64)
			if err != nil {
				return ok
			}
			ok = true
			s.stand(ctx, c, first, n)
		case "a":
			if n, err := strconv.ParseUint(first, 10, 64); err == nil {
				s.mu.Lock()
				s.safe(n)
				s.mu.Unlock()
			}
		case "m":
			if !s.receive(ctx, c, first, body) {
				return ok
			}
		}
	}
}

// receive gives a message to the program, unless it came before, and acknowledges it. false: the connection is over.
func (s *Session) receive(ctx context.Context, c *websocket.Conn, number, body string) bool {
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return false
	}
	s.mu.Lock()
	old := n <= s.got
	s.mu.Unlock()
	if !old {
		select {
		case s.in <- []byte(body):
		case <-ctx.Done():
			return false
		}
		s.mu.Lock()
		s.got = n
		s.mu.Unlock()
	}
	return c.Write(ctx, websocket.MessageText, []byte("a "+number)) == nil
}

func (s *Session) safe(n uint64) {
	for s.acked < n && len(s.sent) > 0 {
		s.sent = s.sent[1:]
		s.acked++
	}
}

// stand takes the session's first line on a connection, and sends what has no acknowledgement.
func (s *Session) stand(ctx context.Context, c *websocket.Conn, token string, safe uint64) {
	s.writing.Lock()
	defer s.writing.Unlock()
	s.mu.Lock()
	if s.token == "" {
		close(s.opened)
	} else if s.conns == 0 {
		s.acked = max(s.acked, safe) // another process sent those
		close(s.opened)
	}
	s.token = token
	s.conns++
	s.safe(safe)
	from, again := s.acked, slices.Clone(s.sent)
	s.conn = c // what is sent from now on waits for writing
	s.mu.Unlock()
	for i, body := range again {
		if c.Write(ctx, websocket.MessageText, line("m", from+uint64(i)+1, body)) != nil {
			return
		}
	}
}
