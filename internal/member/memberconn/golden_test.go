package memberconn

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
	"weirwind/internal/standin/golden"
	"weirwind/internal/util/idempotency"
)

// scriptedConn is a connection with a fixed input. It records up to writeLimit bytes of output and then fails.
type scriptedConn struct {
	net.Conn
	input      io.Reader
	written    bytes.Buffer
	writeLimit int
}

func (s *scriptedConn) Read(b []byte) (int, error) { return s.input.Read(b) }

func (s *scriptedConn) Write(b []byte) (int, error) {
	if len(b) > s.writeLimit {
		n := s.writeLimit
		s.written.Write(b[:n])
		s.writeLimit = 0
		return n, errors.New("write limit reached")
	}
	s.writeLimit -= len(b)
	return s.written.Write(b)
}

func (s *scriptedConn) SetDeadline(time.Time) error { return nil }
func (s *scriptedConn) Close() error                { return nil }

func newScriptedConn(input string, writeLimit int) (*Conn, *scriptedConn) {
	s := &scriptedConn{input: strings.NewReader(input), writeLimit: writeLimit}
	return &Conn{NetConn: s, Reader: wire.NewReader(s)}, s
}

// describe formats an error: its text, whether the query may have run, and which errors of the package it is.
func describe(err error) string {
	if err == nil {
		return "no error"
	}
	var memberErr *MemberError
	var noResponse *idempotency.NoResponseError
	return fmt.Sprintf("%q may have run %v, no response %v, rejected %v, not reusable %v, FAIL %v", err, idempotency.MayHaveRun(err), errors.As(err, &noResponse),
		errors.Is(err, ErrAttachRejected), errors.Is(err, ErrNotReusable), errors.As(err, &memberErr))
}

// A server that answers WRONGHOST means that the member is absent. It must not be mistaken for a member without capacity.
func TestDialDetectsAnotherMember(t *testing.T) {
	for _, c := range []struct {
		reply                   string
		absent, wrong, rejected bool
	}{
		{"FAIL WRONGHOST\r\n", true, true, false},
		{"FAIL WRONGHOST i-7\r\n", true, true, false},
		{"FAIL FULL\r\n", false, false, true},
		{"", false, false, true},
	} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			_, _ = wire.NewReader(conn).ReadMessage()
			_, _ = io.WriteString(conn, c.reply)
		}()
		member := directory.Member{ID: "m1", Service: "orders", Addr: ln.Addr().String()}
		_, absent, err := Dial(member, time.Now().Add(10*time.Second))
		ln.Close()
		if absent != c.absent || errors.Is(err, ErrWrongMember) != c.wrong || errors.Is(err, ErrAttachRejected) != c.rejected {
			t.Errorf("%q: absent %v, %v", c.reply, absent, err)
		}
	}
}

// dialAndDescribe dials a member that sends the given reply, and returns the message that it received and the result.
func dialAndDescribe(t *testing.T, reply string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	attach := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		message, _ := wire.NewReader(c).ReadMessage()
		attach <- message
		io.WriteString(c, reply)
	}()
	c, absent, err := Dial(directory.Member{ID: "m1", Service: "orders", Addr: ln.Addr().String()}, time.Now().Add(10*time.Second))
	if err != nil {
		return fmt.Sprintf("%q: absent %v, %s", <-attach, absent, describe(err))
	}
	defer c.Close()
	return fmt.Sprintf("%q: position %v, reusable %v", <-attach, c.Position, c.Reusable())
}

func conversations(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	for _, parts := range [][]string{{"FETCH a"}, {"", "FETCH a"}, {"AFTER 1.2", "FETCH a"}, {}} {
		var query strings.Builder
		AppendQuery(&query, "7", parts...)
		fmt.Fprintf(&b, "query\t%q\t%q\n", parts, query.String())
	}
	for _, reply := range []string{"READY I 3.7\r\n", "READY I -\r\n", "READY\r\n", "FAIL FULL no place\r\n", "BYE\r\n", "READY I 3.7\n", ""} {
		fmt.Fprintf(&b, "dial\t%q\t%s\n", reply, dialAndDescribe(t, reply))
	}
	for _, input := range []string{
		"ROW a 1\r\nDONE -\r\nREADY I 2.5\r\n", "DONE -\r\nREADY I -\r\n", "DONE m.1\r\nREADY I 2.5\r\n", "FAIL LAGGING far behind\r\nREADY E 2.5\r\n",
		"DONE -\r\nREADY I 2.5\r\nDONE -\r\n", "DONE -\r\n", "ROW a 1\r\nROW", "DONE -\r\nROW a 1\r\n", "READY I -\r\n", "BYE\r\n", "DONE -\r\nDONE -\r\n", "x\n", "",
	} {
		c, s := newScriptedConn(input, 1<<20)
		rows, err := c.Query("SHOW x", time.Time{})
		fmt.Fprintf(&b, "internal query\t%q\t%q: %q %s, position %v, reusable %v\n", input, s.written.String(), rows, describe(err), c.Position, c.Reusable())
		_, err = c.Query("SHOW y", time.Time{})
		fmt.Fprintf(&b, "second query\t%q\t%q: %s\n", input, s.written.String(), describe(err))
	}
	for _, input := range []string{"ROW replica 3 3.9 4 0 0 1\r\nDONE -\r\nREADY I -\r\n", "DONE -\r\nREADY I -\r\n", "ROW x\r\nDONE -\r\nREADY I -\r\n", "FAIL MALFORMED what\r\nREADY I -\r\n"} {
		c, s := newScriptedConn(input, 1<<20)
		status, err := c.QueryStatus("PAUSE 4", time.Time{})
		fmt.Fprintf(&b, "status\t%q\t%q: primary %t term %d received %v promised %d conns %d, %s, reusable %v\n", input, s.written.String(),
			status.Primary, status.Term, status.Received, status.PromisedTerm, status.Conns, describe(err), c.Reusable())
	}
	for _, writeLimit := range []int{0, 3} {
		c, s := newScriptedConn("", writeLimit)
		_, err := c.Query("SHOW x", time.Time{})
		fmt.Fprintf(&b, "write\t%d bytes\t%q: %s\n", writeLimit, s.written.String(), describe(err))
	}
	c, _ := newScriptedConn("DONE m.1\r\nREADY T 1.1\r\nFAIL FULL no room\r\nREADY I 1.2\r\n", 1<<20)
	_, err := c.ReadReply(nil)
	fmt.Fprintf(&b, "read\twithout a query\t%s\n", describe(err))
	c, _ = newScriptedConn("DONE m.1\r\nREADY T 1.1\r\nFAIL FULL no room\r\nREADY I 1.2\r\n", 1<<20)
	err = c.WriteBatch("QUERY 1 BEGIN\r\nQUERY 2 STORE a\r\n", time.Time{})
	for range 3 {
		fmt.Fprintf(&b, "batch\treusable %v\t%s\n", c.Reusable(), describe(err))
		var reply Reply
		reply, err = c.ReadReply(nil)
		fmt.Fprintf(&b, "batch\trows %q done %t text %q code %q state %q position %v\tposition %v\n", reply.Rows, reply.OK, reply.Text, reply.Code, reply.State, reply.Position, c.Position)
	}
	fmt.Fprintf(&b, "batch\treusable %v\t%s\n", c.Reusable(), describe(err))
	for _, spillErr := range []error{nil, errors.New("the client is gone")} {
		c, _ = newScriptedConn(strings.Repeat("ROW "+strings.Repeat("x", 100<<10)+"\r\n", 5)+"DONE m.1\r\nREADY I 1.1\r\n", 1<<20)
		_ = c.WriteBatch("QUERY 1 FETCH a\r\n", time.Time{})
		spilled := ""
		reply, err := c.ReadReply(func(rows []string) error {
			spilled += fmt.Sprint(len(rows), " ")
			return spillErr
		})
		fmt.Fprintf(&b, "spill\t%v\t%s: %d rows kept, done %v, %s\n", spillErr, spilled, len(reply.Rows), reply.OK, describe(err))
	}
	return b.String()
}

// The messages on a connection and the result of each reply must not change. Only dials use a socket, on the loopback;
// all other connections are scripted.
func TestConversationsMatchTheGoldenFile(t *testing.T) {
	golden.Lines(t, "testdata/conversations.golden", conversations(t))
}
