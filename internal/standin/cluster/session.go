package cluster

// This file has sessions at members: the wire protocol over replicaset's logs.

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/shard/shardnode"
	"weirwind/internal/standin/replicaset"
)

// Answers of members.
const (
	answerDone      = "DONE -\r\n"
	answerMalformed = "FAIL MALFORMED\r\n"
	answerAborted   = "FAIL ABORTED\r\n"
	answerReadOnly  = "FAIL RDONLY\r\n"
	unnumbered      = "-" // the query id of the control plane's statements
)

const cutPollInterval = 20 * time.Millisecond // while a member is cut off from the core

// controlVerbs are the verbs of the control plane's statements.
var controlVerbs = []string{"STAT", "PAUSE", "CONT", "STEPDOWN"}

// session is a connection to a member, with its state. Methods that answer a statement return ok false if the answer is
// lost and the connection is to be closed.
type session struct {
	service     *Service
	member      string
	client      string            // the name in its ATTACH
	open        bool              // a transaction is open
	mayWrite    bool              // the open transaction
	failed      bool              // the open transaction has failed: only COMMIT and ABORT are accepted
	writes      []write           // of the open transaction
	prepared    map[string]string // verbs of prepared statements, by name
	countedOpen bool              // the transaction is counted among the service's open ones

	shard       string // shard of the open transaction on a node; "" for none
	epoch       uint64 // of that shard
	shardWrites []string
}

// write is a write of a transaction.
type write struct{ statement, key, value string }

// serve answers a connection until it ends.
func (s *Service) serve(id string, conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns[id], conn)
		s.mu.Unlock()
		conn.Close()
	}()
	r := wire.NewReader(conn)
	line, err := r.ReadMessage()
	if err != nil {
		return
	}
	if f := strings.Fields(line); len(f) < 3 || f[0] != wire.MsgAttach || f[1] != s.Name || len(f) > 3 && f[3] != id {
		_, _ = io.WriteString(conn, "FAIL WRONGHOST\r\n")
		return
	}
	c := &session{service: s, member: id, client: strings.Fields(line)[2], prepared: map[string]string{}}
	fmt.Fprintf(conn, "READY I %s\r\n", c.position())
	defer c.countOpen(false)
	defer c.endConnection()
	for {
		line, err := r.ReadMessage()
		if err != nil {
			return
		}
		message, rest := wire.CutField(line)
		if message != wire.MsgQuery {
			return
		}
		answer, ok := c.query(wire.CutField(rest))
		if !ok {
			return // the answer is lost
		}
		c.countOpen(c.open)
		if _, err := fmt.Fprintf(conn, "%sREADY %s %s\r\n", answer, c.state(), c.position()); err != nil {
			return
		}
	}
}

// state returns the transaction state in a READY message.
func (c *session) state() string {
	switch {
	case c.failed:
		return "E"
	case c.open:
		return "T"
	}
	return "I"
}

// countOpen updates the service's count of open transactions.
func (c *session) countOpen(open bool) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if open != c.countedOpen {
		c.service.openTransactions += map[bool]int{true: 1, false: -1}[open]
		c.countedOpen = open
	}
}

// endConnection ends the open transaction on a shard when the connection has ended.
func (c *session) endConnection() {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.endShardTransaction()
}

func (c *session) position() wire.Position {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if m := c.service.group.Member(c.member); m != nil {
		return m.Position()
	}
	return wire.Position{} // the member was removed in the meantime
}

// query executes a statement and returns its answer.
func (c *session) query(id, text string) (answer string, ok bool) {
	if c.service.Shards != nil && id == unnumbered && strings.HasPrefix(text, "SHARD ") {
		return c.shardCommand(text)
	}
	c.service.awaitThaw(c.member)
	if id != unnumbered {
		c.service.simulateWork(id)
	} else if delivered, answered := c.awaitCore(text); !delivered {
		return "", false
	} else if !answered {
		c.execute(id, text)
		return "", false
	}
	return c.execute(id, text)
}

// awaitCore keeps a statement of the control plane waiting while its member is cut off from the core. It reports
// whether the statement reaches the member, and whether the answer gets back. Proxies' health checks are such
// statements too.
func (c *session) awaitCore(text string) (delivered, answered bool) {
	verb, _ := wire.CutField(text)
	if !slices.Contains(controlVerbs, verb) || !c.service.cutFromCore(c.member) {
		return true, true
	}
	delivered, answered = false, false
	if c.client == memberconn.AgentName {
		if delivered, answered = c.service.drawAgentLoss(); answered {
			return delivered, answered
		}
	}
	for c.service.cutFromCore(c.member) {
		time.Sleep(cutPollInterval)
	}
	return delivered, answered
}

func (s *Service) cutFromCore(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.CutFromCore[id] > 0
}

func (c *session) execute(id, text string) (answer string, ok bool) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.group.Member(c.member)
	if m == nil || !m.Up {
		return "", false
	}
	after := ""
	if p, rest := wire.CutField(text); p == "AFTER" {
		after, text = wire.CutField(rest)
	}
	if shard, epoch, rest, on := shardnode.CutShardPrefix(text); on && s.Shards != nil {
		return c.shardStatement(shard, epoch, id, rest)
	}
	if c.shard != "" && (id != unnumbered || text == "ABORT") {
		return c.shardTransactionStatement(id, text)
	}
	verb, rest := wire.CutField(text)
	if verb == "EXEC" {
		name, args := wire.CutField(rest)
		preparedVerb, ok := c.prepared[name]
		if !ok {
			return "FAIL NOSTMT " + name + "\r\n", true
		}
		verb, rest = preparedVerb, args
	}
	if at, ok := s.drained[c.member]; ok && time.Since(at) > maxDrainDelay && id != unnumbered && !c.open {
		s.AfterDrain = append(s.AfterDrain, id)
	}
	if c.failed && verb != "ABORT" && verb != "COMMIT" {
		return answerMalformed, true
	}
	if p, ok := wire.ParsePosition(after); ok && m.Position().Less(p) {
		return c.fail(wire.CodeLagging)
	}
	if answer, ok := controlStatement(m, verb, rest); ok {
		if verb == "CONT" { // the replica receives what it lacks, also if no commit follows
			s.replicate()
			s.notify()
		}
		return answer, true
	}
	return c.statement(m, id, verb, rest)
}

// fail returns an answer with an error code, and marks an open transaction as failed.
func (c *session) fail(code string) (answer string, ok bool) {
	c.failed = c.open
	return "FAIL " + code + "\r\n", true
}

// done returns the answer to a successful statement.
func (c *session) done(id string) string { return "DONE " + c.member + "." + id + "\r\n" }

// controlStatement executes a statement of the control plane; ok is false for other verbs.
func controlStatement(member *replicaset.Member, verb, rest string) (answer string, ok bool) {
	term, _ := strconv.ParseUint(rest, 10, 64)
	switch verb {
	case "STAT":
	case "PAUSE":
		member.Pause(term)
	case "CONT":
		member.Resume()
	case "STEPDOWN":
		member.StepDown(term)
	default:
		return "", false
	}
	status, role := member.Status(), "replica"
	if status.Primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 0\r\n"+answerDone, role, status.Term, status.Received,
		status.PromisedTerm), true
}

// statement executes a client's statement. The caller holds the lock.
func (c *session) statement(member *replicaset.Member, id, verb, rest string) (answer string, ok bool) {
	switch verb {
	case "RESET":
		c.prepared = map[string]string{}
		return answerDone, true
	case "SET":
		return answerDone, true
	case "PREP":
		name, shape := wire.CutField(rest)
		c.prepared[name], _ = wire.CutField(shape)
		return answerDone, true
	case "BEGIN":
		if rest == "" && !member.Primary {
			return c.fail(wire.CodeReadOnly)
		}
		c.open, c.mayWrite, c.writes = true, rest == "", nil
		return answerDone, true
	case "ABORT":
		c.open, c.failed, c.writes = false, false, nil
		return answerDone, true
	case "FETCH":
		if c.open && c.mayWrite && !member.Primary {
			return c.fail(wire.CodeReadOnly)
		}
		if c.service.Observer != nil {
			c.service.Observer.Read(id, member.Log)
		}
		return "ROW " + c.service.data[rest] + "\r\n" + c.done(id), true
	case "STORE":
		return c.store(member, id, rest)
	case "COMMIT":
		return c.commitTransaction(member, id)
	}
	return answerMalformed, true
}

// store writes a value, in the open transaction or in one of its own. The caller holds the lock.
func (c *session) store(member *replicaset.Member, id, rest string) (answer string, ok bool) {
	if !member.Primary {
		return c.fail(wire.CodeReadOnly)
	}
	key, value := wire.CutField(rest)
	c.writes = append(c.writes, write{id, key, value})
	if c.open {
		return c.done(id), true
	}
	return c.commit(member, id)
}

// commitTransaction commits the open transaction. The caller holds the lock.
func (c *session) commitTransaction(member *replicaset.Member, id string) (answer string, ok bool) {
	if c.failed || !c.open {
		c.open, c.failed, c.writes = false, false, nil
		return answerAborted, true
	}
	c.open = false
	if len(c.writes) == 0 {
		return c.done(id), true
	}
	if !member.Primary {
		c.writes = nil
		return answerReadOnly, true
	}
	return c.commit(member, id)
}

// commit appends to the primary's log, replicates, and waits until the commit is acknowledged. The caller holds the
// lock, which is released while waiting.
func (c *session) commit(member *replicaset.Member, id string) (answer string, ok bool) {
	s := c.service
	writes := c.writes
	c.writes = nil
	position, written := s.group.Write(member, id)
	if written && s.Observer != nil {
		s.Observer.Committed(id, position)
	}
	lost := s.consumeLostAnswer()
	for {
		s.replicate()
		if s.group.Acked[id] {
			break
		}
		if !member.Up || !member.Primary {
			return "", false
		}
		progress := s.progress
		s.mu.Unlock()
		<-progress
		s.mu.Lock()
	}
	for _, w := range writes {
		s.Executions[w.statement]++
		s.data[w.key] = w.value
	}
	return c.done(id), !lost
}

// consumeLostAnswer reports whether the answer to the current write is to be lost, and counts it. The caller holds the
// lock.
func (s *Service) consumeLostAnswer() bool {
	if s.LoseAnswers == 0 {
		return false
	}
	s.LoseAnswers--
	return true
}
