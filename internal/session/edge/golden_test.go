package edge

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"weirwind/internal/session/queue"
	"weirwind/internal/session/sites"
	"weirwind/internal/standin/golden"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/settings"
)

// The lines that clients get, of the subprotocol and plain, and what operators are shown.
func TestGoldenLines(t *testing.T) {
	m, err := (*sites.Map)(nil).Apply(&sites.Change{Kind: sites.ChangeJoin, Name: "a", Site: sites.Site{Addr: "a",
		Incarnation: 1}})
	if err != nil {
		t.Fatal(err)
	}
	e := &runner{settings: &settings.Settings{Hostname: "e"}, startedAt: time.Now(), decider: queue.NewEdge("e", "", ""),
		commands: commandqueue.New(t.Context(), 16), sites: map[string]*siteLink{}, sockets: map[uint64]*socket{}}
	e.decider.ApplyMap(m, 0)
	var cases []golden.Case[string]
	for id := uint64(1); id <= 2; id++ {
		plain := id == 2
		s := &socket{id: id, plain: plain, wakeWriter: make(chan struct{}, 1), cancel: func() {}}
		e.sockets[id] = s
		name := fmt.Sprint("s", id)
		e.decider.OpenSocket(id, name, "secret", true, 0, 0)
		for _, w := range []queue.Envelope{{Kind: queue.KindAttached, Owner: "a", Epoch: 1, Connection: 1, Number: 4},
			{Kind: queue.KindDeliver, Epoch: 1, Messages: []queue.Message{{Number: 1, Body: []byte("one")}, {Number: 2,
				Body: []byte("t w")}}}} {
			w.Session, w.Socket = name, id
			e.decider.Receive("a", &w, 0)
		}
		e.decider.Publish(id, 5, []byte("mine"))
		e.decider.Receive("a", &queue.Envelope{Kind: queue.KindPublishAck, Session: name, Socket: id, Epoch: 1, Number: 5}, 0)
		e.flush()
		for i, l := range s.outgoing {
			cases = append(cases, golden.Of(fmt.Sprint("socket ", id, " line ", i), l.text+fmt.Sprint(" n ", l.number)))
		}
	}
	go e.commands.Run(time.Hour, func() {})
	w := httptest.NewRecorder()
	e.showStatus(w, httptest.NewRequestWithContext(t.Context(), "GET", "/status", nil))
	cases = append(cases, golden.Of("status", w.Body.String()))
	golden.Text(t, "testdata/lines.txt", cases)

	// A caller that has closed its sending half, whose request's context is cancelled, gets the same.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		again := httptest.NewRecorder()
		e.showStatus(again, httptest.NewRequestWithContext(ctx, "GET", "/status", nil))
		if again.Code != w.Code || again.Body.String() != w.Body.String() {
			t.Fatalf("%d %s", again.Code, again.Body)
		}
	}
}
