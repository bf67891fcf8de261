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

// Golden file of the calls of producers, consumers and operators: statuses, headers and bodies.
func TestGoldenCalls(t *testing.T) {
	siteRunner := &runner{settings: &settings.Settings{Hostname: "a", ReadyAddr: "127.0.0.1:9"}, ctx: t.Context(),
		startedAt: time.Now(),
		commands:  commandqueue.New(t.Context(), 16), limits: queue.DefaultLimits, incarnation: 1, edges: map[string]*link{},
		loggedState: sites.StateActive}
	siteRunner.limits.MessageBytes = 20
	siteRunner.decider = queue.NewSite("a", siteRunner.limits)
	other := queue.NewSite("b", siteRunner.limits)
	var m *sites.Map
	for _, name := range []string{"a", "b"} {
		next, err := m.Apply(&sites.Change{Kind: sites.ChangeJoin, Name: name, Site: sites.Site{Addr: name,
			HTTPAddr: "http-" + name, Incarnation: 1}})
		if err != nil {
			t.Fatal(err)
		}
		m = next
	}
	edge := queue.NewEdge("e", "", "")
	edge.ApplyMap(m, 0)
	for _, site := range []*queue.Site{siteRunner.decider, other} {
		site.ApplyMap(m, 1, 0)
		site.ExtendLease(1e12)
	}
	edge.OpenSocket(1, "here", "secret", true, 0, 0)
	deliverAll := func() {
		for range 20 {
			for _, outgoing := range edge.TakeOutgoing() {
				siteRunner.decider.Receive("e", &outgoing.Envelope, 0)
			}
			for _, outgoing := range siteRunner.decider.TakeOutgoing() {
				if outgoing.To == "e" {
					edge.Receive("a", &outgoing.Envelope, 0)
				} else {
					other.Receive("a", &outgoing.Envelope, 0)
				}
			}
			for _, outgoing := range other.TakeOutgoing() {
				siteRunner.decider.Receive("b", &outgoing.Envelope, 0)
			}
		}
	}
	deliverAll()
	edge.Publish(1, 1, []byte("from the client"))
	deliverAll()
	siteRunner.decider.Receive("b", &queue.Envelope{Kind: queue.KindSnapshot, Session: "there", Epoch: 1, SiteEpoch: 1,
		State: &queue.SessionState{Epoch: 1, Owner: "b", OwnerEpoch: 1, Replicas: []string{"a"}}}, 0)
	go siteRunner.commands.Run(time.Hour, func() {})
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
		recorder := httptest.NewRecorder()
		request := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
		if body == "long key" {
			request.Header.Set("Weirwind-Key", strings.Repeat("k", 200))
		}
		siteRunner.routes().ServeHTTP(recorder, request)
		headers := http.Header{}
		for _, key := range []string{"Content-Type", "Location", "Retry-After"} {
			if v := recorder.Header().Get(key); v != "" {
				headers.Set(key, v)
			}
		}
		cases = append(cases, golden.Of(call, fmt.Sprint(recorder.Code, headers, recorder.Body.String())))
	}
	golden.Text(t, "testdata/calls.txt", cases)
}
