// Package edge is an edge at work: clients' websockets on one side, links to sites on the other.
//
// Decisions are queue's; here are sockets and clocks. One goroutine owns the edge, with a queue of commands; each
// socket has one that reads and one that writes. A client that doesn't read loses its socket, never anybody's memory.
package edge

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/samber/oops"

	"weirwind/internal/session/queue"
	"weirwind/internal/session/site"
	"weirwind/internal/session/sites"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
	"weirwind/internal/util/transport"
)

type link = transport.Link[site.Frame]

// Subprotocol is spoken where the client asks for it; docs/sessions.md has its lines.
const Subprotocol = "weirwind.session.1"

const (
	tickEvery = 25 * time.Millisecond
	mapEvery  = 500 * time.Millisecond
	mapMost   = 900 * time.Millisecond
	mostLine  = 80 << 10
	writeMost = 5 * time.Second
	mostOut   = 512 // lines that wait to be written to one socket
	readPause = 10 * time.Millisecond
)

// Edge is one process.
type Edge struct {
	set   *settings.Settings
	log   events.Log
	ctx   context.Context
	start time.Time
	q     *commandqueue.Queue
	e     *queue.Edge
	links map[string]*peer
	socks map[uint64]*socket
	next  uint64
	open  atomic.Int64
	most  int64
}

type peer struct {
	addr string
	l    *link
	stop context.CancelFunc
}

type socket struct {
	id    uint64
	c     *websocket.Conn
	plain bool
	end   context.CancelFunc
	wake  chan struct{}
	mu    sync.Mutex
	out   []line // that wait to be written: most sockets rest, and hold none
}

type line struct {
	text string
	n    uint64 // a plain client's message: once written, it has it
}

// Run serves until ctx ends.
func Run(ctx context.Context, set *settings.Settings, log events.Log) error {
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	t := &Edge{set: set, log: log, ctx: inner, start: time.Now(), q: commandqueue.New(inner, 4096),
		links: map[string]*peer{}, socks: map[uint64]*socket{}, most: int64(max(set.MaxOpenFiles-200, 64))}
	t.e = queue.NewEdge(set.Hostname, set.Zone, set.Region)
	ln, err := net.Listen("tcp4", set.FrontAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /session", t.session)
	mux.HandleFunc("GET /status", t.status)
	mux.Handle("GET /events", log)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 8 << 10}
	go server.Serve(ln)
	go t.maps()
	go t.q.Run(tickEvery, func() {
		t.e.Tick(t.now())
		t.flush()
	})
	log.Event(events.Started, "edge", set.Hostname, "front", set.FrontAddr)
	<-ctx.Done()
	log.Event(events.Stopping, "sockets", t.open.Load())
	t.q.Do(func() { // its clients come again elsewhere, by their tokens
		for _, s := range t.socks {
			go s.c.Close(websocket.StatusGoingAway, "this edge ends")
		}
	})
	for until := time.Now().Add(set.GracePeriod / 2); t.open.Load() > 0 && time.Now().Before(until); {
		time.Sleep(20 * time.Millisecond)
	}
	server.Close()
	log.Event(events.Stopped)
	return nil
}

func (t *Edge) now() float64 { return float64(time.Since(t.start)) / 1e6 }

// maps asks the core for the map of sites; sites tell their changes sooner.
func (t *Edge) maps() {
	client := http.Client{Timeout: mapMost}
	for n := 0; t.ctx.Err() == nil; n++ {
		ctl := t.set.Peers[n%len(t.set.Peers)]
		if resp, err := client.Get("http://" + ctl + "/sites"); err == nil {
			var m sites.Map
			if json.NewDecoder(io.LimitReader(resp.Body, 4<<20)).Decode(&m) == nil && resp.StatusCode == 200 && m.Version > 0 {
				t.q.Do(func() { t.learn(&m) })
			}
			resp.Body.Close()
		}
		select {
		case <-time.After(mapEvery):
		case <-t.ctx.Done():
		}
	}
}

func (t *Edge) learn(m *sites.Map) {
	for name, p := range t.links {
		if s, ok := m.Sites[name]; !ok || s.Addr != p.addr {
			p.stop()
			delete(t.links, name)
		}
	}
	for name, s := range m.Sites {
		if s.State == sites.StateRemoved || t.links[name] != nil {
			continue
		}
		ctx, stop := context.WithCancel(t.ctx)
		p := &peer{addr: s.Addr, stop: stop}
		t.links[name] = p
		go site.KeepLink(ctx, s.Addr, site.Frame{Hello: t.set.Hostname, Edge: true}, func(l *link) {
			t.q.Do(func() {
				if p.l = l; l == nil {
					t.e.HandleSiteLost(name, t.now())
				}
				t.flush()
			})
		}, func(_ *link, f *site.Frame) {
			if f.Envelope == nil {
				return
			}
			t.q.Do(func() {
				if f.Envelope.Map != nil {
					t.learn(f.Envelope.Map)
				} else {
					t.e.Receive(name, f.Envelope, t.now())
				}
				t.flush()
			})
		})
	}
	t.e.ApplyMap(m, t.now())
	t.flush()
}

func (t *Edge) flush() {
	for _, c := range t.e.TakeClientEvents() {
		s := t.socks[c.Socket]
		if s == nil {
			continue
		}
		switch c.Kind {
		case queue.EventOpened:
			if !s.plain {
				s.say(line{text: "s " + c.Session + "." + c.Secret + " " + strconv.FormatUint(c.Number, 10)})
			}
		case queue.EventMessage:
			if s.plain {
				s.say(line{string(c.Body), c.Number})
			} else {
				s.say(line{text: "m " + strconv.FormatUint(c.Number, 10) + " " + string(c.Body)})
			}
		case queue.EventPublishAcked:
			if !s.plain {
				s.say(line{text: "a " + strconv.FormatUint(c.Number, 10)})
			}
		case queue.EventClosed:
			delete(t.socks, c.Socket)
			t.log.Event(events.SocketEnd, "sock", c.Socket, "why", c.Reason)
			status := websocket.StatusPolicyViolation
			if c.Resumable {
				status = websocket.StatusTryAgainLater
			}
			go s.c.Close(status, c.Reason)
		}
	}
	for _, w := range t.e.TakeOutgoing() {
		if p := t.links[w.To]; p != nil && p.l != nil {
			p.l.Send(&site.Frame{Envelope: &w.Envelope})
		}
	}
}

// say queues a line; a client that reads nothing is let go.
func (s *socket) say(l line) {
	s.mu.Lock()
	full := len(s.out) >= mostOut
	if !full {
		s.out = append(s.out, l)
	}
	s.mu.Unlock()
	if full {
		s.end()
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// session takes a client. token names a session to be resumed, got what its client has of it.
func (t *Edge) session(w http.ResponseWriter, r *http.Request) {
	if t.open.Add(1) > t.most {
		t.open.Add(-1)
		http.Error(w, "this edge is full", http.StatusServiceUnavailable)
		return
	}
	defer t.open.Add(-1)
	token, got := r.URL.Query().Get("token"), uint64(0)
	id, secret, found := strings.Cut(token, ".")
	if token != "" && (!found || len(id) != 32 || len(secret) != 32) {
		http.Error(w, "that is no token", http.StatusBadRequest)
		return
	}
	if g := r.URL.Query().Get("got"); g != "" {
		n, err := strconv.ParseUint(g, 10, 63)
		if err != nil {
			http.Error(w, "got is the number of the last message", http.StatusBadRequest)
			return
		}
		got = n
	}
	plain := !slices.Contains(strings.FieldsFunc(r.Header.Get("Sec-WebSocket-Protocol"), func(c rune) bool {
		return c == ',' || c == ' '
	}), Subprotocol)
	c, err := websocket.Accept(w, r, &websocket.AcceptOptions{Subprotocols: []string{Subprotocol},
		InsecureSkipVerify: true, CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	c.SetReadLimit(mostLine)
	ctx, end := context.WithCancel(t.ctx)
	defer end()
	defer c.CloseNow()
	s := &socket{c: c, plain: plain, wake: make(chan struct{}, 1), end: end}
	fresh := token == ""
	if fresh {
		var b [32]byte
		_, _ = rand.Read(b[:])
		id, secret = hex.EncodeToString(b[:16]), hex.EncodeToString(b[16:])
	}
	t.q.Do(func() {
		t.next++
		s.id = t.next
		t.socks[s.id] = s
		t.e.OpenSocket(s.id, id, secret, fresh, got, t.now())
		t.flush()
	})
	go s.write(ctx, t)
	s.read(ctx, t)
	t.q.Do(func() {
		if t.socks[s.id] == s {
			delete(t.socks, s.id)
		}
		t.e.CloseSocket(s.id)
		t.flush()
	})
}

func (s *socket) write(ctx context.Context, t *Edge) {
	defer s.end()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		s.mu.Lock()
		out := s.out
		s.out = nil
		s.mu.Unlock()
		has := uint64(0)
		for _, l := range out {
			until, stop := context.WithTimeout(ctx, writeMost)
			err := s.c.Write(until, websocket.MessageText, []byte(l.text))
			stop()
			if err != nil {
				return
			}
			has = max(has, l.n)
		}
		if has > 0 {
			t.q.Do(func() {
				t.e.Ack(s.id, has)
				t.flush()
			})
		}
	}
}

// read takes a client's messages, no more than there is room for.
func (s *socket) read(ctx context.Context, t *Edge) {
	for {
		_, b, err := s.c.Read(ctx)
		if err != nil {
			return
		}
		if s.plain {
			if !s.give(ctx, t, 0, b) {
				return
			}
			continue
		}
		word, rest, _ := strings.Cut(string(b), " ")
		num, body, _ := strings.Cut(rest, " ")
		n, err := strconv.ParseUint(num, 10, 63)
		switch {
		case err != nil || n == 0 || word != "m" && word != "a":
			s.c.Close(websocket.StatusUnsupportedData, "m NUMBER body, or a NUMBER")
			return
		case word == "a":
			t.q.Do(func() { t.e.Ack(s.id, n); t.flush() })
		case !s.give(ctx, t, n, []byte(body)):
			return
		}
	}
}

// give hands a client's message to the edge once it has room for it; until then nothing more is read. False: the socket
// has ended.
func (s *socket) give(ctx context.Context, t *Edge, n uint64, body []byte) bool {
	for {
		ch := make(chan bool, 1)
		t.q.Do(func() {
			room := t.socks[s.id] != s || t.e.CanPublish(s.id)
			if room {
				t.e.Publish(s.id, n, body)
				t.flush()
			}
			ch <- room
		})
		select {
		case room := <-ch:
			if room {
				return true
			}
		case <-ctx.Done():
			return false
		}
		time.Sleep(readPause)
	}
}

func (t *Edge) status(w http.ResponseWriter, _ *http.Request) {
	ch := make(chan map[string]any, 1)
	t.q.Do(func() {
		ch <- map[string]any{"edge": t.set.Hostname, "sockets": t.e.Sockets(), "gapsMs": slices.Clone(t.e.OwnerGaps())}
	})
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(<-ch)
}
