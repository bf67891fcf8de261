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
	conn  *net.UDPConn
	known map[netip.AddrPort]bool                   // the other drivers
	met   atomic.Pointer[map[netip.AddrPort]string] // those a registry names instead, sent to one by one
	heard func(netip.AddrPort)                      // of those; nil where nobody wants to know
	all   netip.AddrPort
	out   chan []byte
	count *counters
}

// newDatagrams opens the socket; without an address to listen at there are no peers.
func newDatagrams(a *Assignment, own int, registered bool, count *counters) (*datagrams, error) {
	p := &datagrams{known: map[netip.AddrPort]bool{}, out: make(chan []byte, 64), count: count}
	if a.PeerListen == "" || a.PeersAll == "" && !registered {
		return p, nil
	}
	listen, err := netip.ParseAddrPort(a.PeerListen)
	if err != nil {
		return nil, err
	}
	if a.PeersAll != "" {
		if p.all, err = netip.ParseAddrPort(a.PeersAll); err != nil {
			return nil, err
		}
	}
	for i, text := range a.Peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		if i != own {
			p.known[peer] = true
		}
	}
	p.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	return p, err
}

// tell queues a message to every other driver; one that can't go out soon is lost, as on the network.
func (p *datagrams) tell(data []byte) {
	if p.conn == nil || len(data) > opening.MaxMessageBytes {
		p.count.MessagesLost.Add(1)
		return
	}
	select {
	case p.out <- data:
	default:
		p.count.MessagesLost.Add(1)
	}
}

func (p *datagrams) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-p.out:
			if met := p.met.Load(); met != nil {
				for to := range *met {
					p.send(data, to)
				}
			} else if p.all.IsValid() {
				p.send(data, p.all)
			}
		}
	}
}

func (p *datagrams) send(data []byte, to netip.AddrPort) {
	if _, err := p.conn.WriteToUDPAddrPort(data, to); err != nil {
		p.count.MessagesLost.Add(1)
	} else {
		p.count.MessagesOut.Add(1)
	}
}

// meet takes the peers that a registry names.
func (p *datagrams) meet(names map[netip.AddrPort]string) { p.met.Store(&names) }

// knows says whether an address is a peer's.
func (p *datagrams) knows(from netip.AddrPort) bool {
	if met := p.met.Load(); met != nil {
		return (*met)[from] != ""
	}
	return p.known[from]
}

func (p *datagrams) read(ctx context.Context, d *decider) {
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
		case n > opening.MaxMessageBytes || !p.knows(netip.AddrPortFrom(from.Addr().Unmap(), from.Port())):
			p.count.MessagesBad.Add(1)
		default:
			if p.heard != nil {
				p.heard(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
			}
			p.count.MessagesIn.Add(1)
			d.step(logic.Event{Kind: logic.EvMessage, Data: append([]byte(nil), buf[:n]...)})
		}
	}
}
