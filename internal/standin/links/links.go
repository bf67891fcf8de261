// Package links stands in for the network between processes on loopback: each has an address of its own in 127.0.0.0/8,
// is reached at another one, and what passes between the two goes as each direction of each pair is told to.
//
// This file owns the relays. It must never let anything pass that a cut is to stop, or change what it passes.
package links

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Way is one direction of one pair. The zero Way passes everything at once.
type Link struct {
	Blocked   bool
	Loss      float64       // share of datagrams
	Duplicate float64       // share of datagrams that come twice
	Delay     time.Duration // of each datagram, and of bytes
	Jitter    time.Duration // up to so much more, drawn for each datagram: later ones may come first
	Rate      int           // bytes a second that pass; 0: all
}

// Net is the network of some processes.
type Network struct {
	n      int
	prefix [3]byte
	port   uint16
	relays []*relay
	life   context.Context
	end    context.CancelFunc
	all    sync.WaitGroup

	mu   sync.Mutex // guards what follows
	ways map[[2]int]Link
	free map[[2]int]time.Time // when a throttled way has passed what it was given
	draw *rand.Rand
	seen [][]byte // datagrams of late, to be sent again
}

type relay struct {
	net  *Network
	to   int
	udp  *net.UDPConn
	tcp  *net.TCPListener
	mu   sync.Mutex
	open map[*pair]bool
}

// pair is a TCP connection through a relay.
type pair struct {
	from      int
	near, far net.Conn
	changed   chan struct{} // closed when a way has changed
	closing   sync.Once
}

const (
	mostSeen  = 256
	firstHost = 100 // of the addresses at which processes are reached
)

// New opens the relays of n processes, 100 at most.
func New(n int, seed uint64) (*Network, error) {
	if n > 100 {
		return nil, fmt.Errorf("%d processes; 100 at most", n)
	}
	var err error
	for range 32 {
		l := &Network{
			n:      n,
			prefix: [3]byte{127, byte(1 + rand.IntN(254)), byte(rand.IntN(255))},
			port:   uint16(20000 + rand.IntN(10000)),
			ways:   map[[2]int]Link{},
			free:   map[[2]int]time.Time{},
			draw:   rand.New(rand.NewPCG(seed, 21)),
		}
		l.life, l.end = context.WithCancel(context.Background())
		if err = l.open(); err == nil {
			return l, nil
		}
		l.Close()
	}
	return nil, err
}

func (l *Network) address(host int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{l.prefix[0], l.prefix[1], l.prefix[2], byte(host)}), l.port)
}

// Listen is where process i is to listen; Reach is where the others reach it.
func (l *Network) ListenAddr(i int) string { return l.address(i + 1).String() }

// Serve is where process i may listen for others than its fellows; no ephemeral port is taken for it.
func (l *Network) ServeAddr(i int) string {
	at := l.address(i + 1)
	return netip.AddrPortFrom(at.Addr(), at.Port()+1).String()
}

// Reach is the address that process i is to advertise.
func (l *Network) AdvertisedAddr(i int) string { return l.address(firstHost + i).String() }

func (l *Network) open() error {
	for i := range l.n {
		r := &relay{net: l, to: i, open: map[*pair]bool{}}
		at := l.address(firstHost + i)
		var err error
		if r.udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err != nil {
			return err
		}
		l.relays = append(l.relays, r)
		if r.tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at)); err != nil {
			return err
		}
		probe, err := net.Listen("tcp", l.ListenAddr(i)) // nobody else has the process's own
		if err != nil {
			return err
		}
		probe.Close()
	}
	for _, r := range l.relays {
		l.all.Go(r.datagrams)
		l.all.Go(r.connections)
	}
	return nil
}

// Close ends all relays.
func (l *Network) Close() {
	l.end()
	for _, r := range l.relays {
		r.udp.Close()
		if r.tcp != nil {
			r.tcp.Close()
		}
		r.mu.Lock()
		for p := range r.open {
			p.close()
		}
		r.mu.Unlock()
	}
	l.all.Wait()
}

// Set gives one direction of one pair another way; connections that are open follow.
func (l *Network) Set(from, to int, w Link) {
	l.mu.Lock()
	l.ways[[2]int{from, to}] = w
	l.mu.Unlock()
	for _, r := range []*relay{l.relays[from], l.relays[to]} {
		r.mu.Lock()
		for p := range r.open {
			if p.from == from && r.to == to || p.from == to && r.to == from {
				select {
				case p.changed <- struct{}{}:
				default:
				}
			}
		}
		r.mu.Unlock()
	}
}

// Each gives every direction the way that is said for it.
func (l *Network) SetAll(way func(from, to int) Link) {
	for a := range l.n {
		for b := range l.n {
			if a != b {
				l.Set(a, b, way(a, b))
			}
		}
	}
}

// Parts cuts processes of different parts from each other; those of one part hear each other.
func (l *Network) Partition(part ...int) {
	l.SetAll(func(a, b int) Link { return Link{Blocked: part[a] != part[b]} })
}

// Heal lets everything pass again.
func (l *Network) Heal() { l.SetAll(func(a, b int) Link { return Link{} }) }

func (l *Network) way(from, to int) Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ways[[2]int{from, to}]
}

// Replay sends datagrams of late once more, as somebody would who recorded them.
func (l *Network) Replay() int {
	l.mu.Lock()
	seen := l.seen
	l.mu.Unlock()
	for i, b := range seen {
		r := l.relays[i%l.n]
		_, _ = r.udp.WriteToUDPAddrPort(b, l.address(r.to+1)) // a datagram may be lost
	}
	return len(seen)
}

// index is the process that an address belongs to, -1 for none.
func (l *Network) index(a netip.Addr) int {
	b := a.Unmap().As4()
	if [3]byte(b[:3]) != l.prefix || b[3] < 1 || int(b[3]) > l.n {
		return -1
	}
	return int(b[3]) - 1
}

func (r *relay) datagrams() {
	buf := make([]byte, 64<<10)
	for r.net.life.Err() == nil {
		n, from, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		i := r.net.index(from.Addr())
		if i < 0 {
			continue
		}
		b := append([]byte(nil), buf[:n]...)
		r.net.mu.Lock()
		w, draw := r.net.ways[[2]int{i, r.to}], r.net.draw
		if r.net.seen = append(r.net.seen, b); len(r.net.seen) > mostSeen {
			r.net.seen = r.net.seen[len(r.net.seen)-mostSeen:]
		}
		times := 1
		switch {
		case w.Blocked, draw.Float64() < w.Loss:
			times = 0
		case draw.Float64() < w.Duplicate:
			times = 2
		}
		var waits []time.Duration
		for range times {
			wait := w.Delay + time.Duration(draw.Float64()*float64(w.Jitter))
			waits = append(waits, wait+r.net.throttle(i, r.to, w, n))
		}
		r.net.mu.Unlock()
		for _, wait := range waits {
			pass := func() { _, _ = r.udp.WriteToUDPAddrPort(b, r.net.address(r.to+1)) }
			if wait <= 0 {
				pass()
			} else {
				time.AfterFunc(wait, pass)
			}
		}
	}
}

// throttle gives the time that n more bytes have to wait. The caller holds the lock.
func (l *Network) throttle(from, to int, w Link, n int) time.Duration {
	if w.Rate <= 0 {
		return 0
	}
	now := time.Now()
	key := [2]int{from, to}
	at := l.free[key]
	if at.Before(now) {
		at = now
	}
	l.free[key] = at.Add(time.Duration(float64(n) / float64(w.Rate) * float64(time.Second)))
	return at.Sub(now)
}

func (p *pair) close() {
	p.closing.Do(func() {
		p.near.Close()
		if p.far != nil {
			p.far.Close()
		}
	})
}

func (r *relay) connections() {
	for r.net.life.Err() == nil {
		c, err := r.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		from := r.net.index(c.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		if from < 0 {
			c.Close()
			continue
		}
		r.net.all.Go(func() { r.carry(c, from) })
	}
}

// carry passes bytes both ways for as long as both ends keep the connection.
func (r *relay) carry(near net.Conn, from int) {
	p := &pair{from: from, near: near, changed: make(chan struct{}, 1)}
	defer p.close()
	far, err := net.DialTimeout("tcp", r.net.address(r.to+1).String(), 2*time.Second)
	if err != nil {
		return
	}
	p.far = far
	r.mu.Lock()
	r.open[p] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.open, p)
		r.mu.Unlock()
	}()
	var both sync.WaitGroup
	both.Go(func() { r.copy(p, far, near, from, r.to) })
	both.Go(func() { r.copy(p, near, far, r.to, from) })
	both.Wait()
}

// copy passes bytes one way. Where the way is cut they wait, as in a network that loses what is sent again and again.
func (r *relay) copy(p *pair, to, from net.Conn, a, b int) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			w := r.net.way(a, b)
			for w.Blocked {
				select {
				case <-r.net.life.Done():
					return
				case <-p.changed:
				case <-time.After(20 * time.Millisecond):
				}
				if w = r.net.way(a, b); w.Blocked && gone(from) {
					p.close()
					return
				}
			}
			r.net.mu.Lock()
			wait := w.Delay + r.net.throttle(a, b, w, n)
			r.net.mu.Unlock()
			if wait > 0 {
				time.Sleep(wait)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				p.close()
				return
			}
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok && !r.net.way(a, b).Blocked {
				c.CloseWrite()
			} else {
				p.close()
			}
			return
		}
	}
}

// gone says that who sent the bytes has given up.
func gone(c net.Conn) bool {
	c.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer c.SetReadDeadline(time.Time{})
	_, err := c.Read(make([]byte, 0))
	return err != nil && !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err)
}

func isTimeout(err error) bool {
	var t net.Error
	return errors.As(err, &t) && t.Timeout()
}
