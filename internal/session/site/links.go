package site

// This file implements the links between sites and edges.

import (
	"context"
	"time"

	"weirwind/internal/session/queue"
	"weirwind/internal/session/sites"
	"weirwind/internal/util/transport"
)

const (
	pingInterval   = 500 * time.Millisecond
	redialInterval = 50 * time.Millisecond
)

// Frame is a frame of a link. The first one names the sender, later ones are envelopes or pings.
type Frame struct {
	Hello    string          `cbor:"1,keyasint,omitempty"` // the sender's name; the first frame of a link
	Envelope *queue.Envelope `cbor:"2,keyasint,omitempty"`
	Ping     bool            `cbor:"3,keyasint,omitempty"` // keeps an idle link open
	Edge     bool            `cbor:"4,keyasint,omitempty"` // with Hello: the sender is an edge, answered over this link
}

type link = transport.Link[Frame]

// peer is another site. This site sends over the link that it has opened and receives over the link opened by the peer.
type peer struct {
	addr string
	link *link // nil while there is none
	stop context.CancelFunc
}

// connectPeers opens links to the other sites that are alive, and closes those to sites that are not.
func (r *runner) connectPeers(ctx context.Context, m *sites.Map) {
	for name, known := range r.peers {
		if site, ok := m.Sites[name]; !ok || site.Addr != known.addr || site.State == sites.StateRemoved {
			known.stop()
			if known.link != nil {
				known.link.Close()
			}
			delete(r.peers, name)
		}
	}
	for name, site := range m.Sites {
		if name != r.settings.Hostname && site.State != sites.StateRemoved && r.peers[name] == nil {
			r.peers[name] = r.connectPeer(ctx, site.Addr)
		}
	}
}

func (r *runner) connectPeer(ctx context.Context, addr string) *peer {
	ctx, stop := context.WithCancel(ctx)
	p := &peer{addr: addr, stop: stop}
	onLinkChange := func(l *link) {
		r.commands.Do(func() {
			p.link = l
			r.flush()
		})
	}
	go KeepLink(ctx, addr, Frame{Hello: r.settings.Hostname}, onLinkChange, func(*link, *Frame) {})
	return p
}

// KeepLink keeps a link to a process open until ctx ends, and sends hello first on each connection. onLinkChange is
// called with each new link, and with nil when it has ended; onFrame is called with each frame received.
func KeepLink(ctx context.Context, addr string, hello Frame, onLinkChange func(*link), onFrame func(*link, *Frame)) {
	backoff := transport.Backoff{Initial: redialInterval, Max: redialInterval,
		DialTimeout: func(nth int) time.Duration { return transport.DialTimeout(nth / 3) }}
	onConnect := func(l *link) {
		l.Send(&hello)
		go ping(ctx, l)
		onLinkChange(l)
	}
	transport.KeepConnected(ctx, addr, backoff, onConnect, onFrame, func() { onLinkChange(nil) })
}

// ping sends pings over a link until it ends, and closes it when ctx ends.
func ping(ctx context.Context, l *link) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.Done():
			return
		case <-ctx.Done():
			l.Close()
			return
		case <-ticker.C:
			l.Send(&Frame{Ping: true})
		}
	}
}

// receive handles a frame of a site or an edge that has connected.
func (r *runner) receive(l *link, frame *Frame) {
	r.commands.Do(func() {
		switch {
		case frame.Hello != "":
			r.receiveHello(l, frame)
		case frame.Envelope != nil:
			r.decider.Receive(l.Peer, frame.Envelope, r.now())
			r.flush()
		}
	})
}

func (r *runner) receiveHello(l *link, frame *Frame) {
	l.Peer = frame.Hello
	if !frame.Edge {
		return
	}
	r.edges[frame.Hello] = l
	if m := r.decider.Map(); m != nil {
		l.Send(&Frame{Envelope: &queue.Envelope{Map: m}})
	}
}

func (r *runner) handleLinkLost(l *link) {
	r.commands.Do(func() {
		if r.edges[l.Peer] == l {
			delete(r.edges, l.Peer)
			r.decider.HandleEdgeLost(l.Peer, r.now())
			r.flush()
		}
	})
}

// flush sends the decider's outgoing envelopes. Those without a link are dropped, since the decider sends them again.
func (r *runner) flush() {
	for _, outgoing := range r.decider.TakeOutgoing() {
		if l := r.edges[outgoing.To]; l != nil {
			l.Send(&Frame{Envelope: &outgoing.Envelope})
		} else if p := r.peers[outgoing.To]; p != nil && p.link != nil {
			p.link.Send(&Frame{Envelope: &outgoing.Envelope})
		}
	}
}
