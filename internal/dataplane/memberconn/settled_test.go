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
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/util/idempotency"
)

// sly is a member that answers in full, late, by half, twice, or not at all, and counts what it ran.
type sly struct {
	mu   sync.Mutex
	r    *rand.Rand
	ran  map[string]int
	kind [5]int
}

func (m *sly) serve(c net.Conn) {
	defer c.Close()
	r := wire.NewReader(c)
	if _, err := r.ReadMessage(); err != nil {
		return
	}
	fmt.Fprint(c, "READY I -\r\n")
	late := ""
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
		answer := fmt.Sprintf("ROW %s\r\nDONE %s\r\nREADY I 1.1\r\n", text, stamp)
		m.mu.Lock()
		m.ran[id]++
		how := min(m.r.IntN(12), 4)
		if how == 3 && id == internalQueryID {
			how = 4 // within a batch nothing could tell it from the next answer
		}
		m.kind[how]++
		m.mu.Unlock()
		switch fmt.Fprint(c, late); how {
		case 0: // it comes with the next answer
			late = answer
			continue
		case 1:
			fmt.Fprint(c, answer[:m.half(len(answer))])
			return
		case 2:
			return
		case 3:
			fmt.Fprint(c, answer, answer)
		default:
			fmt.Fprint(c, answer)
		}
		late = ""
	}
}

func (m *sly) half(n int) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.r.IntN(n)
}

// A careless caller keeps a connection whatever came of its last question, and puts each question again where its
// kind may be: it gets its own answer or an error, and what may run only once does. Point 5: it fails with Settled
// always true, with Ran always true or always false, and with May always true.
func TestCarelessCallersGetTheirOwnAnswers(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	m := &sly{r: rand.New(rand.NewPCG(9, 9)), ran: map[string]int{}}
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
	answered, unsettled, again := 0, 0, 0
	for n := range 1500 {
		id, kind := fmt.Sprint("q", n), idempotency.Kind(n%2)
		for try := 0; try < 5; try++ {
			if c == nil {
				if c, _, err = Dial(member, time.Now().Add(10*time.Second)); err != nil {
					t.Fatal(err)
				}
			}
			until := time.Now().Add(5 * time.Millisecond)
			var b strings.Builder
			AppendQuery(&b, internalQueryID, "SET a "+id)
			AppendQuery(&b, id, "STORE "+id)
			err := c.WriteBatch(b.String(), until)
			var first, a Reply
			if err == nil {
				first, err = c.ReadReply(nil)
			}
			if err == nil {
				a, err = c.ReadReply(nil)
			}
			if err == nil {
				answered++
				if a.Text != "member."+id || a.Rows[0] != "ROW STORE "+id || first.Rows[0] != "ROW SET a "+id {
					t.Fatalf("%s was answered %v and %v", id, first, a)
				}
				break
			}
			if errors.Is(err, ErrNotReusable) {
				unsettled++
			}
			if !idempotency.MayHaveRun(err) { // the connection was no use before
				c.Close()
				c = nil
			}
			if !kind.MayRetry(err) {
				break
			}
			again++
		}
		m.mu.Lock()
		if kind == idempotency.AtMostOnce && m.ran[id] > 1 {
			t.Errorf("%s ran %d times", id, m.ran[id])
		}
		m.mu.Unlock()
	}
	t.Logf("%d answered, %d connections found unsettled, %d put again, member's kinds %v", answered, unsettled, again, m.kind)
	if answered < 500 || unsettled < 100 || again < 100 {
		t.Error("too few of a kind")
	}
}
