package mesh

// This file implements datagrams: probes with piggybacked gossip, one sealed message each.

import (
	"context"
	"net/netip"
	"time"

	"weirwind/internal/fleet/membership"
)

const (
	maxDatagram         = 1400             // bytes
	rejectedLogInterval = 30 * time.Second // between log lines about rejected datagrams and frames
)

// sendDatagram sends a message. Errors are ignored, because datagrams may be lost anyway.
func (m *Mesh) sendDatagram(envelope *membership.Envelope) {
	to, err := netip.ParseAddrPort(envelope.Address)
	if err != nil {
		return
	}
	b, err := m.datagramCodec.seal(&envelope.Message)
	if err != nil || len(b) > maxDatagram {
		return
	}
	if n, err := m.udp.WriteToUDPAddrPort(b, to); err == nil {
		m.bytesSent.Add(int64(n))
	}
}

// receiveLoop receives datagrams until the context ends.
func (m *Mesh) receiveLoop(ctx context.Context) {
	buf := make([]byte, maxDatagram+1)
	for ctx.Err() == nil {
		n, from, err := m.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			select { // the error concerns one datagram, for instance a peer that does not listen
			case <-ctx.Done():
			case <-time.After(time.Millisecond):
			}
			continue
		}
		var message membership.Message
		if err := m.openDatagram(buf[:n], &message); err != nil {
			m.reject(err, from.String())
			continue
		}
		m.step(func(view *membership.Fleet) membership.Output {
			return view.Receive(m.options.Now(), message)
		})
	}
}

func (m *Mesh) openDatagram(b []byte, message *membership.Message) error {
	if len(b) > maxDatagram {
		return errTooLong
	}
	return m.datagramCodec.open(b, message)
}

// reject counts a rejected datagram or frame, and logs the count at most once per rejectedLogInterval.
func (m *Mesh) reject(err error, from string) {
	n := m.rejectedCount.Add(1)
	now, last := int64(m.options.Now()), m.rejectedLoggedAt.Load()
	if last != 0 && now-last < rejectedLogInterval.Milliseconds() {
		return
	}
	if m.rejectedLoggedAt.CompareAndSwap(last, max(now, 1)) {
		m.options.Log.Warn("membership", "reason", "frame_refused", "from", from, "error", err, "in_all", n)
	}
}
