package mesh

// This file serves calls from peers.

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"time"

	"weirwind/internal/fleet/membership"
)

const maxIncomingCalls = 32 // concurrent calls

// acceptLoop serves peers' calls until the context ends.
func (m *Mesh) acceptLoop(ctx context.Context) {
	serving := make(chan struct{}, maxIncomingCalls)
	for ctx.Err() == nil {
		conn, err := m.tcp.Accept()
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(10 * time.Millisecond):
			}
			continue
		}
		select {
		case serving <- struct{}{}:
			go func() { // ends within callTimeout
				defer func() { <-serving }()
				m.serveCall(conn)
			}()
		default: // too many concurrent calls; the peer retries, or calls another driver
			conn.Close()
		}
	}
}

// serveCall answers one call.
func (m *Mesh) serveCall(conn net.Conn) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(callTimeout))
	request, err := m.frameCodec.read(conn)
	if err != nil {
		if !errors.Is(err, io.EOF) {
			m.reject(err, conn.RemoteAddr().String())
		}
		return
	}
	_ = m.frameCodec.write(conn, m.answer(request)) // on error the caller times out
}

// answer executes a call and returns its answer.
func (m *Mesh) answer(request *frame) *frame {
	answer := &frame{Call: request.Call, Nonce: request.Nonce}
	switch request.Call {
	case callExchangeState:
		if request.Exchange != nil {
			answer.Exchange = m.merge(request.Exchange)
		}
		answer.Gossip = m.ownGossip(true)
		m.receiveGossip(request.Gossip, math.Inf(-1))
	case callGossip:
		answer.Gossip = m.ownGossip(false)
		m.receiveGossip(request.Gossip, math.Inf(-1))
	case callRequest:
		if m.options.ReceivePayload != nil && request.From != "" {
			answer.Payload = m.options.ReceivePayload(request.From, request.Payload)
		}
	case callStatus:
		answer.Status, _ = json.Marshal(m.Status())
	}
	return answer
}

// merge merges a peer's snapshot, and returns this driver's snapshot from before the merge.
func (m *Mesh) merge(peer *membership.Snapshot) *membership.Snapshot {
	var own membership.Snapshot
	m.step(func(view *membership.Fleet) membership.Output {
		own = view.Snapshot()
		return view.Merge(m.options.Now(), *peer)
	})
	return &own
}
