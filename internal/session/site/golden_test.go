package site

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"weirwind/internal/session/queue"
	"weirwind/internal/session/sites"
	"weirwind/internal/standin/golden"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/settings"
)

func TestGoldenFrames(t *testing.T) {
	golden.CBOR(t, "testdata/frames.cbor", []golden.Case[Frame]{
		golden.Of("hello of a site", Frame{Hello: "a"}), golden.Of("hello of an edge", Frame{Hello: "e", Edge: true}),
		golden.Of("ping", Frame{Ping: true}),
		golden.Of("word", Frame{Word: &queue.Envelope{Kind: queue.Ack, Session: "s", N: 4}})})
}

// The calls of producers, consumers and operators: statuses, headers and bodies.
func TestGoldenCalls(t *testing.T) {
	s := &Site{set: &settings.Settings{Hostname: "a", ReadyAddr: "127.0.0.1:9"}, ctx: t.Context(), start: time.Now(),
		q: commandqueue.New(t.Context(), 16), lim: queue.DefaultLimits, life: 1, edges: map[string]*link{}, state: sites.In}
	s.lim.Message = 20
	s.s = queue.New("a", s.lim)
	other := queue.New("b", s.lim)
	var m *sites.Map
	for _, name := range []string{"a", "b"} {
		next, err := m.Apply(&sites.Change{Kind: sites.Join, Name: name, Site: sites.Site{Addr: name, HTTP: "http-" + name, Life: 1}})
		if err != nil {
			t.Fatal(err)
		}
		m = next
	}
	e := queue.NewEdge("e", "", "")
	e.ApplyMap(m, 0)
	for _, x := range []*queue.Site{s.s, other} {
		x.ApplyMap(m, 1, 0)
		x.Lease(1e12)
	}
	e.Open(1, "here", "secret", true, 0, 0)
	carry := func() {
		for range 20 {
			for _, send := range e.Sends() {
				s.s.Receive("e", &send.Envelope, 0)
			}
			for _, send := range s.s.Sends() {
				if send.To == "e" {
					e.Receive("a", &send.Envelope, 0)
				} else {
					other.Receive("a", &send.Envelope, 0)
				}
			}
			for _, send := range other.Sends() {
				s.s.Receive("b", &send.Envelope, 0)
			}
		}
	}
	carry()
	e.Publish(1, 1, []byte("from the client"))
	carry()
	s.s.Receive("b", &queue.Envelope{Kind: queue.Snapshot, Session: "there", Epoch: 1, Site: 1,
		State: &queue.State{Epoch: 1, Home: "b", HomeEpoch: 1, Copies: []string{"a"}}}, 0)
	go s.q.Run(time.Hour, func() {})
	var cases []golden.Case[string]
	for _, call := range []string{
		"GET /sessions/here", "GET /sessions/there", "GET /sessions/none", "GET /sessions/here/inbox?after=0",
		"GET /sessions/here/inbox?after=1", "GET /sessions/there/inbox?after=0", "POST /sessions/none/messages",
		"POST /sessions/there/messages", "POST /sessions/here/messages " + strings.Repeat("x", 30), "POST /sessions/here/messages long key", "POST /sessions/here/took",
		"POST /sessions/none/took?n=1", "POST /sessions/here/took?n=1", "GET /status", "POST /status",
	} {
		method, rest, _ := strings.Cut(call, " ")
		path, body, _ := strings.Cut(rest, " ")
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
		if body == "long key" {
			r.Header.Set("Weirwind-Key", strings.Repeat("k", 200))
		}
		s.routes().ServeHTTP(w, r)
		head := http.Header{}
		for _, key := range []string{"Content-Type", "Location", "Retry-After"} {
			if v := w.Header().Get(key); v != "" {
				head.Set(key, v)
			}
		}
		cases = append(cases, golden.Of(call, fmt.Sprint(w.Code, head, w.Body.String())))
	}
	golden.Text(t, "testdata/calls.txt", cases)
}
