package links

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

// Resets is a relay to one address, for whoever dials it. Each of its connections is reset, both ways at once, when
// one of its directions has carried a drawn number of bytes: within a message, between two, or before the first.
type ResettingRelay struct {
	ln     net.Listener
	target string

	mu   sync.Mutex // guards what follows
	draw *rand.Rand
	most int // bytes that a direction carries at most; 0: all
	done int // connections that were reset
	open map[net.Conn]bool
}

// NewResets listens at an address for what goes to target, and resets nothing until Most says so.
func NewResettingRelay(listen, target string, seed uint64) (*ResettingRelay, error) {
	ln, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	r := &ResettingRelay{ln: ln, target: target, draw: rand.New(rand.NewPCG(seed, 5)), open: map[net.Conn]bool{}}
	go r.serve()
	return r, nil
}

// Addr is where it is reached.
func (r *ResettingRelay) Addr() string { return r.ln.Addr().String() }

// Most sets how many bytes a direction of connections to come carries at most; 0: they are not reset. Open ones are
// reset now.
func (r *ResettingRelay) SetByteLimit(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.most = bytes
	for c := range r.open {
		reset(c)
	}
}

// Done is how many connections were reset for their bytes.
func (r *ResettingRelay) Resets() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.done
}

// Close ends the relay and its connections.
func (r *ResettingRelay) Close() {
	r.ln.Close()
	r.SetByteLimit(0)
}

func (r *ResettingRelay) serve() {
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.carry(c)
	}
}

func (r *ResettingRelay) carry(near net.Conn) {
	far, err := net.Dial("tcp4", r.target)
	if err != nil {
		reset(near)
		return
	}
	r.mu.Lock()
	r.open[near], r.open[far] = true, true
	out, back := r.budget(), r.budget()
	r.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { r.copy(far, near, out) })
	both.Go(func() { r.copy(near, far, back) })
	both.Wait()
	r.mu.Lock()
	delete(r.open, near)
	delete(r.open, far)
	r.mu.Unlock()
}

// budget draws how many bytes pass before a reset, below 0 for all. The lock is held.
func (r *ResettingRelay) budget() int64 {
	if r.most == 0 {
		return -1
	}
	return int64(r.draw.IntN(r.most))
}

func (r *ResettingRelay) copy(to, from net.Conn, budget int64) {
	defer reset(to)
	defer reset(from)
	if budget < 0 {
		_, _ = io.Copy(to, from) // both ends are closed behind it
		return
	}
	if n, _ := io.CopyN(to, from, budget); n == budget {
		r.mu.Lock()
		r.done++
		r.mu.Unlock()
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}
