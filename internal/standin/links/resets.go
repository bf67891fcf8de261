package links

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

// ResettingRelay is a TCP relay to one address. It resets each of its connections, in both directions at once, when one
// direction has carried a random number of bytes: within a message, between two, or before the first.
type ResettingRelay struct {
	listener net.Listener
	target   string

	mu        sync.Mutex // guards the fields below
	random    *rand.Rand
	byteLimit int // exclusive upper bound of the bytes that a direction carries; 0: no limit
	resets    int // number of connections that were reset at their limit
	open      map[net.Conn]bool
}

// NewResettingRelay returns a relay that listens at an address and forwards to target. It resets nothing until
// SetByteLimit is called.
func NewResettingRelay(listen, target string, seed uint64) (*ResettingRelay, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	r := &ResettingRelay{
		listener: listener,
		target:   target,
		random:   rand.New(rand.NewPCG(seed, 5)),
		open:     map[net.Conn]bool{},
	}
	go r.serve()
	return r, nil
}

// Addr returns the address at which the relay listens.
func (r *ResettingRelay) Addr() string { return r.listener.Addr().String() }

// SetByteLimit sets the upper bound of the random number of bytes that each direction of a new connection carries; 0
// means no limit. It resets the open connections.
func (r *ResettingRelay) SetByteLimit(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byteLimit = bytes
	for c := range r.open {
		reset(c)
	}
}

// Resets returns the number of connections that were reset at their limit.
func (r *ResettingRelay) Resets() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resets
}

// Close ends the relay and its connections.
func (r *ResettingRelay) Close() {
	r.listener.Close()
	r.SetByteLimit(0)
}

func (r *ResettingRelay) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

func (r *ResettingRelay) forward(near net.Conn) {
	far, err := net.Dial("tcp4", r.target)
	if err != nil {
		reset(near)
		return
	}
	r.mu.Lock()
	r.open[near], r.open[far] = true, true
	requests, responses := r.drawBudget(), r.drawBudget()
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { r.copyBytes(far, near, requests) })
	directions.Go(func() { r.copyBytes(near, far, responses) })
	directions.Wait()
	r.mu.Lock()
	delete(r.open, near)
	delete(r.open, far)
	r.mu.Unlock()
}

// drawBudget returns a random number of bytes that pass before a reset, -1 for no reset. The caller holds the lock.
func (r *ResettingRelay) drawBudget() int64 {
	if r.byteLimit == 0 {
		return -1
	}
	return int64(r.random.IntN(r.byteLimit))
}

func (r *ResettingRelay) copyBytes(to, from net.Conn, budget int64) {
	defer reset(to)
	defer reset(from)
	if budget < 0 {
		_, _ = io.Copy(to, from) // both ends are closed afterwards
		return
	}
	if n, _ := io.CopyN(to, from, budget); n == budget {
		r.mu.Lock()
		r.resets++
		r.mu.Unlock()
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
