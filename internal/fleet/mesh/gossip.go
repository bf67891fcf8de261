package mesh

// This file owns how gossip spreads.

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
	gossipFanout   = 8 // peers that get a change at once; they pass it on
	gossipInterval = time.Second
)

// Gossip is what drivers exchange besides membership.
type Gossip struct {
	Switchovers []switchover.Notification `cbor:"1,keyasint,omitempty"`
	Drains      []membership.Drain        `cbor:"2,keyasint,omitempty"`
	From        string                    `cbor:"3,keyasint,omitempty"` // address at which the sender is asked
	Zones       *zones.Summary            `cbor:"4,keyasint,omitempty"`
}

// ownGossip is what this driver sends peers; nil for nothing.
func (m *Mesh) ownGossip(all bool) *Gossip {
	if m.options.Gossip == nil {
		return nil
	}
	gossip := m.options.Gossip(all)
	gossip.From = m.options.Advertise
	return gossip
}

// receiveGossip takes a peer's gossip, and passes on what is new here. requestedAt is when it was asked for; -Inf where
// it came unasked.
func (m *Mesh) receiveGossip(gossip *Gossip, requestedAt float64) {
	if gossip == nil || m.options.ReceiveGossip == nil {
		return
	}
	changed, request := m.options.ReceiveGossip(gossip, requestedAt)
	if request && gossip.From != "" {
		select {
		case m.gossipRequests <- gossip.From:
		default: // the next peer that is asked will do
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
	if err == nil { // else there will be other exchanges
		m.receiveGossip(answer.Gossip, requestedAt)
	}
}

// SpreadGossip has what is new here sent to peers soon.
func (m *Mesh) SpreadGossip() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// spreadLoop exchanges gossip with some peers when there is new one, and with one every second in case a message was
// lost, until the context ends.
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

// randomPeers are the addresses of some peers that are alive.
func (m *Mesh) randomPeers(count int) []string {
	m.mu.Lock()
	alive := m.view.LiveAddresses()
	m.mu.Unlock()
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(count, len(alive))]
}
