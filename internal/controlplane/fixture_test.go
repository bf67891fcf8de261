package controlplane

// This file owns the fixture of the tests that record behaviour: whole servers in virtual time (testing/synctest), on
// a disk in memory, with fixed random numbers, over links that are pipes. Nothing sleeps but virtually, and no port
// is taken.

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/cryptotest"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/pebble/vfs"
	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/consensus/store"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
)

// inVirtualTime runs a test in a bubble: its clocks stand still while anything runs.
func inVirtualTime(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	cryptotest.SetGlobalRandom(t, 20261202)
	disk := store.FS
	t.Cleanup(func() { store.FS = disk })
	synctest.Test(t, func(t *testing.T) {
		store.FS = vfs.NewMem()
		run(t)
	})
}

// transcript is what a test records, compared with a file of testdata. GOLDEN=write records it anew, which changes
// what members, agents, operators or other machines of the core see.
//
// Its entries are in the order of their moments, then of their sources, then as they came: what two goroutines do at
// one moment has no order of its own. Where several goroutines log at one moment, sortLogs orders their lines.
type transcript struct {
	mu       sync.Mutex
	start    time.Time
	entries  []entry
	sortLogs bool
	round    int64 // moments are rounded down to so many milliseconds; 0: they are not
}

type entry struct {
	at           int64 // milliseconds
	source, text string
}

// logSource comes before all others, and httpSource behind them.
const (
	logSource  = "  log"
	httpSource = "~http"
)

func newTranscript() *transcript { return &transcript{start: time.Now()} }

// Write takes a line of a server's log.
func (r *transcript) Write(b []byte) (int, error) {
	_, text, _ := strings.Cut(strings.TrimSuffix(string(b), "\n"), " ")
	r.add(logSource, text)
	return len(b), nil
}

func (r *transcript) add(source, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.start).Milliseconds()
	if r.round > 0 {
		at -= at % r.round
	}
	r.entries = append(r.entries, entry{at, source, text})
}

// step notes what the test does next.
func (r *transcript) step(format string, args ...any) { r.add("", "-- "+fmt.Sprintf(format, args...)) }

func (r *transcript) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.entries, func(a, b entry) int {
		c := cmp.Or(cmp.Compare(a.at, b.at), strings.Compare(a.source, b.source))
		if c == 0 && r.sortLogs && a.source == logSource {
			c = strings.Compare(a.text, b.text)
		}
		return c
	})
	var out strings.Builder
	for _, e := range r.entries {
		fmt.Fprintf(&out, "%d %s %s\n", e.at, strings.Trim(e.source, " ~"), e.text)
	}
	return out.String()
}

func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	file := filepath.Join("testdata", name)
	if os.Getenv("GOLDEN") == "write" {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	g, w := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(g), len(w)) {
		if i >= len(g) || i >= len(w) || g[i] != w[i] {
			t.Fatalf("%s differs from line %d on; got\n%s\nwant\n%s", name, i+1,
				strings.Join(g[min(i, len(g)):min(i+12, len(g))], "\n"), strings.Join(w[min(i, len(w)):min(i+12, len(w))], "\n"))
		}
	}
}

// startServer starts a machine of the core as Run does, but for its listeners. Its two goroutines tick at moments of
// their own, offset behind those of other machines, so that what happens at one moment happens in one order.
func startServer(t *testing.T, ctl string, peers []string, platform string, log io.Writer) *Server {
	t.Helper()
	host, _, _ := net.SplitHostPort(ctl)
	name := "core" + host[strings.LastIndexByte(host, '.')+1:]
	set := &settings.Settings{Hostname: name, ControlAddr: ctl, IP: host, PortRange: [2]int{7100, 7110}, Peers: peers,
		Bootstrap: true, DataDir: name, HeartbeatInterval: 600 * time.Millisecond, TolerateNodes: (len(peers) - 1) / 2,
		PlatformAddr: platform}
	h := newServer(context.Background(), set, events.New(log, name))
	for _, p := range peers { // links to them are the test's to make
		if p != ctl {
			h.cores.byAddr[set.MeshAddr(p)] = &coreLink{}
		}
	}
	if err := h.open(t.Context()); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { h.loop.run(h.ctx); close(done) }()
	time.Sleep(17 * time.Millisecond)
	go h.state.run()
	t.Cleanup(func() {
		h.cancel(nil)
		<-done
	})
	return h
}

// oneListener accepts one connection, then waits until it is closed.
type oneListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func listenerOf(c net.Conn) *oneListener {
	l := &oneListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	l.conns <- c
	return l
}

func (l *oneListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *oneListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// linkOver makes a link of one end of a pipe, whose frames go to take, and its end to down.
func linkOver(t *testing.T, c net.Conn, take func(*link, *controlmsg.Frame), down func(*link)) *link {
	t.Helper()
	ln, up := listenerOf(c), make(chan *link, 1)
	go transport.Serve(ln, 0, func(l *link) { up <- l }, take, down)
	t.Cleanup(func() { ln.Close(); c.Close() })
	return <-up
}

// peer is a process that the test plays: an agent, or another machine of the core. What it is sent is recorded.
type peer struct {
	conn net.Conn
	link *link // the server's end
}

// newPeer links one to a server, and records what it is sent.
func newPeer(t *testing.T, h *Server, name string, record *transcript) *peer {
	t.Helper()
	near, far := net.Pipe()
	p := &peer{conn: far, link: linkOver(t, near, h.handleFrame, h.handleLinkDown)}
	t.Cleanup(func() { far.Close() })
	go func() {
		var head [4]byte
		for {
			if _, err := io.ReadFull(far, head[:]); err != nil {
				return
			}
			raw := make([]byte, binary.BigEndian.Uint32(head[:]))
			if _, err := io.ReadFull(far, raw); err != nil {
				return
			}
			record.add(name, "< "+frameText(raw))
		}
	}()
	return p
}

// send has the peer say something, and waits until everything that follows at once is done.
func (p *peer) send(t *testing.T, f *controlmsg.Frame) {
	t.Helper()
	raw, err := cbor.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.conn.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...)); err != nil {
		t.Fatal(err)
	}
	synctest.Wait()
}

// frameText gives a frame's bytes, a long one's by their number and digest. Records in one frame that waited for a
// tick come in the order of a map: they are sorted first.
func frameText(raw []byte) string {
	var f controlmsg.Frame
	if err := cbor.Unmarshal(raw, &f); err != nil {
		return "no frame: " + err.Error()
	}
	if again, err := cbor.Marshal(&f); err != nil || !bytes.Equal(again, raw) {
		return "is encoded anew as other bytes: " + hex.EncodeToString(raw)
	}
	if f.Update != nil && f.Update.Members != nil {
		ms := f.Update.Members
		slices.SortFunc(ms, func(a, b directory.Member) int { return strings.Compare(a.ID, b.ID) })
		raw, _ = cbor.Marshal(&f)
	}
	if len(raw) <= 100 {
		return f.Purpose().String() + " " + hex.EncodeToString(raw)
	}
	d := fnv.New64a()
	d.Write(raw)
	return fmt.Sprintf("%s %d bytes %016x", f.Purpose(), len(raw), d.Sum64())
}

// call puts an HTTP call to a server in process, and records it with its answer.
func call(record *transcript, h *Server, method, path string, header map[string]string,
	body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	h.routes().ServeHTTP(w, r)
	if record == nil {
		return w
	}
	var out strings.Builder
	fmt.Fprintf(&out, "%s %s %v %.120s\n  %d\n", method, path, header, body, w.Code)
	headers := map[string][]string(w.Header())
	for _, k := range slices.Sorted(maps.Keys(headers)) {
		value := strings.Join(headers[k], " | ")
		age, err := strconv.Atoi(value)
		if k == headerContactAgeMs && err == nil && age >= 0 && age <= consensus.ContactLease {
			value = "(age)" // the call itself may have the loop renew the contact, before or after it is read
		}
		fmt.Fprintf(&out, "  %s: %s\n", k, value)
	}
	answer := w.Body.String()
	fmt.Fprintf(&out, "  %q", answer)
	record.add(httpSource, out.String())
	synctest.Wait()
	return w
}

// heartbeat puts a member's heartbeat.
func heartbeat(h *Server, id, svc, addr, role, state string, seq int) int {
	body := fmt.Sprintf(`{"svc":%q,"addr":%q,"zone":"z1","gen":"g","slots":4,"state":%q,"dbRole":%q,"seq":%d}`,
		svc, addr, state, role, seq)
	return call(nil, h, http.MethodPost, "/members/"+id+"/heartbeat", nil, body).Code
}
