package edge

// This file implements a client's socket: its lines in both directions. docs/sessions.md describes the subprotocol.

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
	maxOutgoingLines     = 512 // lines that may wait to be written to one socket
	publishRetryInterval = 10 * time.Millisecond
)

// socket is a client's connection. A plain client doesn't use the subprotocol: its lines consist of a message's body
// only, and a message counts as acknowledged once it is written to the socket.
type socket struct {
	id         uint64 // set by the goroutine that runs commands
	conn       *websocket.Conn
	plain      bool
	cancel     context.CancelFunc // ends the socket
	wakeWriter chan struct{}      // signals that outgoing isn't empty; has a buffer of one

	mu       sync.Mutex
	outgoing []line // lines that wait to be written; nil while the socket is idle, as most are
}

// line is a line to write.
type line struct {
	text   string
	number uint64 // number of the message, for a plain client; else 0
}

// close closes the connection with a status, and waits for the client's close frame.
func (s *socket) close(status websocket.StatusCode, reason string) {
	_ = s.conn.Close(status, reason) // an error means that the client has disconnected
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

// enqueue appends a line to those that wait to be written. If there are too many, because the client doesn't read, it
// ends the socket.
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

// dequeue removes and returns all waiting lines.
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

// ack acknowledges all messages up to a number for the client.
func (r *runner) ack(s *socket, number uint64) {
	r.commands.Do(func() {
		r.decider.Ack(s.id, number)
		r.flush()
	})
}

// read reads a client's lines until ctx or the connection ends. It stops reading while the decider accepts no message.
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

// parseLine parses "m NUMBER body", a message, or "a NUMBER", an acknowledgement.
func parseLine(text string) (kind string, number uint64, body string, ok bool) {
	kind, rest, _ := strings.Cut(text, " ")
	digits, body, _ := strings.Cut(rest, " ")
	number, err := strconv.ParseUint(digits, 10, 63)
	return kind, number, body, err == nil && number > 0 && (kind == "m" || kind == "a")
}

// publish passes a client's message to the decider, once the decider can accept it. It returns an error if the socket
// has ended.
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
