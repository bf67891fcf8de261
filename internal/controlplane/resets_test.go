package controlplane

import (
	"context"
	"encoding/binary"
	"net"
	"sync"
	"testing"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/standin/links"
	"weirwind/internal/util/transport"
)

// forwardingPair is a machine that forwards calls and one that carries them out, over a link that is reset after
// random numbers of bytes.
type forwardingPair struct {
	pending    *pendingCalls
	mu         sync.Mutex
	link       *link
	linkUp     chan struct{} // closed and replaced when a link is up
	executions map[uint64]int
}

func (p *forwardingPair) serve(l *link, f *controlmsg.Frame) {
	if f.Request == nil {
		return
	}
	p.mu.Lock()
	p.executions[binary.BigEndian.Uint64(f.Request.Body)]++
	p.mu.Unlock()
	l.Send(&controlmsg.Frame{Response: &controlmsg.Response{Number: f.Request.Number, Status: 200, Body: f.Request.Body}})
}

func (p *forwardingPair) setLink(l *link) (previous *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if previous, p.link = p.link, l; l != nil {
		close(p.linkUp)
		p.linkUp = make(chan struct{})
	}
	return previous
}

// call forwards one call as Server.route does, and waits until it has ended. sent is false if no link was up.
func (p *forwardingPair) call(t *testing.T, body []byte) (r *controlmsg.Response, sent bool) {
	p.mu.Lock()
	l, up := p.link, p.linkUp
	p.mu.Unlock()
	if l == nil || !l.Up() { // as linkTo does: calls are sent only on links that are up
		<-up
		return nil, false
	}
	response := make(chan *controlmsg.Response, 1)
	p.pending.send(l, "leader", controlmsg.Request{Body: body}, response)
	select {
	case r := <-response:
		return r, true
	case <-time.After(20 * time.Second):
		t.Error("a call did not end")
		return nil, false
	}
}

// Calls between core machines run over links that are reset after random numbers of bytes, also in the middle of
// frames. Each call ends with its own answer or an unknown outcome, and is executed at most once. The test fails if
// the end of a link leaves its calls waiting (failLink).
func TestCallsOverLinksThatAreReset(t *testing.T) {
	p := &forwardingPair{pending: newPendingCalls(time.Now()), linkUp: make(chan struct{}), executions: map[uint64]int{}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go transport.Serve(listener, 0, func(*link) {}, p.serve, func(*link) {})
	relay, err := links.NewResettingRelay("127.0.0.1:0", listener.Addr().String(), 3)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	relay.SetByteLimit(2000)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	backoff := transport.Backoff{Initial: time.Millisecond, Max: time.Millisecond, DialTimeout: transport.DialTimeout}
	go transport.KeepConnected(ctx, relay.Addr(), backoff, func(l *link) { p.setLink(l) },
		func(l *link, f *controlmsg.Frame) { p.pending.answer(l, f.Response) },
		func() { p.pending.failLink(p.setLink(nil)) })

	const callers, callsPerCaller = 8, 150
	var workers sync.WaitGroup
	var mu sync.Mutex
	answered := map[uint64]bool{}
	for c := range callers {
		workers.Go(func() {
			for n := 0; n < callsPerCaller; {
				id := uint64(c*callsPerCaller + n)
				body := binary.BigEndian.AppendUint64(nil, id)
				r, sent := p.call(t, body)
				if !sent {
					continue
				}
				n++
				if r.Status == 200 && string(r.Body) != string(body) {
					t.Errorf("call %d was answered %x", id, r.Body)
				}
				mu.Lock()
				answered[id] = r.Status == 200
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	succeeded := 0
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, ok := range answered {
		if ok {
			succeeded++
		}
		if p.executions[id] > 1 || ok && p.executions[id] != 1 {
			t.Errorf("call %d was executed %d times, answered: %v", id, p.executions[id], ok)
		}
	}
	t.Logf("%d calls, %d answered, %d connections were reset", len(answered), succeeded, relay.Resets())
	if succeeded < callers*callsPerCaller/4 || succeeded == callers*callsPerCaller || relay.Resets() < 10 {
		t.Error("too few resets, or too few answers")
	}
}
