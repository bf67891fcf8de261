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
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// transcript runs one client against scripted members in virtual time and records all messages. It uses no sockets: each
// member connection is a pipe that is put into the pool beforehand. The members have no address, so that each dial and
// each health check fails at once. The transcript is the same in each run, as no two goroutines act at the same moment:
// members answer after memberDelay, the client waits for thinkTime between messages, and the proxy's clock is offset
// from the router's ticks.
type transcript struct {
	t           *testing.T
	proxy       *Proxy
	client      net.Conn
	replies     *wire.Reader
	clientLines []string    // messages sent and received by the client
	memberLines []*[]string // messages received by the member, for each member connection
	memberEnds  []net.Conn  // the far ends of all pipes to members and the agent
	mu          sync.Mutex
	log         strings.Builder     // events of the proxy; guarded by mu
	script      map[string][]string // by statement: the next replies of a member; after them it replies as usual
	rng         *rand.Rand          // source of random replies; nil to use only the script
	queryCount  int
	seq         uint64
	risingLog   bool   // the log positions in members' replies rise; else they only depend on the statement
	logLength   uint64 // the newest position with risingLog
}

const (
	memberDelay      = 1370 * time.Microsecond
	thinkTime        = 7130 * time.Microsecond
	transcriptConfig = `{"gen":3,"limits":{"txIdleMs":4000},"routes":[
		{"name":"r","host":"db","type":"primary","timeoutMs":900,"svc":"s"},
		{"name":"o","host":"old","type":"stale_ok","maxStaleMs":300,"timeoutMs":900,"svc":"s"},
		{"name":"m","host":"own","type":"self","maxStaleMs":300,"timeoutMs":900,"svc":"s"},
		{"name":"h","host":"part","type":"primary","timeoutMs":900,"svc":"s","shard":"sh"}],
		"svcs":[{"name":"s","maxConns":1000,"syncN":1}]}`
)

func newTranscript(t *testing.T, host string) *transcript {
	ctx, cancel := context.WithCancel(context.Background())
	x := &transcript{t: t, script: map[string][]string{}}
	x.proxy = newProxy(ctx, &settings.Settings{Zone: "z", MemoryMB: 8}, events.New(x, "proxy"))
	time.Sleep(time.Minute + 1110*time.Microsecond)
	go x.proxy.router.run()
	raw := []byte(transcriptConfig)
	x.update(&controlmsg.StateUpdate{ConfigVersion: 3, Config: raw, DriverCount: 2, WriterLeases: controlmsg.LeaseSupportOff, ShardMap: &shardmap.Map{Version: 5,
		Shards: map[string]shardmap.Assignment{"sh": {Node: "s", Epoch: 8}}}})
	x.setRole("a", directory.RolePrimary)
	x.setRole("b", directory.RoleReplica)
	x.fillPools()
	clientEnd, proxyEnd := net.Pipe()
	x.client, x.replies = clientEnd, wire.NewReader(clientEnd)
	done := make(chan struct{})
	s := &session{proxy: x.proxy, client: proxyEnd}
	x.proxy.sessions[s] = struct{}{}
	go func() {
		s.run()
		close(done)
	}()
	t.Cleanup(func() {
		clientEnd.Close()
		<-done
		time.Sleep(3 * time.Second) // rollbacks are answered in this time
		cancel()
		for _, c := range x.memberEnds {
			c.Close()
		}
	})
	if host != "" {
		x.send("ATTACH " + host + " who")
	}
	return x
}

// Write records a line of the proxy's log.
func (x *transcript) Write(b []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.log.Write(b)
}

func (x *transcript) do(f func()) {
	done := make(chan struct{})
	x.proxy.router.do(func() { f(); close(done) })
	select {
	case <-done:
	case <-x.proxy.ctx.Done():
	}
}

func (x *transcript) update(u *controlmsg.StateUpdate) { x.do(func() { x.proxy.router.update(u) }) }

// zoneOf is the zone of each member. The distances differ, so that the choice of a member is deterministic.
var zoneOf = map[string]string{"a": "z", "b": "y"}

func (x *transcript) setRole(id string, role directory.Role) {
	x.seq++
	x.update(&controlmsg.StateUpdate{Members: []directory.Member{{ID: id, Service: "s", Zone: zoneOf[id],
		Role: role, Incarnation: 1, Seq: x.seq}}})
}

// fillPools adds member connections to the pools until each has seven idle ones.
func (x *transcript) fillPools() {
	x.do(func() {
		g := x.proxy.router.group("s")
		for _, id := range []string{"a", "b"} {
			for m := g.routing.Members[id]; m != nil && len(g.pool(id).idle) < 7; {
				memberEnd := addIdleConn(x.proxy.router, g, m)
				received := &[]string{}
				x.memberLines, x.memberEnds = append(x.memberLines, received), append(x.memberEnds, memberEnd)
				rng := rand.New(rand.NewPCG(uint64(len(x.memberLines)), 9))
				go x.serveMember(id, memberEnd, received, rng)
			}
		}
	})
}

// addIdleConn adds a connection to the pool of a member and returns the member's end. The router calls it.
func addIdleConn(r *router, g *memberGroup, member *group.Member) (memberEnd net.Conn) {
	proxyEnd, memberEnd := net.Pipe()
	g.pool(member.ID).open++
	r.poolOrClose(g, member, &memberConn{Conn: &memberconn.Conn{NetConn: proxyEnd, Reader: wire.NewReader(proxyEnd)}})
	return memberEnd
}

// serveMember answers as a member on one connection and records the messages that it receives.
func (x *transcript) serveMember(id string, c net.Conn, received *[]string, rng *rand.Rand) {
	defer c.Close()
	queries := wire.NewReader(c)
	state := wire.StateIdle
	for {
		line, err := queries.ReadMessage()
		if err != nil {
			x.record(received, id+" ended")
			return
		}
		x.record(received, id+" "+line)
		time.Sleep(memberDelay)
		if !x.answer(id, c, line, &state, rng) {
			return
		}
	}
}

func (x *transcript) record(lines *[]string, line string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	*lines = append(*lines, line)
}

// nextScripted removes and returns the next scripted reply to a statement, "" for none.
func (x *transcript) nextScripted(text string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	replies := x.script[text]
	if len(replies) == 0 {
		return ""
	}
	x.script[text] = replies[1:]
	return replies[0]
}

// randomReplies are the faulty replies from which members choose at random.
var randomReplies = []string{cutOff, cutOffAfterRows, "DONE -", "FAIL RDONLY no", "FAIL LAGGING no", "FAIL RETRY no", "FAIL FULL",
	"FAIL WRONGHOST x",
	"FAIL NOSTMT w1", "FAIL FAILED no such thing", "FAIL TIMEOUT", "FAIL MOVED 9", "FAIL MOVED 7",
	"FAIL NOROOM", "FAIL VOID", "FAIL OLD",
	"FAIL OTHER a b", "late", "nonsense", "broken"}

// answer replies to a message as the member with the id. It returns false if the member closes the connection.
func (x *transcript) answer(id string, c net.Conn, line string, state *string, rng *rand.Rand) bool {
	_, rest := wire.CutField(line)
	stamp, text := wire.CutField(rest)
	verb, _ := wire.CutField(text)
	reply := defaultReply
	bareText := text
	if v, rest := wire.CutField(text); v == "AFTER" {
		_, bareText = wire.CutField(rest)
	}
	if next := x.nextScripted(bareText); next != "" {
		reply = next
	} else if x.rng != nil && rng.IntN(9) == 0 {
		reply = randomReplies[rng.IntN(len(randomReplies))]
	}
	switch reply {
	case cutOff:
		return false
	case cutOffAfterRows:
		fmt.Fprint(c, strings.Repeat("ROW "+strings.Repeat("x", 1000)+"\r\n", 400))
		return false
	case "late":
		time.Sleep(1003 * time.Millisecond)
	case "broken":
		*state = wire.StateFailedTransaction
		reply = "FAIL ABORTED by the member"
	}
	switch {
	case reply != defaultReply && reply != "late":
		fmt.Fprintf(c, "%s\r\nREADY %s 1.4\r\n", reply, *state)
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
	doneStamp := id + "." + stamp
	if stamp == wire.NoStamp || verb == "BEGIN" {
		doneStamp = wire.NoStamp
	}
	fmt.Fprintf(c, "DONE %s\r\nREADY %s 1.%d\r\n", doneStamp, *state, x.logNumber(text))
	return true
}

// logNumber returns the number of the log position in the reply to a statement.
func (x *transcript) logNumber(text string) uint64 {
	if !x.risingLog {
		return 4 + uint64(len(text)%3)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.logLength++
	return x.logLength
}

// send sends one line from the client and records the answer.
func (x *transcript) send(line string) {
	sentAt := x.proxy.now()
	abbreviated := line
	if len(abbreviated) > 60 {
		abbreviated = abbreviated[:60] + ".."
	}
	x.clientLines = append(x.clientLines, "> "+abbreviated)
	fmt.Fprint(x.client, line+"\r\n")
	var reply []string
	for {
		x.client.SetReadDeadline(time.Now().Add(20 * time.Second))
		line, err := x.replies.ReadMessage()
		if err != nil {
			reply = append(reply, err.Error())
			break
		}
		if len(line) > 100 {
			line = line[:10] + ".."
		}
		if len(reply) == 0 || reply[len(reply)-1] != line {
			reply = append(reply, line)
		}
		if strings.HasPrefix(line, wire.MsgReady) {
			break
		}
	}
	x.clientLines = append(x.clientLines, fmt.Sprintf("< %s  (%.2f ms)", strings.Join(reply, " | "), x.proxy.now()-sentAt))
	time.Sleep(thinkTime)
	x.fillPools()
}

func (x *transcript) query(text string) {
	x.queryCount++
	x.send(fmt.Sprintf("QUERY q%d %s", x.queryCount, text))
}

// render returns the transcript: the client's messages, those on each member connection, then the events.
func (x *transcript) render() string {
	time.Sleep(1200 * time.Millisecond)
	synctest.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	lines := slices.Clone(x.clientLines)
	for i, received := range x.memberLines {
		if len(*received) > 0 {
			lines = append(lines, fmt.Sprintf("connection %d: %s", i, strings.Join(*received, " | ")))
		}
	}
	return strings.Join(lines, "\n") + "\n" + x.log.String()
}

// runTranscript runs a client of the host in virtual time and returns the transcript.
func runTranscript(t *testing.T, host string, run func(x *transcript)) (rendered string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		x := newTranscript(t, host)
		run(x)
		rendered = x.render()
	})
	return rendered
}

// sendQueries returns a function that sets scripted replies and sends the statements.
func sendQueries(script map[string][]string, texts ...string) func(x *transcript) {
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
