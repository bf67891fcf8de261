package lab

// This file owns members: their protocol, their cores, and their status reports. As with real servers, an op that
// arrived is executed even if its client no longer waits for it.

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"weirwind/internal/pgwire"
)

const (
	roleWriter  = "writer"
	roleReader  = "reader"
	usageQuery  = "SHOW usage" // query of a driver's probe
	valuePrefix = "v:"
	hungPoll    = 5 * time.Millisecond
)

// Member is a server of a cluster, which speaks PostgreSQL's protocol.
type Member struct {
	ID      string
	cluster *Cluster
	group   int64
	address string
	cores   chan struct{} // semaphore with an element for each op that is being executed

	slowdown        atomic.Int64 // factor of service times; 0 stands for 1
	hung            atomic.Bool  // answers nothing
	ignoresDemotion atomic.Bool  // acts as primary even if another member is primary
	dropsAnswers    atomic.Bool  // executes ops, but closes the connection instead of answering
	writes          atomic.Int64 // number of writes that it executed

	mu       sync.Mutex   // guards the following fields
	listener net.Listener // nil while the member is down
	conns    map[net.Conn]bool
}

// listening reports whether the member is up.
func (m *Member) listening() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listener != nil
}

// start listens on the member's address, which stays reserved while it is down.
func (m *Member) start() error {
	ln, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.listener = ln
	m.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[conn] = true
			m.mu.Unlock()
			go m.serve(conn)
		}
	}()
	return nil
}

// stop closes the listener and all connections.
func (m *Member) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listener != nil {
		m.listener.Close()
		m.listener = nil
	}
	for conn := range m.conns {
		conn.Close()
	}
}

// serve answers the queries of a connection until it is closed.
func (m *Member) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		m.mu.Lock()
		delete(m.conns, conn)
		m.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	if _, _, err := pgwire.ReadStartup(r); err != nil || m.waitWhileHung() {
		return
	}
	_, _ = conn.Write(pgwire.AppendStartupResponse(nil, 0)) // an error is noticed by the following reads
	var buf []byte
	for {
		var err error
		if _, buf, err = pgwire.Read(r, buf[:0]); err != nil || m.waitWhileHung() {
			return
		}
		text, _ := pgwire.QueryText(pgwire.Body(buf))
		if answer := m.answer(text); m.dropsAnswers.Load() && string(text) != usageQuery {
			return
		} else if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// waitWhileHung waits while the member hangs; it returns true if the member was stopped meanwhile.
func (m *Member) waitWhileHung() bool {
	for m.hung.Load() {
		if time.Sleep(hungPoll); !m.listening() {
			return true
		}
	}
	return false
}

// answer executes a query and returns the response.
func (m *Member) answer(text []byte) []byte {
	if string(text) == usageQuery {
		return m.usageResponse()
	}
	statement, err := pgwire.ParseStatement(text)
	if err != nil {
		response := pgwire.AppendErrorResponse(nil, "ERROR", pgwire.CodeProtocolViolation, err.Error(), "")
		return pgwire.AppendReadyForQuery(response)
	}
	id := string(statement.ID)
	m.cluster.recordArrival(m, id)
	m.occupyCore()
	role, position := m.state()
	if statement.Write {
		if role != roleWriter {
			response := pgwire.AppendErrorResponse(nil, "ERROR", pgwire.CodeReadOnlyTransaction, "this is no primary", "")
			return appendState(response, role, position)
		}
		m.recordExecution(id)
	}
	return appendState(pgwire.AppendSingleRow(nil, answerValue(m.cluster.name, id)), role, position)
}

// answerValue returns the value with which a cluster's members answer an op.
func answerValue(cluster, id string) string { return valuePrefix + cluster + ":" + id }

// parseAnswerValue returns the cluster whose member answered; ok is false for an answer to another op.
func parseAnswerValue(value, id string) (cluster string, ok bool) {
	rest, hasPrefix := strings.CutPrefix(value, valuePrefix)
	cluster, hasID := strings.CutSuffix(rest, ":"+id)
	return cluster, hasPrefix && hasID
}

// usageResponse returns the answer to a probe: the log position in seconds, and whether the member is primary.
func (m *Member) usageResponse() []byte {
	role, position := m.state()
	primary := 0
	if role == roleWriter {
		primary = 1
	}
	row := fmt.Sprintf("x0=%.6f,x1=%d", position/1000, primary)
	return pgwire.AppendReadyForQuery(pgwire.AppendSingleRow(nil, row))
}

// occupyCore occupies a core for a randomly drawn service time.
func (m *Member) occupyCore() {
	m.cores <- struct{}{}
	c := m.cluster
	c.mu.Lock()
	mean := float64(c.options.ServiceTime)
	duration := time.Duration(c.random.ExpFloat64() * mean * float64(max(m.slowdown.Load(), 1)))
	c.mu.Unlock()
	time.Sleep(duration)
	<-m.cores
}

// recordExecution counts the execution of a write.
func (m *Member) recordExecution(id string) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	m.cluster.executions[id]++
	m.writes.Add(1)
}

// appendState ends a response with the member's role and log position.
func appendState(b []byte, role string, position float64) []byte {
	b = pgwire.AppendParameterStatus(b, "server_role", role)
	return pgwire.AppendReadyForQuery(pgwire.AppendParameterStatus(b, "commit_clock", fmt.Sprintf("%.0f", position)))
}

// unixMillis returns the current time in Unix milliseconds.
func unixMillis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// state returns a member's role and its applied log position, in Unix milliseconds.
func (m *Member) state() (role string, position float64) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	now := unixMillis()
	if m.cluster.primary[m.group] == m || m.ignoresDemotion.Load() {
		return roleWriter, now
	}
	if at, ended := m.cluster.logEnds[m.group]; ended {
		now = at
	}
	return roleReader, now - float64(m.cluster.options.ReplicationLag.Microseconds())/1000
}

// recordArrival counts an op, and records it if it arrives more than DrainGrace after the member's drain was read.
func (c *Cluster) recordArrival(member *Member, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[member.ID]++
	if at, drains := c.drainSeen[member.ID]; drains && time.Since(at) > DrainGrace {
		c.afterDrain = append(c.afterDrain, id)
	}
}
