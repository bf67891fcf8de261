package mesh

// This file owns calls to peers.

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"weirwind/internal/fleet/membership"
)

const (
	callTimeout      = 2 * time.Second // of a call with its answer
	maxOutgoingCalls = 8               // at a time, but for Request
)

var errOtherCall = errors.New("the answer is to another call")

// callLoop makes the calls that are queued until the context ends.
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

// Request has a peer take a payload (Options.ReceivePayload), and gives its answer. The error is
// membership.ErrUnknownDriver where no peer of the name is known, else of the network.
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

// exchangeState exchanges whole states, and gossip, with a peer.
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

// call makes one call, on a connection of its own.
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
		return nil, errOtherCall
	}
	return answer, nil
}
