package main

// This file owns a member: a server of PostgreSQL's protocol on a free port, whose answers a test sets.

import (
	"bufio"
	"encoding/binary"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"weirwind/internal/pgwire"
)

// member is a stand-in for one. Its answer gets each query and returns what to write; nil closes.
type member struct {
	id      string
	ln      net.Listener
	queries chan string // each query as it came
	closed  chan string // why each connection ended
	welcome bool
	lateBy  atomic.Int64 // milliseconds until the welcome
	hangsUp atomic.Bool  // closes after each answer
	mu      sync.Mutex
	answer  func(query string) []byte
}

var forever = make(chan struct{})

func newMember(t *testing.T, id string, answer func(string) []byte) *member {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &member{id: id, ln: ln, queries: make(chan string, 10000), closed: make(chan string, 10000), welcome: true,
		answer: answer}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go m.serve(conn)
		}
	}()
	return m
}

func (m *member) setAnswer(answer func(string) []byte) {
	m.mu.Lock()
	m.answer = answer
	m.mu.Unlock()
}

func (m *member) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	if _, _, err := pgwire.ReadStartup(r); err != nil || !m.welcome {
		<-forever
	}
	time.Sleep(time.Duration(m.lateBy.Load()) * time.Millisecond)
	conn.Write(pgwire.AppendStartupResponse(nil, 0))
	for {
		_, message, err := pgwire.Read(r, nil)
		if err != nil {
			m.closed <- err.Error()
			return
		}
		text, _ := pgwire.QueryText(pgwire.Body(message))
		m.queries <- string(text)
		m.mu.Lock()
		answer := m.answer
		m.mu.Unlock()
		b := answer(string(text))
		if b == nil {
			return
		}
		conn.Write(b)
		if m.hangsUp.Load() {
			conn.Close()
			m.closed <- "hung up"
			return
		}
	}
}

func msg(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}

// row is a good answer with a note.
func row(value, role string) []byte {
	return append(pgwire.AppendSingleRow(nil, value), roleStatus(role)...)
}

func roleStatus(role string) []byte { return roleStatusAt(role, time.Now()) }

// roleStatusAt is a ParameterStatus with a role and a position.
func roleStatusAt(role string, at time.Time) []byte {
	b := pgwire.AppendParameterStatus(nil, "server_role", role)
	return pgwire.AppendReadyForQuery(pgwire.AppendParameterStatus(b, "commit_clock", strconv.FormatInt(at.UnixMilli(), 10)))
}

func errorAnswer(code, role string) []byte {
	return append(pgwire.AppendErrorResponse(nil, "ERROR", code, "so it is", ""), roleStatus(role)...)
}

func answersAs(role string) func(string) []byte {
	return func(q string) []byte { return row("v:"+q[:6], role) }
}
