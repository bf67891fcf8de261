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
		golden.Of("word", Frame{Envelope: &queue.Envelope{Kind: queue.KindAck, Session: "s", Number: 4}})})
}

// The calls of producers, consumers and operators: statuses, headers and bodies.
func TestGoldenCalls(t *testing.T) {
	s := &runner{settings: &settings.Settings{Hostname: "a", ReadyAddr: "127.0.0.1:9"}, ctx: t.Context(),
		startedAt: time.Now(),
		commands:  commandqueue.New(t.Context(), 16), limits: queue.DefaultLimits, incarnation: 1, edges: map[string]*link{},
		state: sites.StateActive}
	s.limits.MessageBytes = 20
	s.decider = queue.NewSite("a", s.limits)
	other := queue.NewSite("b", s.limits)
	var m *sites.Map
	for _, name := range []string{"a", "b"} {
		next, err := m.Apply(&sites.Change{Kind: sites.ChangeJoin, Name: name, Site: sites.Site{Addr: name,
			HTTPAddr: "http-" + name, Incarnation: 1}})
		if err != nil {
			t.Fatal(err)
		}
		m = next
	}
	e := queue.NewEdge("e", "", "")
	e.ApplyMap(m, 0)
	for _, x := range []*queue.Site{s.decider, other} {
		x.ApplyMap(m, 1, 0)
		x.ExtendLease(1e12)
	}
	e.OpenSocket(1, "here", "secret", true, 0, 0)
	carry := func() {
		for range 20 {
			for _, send := range e.TakeOutgoing() {
				s.decider.Receive("e", &send.Envelope, 0)
			}
			for _, send := range s.decider.TakeOutgoing() {
				if send.To == "e" {
					e.Receive("a", &send.Envelope, 0)
				} else {
					other.Receive("a", &send.Envelope, 0)
				}
			}
			for _, send := range other.TakeOutgoing() {
				s.decider.Receive("b", &send.Envelope, 0)
			}
		}
	}
	carry()
	e.Publish(1, 1, []byte("from the client"))
	carry()
	s.decider.Receive("b", &queue.Envelope{Kind: queue.KindSnapshot, Session: "there", Epoch: 1, SiteEpoch: 1,
		State: &queue.SessionState{Epoch: 1, Owner: "b", OwnerEpoch: 1, Replicas: []string{"a"}}}, 0)
	go s.commands.Run(time.Hour, func() {})
	var cases []golden.Case[string]
	for _, call := range []string{
		"GET /sessions/here", "GET /sessions/there", "GET /sessions/none", "GET /sessions/here/inbox?after=0",
		"GET /sessions/here/inbox?after=1", "GET /sessions/there/inbox?after=0", "POST /sessions/none/messages",
		"POST /sessions/there/messages", "POST /sessions/here/messages " + strings.Repeat("x", 30),
		"POST /sessions/here/messages long key", "POST /sessions/here/took",
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
