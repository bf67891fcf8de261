package driver

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"weirwind/internal/opening"
	"weirwind/logic"
)

const outgoingDatagrams = 64

// datagrams is the UDP socket by which the decision modules of drivers exchange messages. It never waits for a peer,
// and takes nothing from an address that is no peer's.
type datagrams struct {
	conn            *net.UDPConn            // nil where there are no peers
	configuredPeers map[netip.AddrPort]bool // the other drivers; never changes
	broadcast       netip.AddrPort          // reaches all of them; may be invalid
	// registryPeers are those that the registry lists, which replace the configured ones and are sent to one by one;
	// nil until then.
	registryPeers atomic.Pointer[map[netip.AddrPort]string]
	onMessage     func(netip.AddrPort) // called for each message of a peer; may be nil
	outgoing      chan []byte
	counters      *counters
}

// newDatagrams opens the socket, unless there is no address to listen at or nobody to send to. own is this driver's
// index among Peers; registered says that peers are in the registry.
func newDatagrams(assignment *Assignment, own int, registered bool, counters *counters) (*datagrams, error) {
	d := &datagrams{
		configuredPeers: map[netip.AddrPort]bool{},
		outgoing:        make(chan []byte, outgoingDatagrams),
		counters:        counters,
	}
	if assignment.PeerListen == "" || assignment.PeersAll == "" && !registered {
		return d, nil
	}
	listen, err := netip.ParseAddrPort(assignment.PeerListen)
	if err != nil {
		return nil, err
	}
	if assignment.PeersAll != "" {
		if d.broadcast, err = netip.ParseAddrPort(assignment.PeersAll); err != nil {
			return nil, err
		}
	}
	for i, text := range assignment.Peers {
		peer, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		if i != own {
			d.configuredPeers[peer] = true
		}
	}
	d.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	return d, err
}

// send queues a message to every other driver; one that can't go out soon is lost, as on the network.
func (d *datagrams) send(data []byte) {
	if d.conn == nil || len(data) > opening.MaxMessageBytes {
		d.counters.MessagesLost.Add(1)
		return
	}
	select {
	case d.outgoing <- data:
	default:
		d.counters.MessagesLost.Add(1)
	}
}

// writeLoop sends what is queued until the context ends.
func (d *datagrams) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case data := <-d.outgoing:
			if peers := d.registryPeers.Load(); peers != nil {
				for to := range *peers {
					d.sendTo(data, to)
				}
			} else if d.broadcast.IsValid() {
				d.sendTo(data, d.broadcast)
			}
		}
	}
}

func (d *datagrams) sendTo(data []byte, to netip.AddrPort) {
	if _, err := d.conn.WriteToUDPAddrPort(data, to); err != nil {
		d.counters.MessagesLost.Add(1)
	} else {
		d.counters.MessagesOut.Add(1)
	}
}

// setRegistryPeers takes the peers that the registry lists, with their names.
func (d *datagrams) setRegistryPeers(names map[netip.AddrPort]string) { d.registryPeers.Store(&names) }

func (d *datagrams) isPeer(from netip.AddrPort) bool {
	if peers := d.registryPeers.Load(); peers != nil {
		return (*peers)[from] != ""
	}
	return d.configuredPeers[from]
}

// readLoop gives peers' messages to the decider until the context ends, which closes the socket.
func (d *datagrams) readLoop(ctx context.Context, decider *decider) {
	stop := context.AfterFunc(ctx, func() { d.conn.Close() })
	defer stop()
	buf := make([]byte, opening.MaxMessageBytes+1) // one byte more, to tell messages that are too long
	for ctx.Err() == nil {
		n, from, err := d.conn.ReadFromUDPAddrPort(buf)
		switch {
		case err != nil:
			select { // an error of one datagram, such as a peer that does not listen
			case <-ctx.Done():
			case <-time.After(time.Millisecond):
			}
		case n > opening.MaxMessageBytes || !d.isPeer(netip.AddrPortFrom(from.Addr().Unmap(), from.Port())):
			d.counters.MessagesBad.Add(1)
		default:
			if d.onMessage != nil {
				d.onMessage(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
			}
			d.counters.MessagesIn.Add(1)
			decider.step(logic.Event{Kind: logic.EvMessage, Data: append([]byte(nil), buf[:n]...)})
		}
	}
}
