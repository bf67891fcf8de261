package driver

// This file owns the UDP socket between drivers. It must never send more than 256 bytes, take anything from an
// address that is no peer's, or wait for a peer.

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"weirwind/internal/opening"
	"weirwind/logic"
)

type datagrams struct {
	conn            *net.UDPConn
	configuredPeers map[netip.AddrPort]bool                   // the other drivers
	registryPeers   atomic.Pointer[map[netip.AddrPort]string] // those a registry names instead, sent to one by one
	onMessage       func(netip.AddrPort)                      // of those; nil where nobody wants to know
	broadcast       netip.AddrPort
	outgoing        chan []byte
	counters        *counters
}

// newDatagrams opens the socket; without an address to listen at there are no peers.
func newDatagrams(a *Assignment, own int, registered bool, count *counters) (*datagrams, error) {
	p := &datagrams{configuredPeers: map[netip.AddrPort]bool{}, outgoing: make(chan []byte, 64), counters: count}
	if a.PeerListen == "" || a.PeersAll == "" && !registered {
		return p, nil
	}
	listen, err := netip.ParseAddrPort(a.PeerListen)
	if err != nil {
		return nil, err
	}
	if a.PeersAll != "" {
		if p.broadcast, err = netip.ParseAddrPort(a.PeersAll); err != nil {
			return nil, err
		}
	}
	for i, text := range a.Peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		if i != own {
			p.configuredPeers[peer] = true
		}
	}
	p.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	return p, err
}

// tell queues a message to every other driver; one that can't go out soon is lost, as on the network.
func (p *datagrams) send(data []byte) {
	if p.conn == nil || len(data) > opening.MaxMessageBytes {
		p.counters.MessagesLost.Add(1)
		return
	}
	select {
	case p.outgoing <- data:
	default:
		p.counters.MessagesLost.Add(1)
	}
}

func (p *datagrams) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-p.outgoing:
			if met := p.registryPeers.Load(); met != nil {
				for to := range *met {
					p.sendTo(data, to)
				}
			} else if p.broadcast.IsValid() {
				p.sendTo(data, p.broadcast)
			}
		}
	}
}

func (p *datagrams) sendTo(data []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(data, to); err != nil {
		p.counters.MessagesLost.Add(1)
	} else {
		p.counters.MessagesOut.Add(1)
	}
}

// meet takes the peers that a registry names.
func (p *datagrams) setRegistryPeers(names map[netip.AddrPort]string) { p.registryPeers.Store(&names) }

// knows says whether an address is a peer's.
func (p *datagrams) isPeer(from netip.AddrPort) bool {
	if met := p.registryPeers.Load(); met != nil {
		return (*met)[from] != ""
	}
	return p.configuredPeers[from]
}

func (p *datagrams) readLoop(ctx context.Context, decider *decider) {
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	buf := make([]byte, opening.MaxMessageBytes+1)
	for ctx.Err() == nil {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		switch {
		case err != nil:
			select { // an error of one datagram, such as a peer that does not listen
			case <-ctx.Done():
			case <-time.After(time.Millisecond):
			}
		case n > opening.MaxMessageBytes || !p.isPeer(netip.AddrPortFrom(from.Addr().Unmap(), from.Port())):
			p.counters.MessagesBad.Add(1)
		default:
			if p.onMessage != nil {
				p.onMessage(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
			}
			p.counters.MessagesIn.Add(1)
			decider.step(logic.Event{Kind: logic.EvMessage, Data: append([]byte(nil), buf[:n]...)})
		}
	}
}
