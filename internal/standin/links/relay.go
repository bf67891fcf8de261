package links

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// relay listens at a process's advertised address and forwards to the process's own address.
type relay struct {
	network *Network
	process int // the process to which it forwards
	udp     *net.UDPConn
	tcp     *net.TCPListener

	mu          sync.Mutex
	connections map[*connection]bool
}

// connection is a TCP connection through a relay, from another process to the relay's process.
type connection struct {
	from      int
	near, far net.Conn      // connections to the process that dialled and to the relay's process
	changed   chan struct{} // capacity 1: receives a value when one of its links has changed
	closing   sync.Once
}

func (c *connection) close() {
	c.closing.Do(func() {
		c.near.Close()
		if c.far != nil {
			c.far.Close()
		}
	})
}

func (r *relay) close() {
	r.udp.Close()
	if r.tcp != nil {
		r.tcp.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.close()
	}
}

// linkChanged wakes the connections that wait for the link of one direction of one pair.
func (r *relay) linkChanged(from, to int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		if c.from == from && r.process == to || c.from == to && r.process == from {
			select {
			case c.changed <- struct{}{}:
			default:
			}
		}
	}
}

// forwardDatagrams forwards datagrams until the relay is closed.
func (r *relay) forwardDatagrams() {
	buffer := make([]byte, 64<<10)
	for r.network.ctx.Err() == nil {
		size, sender, err := r.udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		from := r.network.processAt(sender.Addr())
		if from < 0 {
			continue
		}
		datagram := append([]byte(nil), buffer[:size]...)
		for _, delay := range r.deliveries(from, datagram) {
			if delay <= 0 {
				r.send(datagram)
			} else {
				time.AfterFunc(delay, func() { r.send(datagram) })
			}
		}
	}
}

// deliveries decides at random how often a datagram is delivered, and returns the delay of each delivery.
func (r *relay) deliveries(from int, datagram []byte) (delays []time.Duration) {
	n := r.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.recorded = append(n.recorded, datagram); len(n.recorded) > maxRecorded {
		n.recorded = n.recorded[len(n.recorded)-maxRecorded:]
	}
	link := n.links[direction{from, r.process}]
	times := 1
	switch {
	case link.Blocked, n.random.Float64() < link.Loss:
		times = 0
	case n.random.Float64() < link.Duplicate:
		times = 2
	}
	for range times {
		delay := link.Delay + time.Duration(n.random.Float64()*float64(link.Jitter))
		delays = append(delays, delay+n.throttle(from, r.process, link, len(datagram)))
	}
	return delays
}

// send delivers a datagram to the relay's process. An error means a lost datagram.
func (r *relay) send(datagram []byte) {
	_, _ = r.udp.WriteToUDPAddrPort(datagram, r.network.ownAddress(r.process))
}

// acceptConnections accepts and forwards connections until the relay is closed.
func (r *relay) acceptConnections() {
	for r.network.ctx.Err() == nil {
		near, err := r.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		from := r.network.processAt(near.RemoteAddr().(*net.TCPAddr).AddrPort().Addr())
		if from < 0 {
			near.Close()
			continue
		}
		r.network.goroutines.Go(func() { r.forward(near, from) })
	}
}

// forward copies bytes both ways until one end closes the connection.
func (r *relay) forward(near net.Conn, from int) {
	c := &connection{from: from, near: near, changed: make(chan struct{}, 1)}
	defer c.close()
	far, err := net.DialTimeout("tcp", r.network.ownAddress(r.process).String(), dialTimeout)
	if err != nil {
		return
	}
	c.far = far
	r.mu.Lock()
	r.connections[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.connections, c)
		r.mu.Unlock()
	}()
	var directions sync.WaitGroup
	directions.Go(func() { r.copyBytes(c, far, near, from, r.process) })
	directions.Go(func() { r.copyBytes(c, near, far, r.process, from) })
	directions.Wait()
}

// copyBytes copies bytes in one direction. While the link is blocked they wait, as in a network that drops every
// retransmission.
func (r *relay) copyBytes(c *connection, to, from net.Conn, sender, receiver int) {
	buffer := make([]byte, 16<<10)
	for {
		size, err := from.Read(buffer)
		if size > 0 && !r.pass(c, to, from, sender, receiver, buffer[:size]) {
			return
		}
		if err == nil {
			continue
		}
		if half, ok := to.(*net.TCPConn); ok && !r.network.link(sender, receiver).Blocked {
			half.CloseWrite()
		} else {
			c.close()
		}
		return
	}
}

// pass writes bytes once their link is not blocked and their delay has passed. It returns false if the connection or
// the network has been closed.
func (r *relay) pass(c *connection, to, from net.Conn, sender, receiver int, bytes []byte) bool {
	link := r.network.link(sender, receiver)
	for link.Blocked {
		select {
		case <-r.network.ctx.Done():
			return false
		case <-c.changed:
		case <-time.After(recheckPeriod):
		}
		if link = r.network.link(sender, receiver); link.Blocked && closedByPeer(from) {
			c.close()
			return false
		}
	}
	r.network.mu.Lock()
	delay := link.Delay + r.network.throttle(sender, receiver, link, len(bytes))
	r.network.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if _, err := to.Write(bytes); err != nil {
		c.close()
		return false
	}
	return true
}

// closedByPeer reports whether the peer has closed a connection. No other goroutine may be reading it.
func closedByPeer(conn net.Conn) bool {
	conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer conn.SetReadDeadline(time.Time{})
	_, err := conn.Read(make([]byte, 0))
	return err != nil && !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
