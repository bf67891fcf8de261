package driver

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"testing"
	"time"

	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// An attempt that is cancelled when its answer has come must leave alone the connection it came on, which by then
// may be another op's. Seen by reading: the deadline set by cancel would have ended that op's exchange.
func TestLateCancelLeavesTheConnectionAlone(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	queries, answer := make(chan struct{}), make(chan struct{})
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		r := bufio.NewReader(conn)
		pgwire.ReadStartup(r)
		conn.Write(pgwire.AppendStartupResponse(nil, 0))
		for {
			if _, _, err := pgwire.Read(r, nil); err != nil {
				return
			}
			queries <- struct{}{}
			<-answer
			conn.Write(pgwire.AppendReadyForQuery(append(bytes.Clone(described), append(frame('D', []byte("\x00\x01\x00\x00\x00\x01v")),
				frame('C', []byte("SELECT 1\x00"))...)...)))
		}
	}()
	var count counters
	l, _ := newLog("json", slog.LevelInfo, &count.LogLost)
	room := &budget{}
	room.available.Store(2)
	m := &pool{connectTimeout: 10 * time.Second, idleTimeout: time.Hour, budget: room, counters: &count, log: l,
		healthCheckQuery: "SELECT 1", members: map[string]*poolMember{"m": {address: ln.Addr().String()}}}
	first, second := m.newAttempt("m", nil, time.Minute), m.newAttempt("m", nil, time.Minute)
	go func() { <-queries; answer <- struct{}{} }()
	if r := first.run(); r.outcome != logic.OK {
		t.Fatalf("outcome %d", r.outcome)
	}
	done := make(chan result)
	go func() { done <- second.run() }()
	<-queries
	first.cancel()
	answer <- struct{}{}
	if r := <-done; r.outcome != logic.OK || count.Dials.Load() != 1 {
		t.Errorf("outcome %d on the connection of a send cancelled late, %d dials", r.outcome, count.Dials.Load())
	}
	third := m.newAttempt("m", nil, time.Minute)
	third.cancel()
	if r := third.run(); r.outcome != logic.Cancelled {
		t.Errorf("outcome %d for a send cancelled before it began", r.outcome)
	}
	barred := m.newAttempt("m", nil, time.Minute)
	barred.forbidWrites()
	if r := barred.run(); r.outcome != logic.Moot {
		t.Errorf("outcome %d for a send that may not begin", r.outcome)
	}
	if l := m.takeIdle("m"); l == nil || l.served != 2 {
		t.Error("the unused connection was not kept")
	}
}

// An answer that did not end cleanly has the outcome that came before, or one by how its connection ended.
func TestBrokenOutcomes(t *testing.T) {
	soon, past := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	for _, c := range []struct {
		name      string
		outcome   logic.Outcome
		err       error
		deadline  time.Time
		cancelled bool
		want      logic.Outcome
		reason    memberClose
	}{
		{"an answer, then the end", logic.OK, io.EOF, soon, false, logic.OK, memberEnded},
		{"a miss, then garbage", logic.Miss, pgwire.ErrFraming, soon, false, logic.Miss, memberEnded},
		{"no answer in time", noOutcome, os.ErrDeadlineExceeded, past, false, logic.TimedOut, memberTimedOut},
		{"an answer that began and did not end", noOutcome, os.ErrDeadlineExceeded, soon, false, logic.Fault, memberGarbled},
		{"cancelled", noOutcome, os.ErrDeadlineExceeded, soon, true, logic.Cancelled, memberCancelled},
		{"garbage", noOutcome, pgwire.ErrFraming, soon, false, logic.Fault, memberGarbled},
		{"closed", noOutcome, io.EOF, soon, false, logic.Reset, memberReset},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := &attempt{ctx: context.Background(), deadline: c.deadline, cancelled: c.cancelled}
			if got, reason := x.brokenOutcome(c.outcome, c.err); got != c.want || reason != c.reason {
				t.Errorf("outcome %d, reason %s", got, reason)
			}
		})
	}
}
