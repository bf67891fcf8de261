package proxy

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// Scripted replies with a special meaning.
const (
	cutOff          = "cut off"            // the member reads the statement and closes the connection
	cutOffAfterRows = "cut off after rows" // the same, after it has sent many rows
	defaultReply    = "default reply"      // the member replies as usual
)

// scriptedMember is a primary with scripted replies.
type scriptedMember struct {
	mu         sync.Mutex
	script     map[string][]string // by statement: the next replies; after them the member replies as usual
	ranTexts   []string            // statements of clients, in order of arrival
	ranTenants []string            // for each of ranTexts, the name in its connection's ATTACH
	conns      int

	failingText string // a statement whose FAIL puts the transaction into the failed state
}

// nextReply records a statement and returns the scripted reply to it.
func (m *scriptedMember) nextReply(tenant, id, text string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id != wire.NoStamp {
		m.ranTexts, m.ranTenants = append(m.ranTexts, text), append(m.ranTenants, tenant)
	}
	replies := m.script[text]
	if len(replies) == 0 {
		return defaultReply
	}
	m.script[text] = replies[1:]
	return replies[0]
}

// runCount returns how often a client's statement has arrived.
func (m *scriptedMember) runCount(text string) (count int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.ranTexts {
		if t == text {
			count++
		}
	}
	return count
}

func (m *scriptedMember) serve(c net.Conn) {
	defer c.Close()
	queries := wire.NewReader(c)
	attach, err := queries.ReadMessage()
	if err != nil {
		return
	}
	tenant := strings.Fields(attach)[2]
	m.mu.Lock()
	m.conns++
	m.mu.Unlock()
	fmt.Fprint(c, "READY I 1.1\r\n")
	state := wire.StateIdle
	for {
		line, err := queries.ReadMessage()
		if err != nil {
			return
		}
		_, rest := wire.CutField(line)
		id, text := wire.CutField(rest)
		reply := m.nextReply(tenant, id, text)
		verb, _ := wire.CutField(text)
		stamp := "m." + id
		switch {
		case reply == cutOff:
			return
		case reply == cutOffAfterRows:
			fmt.Fprint(c, strings.Repeat("ROW "+strings.Repeat("x", 1000)+"\r\n", 400))
			return
		case reply != defaultReply:
			if text == m.failingText {
				state = wire.StateFailedTransaction
			}
			fmt.Fprint(c, reply+"\r\nREADY "+state+" 1.1\r\n")
			continue
		case verb == "STAT":
			fmt.Fprint(c, "ROW primary 1 1.1 1 0 0 0\r\n")
		case verb == "FETCH":
			fmt.Fprint(c, "ROW whole\r\n")
		case verb == "BEGIN":
			state = wire.StateInTransaction
		case verb == "COMMIT", verb == "ABORT":
			state = wire.StateIdle
		}
		if id == wire.NoStamp || verb == "BEGIN" {
			stamp = wire.NoStamp
		}
		fmt.Fprintf(c, "DONE %s\r\nREADY %s 1.1\r\n", stamp, state)
	}
}

// client is a client's session with a proxy.
type client struct {
	conn    net.Conn
	replies *wire.Reader
	queries int
}

// serveConns accepts connections on a loopback address, each on a goroutine, and returns the address.
func serveConns(t *testing.T, serve func(net.Conn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// attachClient starts a proxy whose only member is the scripted one, and attaches a client to it.
func attachClient(t *testing.T, m *scriptedMember) *client {
	ctx, cancel := context.WithCancel(t.Context())
	addr := serveConns(t, m.serve)
	p := newProxy(ctx, &settings.Settings{Zone: "z", MemoryMB: 8}, events.Discard())
	p.startedAt = time.Now().Add(-time.Minute)
	cfg, err := config.Parse([]byte(`{"gen":1,
		"routes":[{"name":"r","host":"db","type":"primary","timeoutMs":3000,"svc":"s"}],
		"svcs":[{"name":"s","maxConns":50,"syncN":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	p.config.Store(cfg)
	p.writers.holder.SetRequired(false)
	g := p.router.group("s")
	g.routing.UpdateMember(directory.Member{ID: "a", Service: "s", Zone: "z", Addr: addr,
		Role: directory.RolePrimary, Incarnation: 1, Seq: 1}, p.now())
	now := p.now()
	g.routing.RecordSend(g.routing.Members["a"], now-1, false)
	g.routing.RecordOutcome(g.routing.Members["a"], now-1, now, group.AnsweredAsPrimary, wire.Position{Term: 1, Number: 1})
	go p.router.run()
	clientEnd, proxyEnd := net.Pipe()
	sess := &client{conn: clientEnd, replies: wire.NewReader(clientEnd)}
	go (&session{proxy: p, client: proxyEnd}).run()
	Reset(func() { cancel(); clientEnd.Close() })
	fmt.Fprint(clientEnd, "ATTACH db who\r\n")
	if line, err := sess.replies.ReadMessage(); err != nil || line != "READY I -" {
		t.Fatal(line, err)
	}
	return sess
}

// query sends a statement and returns the lines of the answer, without consecutive duplicates.
func (sess *client) query(text string) string {
	sess.queries++
	fmt.Fprintf(sess.conn, "QUERY q%d %s\r\n", sess.queries, text)
	var lines []string
	for {
		sess.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		line, err := sess.replies.ReadMessage()
		if err != nil {
			return strings.Join(append(lines, err.Error()), " | ")
		}
		if len(line) > 100 {
			line = line[:10] + ".."
		}
		if len(lines) == 0 || lines[len(lines)-1] != line {
			lines = append(lines, line)
		}
		if strings.HasPrefix(line, wire.MsgReady) {
			return strings.Join(lines, " | ")
		}
	}
}

// Which statements are retried after a lost answer. The name in parentheses is the code that each case tests: the case
// fails without it.
func TestRetries(t *testing.T) {
	Convey("With a member that loses replies", t, func() {
		m := &scriptedMember{script: map[string][]string{}}
		sess := attachClient(t, m)

		Convey("a read is retried and answered once (idempotencyOf)", func() {
			m.script["FETCH x"] = []string{cutOff}
			So(sess.query("FETCH x"), ShouldEqual, "ROW whole | DONE m.q1 | READY I 1.1")
			So(m.runCount("FETCH x"), ShouldEqual, 2)
		})
		Convey("a read is not retried once rows were forwarded, as another reply may differ (rowsForwarded)", func() {
			m.script["FETCH x"] = []string{cutOffAfterRows}
			So(sess.query("FETCH x"), ShouldEqual, "ROW xxxxxx.. | FAIL RETRY come back after 200 ms | READY I -")
			So(m.runCount("FETCH x"), ShouldEqual, 1)
			So(sess.query("FETCH x"), ShouldEqual, "ROW whole | DONE m.q2 | READY I 1.1")
		})
		Convey("a write is not retried (idempotencyOf)", func() {
			m.script["STORE x 1"] = []string{cutOff}
			So(sess.query("STORE x 1"), ShouldEqual, "FAIL UNKNOWN no answer came from a | READY I -")
			So(m.runCount("STORE x 1"), ShouldEqual, 1)
		})
		Convey("a success without a stamp belongs to another query (requireStamp)", func() {
			m.script["STORE x 1"] = []string{"DONE -"}
			So(sess.query("STORE x 1"), ShouldEqual, "FAIL UNKNOWN no answer came from a | READY I -")
			So(m.runCount("STORE x 1"), ShouldEqual, 1)
		})
		Convey("BEGIN is retried, as closing its connection rolls the transaction back", func() {
			m.script["BEGIN"] = []string{cutOff}
			So(sess.query("BEGIN"), ShouldEqual, "DONE - | READY T -")
			So(sess.query("STORE x 1"), ShouldEqual, "DONE m.q2 | READY T 1.1")
			So(sess.query("COMMIT"), ShouldEqual, "DONE m.q3 | READY I 1.1")
			So(m.runCount("BEGIN"), ShouldEqual, 2)
			So(m.runCount("STORE x 1"), ShouldEqual, 1)
		})
		Convey("a statement in a transaction is not retried, and the transaction is reported as rolled back", func() {
			m.script["STORE x 1"] = []string{cutOff}
			sess.query("BEGIN")
			So(sess.query("STORE x 1"), ShouldEqual, "FAIL ABORTED no answer came from a | READY E -")
			So(m.runCount("STORE x 1"), ShouldEqual, 1)
		})
		Convey("a COMMIT is not retried, and its outcome is reported as unknown", func() {
			m.script["COMMIT"] = []string{cutOff}
			sess.query("BEGIN")
			sess.query("STORE x 1")
			So(sess.query("COMMIT"), ShouldEqual, "FAIL UNKNOWN no answer to the commit came from a | READY I -")
			So(m.runCount("COMMIT"), ShouldEqual, 1)
		})
		Convey("the outcome of a COMMIT is also unknown after a failed write that may have run (mayHaveRun)", func() {
			m.script["STORE x 1"], m.script["COMMIT"] = []string{"FAIL TIMEOUT"}, []string{cutOff}
			sess.query("BEGIN")
			So(sess.query("STORE x 1"), ShouldEqual, "FAIL TIMEOUT | READY T 1.1")
			So(sess.query("COMMIT"), ShouldEqual, "FAIL UNKNOWN no answer to the commit came from a | READY I -")
		})
		Convey("a connection is closed if the ABORT after a read was refused, as a transaction is open (handleSuccess)", func() {
			m.script["ABORT"] = []string{"FAIL FAILED no"}
			So(sess.query("FETCH x"), ShouldContainSubstring, "DONE m.q1")
			m.mu.Lock()
			before := m.conns
			m.mu.Unlock()
			So(sess.query("STORE x 1"), ShouldEqual, "DONE m.q2 | READY I 1.1")
			m.mu.Lock()
			defer m.mu.Unlock()
			So(m.conns, ShouldEqual, before+1)
		})
		Convey("a connection is closed if the member no longer knows a prepared statement (CodeNoStatement)", func() {
			sess.query("PREP s STORE q")
			m.script["EXEC w1 x 1"] = []string{"FAIL NOSTMT w1"}
			So(sess.query("EXEC s x 1"), ShouldContainSubstring, "DONE m.q2")
			So(m.conns, ShouldBeGreaterThan, 1)
		})
	})
}
