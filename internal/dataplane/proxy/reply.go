package proxy

import (
	"strings"
	"time"

	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
)

const (
	writeTimeout  = 5 * time.Second // for a client that doesn't read its answer
	keptOutBuffer = 4096            // bytes; the buffer of a longer answer is not kept
)

// Answers are collected in session.out and written by flush, so that a short one takes one write.

func (s *session) replyLine(line string) { s.out = append(append(s.out, line...), '\r', '\n') }

// replyReady ends an answer: the session's state and a log position, NoStamp for none.
func (s *session) replyReady(state, position string) {
	s.replyLine(wire.MsgReady + " " + state + " " + position)
}

// replyDone answers what needs no member.
func (s *session) replyDone() {
	s.replyLine(wire.MsgDone + " " + wire.NoStamp)
	s.replyReady(s.state(), wire.NoStamp)
}

// replyError answers with an error and the session's state after it.
func (s *session) replyError(err error, state string) {
	s.replyFail(err)
	s.replyReady(state, wire.NoStamp)
}

func (s *session) replyFail(err error) {
	s.replyLine(strings.TrimRight(wire.MsgFail+" "+failCode(err)+" "+err.Error(), " "))
}

// rejectSession answers with an error, after which the session ends.
func (s *session) rejectSession(err error) {
	s.replyFail(err)
	s.flush()
}

// forwardReply answers as the member did.
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

// forwardRows sends the client rows of an answer that has too many to keep, before its end is known. From then on no
// other member may answer the statement.
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

// flush writes what was collected. false: the client doesn't take it.
func (s *session) flush() bool {
	if len(s.out) == 0 {
		return true
	}
	_ = s.client.SetWriteDeadline(time.Now().Add(writeTimeout)) // the write fails too if this does
	_, err := s.client.Write(s.out)
	if cap(s.out) > keptOutBuffer {
		s.out = nil
	}
	s.out = s.out[:0]
	return err == nil
}
