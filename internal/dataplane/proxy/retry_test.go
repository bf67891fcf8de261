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

// What a scripted member does in place of an answer of the script.
const (
	cutOff  = "cut off"  // it takes the statement and closes the connection
	byHalf  = "by half"  // the same, after many rows
	asUsual = "as usual" // there is no answer of the script: it answers as members do
)

// scriptedMember is a primary that answers statements by a script.
type scriptedMember struct {
	mu     sync.Mutex
	script map[string][]string // by text: the answers to it, one after the other; then as usual
	ran    []string            // texts with a client's id, in order of arrival
	ranAs  []string            // for each of ran, whom its connection was attached as
	conns  int

	failing string // a text whose FAIL leaves a transaction failed
}

func (m *scriptedMember) take(who, id, text string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if id != wire.NoStamp {
		m.ran, m.ranAs = append(m.ran, text), append(m.ranAs, who)
	}
	all := m.script[text]
	if len(all) == 0 {
		return asUsual
	}
	m.script[text] = all[1:]
	return all[0]
}

// times counts how often a text arrived.
func (m *scriptedMember) times(text string) (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range m.ran {
		if t == text {
			n++
		}
	}
	return n
}

func (m *scriptedMember) serve(c net.Conn) {
	defer c.Close()
	r := wire.NewReader(c)
	attach, err := r.ReadMessage()
	if err != nil {
		return
	}
	who := strings.Fields(attach)[2]
	m.mu.Lock()
	m.conns++
	m.mu.Unlock()
	fmt.Fprint(c, "READY I 1.1\r\n")
	state := wire.StateIdle
	for {
		line, err := r.ReadMessage()
		if err != nil {
			return
		}
		_, rest := wire.CutField(line)
		id, text := wire.CutField(rest)
		said := m.take(who, id, text)
		verb, _ := wire.CutField(text)
		stamp := "m." + id
		switch {
		case said == cutOff:
			return
		case said == byHalf:
			fmt.Fprint(c, strings.Repeat("ROW "+strings.Repeat("x", 1000)+"\r\n", 400))
			return
		case said != asUsual:
			if text == m.failing {
				state = wire.StateFailedTransaction
			}
			fmt.Fprint(c, said+"\r\nREADY "+state+" 1.1\r\n")
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

// client is a session with a proxy whose only member is a scripted one.
type client struct {
	conn    net.Conn
	replies *wire.Reader
	queries int
}

func attachClient(t *testing.T, m *scriptedMember) *client {
	ctx, stop := context.WithCancel(t.Context())
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
	p := newProxy(ctx, &settings.Settings{Zone: "z", MemoryMB: 8}, events.Discard())
	p.startedAt = time.Now().Add(-time.Minute)
	cfg, err := config.Parse([]byte(`{"gen":1,
		"routes":[{"name":"r","host":"db","type":"primary","timeoutMs":3000,"svc":"s"}],
		"svcs":[{"name":"s","maxConns":50,"syncN":1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	p.config.Store(cfg)
	g := p.router.group("s")
	g.routing.UpdateMember(directory.Member{ID: "a", Service: "s", Zone: "z", Addr: ln.Addr().String(),
		Role: directory.RolePrimary, Incarnation: 1, Seq: 1}, p.now())
	now := p.now()
	g.routing.RecordSend(g.routing.Members["a"], now-1, false)
	g.routing.RecordOutcome(g.routing.Members["a"], now-1, now, group.AnsweredAsPrimary, wire.Position{Term: 1, Number: 1})
	go p.router.run()
	here, there := net.Pipe()
	k := &client{conn: here, replies: wire.NewReader(here)}
	go (&session{proxy: p, client: there}).run()
	Reset(func() { stop(); ln.Close(); here.Close() })
	fmt.Fprint(here, "ATTACH db who\r\n")
	if l, err := k.replies.ReadMessage(); err != nil || l != "READY I -" {
		t.Fatal(l, err)
	}
	return k
}

// query returns the lines of an answer, equal ones that follow each other as one.
func (k *client) query(text string) string {
	k.queries++
	fmt.Fprintf(k.conn, "QUERY q%d %s\r\n", k.queries, text)
	var all []string
	for {
		k.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		l, err := k.replies.ReadMessage()
		if err != nil {
			return strings.Join(append(all, err.Error()), " | ")
		}
		if len(l) > 100 {
			l = l[:10] + ".."
		}
		if len(all) == 0 || all[len(all)-1] != l {
			all = append(all, l)
		}
		if strings.HasPrefix(l, wire.MsgReady) {
			return strings.Join(all, " | ")
		}
	}
}

// Which statements are retried after an answer that did not come. In brackets: what to take out to see the case fail.
func TestRetries(t *testing.T) {
	Convey("With a member that loses answers", t, func() {
		m := &scriptedMember{script: map[string][]string{}}
		k := attachClient(t, m)

		Convey("a read is retried, and answered once (kindOf)", func() {
			m.script["FETCH x"] = []string{cutOff}
			So(k.query("FETCH x"), ShouldEqual, "ROW whole | DONE m.q1 | READY I 1.1")
			So(m.times("FETCH x"), ShouldEqual, 2)
		})
		Convey("a read whose first rows have gone to the client is not: they would be another answer's (rowsForwarded)", func() {
			m.script["FETCH x"] = []string{byHalf}
			So(k.query("FETCH x"), ShouldEqual, "ROW xxxxxx.. | FAIL RETRY come back after 200 ms | READY I -")
			So(m.times("FETCH x"), ShouldEqual, 1)
			So(k.query("FETCH x"), ShouldEqual, "ROW whole | DONE m.q2 | READY I 1.1")
		})
		Convey("a write is not (kindOf)", func() {
			m.script["STORE x 1"] = []string{cutOff}
			So(k.query("STORE x 1"), ShouldEqual, "FAIL UNKNOWN no answer came from a | READY I -")
			So(m.times("STORE x 1"), ShouldEqual, 1)
		})
		Convey("a success without a stamp is another query's (requireStamp)", func() {
			m.script["STORE x 1"] = []string{"DONE -"}
			So(k.query("STORE x 1"), ShouldEqual, "FAIL UNKNOWN no answer came from a | READY I -")
			So(m.times("STORE x 1"), ShouldEqual, 1)
		})
		Convey("the beginning of a transaction is, as its connection's end rolls it back", func() {
			m.script["BEGIN"] = []string{cutOff}
			So(k.query("BEGIN"), ShouldEqual, "DONE - | READY T -")
			So(k.query("STORE x 1"), ShouldEqual, "DONE m.q2 | READY T 1.1")
			So(k.query("COMMIT"), ShouldEqual, "DONE m.q3 | READY I 1.1")
			So(m.times("BEGIN"), ShouldEqual, 2)
			So(m.times("STORE x 1"), ShouldEqual, 1)
		})
		Convey("a statement of a transaction is not: it ends, with a promise", func() {
			m.script["STORE x 1"] = []string{cutOff}
			k.query("BEGIN")
			So(k.query("STORE x 1"), ShouldEqual, "FAIL ABORTED no answer came from a | READY E -")
			So(m.times("STORE x 1"), ShouldEqual, 1)
		})
		Convey("a COMMIT is not, and is promised nothing of", func() {
			m.script["COMMIT"] = []string{cutOff}
			k.query("BEGIN")
			k.query("STORE x 1")
			So(k.query("COMMIT"), ShouldEqual, "FAIL UNKNOWN no answer to the commit came from a | READY I -")
			So(m.times("COMMIT"), ShouldEqual, 1)
		})
		Convey("a COMMIT behind a write that failed, and may have run, is promised nothing of either (mayHaveRun)", func() {
			m.script["STORE x 1"], m.script["COMMIT"] = []string{"FAIL TIMEOUT"}, []string{cutOff}
			k.query("BEGIN")
			So(k.query("STORE x 1"), ShouldEqual, "FAIL TIMEOUT | READY T 1.1")
			So(k.query("COMMIT"), ShouldEqual, "FAIL UNKNOWN no answer to the commit came from a | READY I -")
		})
		Convey("a read whose ABORT was refused leaves its connection with an open transaction: it is closed (succeeded)", func() {
			m.script["ABORT"] = []string{"FAIL FAILED no"}
			So(k.query("FETCH x"), ShouldContainSubstring, "DONE m.q1")
			m.mu.Lock()
			before := m.conns
			m.mu.Unlock()
			So(k.query("STORE x 1"), ShouldEqual, "DONE m.q2 | READY I 1.1")
			m.mu.Lock()
			defer m.mu.Unlock()
			So(m.conns, ShouldEqual, before+1)
		})
		Convey("a connection whose member forgot a prepared name is not used again (CodeNoStatement)", func() {
			k.query("PREP s STORE q")
			m.script["EXEC w1 x 1"] = []string{"FAIL NOSTMT w1"}
			So(k.query("EXEC s x 1"), ShouldContainSubstring, "DONE m.q2")
			So(m.conns, ShouldBeGreaterThan, 1)
		})
	})
}
