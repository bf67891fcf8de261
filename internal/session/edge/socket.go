package edge

// This file owns a client's socket: its lines in both directions. docs/sessions.md has the subprotocol.

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coder/websocket"

	"weirwind/internal/session/queue"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
)

const (
	maxLineBytes         = 80 << 10
	writeTimeout         = 5 * time.Second
	maxOutgoingLines     = 512 // that wait to be written to one socket
	publishRetryInterval = 10 * time.Millisecond
)

// socket is a client's connection. A plain client speaks no subprotocol: its lines are bodies alone, and it has a
// message once that is written.
type socket struct {
	id         uint64 // the owner of commands sets it
	conn       *websocket.Conn
	plain      bool
	cancel     context.CancelFunc // ends the socket
	wakeWriter chan struct{}      // has room for one: outgoing is not empty

	mu       sync.Mutex
	outgoing []line // that wait to be written; nil for most sockets, which are idle
}

// line is a text to write.
type line struct {
	text   string
	number uint64 // of a plain client's message
}

// close closes the connection with a status; it waits for the client to do so too.
func (s *socket) close(status websocket.StatusCode, reason string) {
	_ = s.conn.Close(status, reason) // an error is a client that has gone
}

// writeEvent writes an event of the decider to a client.
func (r *runner) writeEvent(s *socket, event queue.ClientEvent) {
	switch event.Kind {
	case queue.EventOpened:
		if !s.plain {
			s.enqueue(line{text: "s " + event.Session + "." + event.Secret + " " + formatNumber(event.Number)})
		}
	case queue.EventMessage:
		if s.plain {
			s.enqueue(line{string(event.Body), event.Number})
		} else {
			s.enqueue(line{text: "m " + formatNumber(event.Number) + " " + string(event.Body)})
		}
	case queue.EventPublishAcked:
		if !s.plain {
			s.enqueue(line{text: "a " + formatNumber(event.Number)})
		}
	case queue.EventClosed:
		r.endSocket(s, event)
	}
}

func formatNumber(number uint64) string { return strconv.FormatUint(number, 10) }

func (r *runner) endSocket(s *socket, event queue.ClientEvent) {
	delete(r.sockets, event.Socket)
	r.log.Event(events.SocketClosed, "sock", event.Socket, "why", event.Reason)
	status := websocket.StatusPolicyViolation
	if event.Resumable {
		status = websocket.StatusTryAgainLater
	}
	go s.close(status, event.Reason)
}

// enqueue has a line written; a client that doesn't read loses its socket.
func (s *socket) enqueue(l line) {
	s.mu.Lock()
	full := len(s.outgoing) >= maxOutgoingLines
	if !full {
		s.outgoing = append(s.outgoing, l)
	}
	s.mu.Unlock()
	if full {
		s.cancel()
		return
	}
	select {
	case s.wakeWriter <- struct{}{}:
	default:
	}
}

// dequeue gives all lines that wait.
func (s *socket) dequeue() []line {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.outgoing
	s.outgoing = nil
	return lines
}

// write writes lines until ctx or the connection ends.
func (s *socket) write(ctx context.Context, r *runner) {
	defer s.cancel()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wakeWriter:
		}
		written := uint64(0)
		for _, l := range s.dequeue() {
			if err := s.writeLine(ctx, l.text); err != nil {
				return
			}
			written = max(written, l.number)
		}
		if written > 0 {
			r.ack(s, written)
		}
	}
}

func (s *socket) writeLine(ctx context.Context, text string) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return s.conn.Write(ctx, websocket.MessageText, []byte(text))
}

// ack takes that the client has all messages up to a number.
func (r *runner) ack(s *socket, number uint64) {
	r.commands.Do(func() {
		r.decider.Ack(s.id, number)
		r.flush()
	})
}

// read takes a client's lines until ctx or the connection ends, no more than there is room for.
func (s *socket) read(ctx context.Context, r *runner) {
	for {
		_, text, err := s.conn.Read(ctx)
		if err != nil {
			return
		}
		if s.plain {
			if s.publish(ctx, r, 0, text) != nil {
				return
			}
			continue
		}
		kind, number, body, ok := parseLine(string(text))
		switch {
		case !ok:
			s.close(websocket.StatusUnsupportedData, "m NUMBER body, or a NUMBER")
			return
		case kind == "a":
			r.ack(s, number)
		case s.publish(ctx, r, number, []byte(body)) != nil:
			return
		}
	}
}

// parseLine reads "m NUMBER body", a message, or "a NUMBER", an acknowledgement.
func parseLine(text string) (kind string, number uint64, body string, ok bool) {
	kind, rest, _ := strings.Cut(text, " ")
	digits, body, _ := strings.Cut(rest, " ")
	number, err := strconv.ParseUint(digits, 10, 63)
	return kind, number, body, err == nil && number > 0 && (kind == "m" || kind == "a")
}

// publish gives the decider a client's message once there is room for it; until then nothing more is read. The error
// is that of a socket that has ended.
func (s *socket) publish(ctx context.Context, r *runner, number uint64, body []byte) error {
	for {
		accepted, err := commandqueue.Call(ctx, r.commands, func() bool {
			if r.sockets[s.id] == s && !r.decider.CanPublish(s.id) {
				return false
			}
			r.decider.Publish(s.id, number, body)
			r.flush()
			return true
		})
		if err != nil || accepted {
			return err
		}
		time.Sleep(publishRetryInterval)
	}
}
