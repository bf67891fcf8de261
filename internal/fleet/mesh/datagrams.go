package mesh

// This file owns datagrams: probes and gossip, sealed, one message each.

import (
	"context"
	"net/netip"
	"time"

	"weirwind/internal/fleet/membership"
)

func (m *Mesh) sendDatagram(s *membership.Envelope) {
	to, err := netip.ParseAddrPort(s.Address)
	if err != nil {
		return
	}
	b, err := m.datagramCodec.seal(&s.Message)
	if err != nil || len(b) > maxDatagram {
		return
	}
	if n, err := m.udp.WriteToUDPAddrPort(b, to); err == nil {
		m.bytesSent.Add(int64(n))
	}
}

// receive takes datagrams.
func (m *Mesh) receiveLoop(ctx context.Context) {
	buf := make([]byte, maxDatagram+1)
	for ctx.Err() == nil {
		n, from, err := m.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			select { // an error of one datagram, such as a peer that does not listen
			case <-ctx.Done():
			case <-time.After(time.Millisecond):
			}
			continue
		}
		var msg membership.Message
		err = errTooLong
		if n <= maxDatagram {
			err = m.datagramCodec.open(buf[:n], &msg)
		}
		if err != nil {
			m.reject(err, from.String())
			continue
		}
		m.mu.Lock()
		m.apply(m.view.Receive(m.options.Now(), msg))
	}
}

// refused counts what could not be taken, and says so now and then.
func (m *Mesh) reject(err error, from string) {
	n := m.rejectedCount.Add(1)
	now, last := int64(m.options.Now()), m.rejectedLoggedAt.Load()
	if (last == 0 || now-last >= rejectedLogInterval.Milliseconds()) &&
		m.rejectedLoggedAt.CompareAndSwap(last, max(now, 1)) {
		m.options.Log.Warn("membership", "reason", "frame_refused", "from", from, "error", err, "in_all", n)
	}
}
