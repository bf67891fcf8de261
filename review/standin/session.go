package standin

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"weirwind/internal/member/wire"
)

// Answers of members.
const (
	done      = "DONE -\r\n"
	malformed = "FAIL MALFORMED\r\n"
	readOnly  = "FAIL RDONLY\r\n"
)

// memberSession is a session at a member.
type memberSession struct {
	service *Service
	member  *Member
	open    bool
	plain   bool // the open transaction may write
	failed  bool
	writes  []string
	stamp   int
}

// serveConn serves a connection from a machine in region 0.
func (s *Service) serveConn(m *Member, conn net.Conn) {
	defer conn.Close()
	delay := time.Duration(0)
	if m.region != 0 {
		delay = regionDelay
	}
	reader := wire.NewReader(conn)
	line, err := reader.ReadMessage()
	if err != nil {
		return
	}
	time.Sleep(2*delay + handshakeTime) // the way of the connection's first packets, and the new connection's slot
	fields := strings.Fields(line)
	if len(fields) < 3 || fields[0] != wire.MsgAttach || fields[1] != s.Name || len(fields) > 3 && fields[3] != m.ID {
		_, _ = io.WriteString(conn, "FAIL WRONGHOST\r\n")
		return
	}
	c := &memberSession{service: s, member: m}
	s.mu.Lock()
	position := m.position()
	s.mu.Unlock()
	if _, err := fmt.Fprintf(conn, "READY I %s\r\n", position); err != nil {
		return
	}
	for {
		line, err := reader.ReadMessage()
		if err != nil {
			return
		}
		word, rest := wire.CutField(line)
		if word != wire.MsgQuery {
			return
		}
		time.Sleep(delay)
		id, text := wire.CutField(rest)
		answer, ok := c.query(id, text)
		if !ok {
			return
		}
		time.Sleep(delay)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func (c *memberSession) query(id, text string) (answer string, ok bool) {
	s, m := c.service, c.member
	s.mu.Lock()
	defer s.mu.Unlock()
	after := ""
	if verb, rest := wire.CutField(text); verb == "AFTER" {
		after, text = wire.CutField(rest)
	}
	result, ok := c.run(id, after, text)
	state := wire.StateIdle
	switch {
	case c.failed:
		state = wire.StateFailedTransaction
	case c.open:
		state = wire.StateInTransaction
	}
	return fmt.Sprintf("%sREADY %s %s\r\n", result, state, m.position()), ok
}

func (c *memberSession) fail(answer string) string {
	c.failed = c.open
	return answer
}

func (c *memberSession) doneWithStamp(id string) string {
	c.stamp++
	return fmt.Sprintf("DONE %s.%s.%d\r\n", c.member.ID, id, c.stamp)
}

// run runs a statement. ok is false if its answer is not given.
func (c *memberSession) run(id, after, text string) (answer string, ok bool) {
	m := c.member
	verb, rest := wire.CutField(text)
	if c.failed && verb != "ABORT" && verb != "COMMIT" {
		return malformed, true
	}
	if position, given := wire.ParsePosition(after); given {
		if own, _ := wire.ParsePosition(m.position()); own.Less(position) {
			return c.fail("FAIL LAGGING\r\n"), true
		}
	}
	switch verb {
	case "STAT", "PAUSE", "CONT", "STEPDOWN":
		return c.control(verb, rest), true
	case "BEGIN":
		if rest == "" && !m.primary {
			return readOnly, true
		}
		c.open, c.plain, c.writes = true, rest == "", nil
		return done, true
	case "ABORT":
		c.open, c.failed, c.writes = false, false, nil
		return done, true
	case "SET", "RESET":
		return done, true
	case "FETCH":
		if c.open && c.plain && !m.primary {
			return c.fail(readOnly), true
		}
		c.service.judge.Ran(id, m.ID, m.log)
		return "ROW " + m.position() + "\r\n" + c.doneWithStamp(id), true
	case "STORE":
		return c.store(id)
	case "COMMIT":
		return c.commit(id)
	}
	return malformed, true
}

// control runs a statement of the control plane and answers with the member's state.
func (c *memberSession) control(verb, rest string) string {
	m := c.member
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch {
	case verb == "PAUSE" && !m.primary && term > max(m.term, m.pausedTerm):
		m.pausedTerm = term
	case verb == "CONT":
		m.pausedTerm = 0
	case verb == "STEPDOWN" && m.primary && term > m.term:
		m.term = term
		c.service.setRole(m, false)
	}
	role := "replica"
	if m.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 1\r\n"+done, role, m.term, m.position(), m.pausedTerm)
}

func (c *memberSession) store(id string) (answer string, ok bool) {
	m := c.member
	switch {
	case c.open && !c.plain, !m.primary:
		return c.fail(readOnly), true
	case c.open:
		c.writes = append(c.writes, id)
		return c.doneWithStamp(id), true
	}
	return c.doneWithStamp(id), c.service.commit(m, id)
}

// commit ends the transaction. One that wrote nothing may end at a member that has lost the lead.
func (c *memberSession) commit(id string) (answer string, ok bool) {
	m, writes, failed, open := c.member, c.writes, c.failed, c.open
	c.open, c.failed, c.writes = false, false, nil
	switch {
	case failed || !open:
		return "FAIL ABORTED\r\n", true
	case len(writes) == 0:
		return c.doneWithStamp(id), true
	case !m.primary:
		return readOnly, true
	}
	return c.doneWithStamp(id), c.service.commit(m, id)
}
