package sessionclient

// This file implements a connection: its lines in both directions.

import (
	"context"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/coder/websocket"
)

// connect opens a connection to an edge and serves it until it ends. established reports whether the session was
// attached to the connection.
func (s *Session) connect(ctx context.Context, edge string) (established bool) {
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	conn, _, err := websocket.Dial(dialCtx, s.address(edge), &websocket.DialOptions{Subprotocols: []string{subprotocol}})
	cancel()
	if err != nil {
		return false
	}
	defer conn.CloseNow()
	defer s.setConn(nil)
	conn.SetReadLimit(maxLineBytes)
	for {
		_, line, err := conn.Read(ctx)
		if err != nil {
			s.handleReadError(err)
			return established
		}
		kind, rest, _ := strings.Cut(string(line), " ")
		if !s.receive(ctx, conn, kind, rest) {
			return established
		}
		established = established || kind == "s"
	}
}

// address returns the URL of a connection to an edge: for a new session, or to resume the session after the last
// message that was received.
func (s *Session) address(edge string) string {
	token, received := s.Token()
	address := edge + "/session"
	if token != "" {
		address += "?token=" + url.QueryEscape(token) + "&got=" + strconv.FormatUint(received, 10)
	}
	return address
}

func (s *Session) setConn(conn *websocket.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
}

// receive handles a line of the server: "s TOKEN NUMBER", the session is attached and the messages up to NUMBER are
// acknowledged; "a NUMBER", messages up to NUMBER are acknowledged; "m NUMBER BODY", a message. It returns false if the
// connection must be closed.
func (s *Session) receive(ctx context.Context, conn *websocket.Conn, kind, rest string) (ok bool) {
	first, body, _ := strings.Cut(rest, " ")
	switch kind {
	case "s":
		acked, err := strconv.ParseUint(body, 10, 64)
		if err != nil {
			return false
		}
		s.receiveOpened(ctx, conn, first, acked)
	case "a":
		if number, err := strconv.ParseUint(first, 10, 64); err == nil {
			s.receiveAck(number)
		}
	case "m":
		return s.receiveMessage(ctx, conn, first, body)
	}
	return true
}

// receiveOpened handles the first line of a connection, and sends the unacknowledged messages again.
func (s *Session) receiveOpened(ctx context.Context, conn *websocket.Conn, token string, acked uint64) {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	number, unacked := s.resume(conn, token, acked)
	for _, body := range unacked {
		number++
		if conn.Write(ctx, websocket.MessageText, formatMessage(number, body)) != nil {
			return
		}
	}
}

// resume makes a connection the session's current one, and returns the last acknowledged number and the messages after
// it. The caller holds writeMu, so that new messages are sent after these.
func (s *Session) resume(conn *websocket.Conn, token string, acked uint64) (last uint64, unacked [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections == 0 {
		if s.token != "" {
			s.acked = max(s.acked, acked) // these were sent by another process
		}
		close(s.opened)
	}
	s.token = token
	s.connections++
	s.dropAcked(acked)
	s.conn = conn
	return s.acked, slices.Clone(s.unacked)
}

func (s *Session) receiveAck(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAcked(number)
}

// dropAcked drops the messages up to a number. The caller holds s.mu.
func (s *Session) dropAcked(number uint64) {
	for s.acked < number && len(s.unacked) > 0 {
		s.unacked = s.unacked[1:]
		s.acked++
	}
}

// receiveMessage passes a message to the reader of Messages, unless it is a duplicate, and acknowledges it. It returns
// false if the connection must be closed.
func (s *Session) receiveMessage(ctx context.Context, conn *websocket.Conn, digits, body string) (ok bool) {
	number, err := strconv.ParseUint(digits, 10, 64)
	if err != nil {
		return false
	}
	if _, received := s.Token(); number > received {
		select {
		case s.messages <- []byte(body):
		case <-ctx.Done():
			return false
		}
		s.mu.Lock()
		s.received = number
		s.mu.Unlock()
	}
	return conn.Write(ctx, websocket.MessageText, []byte("a "+digits)) == nil
}

// formatMessage returns the line of a message.
func formatMessage(number uint64, body []byte) []byte {
	return append([]byte("m "+strconv.FormatUint(number, 10)+" "), body...)
}
