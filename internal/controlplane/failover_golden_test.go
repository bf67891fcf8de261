package controlplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"weirwind/internal/controlplane/controlmsg"
)

// fakeMember is a member that the test implements, outside virtual time: it listens on a real port.
type fakeMember struct {
	mu             sync.Mutex
	id             string
	listener       net.Listener
	role, position string
	term, paused   string
	replies        map[string]string // answers that replace the status, by statement
	statements     []string
	stopped        bool
}

func newFakeMember(t *testing.T, id, role, position string) *fakeMember {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	member := &fakeMember{id: id, listener: listener, role: role, position: position, term: "3", paused: "0"}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go member.serve(conn)
		}
	}()
	return member
}

func (m *fakeMember) serve(conn net.Conn) {
	defer conn.Close()
	scanner := bufio.NewScanner(conn)
	for scanner.Scan() {
		answer, alive := m.answer(scanner.Text())
		if !alive {
			return
		}
		io.WriteString(conn, answer+"READY idle -\r\n")
	}
}

func (m *fakeMember) answer(line string) (answer string, alive bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	word, rest, _ := strings.Cut(line, " ")
	if word != "QUERY" {
		return "", !m.stopped
	}
	_, text, _ := strings.Cut(rest, " ")
	m.statements = append(m.statements, text)
	first, term, _ := strings.Cut(text, " ")
	row, known := m.replies[text]
	switch first {
	case "PAUSE":
		m.paused = term
	case "CONT":
		m.paused = "0"
	case "STEPDOWN":
		m.role = "replica"
	case "STAT":
	default:
		if !known {
			return "FAIL nope not this\r\n", !m.stopped
		}
	}
	if !known {
		row = strings.Join([]string{m.role, m.term, m.position, m.paused, "0 0 0"}, " ")
	}
	return "ROW " + row + "\r\nDONE -\r\n", !m.stopped
}

// setState sets the member's role, term and log position.
func (m *fakeMember) setState(role, term, position string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.role, m.term, m.position = role, term, position
}

func (m *fakeMember) currentRole() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.role
}

// stop makes the member accept no connections and answer no statements from now on.
func (m *fakeMember) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	m.listener.Close()
}

// A service at a leader loses its primary. The transcript has the statements to members, the calls to the platform, and
// the log with its times. It continues with a planned hand-over, shards on two nodes, and the loss of leadership.
func TestFailoverTranscript(t *testing.T) {
	members := []*fakeMember{newFakeMember(t, "m1", "primary", "3.10"), newFakeMember(t, "m2", "replica", "3.10"),
		newFakeMember(t, "m3", "replica", "3.9"), newFakeMember(t, "n1", "primary", "1.1")}
	members[2].replies = map[string]string{"SHARD LOOK": `{"limit":2000,"foreign":1,"free":1900,"busy":0,"slots":4,` +
		`"copies":{"y":{"epoch":1,"state":"open","last":4,"held":5}}}`}
	members[3].replies = map[string]string{"SHARD LOOK": `{"limit":1000,"foreign":1,"free":900,"busy":0,"slots":4,` +
		`"copies":{}}`}
	var mu sync.Mutex
	var calls strings.Builder
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(&calls, "%s %s type %q holder %q fence %q body %s\n", r.Method, r.URL, r.Header.Get("Content-Type"),
			r.Header.Get("Weirwind-Holder"), r.Header.Get("Weirwind-Fence"), body)
		for _, m := range members[:3] {
			if strings.Contains(string(body), strconv.Quote(m.id)) {
				m.setState("primary", "4", m.position)
			} else if m.currentRole() == "primary" {
				m.setState("replica", "4", m.position)
			}
		}
	}))
	defer platform.Close()
	log := &transcript{sortLogs: true} // statements to members run concurrently
	inVirtualTime(t, func(t *testing.T) {
		log.start = time.Now()
		srv := startServer(t, "10.0.0.1:7000", []string{"10.0.0.1:7000"}, platform.Listener.Addr().String(), log)
		time.Sleep(1011 * time.Millisecond)
		call(log, srv, "POST", "/config/replace", map[string]string{"Weirwind-Base-Version": "0"}, twoServices)
		seq, draining := 0, map[string]bool{}
		heartbeatFor := func(d time.Duration, silent ...string) {
			for range d / (500 * time.Millisecond) {
				for _, m := range members {
					svc, state := "s", "ok"
					if m.id == "n1" {
						svc = "n1"
					}
					if draining[m.id] {
						state = "draining"
					}
					if seq++; !slices.Contains(silent, m.id) {
						sendHeartbeat(srv, m.id, svc, m.listener.Addr().String(), m.currentRole(), state, seq)
					}
				}
				time.Sleep(500 * time.Millisecond)
				synctest.Wait()
			}
		}
		heartbeatFor(8 * time.Second)
		call(log, srv, "GET", "/status", nil, "")
		log.step("the primary dies")
		members[0].stop()
		for _, r := range []controlmsg.PrimaryReport{
			{Service: "s", MemberID: "m1", UnresponsiveMs: 100, Driver: "d1", Unreachable: true},
			{Service: "s", MemberID: "m1", Driver: "d2", CommitsStalled: true},
			{Service: "s", MemberID: "m1", Driver: "d3"},
		} {
			srv.state.enqueue(func() { srv.state.handlePrimaryReport(&r, srv.now()) })
		}
		heartbeatFor(12*time.Second, "m1")
		log.step("it stays away, and the other one drains")
		members[1].setState("primary", "4", "4.2")
		members[2].setState("replica", "4", "4.2")
		heartbeatFor(60*time.Second, "m1")
		draining["m2"] = true
		heartbeatFor(5*time.Second, "m1")
		log.step("shards")
		call(log, srv, "POST", "/shards", nil,
			`{"kind":"found","shards":{"x":"n1","y":"s"},"nodes":{"n1":{"zone":"z1"},"s":{"zone":"z2"}}}`)
		heartbeatFor(3*time.Second, "m1")
		call(log, srv, "POST", "/shards", nil, `{"kind":"plan","tasks":[{"shard":"x","from":"n1","to":"s","bytes":10}]}`)
		heartbeatFor(6*time.Second, "m1")
		call(log, srv, "GET", "/shards", nil, "")
		call(log, srv, "GET", "/status", nil, "")
		log.step("the lead ends")
		srv.state.enqueue(func() { srv.state.setLeadership(false, 9, nil) })
		heartbeatFor(2*time.Second, "m1")
		call(log, srv, "GET", "/shards", nil, "")
		call(log, srv, "GET", "/status", nil, "")
	})
	text := log.String()
	for _, m := range members {
		text = strings.ReplaceAll(text, m.listener.Addr().String(), m.id+":1")
	}
	var all strings.Builder
	all.WriteString(text + "-- calls to the platform\n" + calls.String())
	for _, m := range members {
		fmt.Fprintf(&all, "-- %s was asked\n", m.id)
		polls := map[string]int{}
		for _, text := range m.statements {
			if polls[text]++; text != "STAT" && text != "SHARD LOOK" {
				fmt.Fprintln(&all, strings.ReplaceAll(text, members[3].listener.Addr().String(), "n1:1"))
			}
		}
		// Their number depends on when the test ends.
		fmt.Fprintf(&all, "STAT: %t, SHARD LOOK: %t\n", polls["STAT"] > 10, polls["SHARD LOOK"] > 10)
	}
	compareGolden(t, "failover.txt", all.String())
}
