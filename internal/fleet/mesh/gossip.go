package mesh

// This file implements the spreading of gossip.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/zones"
	"weirwind/internal/switchover"
)

const (
	gossipFanout   = 8 // peers that a change is sent to immediately
	gossipInterval = time.Second
)

// Gossip is the state that drivers exchange in addition to membership.
type Gossip struct {
	Switchovers []switchover.Notification `cbor:"1,keyasint,omitempty"`
	Drains      []membership.Drain        `cbor:"2,keyasint,omitempty"`
	From        string                    `cbor:"3,keyasint,omitempty"` // address at which the sender takes calls
	Zones       *zones.Summary            `cbor:"4,keyasint,omitempty"`
}

// ownGossip returns the gossip that this driver sends to peers, or nil.
func (m *Mesh) ownGossip(all bool) *Gossip {
	if m.options.Gossip == nil {
		return nil
	}
	gossip := m.options.Gossip(all)
	gossip.From = m.options.Advertise
	return gossip
}

// receiveGossip handles a peer's gossip, and spreads it if it changed this driver's state. requestedAt is when it was
// requested; -Inf if it was unsolicited.
func (m *Mesh) receiveGossip(gossip *Gossip, requestedAt float64) {
	if gossip == nil || m.options.ReceiveGossip == nil {
		return
	}
	changed, request := m.options.ReceiveGossip(gossip, requestedAt)
	if request && gossip.From != "" {
		select {
		case m.gossipRequests <- gossip.From:
		default: // the queue is full; a later exchange makes up for it
		}
	}
	if changed {
		m.SpreadGossip()
	}
}

// exchangeGossip exchanges gossip with one peer.
func (m *Mesh) exchangeGossip(ctx context.Context, address string) {
	requestedAt := m.options.Now()
	answer, err := m.call(ctx, address, &frame{Call: callGossip, Gossip: m.ownGossip(false)})
	if err == nil { // after an error a later exchange makes up for it
		m.receiveGossip(answer.Gossip, requestedAt)
	}
}

// SpreadGossip triggers spreadLoop to send changed gossip to peers.
func (m *Mesh) SpreadGossip() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// spreadLoop exchanges gossip with gossipFanout peers after a change, and with one peer every second in case a message
// was lost, until the context ends.
func (m *Mesh) spreadLoop(ctx context.Context) {
	if m.options.Gossip == nil {
		return
	}
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		fanout := 1
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.wake:
			fanout = gossipFanout
		}
		for _, address := range m.randomPeers(fanout) {
			exchanges.Add(1)
			go func() { // it ends within callTimeout
				defer exchanges.Done()
				m.exchangeGossip(ctx, address)
			}()
		}
	}
}

// randomPeers returns the addresses of up to count random live peers.
func (m *Mesh) randomPeers(count int) []string {
	m.mu.Lock()
	alive := m.view.LiveAddresses()
	m.mu.Unlock()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(count, len(alive))]
}
