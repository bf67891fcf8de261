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

// Cancelling an attempt after its answer has arrived must not affect its connection, which by then may be used by
// another op: the deadline that cancel sets would end the exchange of that op.
func TestCancelAfterAnswerKeepsPooledConnection(t *testing.T) {
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
			conn.Write(pgwire.AppendReadyForQuery(append(bytes.Clone(rowDescription),
				append(frame('D', []byte("\x00\x01\x00\x00\x00\x01v")), frame('C', []byte("SELECT 1\x00"))...)...)))
		}
	}()
	var counts counters
	logger, _ := newLogger("json", slog.LevelInfo, &counts.LogLost)
	sockets := &budget{}
	sockets.available.Store(2)
	testPool := &pool{connectTimeout: 10 * time.Second, idleTimeout: time.Hour, budget: sockets, counters: &counts,
		log: logger, healthCheckQuery: "SELECT 1", members: map[string]*poolMember{"m": {address: ln.Addr().String()}}}
	first, second := testPool.newAttempt("m", nil, time.Minute), testPool.newAttempt("m", nil, time.Minute)
	go func() { <-queries; answer <- struct{}{} }()
	if r := first.run(); r.outcome != logic.OK {
		t.Fatalf("outcome %d", r.outcome)
	}
	done := make(chan result)
	go func() { done <- second.run() }()
	<-queries
	first.cancel()
	answer <- struct{}{}
	if r := <-done; r.outcome != logic.OK || counts.Dials.Load() != 1 {
		t.Errorf("outcome %d on the connection of an attempt that was cancelled late, %d dials",
			r.outcome, counts.Dials.Load())
	}
	third := testPool.newAttempt("m", nil, time.Minute)
	third.cancel()
	if r := third.run(); r.outcome != logic.Cancelled {
		t.Errorf("outcome %d for an attempt that was cancelled before it ran", r.outcome)
	}
	forbidden := testPool.newAttempt("m", nil, time.Minute)
	forbidden.forbidWrites()
	if r := forbidden.run(); r.outcome != logic.Moot {
		t.Errorf("outcome %d for an attempt that was forbidden to write", r.outcome)
	}
	if conn := testPool.takeIdle("m"); conn == nil || conn.requests != 2 {
		t.Error("the unused connection was not returned to the pool")
	}
}

// An answer that did not end cleanly has the outcome received before, or one that follows from the connection's end.
func TestIncompleteAnswerOutcomes(t *testing.T) {
	future, past := time.Now().Add(time.Hour), time.Now().Add(-time.Hour)
	for _, c := range []struct {
		name      string
		outcome   logic.Outcome
		err       error
		deadline  time.Time
		cancelled bool
		want      logic.Outcome
		reason    memberClose
	}{
		{"an answer, then the connection ends", logic.OK, io.EOF, future, false, logic.OK, memberClosedAfterAnswer},
		{"a miss, then garbage", logic.Miss, pgwire.ErrFraming, future, false, logic.Miss, memberClosedAfterAnswer},
		{"no answer in time", noOutcome, os.ErrDeadlineExceeded, past, false, logic.TimedOut, memberTimedOut},
		{"an answer that began and did not end", noOutcome, os.ErrDeadlineExceeded, future, false, logic.Fault,
			memberMalformed},
		{"cancelled", noOutcome, os.ErrDeadlineExceeded, future, true, logic.Cancelled, memberCancelled},
		{"garbage", noOutcome, pgwire.ErrFraming, future, false, logic.Fault, memberMalformed},
		{"closed", noOutcome, io.EOF, future, false, logic.Reset, memberReset},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &attempt{ctx: context.Background(), deadline: c.deadline, cancelled: c.cancelled}
			if got, reason := a.incompleteAnswerOutcome(c.outcome, c.err); got != c.want || reason != c.reason {
				t.Errorf("outcome %d, reason %s", got, reason)
			}
		})
	}
}
