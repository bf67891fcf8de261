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

// Kinds of replies of a faultyMember.
const (
	late      = iota // sent together with the next reply
	truncated        // sent in part, then the connection is closed
	lost             // not sent, and the connection is closed
	duplicated
	complete
	replyKinds
)

// faultyMember is a member with random kinds of replies. It counts the queries that it ran.
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
			kind = complete // a duplicate within a batch can't be told from the next reply
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

// A caller that keeps using a connection after errors, and retries each query that may be retried, must get the reply to
// its own query or an error, and a query that may run at most once must not run twice. The test fails if Reusable is
// always true, MayHaveRun always true or always false, or MayRetry always true.
func TestCallersGetOnlyTheirOwnReplies(t *testing.T) {
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
			var batch strings.Builder
			AppendQuery(&batch, internalQueryID, "SET a "+id)
			AppendQuery(&batch, id, "STORE "+id)
			err := c.WriteBatch(batch.String(), deadline)
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
			if !idempotency.MayHaveRun(err) { // nothing was sent, so the connection was not reusable
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
		t.Error("too few answers, connections that are not reusable, or retries")
	}
}
