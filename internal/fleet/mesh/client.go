package mesh

// This file implements calls to peers.

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"weirwind/internal/fleet/membership"
)

const (
	callTimeout      = 2 * time.Second // for a call with its answer
	maxOutgoingCalls = 8               // concurrent calls, not counting those by Request
)

var errAnswerMismatch = errors.New("the answer belongs to another call")

// callLoop makes queued calls until the context ends.
func (m *Mesh) callLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-m.exchanges:
			m.exchangeState(ctx, address)
		case address := <-m.gossipRequests:
			m.exchangeGossip(ctx, address)
		}
	}
}

// Request sends a payload to a peer, which passes it to its Options.ReceivePayload, and returns the answer. The error
// is membership.ErrUnknownDriver if no live peer of that name is known, or a network error.
func (m *Mesh) Request(ctx context.Context, to string, payload []byte) ([]byte, error) {
	m.mu.Lock()
	address := m.view.AddressOf(to)
	m.mu.Unlock()
	if address == "" {
		return nil, membership.ErrUnknownDriver
	}
	answer, err := m.call(ctx, address, &frame{Call: callRequest, From: m.options.Name, Payload: payload})
	if err != nil {
		return nil, err
	}
	return answer.Payload, nil
}

// exchangeState exchanges full snapshots and gossip with a peer.
func (m *Mesh) exchangeState(ctx context.Context, address string) {
	m.mu.Lock()
	own := m.view.Snapshot()
	m.mu.Unlock()
	request := &frame{Call: callExchangeState, Exchange: &own, Gossip: m.ownGossip(true)}
	requestedAt := m.options.Now()
	answer, err := m.call(ctx, address, request)
	if err != nil {
		m.options.Log.Debug("membership", "reason", "exchange_failed", "address", address, "error", err)
		return
	}
	if answer.Exchange != nil {
		m.step(func(view *membership.Fleet) membership.Output {
			return view.Merge(m.options.Now(), *answer.Exchange)
		})
	}
	m.receiveGossip(answer.Gossip, requestedAt)
}

// call makes one call on its own connection.
func (m *Mesh) call(ctx context.Context, address string, request *frame) (*frame, error) {
	dialer := net.Dialer{Timeout: callTimeout}
	if ip := m.tcp.Addr().(*net.TCPAddr).IP; !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	conn.SetDeadline(time.Now().Add(callTimeout))
	request.Nonce = rand.Uint64()
	if err := m.frameCodec.write(conn, request); err != nil {
		return nil, err
	}
	answer, err := m.frameCodec.read(conn)
	if err != nil {
		return nil, err
	}
	if answer.Call != request.Call || answer.Nonce != request.Nonce {
		return nil, errAnswerMismatch
	}
	return answer, nil
}
