package main

// The stand-ins of the integration tests: a member and a discovery on free loopback ports, a client, and the
// program itself, started as a process of its own.

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"weirwind/internal/pgwire"
)

const patience = 20 * time.Second // after which a test that waits has failed

func TestMain(m *testing.M) {
	if os.Getenv("PROXY_CONFIG") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// member is a stand-in for one. Its answer gets each query and returns what to write; nil closes.
type member struct {
	id      string
	ln      net.Listener
	queries chan string // each query as it came
	closed  chan string // why each connection ended
	welcome bool
	lateBy  atomic.Int64 // milliseconds until the welcome
	hangsUp atomic.Bool  // closes after each answer
	mu      sync.Mutex
	answer  func(query string) []byte
}

var forever = make(chan struct{})

func newMember(t *testing.T, id string, answer func(string) []byte) *member {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &member{id: id, ln: ln, queries: make(chan string, 10000), closed: make(chan string, 10000), welcome: true,
		answer: answer}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go m.serve(conn)
		}
	}()
	return m
}

func (m *member) says(answer func(string) []byte) {
	m.mu.Lock()
	m.answer = answer
	m.mu.Unlock()
}

func (m *member) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	if _, _, err := pgwire.ReadStartup(r); err != nil || !m.welcome {
		<-forever
	}
	time.Sleep(time.Duration(m.lateBy.Load()) * time.Millisecond)
	conn.Write(pgwire.AppendStartupResponse(nil, 0))
	for {
		_, message, err := pgwire.Read(r, nil)
		if err != nil {
			m.closed <- err.Error()
			return
		}
		text, _ := pgwire.QueryText(pgwire.Body(message))
		m.queries <- string(text)
		m.mu.Lock()
		answer := m.answer
		m.mu.Unlock()
		b := answer(string(text))
		if b == nil {
			return
		}
		conn.Write(b)
		if m.hangsUp.Load() {
			conn.Close()
			m.closed <- "hung up"
			return
		}
	}
}

func msg(kind byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4)), body...)
}

// row is a good answer with a note.
func row(value, role string) []byte { return append(pgwire.AppendSingleRow(nil, value), note(role)...) }

func note(role string) []byte { return noteAt(role, time.Now()) }

// noteAt tells a role, and a position.
func noteAt(role string, at time.Time) []byte {
	b := pgwire.AppendParameterStatus(nil, "server_role", role)
	return pgwire.AppendReadyForQuery(pgwire.AppendParameterStatus(b, "commit_clock", strconv.FormatInt(at.UnixMilli(), 10)))
}

func fault(code, role string) []byte {
	return append(pgwire.AppendErrorResponse(nil, "ERROR", code, "so it is", ""), note(role)...)
}

func serves(role string) func(string) []byte {
	return func(q string) []byte { return row("v:"+q[:6], role) }
}

// site is what surrounds the program: members, discovery, and the figures of its configuration.
type site struct {
	members  []*member
	settings map[string]any
	limits   map[string]any
	config   map[string]any
	changes  chan string // answers to watches, in turn
	asked    chan string // what discovery was asked
	watches  sync.WaitGroup
	lists    *httptest.Server
	mute     atomic.Bool // discovery answers no watch that finds nothing new
	operator string      // the operators' file, empty for none
}

// left returns once no watch of a process that was killed waits any more: it would take the next change along.
func (s *site) left() {
	s.lists.CloseClientConnections()
	s.watches.Wait()
}

func newSite(t *testing.T, members ...*member) *site {
	s := &site{members: members, changes: make(chan string, 10), asked: make(chan string, 1000)}
	s.lists = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.watches.Add(1)
		defer s.watches.Done()
		s.asked <- r.URL.String()
		select {
		case text := <-s.changes:
			if text == "" {
				w.WriteHeader(503)
				return
			}
			io.WriteString(w, text)
		case <-r.Context().Done():
		case <-s.patience(r):
			fmt.Fprintf(w, `{"revision":%s,"complete":false,"members":[]}`, r.URL.Query().Get("since"))
		}
	}))
	t.Cleanup(s.lists.Close)
	s.settings = map[string]any{"tick": 5000, "siblings": 1, "index": 0, "registry_mode": "on_request", "zone": "a",
		"family_info": map[string]any{"checks": "silent", "needs_by_class": []string{"eventual", "mutate", "lag_bound"},
			"oldest_data": []int{0, 0, 200000}, "position_zero": 77, "shows_role": "static", "stamps": true},
		"policy_limits": map[string]any{"send_cap": 4, "cancel": true, "parallel_tries": true, "retry_after": true,
			"max_retry_after": 1000000, "connect_timeout": 100000, "conn_idle": 15000000},
		"profiles": []any{
			map[string]any{"name": "read", "aim": 300000, "deadline": 1e6, "effect": "repeatable", "points": 1},
			map[string]any{"name": "write", "aim": 300000, "deadline": 1e6, "effect": "once", "points": 1},
			map[string]any{"name": "recent", "aim": 300000, "deadline": 1e6, "effect": "repeatable", "points": 1}}}
	s.limits = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
	s.config = map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
		"discovery": s.lists.Listener.Addr().String(), "settings": s.settings, "limits": s.limits,
		"known": json.RawMessage(s.list(41, true, ""))}
	return s
}

// patience is over when a watch has waited for as long as it asked to, and never where discovery is mute.
func (s *site) patience(r *http.Request) <-chan time.Time {
	if ms, err := strconv.Atoi(r.URL.Query().Get("timeout_ms")); err == nil && !s.mute.Load() {
		return time.After(time.Duration(ms) * time.Millisecond)
	}
	return nil
}

// asks waits until discovery is asked so; a watch that found nothing new is asked again.
func (s *site) asks(t *testing.T, want string) {
	t.Helper()
	for got := next(t, s.asked); got != want; got = next(t, s.asked) {
		if !strings.Contains(got, "since=") {
			t.Fatalf("asked %q, want %q", got, want)
		}
	}
}

// list is the list in discovery's form; phases holds id=phase for members that are not up.
func (s *site) list(revision int, complete bool, phases string) string {
	var entries []string
	for i, m := range s.members {
		phase, access := "up", "reader"
		if _, p, ok := strings.Cut(phases, m.id+"="); ok {
			phase, _, _ = strings.Cut(p, ",")
		}
		if i == 0 {
			access = "writer"
		}
		entries = append(entries, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","cell":3,"phase":%q,"access":%q}`,
			m.id, m.ln.Addr(), phase, access))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(entries, ","))
}

// program is the driver as a process.
type program struct {
	t       *testing.T
	cmd     *exec.Cmd
	address string
	path    string // of its configuration
	lines   chan string
	exited  chan error

	operator string // the path of the operators' file
	before   []string
}

// said gives a line of the log that holds the text, be it one from before another that was waited for.
func (p *program) said(text string) string {
	p.t.Helper()
	for _, line := range p.before {
		if strings.Contains(line, text) {
			return line
		}
	}
	return p.await(text)
}

// ends stops the program and waits until it is gone.
func (p *program) ends(by os.Signal) {
	p.t.Helper()
	p.cmd.Process.Signal(by)
	for l := range p.lines {
		p.before = append(p.before, l)
	}
	select {
	case <-p.exited:
	case <-time.After(patience):
		p.t.Fatal("does not end")
	}
}

func (s *site) start(t *testing.T) *program {
	t.Helper()
	text, err := json.Marshal(s.config)
	if err != nil {
		t.Fatal(err)
	}
	p := launch(t, string(text), s.operator)
	p.address = field(p.await("event=serving"), "listen")
	return p
}

// launch starts the program with a configuration, and an operators' file where there is one.
func launch(t *testing.T, config, operators string) *program {
	t.Helper()
	folder := t.TempDir()
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	p := &program{t: t, path: path, cmd: programCommand(), lines: make(chan string, 100000), exited: make(chan error, 1)}
	p.cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path)
	if operators != "" {
		p.operator = filepath.Join(folder, "operator.hcl")
		if err := os.WriteFile(p.operator, []byte(operators), 0o600); err != nil {
			t.Fatal(err)
		}
		p.cmd.Env = append(p.cmd.Env, "WEIRWIND_OPERATOR="+p.operator)
	}
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		for in := bufio.NewScanner(out); in.Scan(); {
			p.lines <- in.Text()
		}
		close(p.lines)
		p.exited <- p.cmd.Wait()
	}()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

// await gives the next line of the log that holds the text.
func (p *program) await(text string) string {
	p.t.Helper()
	limit := time.After(patience)
	for {
		select {
		case line, ok := <-p.lines:
			if strings.Contains(line, "DATA RACE") || !ok {
				p.t.Fatalf("no line with %q: %s", text, line)
			}
			if strings.Contains(line, text) {
				return line
			}
			p.before = append(p.before, line)
		case <-limit:
			p.t.Fatalf("no line with %q", text)
		}
	}
}

// reload replaces the configuration, by nothing where the text is empty, and gives the line that tells of it.
func (p *program) reload(text string) string {
	p.t.Helper()
	os.Remove(p.path)
	if text != "" {
		os.WriteFile(p.path, []byte(text), 0o600)
	}
	p.cmd.Process.Signal(syscall.SIGHUP)
	return p.await("event=reload")
}

// counters asks for the counters and gives them.
func (p *program) counters() string {
	p.cmd.Process.Signal(syscall.SIGUSR1)
	return p.await("event=counters")
}

func field(line, name string) string {
	_, rest, _ := strings.Cut(line, " "+name+"=")
	value, _, _ := strings.Cut(rest, " ")
	return value
}

// client is a connection to the program.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (p *program) dial() *client {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	return &client{p.t, conn, bufio.NewReader(conn)}
}

// dialTo connects to an address where the program may not listen yet, and is let in.
func dialTo(address string) (*client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(patience))
	c := &client{nil, conn, bufio.NewReader(conn)}
	c.Write(pgwire.AppendStartupMessage(nil, "svc", "main"))
	c.hear()
	return c, nil
}

// freeAddress is one at which nobody listens, for a program that is to come back at the same.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func (p *program) connect() *client {
	p.t.Helper()
	c := p.dial()
	c.Write(pgwire.AppendStartupMessage(nil, "svc", "main"))
	if kinds, _ := c.hear(); kinds != "RSSSSKZ" {
		p.t.Fatalf("welcomed by %q", kinds)
	}
	return c
}

// hear reads up to ReadyForQuery or the end: the kinds of the messages, and the value or the error's code.
func (c *client) hear() (kinds, said string) {
	for !strings.HasSuffix(kinds, "Z") {
		kind, message, err := pgwire.Read(c.r, nil)
		if err != nil {
			return kinds + ".", said
		}
		kinds += string(kind)
		switch kind {
		case 'D':
			value, _ := pgwire.ParseDataRow(pgwire.Body(message))
			said = string(value)
		case 'E':
			said = pgwire.ErrorCode(pgwire.Body(message))
		}
	}
	return kinds, said
}

func (c *client) ask(query string) (kinds, said string) {
	c.Write(pgwire.AppendQuery(nil, query))
	return c.hear()
}

var serial atomic.Uint32 // every op has an id of its own

func read(d int) string  { return statement("read", d) }
func write(d int) string { return statement("write", d) }

func statement(opType string, d int) string {
	form := "SELECT v FROM records WHERE k = 'ab'"
	if opType == "write" {
		form = `INSERT INTO records (k, v) VALUES ('ab', '\x9f03') RETURNING v`
	}
	return fmt.Sprintf("%s /* id=9b1f03aa%08x,c=%s,d=%d,cluster=3 */", form, serial.Add(1), opType, d)
}
