package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

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
	x.update(&controlmsg.StateUpdate{Members: []directory.Member{{ID: id, Service: "s", Zone: zones[id],
		Role: role, Incarnation: 1, Seq: x.seq}}})
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
				x.p.router.poolOrClose(g, m, &memberConn{Conn: &memberconn.Conn{NetConn: here, Reader: wire.NewReader(here)}})
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
var odd = []string{cutOff, byHalf, "DONE -", "FAIL RDONLY no", "FAIL LAGGING no", "FAIL RETRY no", "FAIL FULL",
	"FAIL WRONGHOST x",
	"FAIL NOSTMT w1", "FAIL FAILED no such thing", "FAIL TIMEOUT", "FAIL MOVED 9", "FAIL MOVED 7",
	"FAIL NOROOM", "FAIL VOID", "FAIL OLD",
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
