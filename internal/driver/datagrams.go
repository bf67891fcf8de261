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

const datagramQueueSize = 64 // outgoing datagrams

// datagrams is the UDP socket through which the decision modules of drivers exchange messages. It never waits for a
// peer, and discards messages from addresses that don't belong to a peer.
type datagrams struct {
	conn            *net.UDPConn            // nil if there are no peers
	configuredPeers map[netip.AddrPort]bool // the other drivers; never changes
	broadcast       netip.AddrPort          // reaches all of them; may be invalid
	// registryPeers are the peers listed in the registry. They replace the configured ones, and each is sent to directly;
	// nil until the registry has listed any.
	registryPeers atomic.Pointer[map[netip.AddrPort]string]
	onMessage     func(netip.AddrPort) // called for each message of a peer; may be nil
	outgoing      chan []byte
	counters      *counters
}

// newDatagrams opens the socket, unless there is no listen address or there are no peers. own is this driver's index in
// Peers; registered means that peers are listed in the registry.
func newDatagrams(assignment *Assignment, own int, registered bool, counters *counters) (*datagrams, error) {
	d := &datagrams{
		configuredPeers: map[netip.AddrPort]bool{},
		outgoing:        make(chan []byte, datagramQueueSize),
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

// send queues a message to every other driver. If the queue is full the message is lost, as it could be on the network.
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

// writeLoop sends queued messages until the context ends.
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

// setRegistryPeers sets the peers that the registry lists, by address with their names.
func (d *datagrams) setRegistryPeers(names map[netip.AddrPort]string) { d.registryPeers.Store(&names) }

func (d *datagrams) isPeer(from netip.AddrPort) bool {
	if peers := d.registryPeers.Load(); peers != nil {
		return (*peers)[from] != ""
	}
	return d.configuredPeers[from]
}

// readLoop passes peers' messages to the decider until the context ends, which closes the socket.
func (d *datagrams) readLoop(ctx context.Context, decider *decider) {
	stop := context.AfterFunc(ctx, func() { d.conn.Close() })
	defer stop()
	buffer := make([]byte, opening.MaxMessageBytes+1) // one byte more, to detect messages that are too long
	for ctx.Err() == nil {
		size, from, err := d.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case err != nil:
			select { // an error that affects one datagram only, such as a peer that does not listen
			case <-ctx.Done():
			case <-time.After(time.Millisecond):
			}
		case size > opening.MaxMessageBytes || !d.isPeer(netip.AddrPortFrom(from.Addr().Unmap(), from.Port())):
			d.counters.MessagesBad.Add(1)
		default:
			if d.onMessage != nil {
				d.onMessage(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
			}
			d.counters.MessagesIn.Add(1)
			decider.step(logic.Event{Kind: logic.EvMessage, Data: append([]byte(nil), buffer[:size]...)})
		}
	}
}
