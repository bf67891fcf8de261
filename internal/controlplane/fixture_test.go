package controlplane

// This file has the fixture of the tests that compare with golden files: complete servers in virtual time
// (testing/synctest), on an in-memory disk, with fixed random numbers, over links that are pipes. Sleeping takes no
// real time, and no ports are used.

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

// inVirtualTime runs a test in a synctest bubble: its clock advances only while all goroutines are blocked.
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

// transcript records the events of a test for comparison with a golden file. GOLDEN=write rewrites the file; a change
// of it is a change that members, agents, operators or other core machines can see.
//
// Its entries are sorted by time, then by source, then by arrival, as events of two goroutines at the same time have no
// defined order. If goroutines log lines at the same time, sortLogs sorts these by text.
type transcript struct {
	mu       sync.Mutex
	start    time.Time
	entries  []transcriptEntry
	sortLogs bool
	roundMs  int64 // times are rounded down to a multiple of this many milliseconds; 0 for no rounding
}

type transcriptEntry struct {
	at           int64 // milliseconds
	source, text string
}

// Sources of entries. logSource sorts before all others, httpSource after them.
const (
	logSource  = "  log"
	httpSource = "~http"
)

func newTranscript() *transcript { return &transcript{start: time.Now()} }

// Write records a line of a server's log.
func (r *transcript) Write(b []byte) (int, error) {
	_, text, _ := strings.Cut(strings.TrimSuffix(string(b), "\n"), " ")
	r.add(logSource, text)
	return len(b), nil
}

func (r *transcript) add(source, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.start).Milliseconds()
	if r.roundMs > 0 {
		at -= at % r.roundMs
	}
	r.entries = append(r.entries, transcriptEntry{at, source, text})
}

// step records a heading for the next step of the test.
func (r *transcript) step(format string, args ...any) { r.add("", "-- "+fmt.Sprintf(format, args...)) }

func (r *transcript) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.entries, func(a, b transcriptEntry) int {
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
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		if i >= len(gotLines) || i >= len(wantLines) || gotLines[i] != wantLines[i] {
			t.Fatalf("%s differs from line %d on; got\n%s\nwant\n%s", name, i+1,
				strings.Join(gotLines[min(i, len(gotLines)):min(i+12, len(gotLines))], "\n"),
				strings.Join(wantLines[min(i, len(wantLines)):min(i+12, len(wantLines))], "\n"))
		}
	}
}

// startServer starts a core machine as Run does, but without listeners. Its two goroutines tick at different times,
// also from those of machines that were started before, so that the order of events is deterministic.
func startServer(t *testing.T, controlAddr string, peers []string, platform string, log io.Writer) *Server {
	t.Helper()
	host, _, _ := net.SplitHostPort(controlAddr)
	name := "core" + host[strings.LastIndexByte(host, '.')+1:]
	cfg := &settings.Settings{Hostname: name, ControlAddr: controlAddr, IP: host, PortRange: [2]int{7100, 7110},
		Peers: peers, Bootstrap: true, DataDir: name, HeartbeatInterval: 600 * time.Millisecond,
		TolerateNodes: (len(peers) - 1) / 2, PlatformAddr: platform}
	srv := newServer(context.Background(), cfg, events.New(log, name))
	for _, p := range peers { // the test makes the links to them
		if p != controlAddr {
			srv.cores.byAddr[cfg.MeshAddr(p)] = &coreLink{}
		}
	}
	if err := srv.open(t.Context()); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { srv.loop.run(srv.ctx); close(done) }()
	time.Sleep(17 * time.Millisecond)
	go srv.state.run()
	t.Cleanup(func() {
		srv.cancel(nil)
		<-done
	})
	return srv
}

// singleConnListener is a listener that accepts one connection, then blocks until it is closed.
type singleConnListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newSingleConnListener(c net.Conn) *singleConnListener {
	l := &singleConnListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
	l.conns <- c
	return l
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *singleConnListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// newPipeLink returns a link over one end of a pipe. Its frames are passed to handleFrame, its end to handleDown.
func newPipeLink(t *testing.T, c net.Conn, handleFrame func(*link, *controlmsg.Frame), handleDown func(*link)) *link {
	t.Helper()
	ln, up := newSingleConnListener(c), make(chan *link, 1)
	go transport.Serve(ln, 0, func(l *link) { up <- l }, handleFrame, handleDown)
	t.Cleanup(func() { ln.Close(); c.Close() })
	return <-up
}

// fakePeer is an agent or another core machine that the test implements. The frames that it receives are recorded.
type fakePeer struct {
	conn net.Conn
	link *link // the server's end
}

// newFakePeer links a fake peer to a server, and records the frames that it receives.
func newFakePeer(t *testing.T, srv *Server, name string, record *transcript) *fakePeer {
	t.Helper()
	near, far := net.Pipe()
	p := &fakePeer{conn: far, link: newPipeLink(t, near, srv.handleFrame, srv.handleLinkDown)}
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

// send sends a frame from the peer, and waits until its immediate effects are done.
func (p *fakePeer) send(t *testing.T, f *controlmsg.Frame) {
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

// frameText returns a frame's purpose and bytes, or the length and a hash of a long frame. Members' records are sorted
// first, as those that are published at a tick are in map order.
func frameText(raw []byte) string {
	var f controlmsg.Frame
	if err := cbor.Unmarshal(raw, &f); err != nil {
		return "no frame: " + err.Error()
	}
	if again, err := cbor.Marshal(&f); err != nil || !bytes.Equal(again, raw) {
		return "is encoded anew as other bytes: " + hex.EncodeToString(raw)
	}
	if f.Update != nil && f.Update.Members != nil {
		members := f.Update.Members
		slices.SortFunc(members, func(a, b directory.Member) int { return strings.Compare(a.ID, b.ID) })
		raw, _ = cbor.Marshal(&f)
	}
	if len(raw) <= 100 {
		return f.Purpose().String() + " " + hex.EncodeToString(raw)
	}
	d := fnv.New64a()
	d.Write(raw)
	return fmt.Sprintf("%s %d bytes %016x", f.Purpose(), len(raw), d.Sum64())
}

// call makes an HTTP call to a server in process, and records it with its response.
func call(record *transcript, srv *Server, method, path string, header map[string]string,
	body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	srv.routes().ServeHTTP(w, r)
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
			value = "(age)" // the call itself may make the loop renew the contact, before or after it is read
		}
		fmt.Fprintf(&out, "  %s: %s\n", k, value)
	}
	answer := w.Body.String()
	fmt.Fprintf(&out, "  %q", answer)
	record.add(httpSource, out.String())
	synctest.Wait()
	return w
}

// sendHeartbeat makes a member's heartbeat call, and returns the HTTP status.
func sendHeartbeat(srv *Server, id, svc, addr, role, state string, seq int) int {
	body := fmt.Sprintf(`{"svc":%q,"addr":%q,"zone":"z1","gen":"g","slots":4,"state":%q,"dbRole":%q,"seq":%d}`,
		svc, addr, state, role, seq)
	return call(nil, srv, http.MethodPost, "/members/"+id+"/heartbeat", nil, body).Code
}
