package proxy

import (
	"context"
	"flag"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/memberconn"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
)

var update = flag.Bool("update", false, "write the golden transcripts from what the proxy does now")

// transcript plays one client against members in virtual time, without sockets: each member connection is a pipe that
// was put into the pool before, and the members have no address, so that each dial and each probe fails at once. The
// member's answers come 1.37 ms late, the client thinks for 7.13 ms and the clock of the proxy is odd to the router's
// ticks, so that no two goroutines act at the same moment and the transcript is the same in each run.
type transcript struct {
	t       *testing.T
	p       *Proxy
	client  net.Conn
	replies *wire.Reader
	lines   []string        // of the client's side
	members []*[]string     // of each member connection's side
	ends    []net.Conn      // the members' ends of them
	log     strings.Builder // events
	mu      sync.Mutex
	script  map[string][]string // by text: what a member answers, one after the other; then as members do
	rng     *rand.Rand          // nil: by the script
	asked   int
	seq     uint64
}

const (
	memberDelay = 1370 * time.Microsecond
	thinkTime   = 7130 * time.Microsecond
	transcripts = `{"gen":3,"limits":{"txIdleMs":4000},"routes":[
		{"name":"r","host":"db","type":"primary","timeoutMs":900,"svc":"s"},
		{"name":"o","host":"old","type":"stale_ok","maxStaleMs":300,"timeoutMs":900,"svc":"s"},
		{"name":"m","host":"own","type":"self","maxStaleMs":300,"timeoutMs":900,"svc":"s"},
		{"name":"h","host":"part","type":"primary","timeoutMs":900,"svc":"s","shard":"sh"}],
		"svcs":[{"name":"s","maxConns":1000,"syncN":1}]}`
)

func newTranscript(t *testing.T, host string) *transcript {
	ctx, stop := context.WithCancel(context.Background())
	x := &transcript{t: t, script: map[string][]string{}}
	x.p = newProxy(ctx, &settings.Settings{Zone: "z", MemoryMB: 8}, events.New(&x.log, "proxy"))
	time.Sleep(time.Minute + 1110*time.Microsecond)
	go x.p.router.run()
	raw := []byte(transcripts)
	x.update(&controlmsg.StateUpdate{ConfigVersion: 3, Config: raw, DriverCount: 2, ShardMap: &shardmap.Map{Version: 5,
		Shards: map[string]shardmap.Assignment{"sh": {Node: "s", Epoch: 8}}}})
	x.role("a", directory.RolePrimary)
	x.role("b", directory.RoleReplica)
	x.fill()
	here, there := net.Pipe()
	x.client, x.replies = here, wire.NewReader(here)
	done := make(chan struct{})
	s := &session{proxy: x.p, client: there}
	x.p.sessions[s] = struct{}{}
	go func() {
		s.run()
		close(done)
	}()
	t.Cleanup(func() {
		here.Close()
		<-done
		time.Sleep(3 * time.Second) // what is rolled back is answered
		stop()
		for _, c := range x.ends {
			c.Close()
		}
	})
	if host != "" {
		x.say("ATTACH " + host + " who")
	}
	return x
}

func (x *transcript) do(f func()) {
	done := make(chan struct{})
	x.p.router.do(func() { f(); close(done) })
	select {
	case <-done:
	case <-x.p.ctx.Done():
	}
}

func (x *transcript) update(u *controlmsg.StateUpdate) { x.do(func() { x.p.router.update(u) }) }

// zones differ in distance, so that no choice between members is left to chance.
var zones = map[string]string{"a": "z", "b": "y"}

func (x *transcript) role(id string, role directory.Role) {
	x.seq++
	x.update(&controlmsg.StateUpdate{Members: []directory.Member{{ID: id, Service: "s", Zone: zones[id], Role: role, Incarnation: 1, Seq: x.seq}}})
}

// fill puts member connections into the pools, up to seven of each.
func (x *transcript) fill() {
	x.do(func() {
		g := x.p.router.group("s")
		for _, id := range []string{"a", "b"} {
			for m := g.routing.Members[id]; m != nil && len(g.pool(id).idle) < 7; {
				here, there := net.Pipe()
				side := &[]string{}
				x.members, x.ends = append(x.members, side), append(x.ends, there)
				rng := rand.New(rand.NewPCG(uint64(len(x.members)), 9))
				go x.member(id, there, side, rng)
				g.pool(id).open++
				x.p.router.keep(g, m, &memberConn{Conn: &memberconn.Conn{NetConn: here, Reader: wire.NewReader(here)}})
			}
		}
	})
}

// member answers on one connection.
func (x *transcript) member(id string, c net.Conn, side *[]string, rng *rand.Rand) {
	defer c.Close()
	r := wire.NewReader(c)
	state := wire.StateIdle
	for {
		line, err := r.ReadMessage()
		if err != nil {
			x.record(side, id+" ended")
			return
		}
		x.record(side, id+" "+line)
		time.Sleep(memberDelay)
		if !x.answer(id, c, line, &state, rng) {
			return
		}
	}
}

func (x *transcript) record(side *[]string, line string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	*side = append(*side, line)
}

// scripted takes the next answer of the script to a text; "" for none.
func (x *transcript) scripted(text string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	all := x.script[text]
	if len(all) == 0 {
		return ""
	}
	x.script[text] = all[1:]
	return all[0]
}

// replies of members by chance, in place of the usual ones.
var odd = []string{cutOff, byHalf, "DONE -", "FAIL RDONLY no", "FAIL LAGGING no", "FAIL RETRY no", "FAIL FULL", "FAIL WRONGHOST x",
	"FAIL NOSTMT w1", "FAIL FAILED no such thing", "FAIL TIMEOUT", "FAIL MOVED 9", "FAIL MOVED 7", "FAIL NOROOM", "FAIL VOID", "FAIL OLD",
	"FAIL OTHER a b", "late", "nonsense", "broken"}

func (x *transcript) answer(id string, c net.Conn, line string, state *string, rng *rand.Rand) bool {
	_, rest := wire.CutField(line)
	stamp, text := wire.CutField(rest)
	verb, _ := wire.CutField(text)
	said := asUsual
	plain := text
	if v, rest := wire.CutField(text); v == "AFTER" {
		_, plain = wire.CutField(rest)
	}
	if next := x.scripted(plain); next != "" {
		said = next
	} else if x.rng != nil && rng.IntN(9) == 0 {
		said = odd[rng.IntN(len(odd))]
	}
	switch said {
	case cutOff:
		return false
	case byHalf:
		fmt.Fprint(c, strings.Repeat("ROW "+strings.Repeat("x", 1000)+"\r\n", 400))
		return false
	case "late":
		time.Sleep(1003 * time.Millisecond)
	case "broken":
		*state = wire.StateFailedTransaction
		said = "FAIL ABORTED by the member"
	}
	switch {
	case said != asUsual && said != "late":
		fmt.Fprintf(c, "%s\r\nREADY %s 1.4\r\n", said, *state)
		return true
	case verb == "FETCH" || verb == "ON" && strings.Contains(text, "FETCH"):
		fmt.Fprint(c, "ROW whole\r\n")
	case verb == "SHARD":
		fmt.Fprint(c, "ROW m.settled\r\n")
	case strings.HasSuffix(text, "BEGIN") || strings.HasSuffix(text, "BEGIN FETCH"):
		*state = wire.StateInTransaction
	case verb == "COMMIT", verb == "ABORT":
		*state = wire.StateIdle
	}
	done := id + "." + stamp
	if stamp == wire.NoStamp || verb == "BEGIN" {
		done = wire.NoStamp
	}
	fmt.Fprintf(c, "DONE %s\r\nREADY %s 1.%d\r\n", done, *state, 4+len(text)%3)
	return true
}

// say sends one line and records the answer to it.
func (x *transcript) say(line string) {
	began := x.p.now()
	shown := line
	if len(shown) > 60 {
		shown = shown[:60] + ".."
	}
	x.lines = append(x.lines, "> "+shown)
	fmt.Fprint(x.client, line+"\r\n")
	var got []string
	for {
		x.client.SetReadDeadline(time.Now().Add(20 * time.Second))
		l, err := x.replies.ReadMessage()
		if err != nil {
			got = append(got, err.Error())
			break
		}
		if len(l) > 100 {
			l = l[:10] + ".."
		}
		if len(got) == 0 || got[len(got)-1] != l {
			got = append(got, l)
		}
		if strings.HasPrefix(l, wire.MsgReady) {
			break
		}
	}
	x.lines = append(x.lines, fmt.Sprintf("< %s  (%.2f ms)", strings.Join(got, " | "), x.p.now()-began))
	time.Sleep(thinkTime)
	x.fill()
}

func (x *transcript) query(text string) {
	x.asked++
	x.say(fmt.Sprintf("QUERY q%d %s", x.asked, text))
}

// end gives all that was said: by and to the client, then on each member connection, then the events.
func (x *transcript) end() string {
	time.Sleep(1200 * time.Millisecond)
	synctest.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	all := slices.Clone(x.lines)
	for i, side := range x.members {
		if len(*side) > 0 {
			all = append(all, fmt.Sprintf("connection %d: %s", i, strings.Join(*side, " | ")))
		}
	}
	return strings.Join(all, "\n") + "\n" + x.log.String()
}

// in plays a client of a host in a bubble of virtual time.
func in(t *testing.T, host string, play func(x *transcript)) (all string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := newTranscript(t, host)
		play(x)
		all = x.end()
	})
	return all
}

func queries(script map[string][]string, texts ...string) func(x *transcript) {
	return func(x *transcript) {
		x.mu.Lock()
		for text, answers := range script {
			x.script[text] = answers
		}
		x.mu.Unlock()
		for _, text := range texts {
			x.query(text)
		}
	}
}

// What a client is answered to each kind of message, and what its members were sent, byte for byte.
func TestGoldenTranscripts(t *testing.T) {
	script := func(pairs ...string) map[string][]string {
		out := map[string][]string{}
		for i := 0; i < len(pairs); i += 2 {
			out[pairs[i]] = append(out[pairs[i]], pairs[i+1])
		}
		return out
	}
	many := func(format string, n int) (out []string) {
		for i := range n {
			out = append(out, fmt.Sprintf(format, i))
		}
		return out
	}
	lines := func(all ...string) func(x *transcript) {
		return func(x *transcript) {
			for _, l := range all {
				x.say(l)
			}
		}
	}
	empty := func(x *transcript) { x.role("a", directory.RoleReplica) }
	then := func(steps ...func(x *transcript)) func(x *transcript) {
		return func(x *transcript) {
			for _, s := range steps {
				s(x)
			}
		}
	}
	var b strings.Builder
	for _, c := range []struct {
		name, host string
		play       func(x *transcript)
	}{
		{"attach to none", "", lines("ATTACH nowhere who")},
		{"attach without a name", "", lines("ATTACH db")},
		{"no attach", "", lines("QUERY q1 FETCH x")},
		{"too long", "db", lines("QUERY q1 STORE x " + strings.Repeat("y", 1<<20))},
		{"no message", "db", lines("HELLO there")},
		{"no text", "db", lines("QUERY q1")},
		{"control byte", "db", lines("QUERY q1 FETCH \x01")},
		{"bye", "db", lines("BYE")},
		{"bad texts", "db", queries(nil, "DROP x", "FETCH", "COMMIT", "ABORT", "BEGIN ", "UNPREP p", "EXEC p x")},
		{"own id", "db", lines("QUERY - FETCH x")},
		{"values", "db", queries(nil, append(many("SET v%d 1", 257), "SET v0 2")...)},
		{"prepared", "db", queries(nil, append(many("PREP p%d FETCH q", 257), "EXEC p3 x", "UNPREP p3", "EXEC p3 x")...)},
		{"usual", "db", queries(nil, "SET z 1", "FETCH x", "STORE x 1", "PREP p STORE q", "EXEC p x", "SET z 2", "FETCH x")},
		{"transaction", "db", queries(nil, "BEGIN", "BEGIN", "FETCH x", "STORE x 1", "SET a b", "FETCH y", "COMMIT", "COMMIT", "BEGIN", "ABORT",
			"BEGIN", "COMMIT", "BEGIN", "STORE x 1", "ABORT", "FETCH x")},
		{"reading transaction", "db", queries(nil, "BEGIN FETCH", "FETCH x", "COMMIT", "STORE x 1", "BEGIN FETCH", "FETCH x", "ABORT")},
		{"stale", "old", queries(nil, "FETCH x", "STORE x 1", "FETCH x", "BEGIN FETCH", "FETCH x", "COMMIT", "FETCH x")},
		{"own commits", "own", queries(nil, "STORE x 1", "FETCH x", "FETCH x", "BEGIN", "STORE x 2", "COMMIT", "BEGIN FETCH", "FETCH x", "COMMIT")},
		{"shard", "part", queries(nil, "STORE x 1", "FETCH x", "BEGIN", "STORE x 2", "COMMIT", "BEGIN FETCH", "FETCH x", "COMMIT")},
		{"codes to a read", "db", queries(script("FETCH a", "FAIL FAILED x", "FETCH b", "FAIL TIMEOUT", "FETCH c", "FAIL RETRY", "FETCH d", "FAIL RDONLY",
			"FETCH e", "FAIL OTHER of a kind"), "FETCH a", "FETCH b", "FETCH c", "FETCH e", "FETCH d")},
		{"codes to a stale read", "old", queries(script("FETCH a", "FAIL FAILED x", "FETCH b", "FAIL TIMEOUT", "FETCH c", "FAIL FULL", "FETCH d", "FAIL LAGGING",
			"FETCH e", cutOff), "STORE x 1", "FETCH a", "FETCH b", "FETCH c", "FETCH d", "FETCH e")},
		{"codes to a write", "db", queries(script("STORE a 1", "FAIL FAILED x", "STORE b 1", "FAIL TIMEOUT", "STORE c 1", "FAIL RETRY", "STORE d 1", "FAIL WRONGHOST",
			"STORE e 1", "FAIL OTHER of a kind", "STORE f 1", cutOff, "STORE g 1", "FAIL RDONLY"), "STORE a 1", "STORE b 1", "STORE c 1", "STORE d 1", "STORE e 1", "STORE f 1", "STORE g 1")},
		{"refused again and again", "db", queries(map[string][]string{"STORE a 1": {"FAIL RETRY", "FAIL FULL", "FAIL RETRY", "FAIL RETRY"}}, "STORE a 1")},
		{"failed transaction", "db", queries(script("STORE a 1", cutOff), "BEGIN", "STORE a 1", "STORE a 1", "COMMIT", "BEGIN", "STORE b 1", "ABORT")},
		{"failed transaction aborted", "db", queries(script("STORE a 1", cutOff), "BEGIN", "STORE a 1", "ABORT", "FETCH a")},
		{"lost commit", "db", queries(script("COMMIT", cutOff), "BEGIN", "STORE a 1", "COMMIT", "FETCH a")},
		{"lost commit of reads", "db", queries(script("COMMIT", cutOff), "BEGIN", "FETCH a", "COMMIT", "FETCH a")},
		{"failed commit", "db", queries(script("COMMIT", "FAIL FAILED x"), "BEGIN", "STORE a 1", "COMMIT", "FETCH a")},
		{"late", "db", queries(script("STORE a 1", "late", "FETCH a", "late"), "STORE a 1", "FETCH a")},
		{"moved", "part", queries(script("ON sh 8 STORE a 1", "FAIL MOVED 7"), "STORE a 1", "STORE a 1")},
		{"moved on", "part", queries(script("ON sh 8 STORE a 1", "FAIL MOVED 9"), "STORE a 1", "STORE a 1")},
		{"moved transaction", "part", queries(script("ON sh 8 BEGIN", "FAIL MOVED 9"), "BEGIN", "STORE a 1", "COMMIT")},
		{"settled", "part", queries(script("ON sh 8 STORE a 1", cutOff, "ON sh 8 STORE b 1", cutOff, "SHARD SETTLE sh 8 q2", "FAIL VOID", "ON sh 8 STORE c 1", cutOff,
			"SHARD SETTLE sh 8 q3", "FAIL STATE"), "STORE a 1", "STORE b 1", "STORE c 1")},
		{"settled commit", "part", queries(script("COMMIT", cutOff), "BEGIN", "STORE a 1", "COMMIT")},
		{"shard refusals", "part", queries(script("ON sh 8 STORE a 1", "FAIL NOROOM", "ON sh 8 STORE b 1", "FAIL VOID", "ON sh 8 STORE c 1", "FAIL STATE",
			"ON sh 8 STORE d 1", "FAIL OLD"), "STORE a 1", "STORE b 1", "STORE c 1", "STORE d 1")},
		{"no primary", "db", then(empty, queries(nil, "STORE a 1", "FETCH a", "BEGIN", "STORE a 1", "COMMIT"))},
		{"held write", "db", then(empty, func(x *transcript) {
			time.AfterFunc(300*time.Millisecond, func() { x.role("b", directory.RolePrimary) })
		}, queries(nil, "STORE a 1", "FETCH a"))},
		{"rested transaction", "db", then(queries(nil, "BEGIN", "STORE a 1"), func(*transcript) { time.Sleep(5 * time.Second) },
			queries(nil, "FETCH a", "FETCH a", "COMMIT", "FETCH a"))},
		{"end of the process", "db", then(queries(nil, "BEGIN", "STORE a 1"), func(x *transcript) {
			x.p.enter(closingAll)
			x.p.wakeSessions()
			synctest.Wait()
		}, queries(nil, "FETCH a", "COMMIT"))},
	} {
		fmt.Fprintf(&b, "== %s\n%s\n", c.name, in(t, c.host, c.play))
	}
	golden(t, "transcripts.golden", b.String())
}

func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	a, b := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			t.Fatalf("%s:%d\nwant %s\ngot  %s", path, i+1, a[i], b[i])
		}
	}
	if len(a) != len(b) {
		t.Errorf("%s has %d lines, got %d", path, len(a), len(b))
	}
}

// Histories by chance: members that answer anything, roles and shards that move while a client asks.
func TestDigestOfTranscripts(t *testing.T) {
	const want = uint64(0xe7ace19efc37ad52)
	texts := []string{"FETCH x", "FETCH y", "STORE x 1", "STORE y 2", "BEGIN", "BEGIN FETCH", "COMMIT", "COMMIT", "ABORT", "SET a 1", "SET a 2",
		"PREP p STORE q", "PREP r FETCH q", "EXEC p x", "EXEC r y", "UNPREP p"}
	sum := fnv.New64a()
	for seed := range uint64(80) {
		host := []string{"db", "old", "own", "part"}[seed%4]
		all := in(t, host, func(x *transcript) {
			x.rng = rand.New(rand.NewPCG(seed, 5))
			for range 60 {
				switch x.rng.IntN(12) {
				case 0:
					x.role([]string{"a", "b"}[x.rng.IntN(2)], directory.Role(1+x.rng.IntN(2)))
				case 1:
					x.role("a", directory.RolePrimary)
				case 2:
					x.seq++
					x.update(&controlmsg.StateUpdate{ShardMap: &shardmap.Map{Version: 5 + x.seq, Shards: map[string]shardmap.Assignment{"sh": {Node: "s", Epoch: 8 + x.seq}}}})
				}
				x.query(texts[x.rng.IntN(len(texts))])
			}
		})
		sum.Write([]byte(all))
	}
	if got := sum.Sum64(); got != want {
		t.Errorf("digest %#x, want %#x", got, want)
	}
}

// What GET /status and GET /ready answer.
func TestGoldenStatus(t *testing.T) {
	var b strings.Builder
	in(t, "db", func(x *transcript) {
		x.query("STORE a 1")
		for _, path := range []string{"/status", "/ready"} {
			w := httptest.NewRecorder()
			x.p.routes().ServeHTTP(w, httptest.NewRequest("GET", path, nil))
			fmt.Fprintf(&b, "GET %s\n%d\n%s", path, w.Code, w.Body)
		}
		x.p.enter(draining)
		w := httptest.NewRecorder()
		x.p.routes().ServeHTTP(w, httptest.NewRequest("GET", "/ready", nil))
		fmt.Fprintf(&b, "leaving: %d\n", w.Code)
	})
	golden(t, "status.golden", b.String())
}

// oneConn is a listener that a single connection comes to.
type oneConn struct {
	net.Listener
	conns chan net.Conn
}

func (l oneConn) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// agent puts a link to an agent that records the frames it is sent, in hex with the moment of each.
func (x *transcript) agent() *[]string {
	here, there := net.Pipe()
	l := oneConn{conns: make(chan net.Conn, 1)}
	l.conns <- here
	close(l.conns)
	up := make(chan struct{})
	go transport.Serve(l, 0, func(l *transport.Link[controlmsg.Frame]) {
		x.p.agent.Store(l)
		close(up)
	}, func(*transport.Link[controlmsg.Frame], *controlmsg.Frame) {}, func(*transport.Link[controlmsg.Frame]) {})
	<-up
	side := &[]string{}
	x.ends = append(x.ends, there)
	go func() {
		b := make([]byte, 4096)
		for {
			n, err := there.Read(b)
			if err != nil {
				return
			}
			x.record(side, fmt.Sprintf("%.0f %x", x.p.now(), b[:n]))
		}
	}()
	return side
}

// What the agent is sent of a primary that owes answers, of one that answers no commit, and of one that is dead.
func TestGoldenReports(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name string
		play func(x *transcript)
	}{
		{"owes an answer, then speaks", queries(map[string][]string{"FETCH a": {"late"}, "STORE a 1": {"late"}}, "FETCH a", "STORE a 1", "FETCH b")},
		{"answers no commit", func(x *transcript) {
			x.do(func() {
				g := x.p.router.group("s")
				m := g.routing.Members["a"]
				g.routing.RecordSend(m, x.p.now(), true)
			})
			time.Sleep(thinkTime)
			for range 90 {
				x.query("FETCH a")
			}
		}},
		{"takes no connection", func(x *transcript) {
			x.do(func() {
				g := x.p.router.group("s")
				g.closeIdle("a")
			})
			x.ends[0].Close()
			time.Sleep(time.Second)
			fmt.Fprint(x.client, "QUERY q1 STORE a 1\r\n")
			line, err := x.replies.ReadMessage()
			fmt.Fprintln(&b, "held, then:", line, err)
		}},
	} {
		var frames *[]string
		in(t, "db", func(x *transcript) {
			frames = x.agent()
			c.play(x)
		})
		fmt.Fprintf(&b, "== %s\n%s\n", c.name, strings.Join(*frames, "\n"))
	}
	golden(t, "reports.golden", b.String())
}
