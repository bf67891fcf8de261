package memberconn

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/idempotency"
)

// Ways in which a faultyMember replies.
const (
	late      = iota // with the next reply
	truncated        // by a part of it, and ends the connection
	lost             // not at all, and ends the connection
	duplicated
	complete
	replyKinds
)

// faultyMember is a member whose replies are complete, late, truncated, duplicated or lost. It counts what it ran.
type faultyMember struct {
	mu      sync.Mutex
	random  *rand.Rand
	ran     map[string]int // by query id
	replies [replyKinds]int
}

func (m *faultyMember) serve(c net.Conn) {
	defer c.Close()
	r := wire.NewReader(c)
	if _, err := r.ReadMessage(); err != nil {
		return
	}
	fmt.Fprint(c, "READY I -\r\n")
	delayed := ""
	for {
		line, err := r.ReadMessage()
		if err != nil {
			return
		}
		_, rest := wire.CutField(line)
		id, text := wire.CutField(rest)
		stamp := wire.NoStamp
		if id != internalQueryID {
			stamp = "member." + id
		}
		reply := fmt.Sprintf("ROW %s\r\nDONE %s\r\nREADY I 1.1\r\n", text, stamp)
		m.mu.Lock()
		m.ran[id]++
		kind := min(m.random.IntN(12), complete)
		if kind == duplicated && id == internalQueryID {
			kind = complete // within a batch nothing could tell it from the next reply
		}
		m.replies[kind]++
		m.mu.Unlock()
		fmt.Fprint(c, delayed)
		switch kind {
		case late:
			delayed = reply
			continue
		case truncated:
			fmt.Fprint(c, reply[:m.randomLength(len(reply))])
			return
		case lost:
			return
		case duplicated:
			fmt.Fprint(c, reply, reply)
		default:
			fmt.Fprint(c, reply)
		}
		delayed = ""
	}
}

func (m *faultyMember) randomLength(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.random.IntN(n)
}

// A careless caller keeps a connection whatever came of its last query, and retries each query where its kind allows
// it: it gets its own reply or an error, and what may run only once does. The test fails with Reusable always true,
// with MayHaveRun always true or always false, and with MayRetry always true.
func TestCarelessCallersGetTheirOwnAnswers(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	m := &faultyMember{random: rand.New(rand.NewPCG(9, 9)), ran: map[string]int{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	member := directory.Member{ID: "m", Service: "s", Addr: ln.Addr().String()}
	var c *Conn
	answered, notReusable, retried := 0, 0, 0
	for n := range 1500 {
		id, kind := fmt.Sprint("q", n), idempotency.Kind(n%2)
		for range 5 {
			if c == nil {
				if c, _, err = Dial(member, time.Now().Add(10*time.Second)); err != nil {
					t.Fatal(err)
				}
			}
			deadline := time.Now().Add(5 * time.Millisecond)
			var b strings.Builder
			AppendQuery(&b, internalQueryID, "SET a "+id)
			AppendQuery(&b, id, "STORE "+id)
			err := c.WriteBatch(b.String(), deadline)
			var first, reply Reply
			if err == nil {
				first, err = c.ReadReply(nil)
			}
			if err == nil {
				reply, err = c.ReadReply(nil)
			}
			if err == nil {
				answered++
				if reply.Text != "member."+id || reply.Rows[0] != "ROW STORE "+id ||
					first.Rows[0] != "ROW SET a "+id {
					t.Fatalf("%s was answered %v and %v", id, first, reply)
				}
				break
			}
			if errors.Is(err, ErrNotReusable) {
				notReusable++
			}
			if !idempotency.MayHaveRun(err) { // the connection was no use before
				c.Close()
				c = nil
			}
			if !kind.MayRetry(err) {
				break
			}
			retried++
		}
		m.mu.Lock()
		if kind == idempotency.AtMostOnce && m.ran[id] > 1 {
			t.Errorf("%s ran %d times", id, m.ran[id])
		}
		m.mu.Unlock()
	}
	t.Logf("%d answered, %d connections not reusable, %d retries, replies by kind %v", answered, notReusable, retried, m.replies)
	if answered < 500 || notReusable < 100 || retried < 100 {
		t.Error("too few of a kind")
	}
}
