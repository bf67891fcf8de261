// Package edge runs an edge, a process that connects clients' websockets to the sites that own their sessions.
//
// The protocol is implemented by queue.Edge, the decider; this package adds connections and clocks. One goroutine owns
// the state of the edge and runs commands from a queue; each socket has one goroutine that reads and one that writes.
// The lines that wait to be written to a client are bounded: the socket of a client that doesn't read is closed.
package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/samber/oops"

	"weirwind/internal/session/queue"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// Subprotocol is the websocket subprotocol that clients may request; docs/sessions.md describes its lines.
const Subprotocol = "weirwind.session.1"

const (
	tickInterval      = 25 * time.Millisecond
	commandCapacity   = 4096
	reservedFiles     = 200 // open files that are kept for other uses than clients' sockets
	minSockets        = 64
	closePollInterval = 20 * time.Millisecond
)

// runner holds the state of an edge's process.
type runner struct {
	settings  *settings.Settings
	log       events.Log
	startedAt time.Time
	commands  *commandqueue.Queue

	maxSockets  int64
	openSockets atomic.Int64

	// Only the goroutine that runs commands uses these.
	decider    *queue.Edge
	sites      map[string]*siteLink // by name
	sockets    map[uint64]*socket   // by id
	lastSocket uint64               // the highest id assigned
}

// Run serves until ctx ends. Then it asks its clients to connect to another edge, at most for half of the grace period.
func Run(ctx context.Context, set *settings.Settings, log events.Log) error {
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	r := newRunner(workCtx, set, log)
	listener, err := net.Listen("tcp4", set.FrontAddr)
	if err != nil {
		return oops.In("listen").Wrap(err)
	}
	server := &http.Server{Handler: r.routes(), ReadHeaderTimeout: 2 * time.Second, IdleTimeout: 30 * time.Second,
		MaxHeaderBytes: 8 << 10, BaseContext: func(net.Listener) context.Context { return workCtx }}
	go func() { _ = server.Serve(listener) }() // until it is closed
	go r.pollMap(workCtx)
	go r.commands.Run(tickInterval, r.tick)
	log.Event(events.Started, "edge", set.Hostname, "front", set.FrontAddr)
	<-ctx.Done()
	r.shutDown()
	_ = server.Close()
	log.Event(events.Stopped)
	return nil
}

func newRunner(ctx context.Context, set *settings.Settings, log events.Log) *runner {
	return &runner{settings: set, log: log, startedAt: time.Now(),
		commands:   commandqueue.New(ctx, commandCapacity),
		maxSockets: int64(max(set.MaxOpenFiles-reservedFiles, minSockets)),
		decider:    queue.NewEdge(set.Hostname, set.Zone, set.Region),
		sites:      map[string]*siteLink{}, sockets: map[uint64]*socket{}}
}

func (r *runner) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /session", r.serveSession)
	mux.HandleFunc("GET /status", r.showStatus)
	mux.Handle("GET /events", r.log)
	return mux
}

// now returns the time of the decider's clock, in milliseconds.
func (r *runner) now() float64 { return float64(time.Since(r.startedAt)) / 1e6 }

func (r *runner) tick() {
	r.decider.Tick(r.now())
	r.flush()
}

// shutDown closes all sockets; their clients reconnect to another edge with their tokens.
func (r *runner) shutDown() {
	r.log.Event(events.Stopping, "sockets", r.openSockets.Load())
	r.commands.Do(func() {
		for _, s := range r.sockets {
			go s.close(websocket.StatusGoingAway, "this edge ends")
		}
	})
	deadline := time.Now().Add(r.settings.GracePeriod / 2)
	for r.openSockets.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(closePollInterval)
	}
}

// status describes the edge to operators. Its fields are in the order of their JSON names.
type status struct {
	Edge      string    `json:"edge"`
	OwnerGaps []float64 `json:"gapsMs"`
	Sockets   int       `json:"sockets"`
}

func (r *runner) showStatus(w http.ResponseWriter, req *http.Request) {
	// The request's context is cancelled as soon as the caller closes the sending half of its connection, but such a
	// caller still waits for its answer.
	ctx := context.WithoutCancel(req.Context())
	current, err := commandqueue.Call(ctx, r.commands, func() status {
		return status{r.settings.Hostname, slices.Clone(r.decider.OwnerGaps()), r.decider.Sockets()}
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(current) // an error means that the caller has disconnected
}
