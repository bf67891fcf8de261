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

// script is a connection whose peer says what is written here, and which takes so many bytes.
type script struct {
	net.Conn
	in    io.Reader
	out   bytes.Buffer
	takes int
}

func (s *script) Read(b []byte) (int, error) { return s.in.Read(b) }

func (s *script) Write(b []byte) (int, error) {
	if len(b) > s.takes {
		n := s.takes
		s.out.Write(b[:n])
		s.takes = 0
		return n, errors.New("the peer takes no more")
	}
	s.takes -= len(b)
	return s.out.Write(b)
}

func (s *script) SetDeadline(time.Time) error { return nil }
func (s *script) Close() error                { return nil }

func scripted(in string, takes int) (*Conn, *script) {
	s := &script{in: strings.NewReader(in), takes: takes}
	return &Conn{NetConn: s, Reader: wire.NewReader(s)}, s
}

// of tells an error: its text, how far the call got, and which of the package's own it is.
func of(err error) string {
	if err == nil {
		return "no error"
	}
	var r *MemberError
	var u *idempotency.NoResponseError
	return fmt.Sprintf("%q ran %v unanswered %v refused %v unsettled %v refusal %v", err, idempotency.MayHaveRun(err), errors.As(err, &u),
		errors.Is(err, ErrAttachRejected), errors.Is(err, ErrNotReusable), errors.As(err, &r))
}

// A server that says it is another one tells that the member is not there. That is no lack of capacity.
func TestDialTellsAnotherMemberApart(t *testing.T) {
	for _, c := range []struct {
		says                    string
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
			_, _ = io.WriteString(conn, c.says)
		}()
		member := directory.Member{ID: "m1", Service: "orders", Addr: ln.Addr().String()}
		_, absent, err := Dial(member, time.Now().Add(10*time.Second))
		ln.Close()
		if absent != c.absent || errors.Is(err, ErrWrongMember) != c.wrong || errors.Is(err, ErrAttachRejected) != c.rejected {
			t.Errorf("%q: absent %v, %v", c.says, absent, err)
		}
	}
}

// dialed gives what a member that takes a connection and says this reads of it, and what comes of it.
func dialed(t *testing.T, says string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	first := make(chan string, 1)
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		l, _ := wire.NewReader(c).ReadMessage()
		first <- l
		io.WriteString(c, says)
	}()
	c, refused, err := Dial(directory.Member{ID: "m1", Service: "orders", Addr: ln.Addr().String()}, time.Now().Add(10*time.Second))
	if err != nil {
		return fmt.Sprintf("%q: nothing there %v, %s", <-first, refused, of(err))
	}
	defer c.Close()
	return fmt.Sprintf("%q: position %v, settled %v", <-first, c.Position, c.Reusable())
}

func conversations(t *testing.T) string {
	t.Helper()
	var b strings.Builder
	for _, parts := range [][]string{{"FETCH a"}, {"", "FETCH a"}, {"AFTER 1.2", "FETCH a"}, {}} {
		var q strings.Builder
		AppendQuery(&q, "7", parts...)
		fmt.Fprintf(&b, "query\t%q\t%q\n", parts, q.String())
	}
	for _, says := range []string{"READY I 3.7\r\n", "READY I -\r\n", "READY\r\n", "FAIL FULL no place\r\n", "BYE\r\n", "READY I 3.7\n", ""} {
		fmt.Fprintf(&b, "dial\t%q\t%s\n", says, dialed(t, says))
	}
	for _, in := range []string{
		"ROW a 1\r\nDONE -\r\nREADY I 2.5\r\n", "DONE -\r\nREADY I -\r\n", "DONE m.1\r\nREADY I 2.5\r\n", "FAIL LAGGING far behind\r\nREADY E 2.5\r\n",
		"DONE -\r\nREADY I 2.5\r\nDONE -\r\n", "DONE -\r\n", "ROW a 1\r\nROW", "DONE -\r\nROW a 1\r\n", "READY I -\r\n", "BYE\r\n", "DONE -\r\nDONE -\r\n", "x\n", "",
	} {
		c, s := scripted(in, 1<<20)
		rows, err := c.Query("SHOW x", time.Time{})
		fmt.Fprintf(&b, "ask\t%q\t%q: %q %s, position %v, settled %v\n", in, s.out.String(), rows, of(err), c.Position, c.Reusable())
		_, err = c.Query("SHOW y", time.Time{})
		fmt.Fprintf(&b, "again\t%q\t%q: %s\n", in, s.out.String(), of(err))
	}
	for _, in := range []string{"ROW replica 3 3.9 4 0 0 1\r\nDONE -\r\nREADY I -\r\n", "DONE -\r\nREADY I -\r\n", "ROW x\r\nDONE -\r\nREADY I -\r\n", "FAIL MALFORMED what\r\nREADY I -\r\n"} {
		c, s := scripted(in, 1<<20)
		st, err := c.QueryStatus("PAUSE 4", time.Time{})
		fmt.Fprintf(&b, "stat\t%q\t%q: primary %t term %d received %v held %d conns %d, %s, settled %v\n", in, s.out.String(),
			st.Primary, st.Term, st.Received, st.PromisedTerm, st.Conns, of(err), c.Reusable())
	}
	for _, takes := range []int{0, 3} {
		c, s := scripted("", takes)
		_, err := c.Query("SHOW x", time.Time{})
		fmt.Fprintf(&b, "write\t%d bytes\t%q: %s\n", takes, s.out.String(), of(err))
	}
	c, _ := scripted("DONE m.1\r\nREADY T 1.1\r\nFAIL FULL no room\r\nREADY I 1.2\r\n", 1<<20)
	_, err := c.ReadReply(nil)
	fmt.Fprintf(&b, "read\tunasked\t%s\n", of(err))
	c, _ = scripted("DONE m.1\r\nREADY T 1.1\r\nFAIL FULL no room\r\nREADY I 1.2\r\n", 1<<20)
	err = c.WriteBatch("QUERY 1 BEGIN\r\nQUERY 2 STORE a\r\n", time.Time{})
	for range 3 {
		fmt.Fprintf(&b, "batch\tsettled %v\t%s\n", c.Reusable(), of(err))
		var a Reply
		a, err = c.ReadReply(nil)
		fmt.Fprintf(&b, "batch\trows %q done %t text %q code %q state %q position %v\tposition %v\n", a.Rows, a.OK, a.Text, a.Code, a.State, a.Position, c.Position)
	}
	fmt.Fprintf(&b, "batch\tsettled %v\t%s\n", c.Reusable(), of(err))
	for _, fails := range []error{nil, errors.New("the client is gone")} {
		c, _ = scripted(strings.Repeat("ROW "+strings.Repeat("x", 100<<10)+"\r\n", 5)+"DONE m.1\r\nREADY I 1.1\r\n", 1<<20)
		_ = c.WriteBatch("QUERY 1 FETCH a\r\n", time.Time{})
		spilled := ""
		a, err := c.ReadReply(func(rows []string) error {
			spilled += fmt.Sprint(len(rows), " ")
			return fails
		})
		fmt.Fprintf(&b, "spill\t%v\t%s: %d rows kept, done %v, %s\n", fails, spilled, len(a.Rows), a.OK, of(err))
	}
	return b.String()
}

// What goes over a connection and what comes of each answer stay as they were when the golden file was written. Only
// dialling needs a socket, on the loopback; all else is scripted.
func TestConversationsMatchTheGoldenFile(t *testing.T) {
	golden.Lines(t, "testdata/conversations.golden", conversations(t))
}
