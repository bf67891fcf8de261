package sessionclient

// This file owns one connection: its lines in both directions.

import (
	"context"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/coder/websocket"
)

// connect serves one connection to its end. stood: the session stood on it.
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

// address is where to connect at an edge, for a new session or behind the last message that was received.
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

// receive takes a line of the server: "s TOKEN NUMBER", the session stands; "a NUMBER", messages up to it are
// acknowledged; "m NUMBER BODY", a message. false: the connection is over.
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

// receiveOpened takes the first line of a connection, and sends what is not acknowledged.
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

// resume makes a connection the session's, and gives the number that is acknowledged with the messages behind it.
// What is sent from now on waits for writing, which is held.
func (s *Session) resume(conn *websocket.Conn, token string, acked uint64) (last uint64, unacked [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections == 0 {
		if s.token != "" {
			s.acked = max(s.acked, acked) // another process sent those
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

// dropAcked drops the messages up to a number. s.mu is held.
func (s *Session) dropAcked(number uint64) {
	for s.acked < number && len(s.unacked) > 0 {
		s.unacked = s.unacked[1:]
		s.acked++
	}
}

// receiveMessage gives a message to the caller, unless it came before, and acknowledges it. false: the connection is
// over.
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

// formatMessage is the line of a message.
func formatMessage(number uint64, body []byte) []byte {
	return append([]byte("m "+strconv.FormatUint(number, 10)+" "), body...)
}
