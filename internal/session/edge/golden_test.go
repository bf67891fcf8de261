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

// Golden file of the lines that clients get, with and without the subprotocol, and of the status for operators.
func TestGoldenLines(t *testing.T) {
	m, err := (*sites.Map)(nil).Apply(&sites.Change{Kind: sites.ChangeJoin, Name: "a", Site: sites.Site{Addr: "a",
		Incarnation: 1}})
	if err != nil {
		t.Fatal(err)
	}
	edgeRunner := &runner{settings: &settings.Settings{Hostname: "e"}, startedAt: time.Now(),
		decider:  queue.NewEdge("e", "", ""),
		commands: commandqueue.New(t.Context(), 16), sites: map[string]*siteLink{}, sockets: map[uint64]*socket{}}
	edgeRunner.decider.ApplyMap(m, 0)
	var cases []golden.Case[string]
	for id := uint64(1); id <= 2; id++ {
		plain := id == 2
		sock := &socket{id: id, plain: plain, wakeWriter: make(chan struct{}, 1), cancel: func() {}}
		edgeRunner.sockets[id] = sock
		name := fmt.Sprint("s", id)
		edgeRunner.decider.OpenSocket(id, name, "secret", true, 0, 0)
		for _, envelope := range []queue.Envelope{{Kind: queue.KindAttached, Owner: "a", Epoch: 1, Connection: 1, Number: 4},
			{Kind: queue.KindDeliver, Epoch: 1, Messages: []queue.Message{{Number: 1, Body: []byte("one")}, {Number: 2,
				Body: []byte("t w")}}}} {
			envelope.Session, envelope.Socket = name, id
			edgeRunner.decider.Receive("a", &envelope, 0)
		}
		edgeRunner.decider.Publish(id, 5, []byte("mine"))
		edgeRunner.decider.Receive("a", &queue.Envelope{Kind: queue.KindPublishAck, Session: name, Socket: id, Epoch: 1,
			Number: 5}, 0)
		edgeRunner.flush()
		for i, line := range sock.outgoing {
			cases = append(cases, golden.Of(fmt.Sprint("socket ", id, " line ", i), line.text+fmt.Sprint(" n ", line.number)))
		}
	}
	go edgeRunner.commands.Run(time.Hour, func() {})
	recorder := httptest.NewRecorder()
	edgeRunner.showStatus(recorder, httptest.NewRequestWithContext(t.Context(), "GET", "/status", nil))
	cases = append(cases, golden.Of("status", recorder.Body.String()))
	golden.Text(t, "testdata/lines.txt", cases)

	// A caller that has closed its sending half, so that its request's context is cancelled, gets the same answer.
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		again := httptest.NewRecorder()
		edgeRunner.showStatus(again, httptest.NewRequestWithContext(ctx, "GET", "/status", nil))
		if again.Code != recorder.Code || again.Body.String() != recorder.Body.String() {
			t.Fatalf("with a cancelled context: %d %s", again.Code, again.Body)
		}
	}
}
