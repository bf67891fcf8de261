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

// peers is a machine that passes calls on, and one that carries them out, over a link that is reset at drawn bytes.
type peers struct {
	pending *pendingCalls
	mu      sync.Mutex
	link    *link
	up      chan struct{} // closed and made anew as a link comes
	runs    map[uint64]int
}

func (p *peers) serve(l *link, f *controlmsg.Frame) {
	if f.Request == nil {
		return
	}
	p.mu.Lock()
	p.runs[binary.BigEndian.Uint64(f.Request.Body)]++
	p.mu.Unlock()
	l.Send(&controlmsg.Frame{Response: &controlmsg.Response{Number: f.Request.Number, Status: 200, Body: f.Request.Body}})
}

func (p *peers) set(l *link) (old *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, p.link = p.link, l; l != nil {
		close(p.up)
		p.up = make(chan struct{})
	}
	return old
}

// call puts one call as Server.route does, and waits until it has ended. sent is false where no link
// stood.
func (p *peers) call(t *testing.T, body []byte) (r *controlmsg.Response, sent bool) {
	p.mu.Lock()
	l, up := p.link, p.up
	p.mu.Unlock()
	if l == nil || !l.Up() { // as linkTo does: a call is put on a link that is up
		<-up
		return nil, false
	}
	ch := make(chan *controlmsg.Response, 1)
	p.pending.send(l, "leader", controlmsg.Request{Body: body}, ch)
	select {
	case r := <-ch:
		return r, true
	case <-time.After(20 * time.Second):
		t.Error("a call did not end")
		return nil, false
	}
}

// Calls between machines of the core over links that are reset at drawn bytes, half written frames among them: each
// ends with its own answer or with none that is clear, and runs once at most. It fails where a link that
// ends leaves its calls waiting (failLink).
func TestCallsOverLinksThatAreReset(t *testing.T) {
	p := &peers{pending: newPendingCalls(time.Now()), up: make(chan struct{}), runs: map[uint64]int{}}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go transport.Serve(ln, 0, func(*link) {}, p.serve, func(*link) {})
	relay, err := links.NewResettingRelay("127.0.0.1:0", ln.Addr().String(), 3)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	relay.SetByteLimit(2000)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	again := transport.Backoff{Initial: time.Millisecond, Max: time.Millisecond, DialTimeout: transport.DialTimeout}
	go transport.KeepConnected(ctx, relay.Addr(), again, func(l *link) { p.set(l) },
		func(l *link, f *controlmsg.Frame) { p.pending.answer(l, f.Response) },
		func() { p.pending.failLink(p.set(nil)) })

	const callers, each = 8, 150
	var all sync.WaitGroup
	var mu sync.Mutex
	answered := map[uint64]bool{}
	for c := range callers {
		all.Go(func() {
			for n := 0; n < each; {
				id := uint64(c*each + n)
				body := binary.BigEndian.AppendUint64(nil, id)
				r, sent := p.call(t, body)
				if !sent {
					continue
				}
				n++
				if r.Status == 200 && string(r.Body) != string(body) {
					t.Errorf("call %d was told %x", id, r.Body)
				}
				mu.Lock()
				answered[id] = r.Status == 200
				mu.Unlock()
			}
		})
	}
	all.Wait()
	clear := 0
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, ok := range answered {
		if ok {
			clear++
		}
		if p.runs[id] > 1 || ok && p.runs[id] != 1 {
			t.Errorf("call %d ran %d times, answered: %v", id, p.runs[id], ok)
		}
	}
	t.Logf("%d calls, %d answered, %d connections were reset", len(answered), clear, relay.Resets())
	if clear < callers*each/4 || clear == callers*each || relay.Resets() < 10 {
		t.Error("too few resets, or too few answers")
	}
}
