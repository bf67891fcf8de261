package mesh

// This file owns calls between drivers over TCP: whole states, gossip about members, and what other packages send.

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"weirwind/internal/fleet/membership"
)

// accept serves peers' calls.
func (m *Mesh) acceptLoop(ctx context.Context) {
	places := make(chan struct{}, maxIncomingCalls)
	for ctx.Err() == nil {
		c, err := m.tcp.Accept()
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		select {
		case places <- struct{}{}:
			go func() {
				defer func() { <-places }()
				m.serveCall(c)
			}()
		default: // too many at a time: it calls again, or another one
			c.Close()
		}
	}
}

// serve answers one call.
func (m *Mesh) serveCall(c net.Conn) {
	defer c.Close()
	c.SetDeadline(time.Now().Add(callTimeout))
	f, err := m.frameCodec.read(c)
	if err != nil {
		if !errors.Is(err, io.EOF) {
			m.reject(err, c.RemoteAddr().String())
		}
		return
	}
	back := &frame{Call: f.Call, Nonce: f.Nonce}
	switch f.Call {
	case callExchangeState, callGossip:
		if f.Call == callExchangeState && f.Exchange != nil {
			m.mu.Lock()
			x := m.view.Snapshot()
			back.Exchange = &x
			m.apply(m.view.Merge(m.options.Now(), *f.Exchange))
		}
		back.Gossip = m.ownGossip(f.Call == callExchangeState)
		m.receiveGossip(f.Gossip, math.Inf(-1))
	case callRequest:
		if m.options.ReceivePayload != nil && f.From != "" {
			back.Payload = m.options.ReceivePayload(f.From, f.Payload)
		}
	case callStatus:
		back.Status, _ = json.Marshal(m.Status())
	}
	_ = m.frameCodec.write(c, back) // the caller sees that no answer comes
}

// gossip is what this driver says to peers; nil for nothing.
func (m *Mesh) ownGossip(all bool) *Gossip {
	if m.options.Gossip == nil {
		return nil
	}
	w := m.options.Gossip(all)
	w.From = m.options.Advertise
	return w
}

// receiveGossip takes a peer's gossip, and passes on what is new here.
func (m *Mesh) receiveGossip(gossip *Gossip, asked float64) {
	if gossip == nil || m.options.ReceiveGossip == nil {
		return
	}
	changed, again := m.options.ReceiveGossip(gossip, asked)
	if again && gossip.From != "" {
		select {
		case m.gossipRequests <- gossip.From:
		default: // the next one that is asked will do
		}
	}
	if changed {
		m.SpreadGossip()
	}
}

// Send has a peer take something, and gives what it sends back.
func (m *Mesh) Request(ctx context.Context, to string, what []byte) ([]byte, error) {
	m.mu.Lock()
	address := m.view.AddressOf(to)
	m.mu.Unlock()
	if address == "" {
		return nil, membership.ErrUnknownDriver
	}
	back, err := m.call(ctx, address, &frame{Call: callRequest, From: m.options.Name, Payload: what})
	if err != nil {
		return nil, err
	}
	return back.Payload, nil
}

// exchangeGossip exchanges gossip with one peer.
func (m *Mesh) exchangeGossip(ctx context.Context, at string) {
	asked := m.options.Now()
	if back, err := m.call(ctx, at, &frame{Call: callGossip, Gossip: m.ownGossip(false)}); err == nil {
		m.receiveGossip(back.Gossip, asked)
	}
}

// call makes one call to a peer.
func (m *Mesh) call(ctx context.Context, address string, f *frame) (*frame, error) {
	d := net.Dialer{Timeout: callTimeout}
	if ip := m.tcp.Addr().(*net.TCPAddr).IP; !ip.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	c.SetDeadline(time.Now().Add(callTimeout))
	f.Nonce = rand.Uint64()
	if err := m.frameCodec.write(c, f); err != nil {
		return nil, err
	}
	back, err := m.frameCodec.read(c)
	if err == nil && (back.Call != f.Call || back.Nonce != f.Nonce) {
		err = errors.New("the answer is to another call")
	}
	if err != nil {
		return nil, err
	}
	return back, nil
}

// exchange trades whole states, and gossip, with a peer.
func (m *Mesh) exchangeState(ctx context.Context, address string) {
	m.mu.Lock()
	x := m.view.Snapshot()
	m.mu.Unlock()
	f, asked := &frame{Call: callExchangeState, Exchange: &x, Gossip: m.ownGossip(true)}, m.options.Now()
	back, err := m.call(ctx, address, f)
	if err != nil {
		m.options.Log.Debug("membership", "reason", "exchange_failed", "address", address, "error", err)
		return
	}
	if back.Exchange != nil {
		m.mu.Lock()
		m.apply(m.view.Merge(m.options.Now(), *back.Exchange))
	}
	m.receiveGossip(back.Gossip, asked)
}

// Spread has peers told of what is new here, soon.
func (m *Mesh) SpreadGossip() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// spreadLoop exchanges words with some peers when there are new ones, and with one every second in case a message was
// lost.
func (m *Mesh) spreadLoop(ctx context.Context) {
	if m.options.Gossip == nil {
		return
	}
	var behind sync.WaitGroup
	defer behind.Wait()
	tick := time.NewTicker(gossipInterval)
	defer tick.Stop()
	for {
		n := 1
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-m.wake:
			n = gossipFanout
		}
		m.mu.Lock()
		living := m.view.LiveAddresses()
		m.mu.Unlock()
		rand.Shuffle(len(living), func(i, j int) { living[i], living[j] = living[j], living[i] })
		for _, at := range living[:min(n, len(living))] {
			behind.Add(1)
			go func() { // each ends within callTime
				defer behind.Done()
				m.exchangeGossip(ctx, at)
			}()
		}
	}
}
