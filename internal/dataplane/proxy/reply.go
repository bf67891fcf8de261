package proxy

import (
	"strings"
	"time"

	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
)

const (
	writeTimeout    = 5 * time.Second // for a client that does not read its answer
	maxKeptOutBytes = 4096            // maximum capacity of a session's out buffer that is kept for reuse
)

// Answers are collected in session.outBuffer and written by flush, so that a short answer takes one write.

func (s *session) replyLine(line string) {
	s.outBuffer = append(append(s.outBuffer, line...), '\r', '\n')
}

// replyReady ends an answer with the session's state and a log position, which is NoStamp for none.
func (s *session) replyReady(state, position string) {
	s.replyLine(wire.MsgReady + " " + state + " " + position)
}

// replyDone answers a statement that the session itself has run.
func (s *session) replyDone() {
	s.replyLine(wire.MsgDone + " " + wire.NoStamp)
	s.replyReady(s.state(), wire.NoStamp)
}

// replyError answers with an error and the state of the session after it.
func (s *session) replyError(err error, state string) {
	s.replyFail(err)
	s.replyReady(state, wire.NoStamp)
}

func (s *session) replyFail(err error) {
	s.replyLine(strings.TrimRight(wire.MsgFail+" "+failCode(err)+" "+err.Error(), " "))
}

// rejectSession answers with an error that ends the session.
func (s *session) rejectSession(err error) {
	s.replyFail(err)
	s.flush()
}

// forwardReply answers with a member's reply.
func (s *session) forwardReply(reply *memberconn.Reply, state string) {
	for _, row := range reply.Rows {
		s.replyLine(row)
	}
	if reply.OK {
		s.replyLine(wire.MsgDone + " " + reply.Text)
	} else {
		s.replyLine(wire.MsgFail + " " + reply.Text)
	}
	s.replyReady(state, reply.Position.String())
}

// forwardRows sends rows to the client before the member's reply is complete, as they exceed the buffer limit. After
// that no other member may answer the statement.
func (s *session) forwardRows(rows []string) error {
	s.rowsForwarded = true
	for _, row := range rows {
		s.replyLine(row)
	}
	if !s.flush() {
		return errClientGone
	}
	return nil
}

// flush writes the collected answers. It returns false if the write fails.
func (s *session) flush() bool {
	if len(s.outBuffer) == 0 {
		return true
	}
	_ = s.client.SetWriteDeadline(time.Now().Add(writeTimeout)) // if this fails, the write fails too
	_, err := s.client.Write(s.outBuffer)
	if cap(s.outBuffer) > maxKeptOutBytes {
		s.outBuffer = nil
	}
	s.outBuffer = s.outBuffer[:0]
	return err == nil
}
