package main

// This file implements a simulated member: a server of PostgreSQL's protocol on a free port, with configurable answers.

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

// member is a simulated member. answer returns the bytes to write for each query; nil closes the connection.
type member struct {
	id                string
	ln                net.Listener
	queries           chan string // each received query
	closed            chan string // the reason why each connection ended
	acceptsStartup    bool
	startupDelay      atomic.Int64 // milliseconds until the startup response
	closesAfterAnswer atomic.Bool  // closes the connection after each answer
	mu                sync.Mutex
	answer            func(query string) []byte
}

var never = make(chan struct{})

func newMember(t *testing.T, id string, answer func(string) []byte) *member {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &member{id: id, ln: ln, queries: make(chan string, 10000), closed: make(chan string, 10000), acceptsStartup: true,
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
	if _, _, err := pgwire.ReadStartup(r); err != nil || !m.acceptsStartup {
		<-never
	}
	time.Sleep(time.Duration(m.startupDelay.Load()) * time.Millisecond)
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
		if m.closesAfterAnswer.Load() {
			conn.Close()
			m.closed <- "closed after answer"
			return
		}
	}
}

func msg(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}

// row returns a successful answer with a status report.
func row(value, role string) []byte {
	return append(pgwire.AppendSingleRow(nil, value), roleStatus(role)...)
}

func roleStatus(role string) []byte { return roleStatusAt(role, time.Now()) }

// roleStatusAt returns ParameterStatus messages with a role and a position.
func roleStatusAt(role string, at time.Time) []byte {
	b := pgwire.AppendParameterStatus(nil, "server_role", role)
	return pgwire.AppendReadyForQuery(pgwire.AppendParameterStatus(b, "commit_clock", strconv.FormatInt(at.UnixMilli(), 10)))
}

func errorAnswer(code, role string) []byte {
	return append(pgwire.AppendErrorResponse(nil, "ERROR", code, "test error", ""), roleStatus(role)...)
}

func answersAs(role string) func(string) []byte {
	return func(q string) []byte { return row("v:"+q[:6], role) }
}
