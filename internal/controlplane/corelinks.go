package controlplane

import (
	"sync"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/events"
	"weirwind/internal/util/transport"
)

// Pauses between two attempts to connect to another core machine.
const (
	initialReconnectPause = 50 * time.Millisecond
	maxReconnectPause     = time.Second
)

// kindCore is the kind of process that a core machine's Hello names.
const kindCore = "core"

// coreLinks are this machine's links to the other machines of the core. Any goroutine may use them.
//
// Each pair of machines dials both ways. A machine sends over the link that it dialled itself, or, while that is
// down, over the one on which the peer sent its last consensus message.
type coreLinks struct {
	server *Server

	mu sync.Mutex
	// byAddr is by mesh address. Entries are never removed, as each has a goroutine that keeps it connected.
	byAddr map[string]*coreLink
	// senders are the links that other core machines dialled, with their control addresses, as their Hello named them.
	senders map[*link]string
}

// coreLink is the two links between this machine and another one.
type coreLink struct {
	dialled  *link // nil while it is down
	accepted *link // on which the peer sent its last consensus message: it may be up while dialled is still down
}

func newCoreLinks(server *Server) *coreLinks {
	return &coreLinks{server: server, byAddr: map[string]*coreLink{}, senders: map[*link]string{}}
}

// connect keeps a link to the core machine with that control address, until the process ends.
func (c *coreLinks) connect(controlAddr string) {
	h := c.server
	if controlAddr == h.settings.ControlAddr {
		return
	}
	addr := h.settings.MeshAddr(controlAddr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddr[addr] != nil {
		return
	}
	core := &coreLink{}
	c.byAddr[addr] = core
	pauses := transport.Backoff{Initial: initialReconnectPause, Max: maxReconnectPause, DialTimeout: transport.DialTimeout}
	go transport.KeepConnected(h.ctx, addr, pauses, func(dialled *link) {
		dialled.SetCounters(&h.dialled)
		dialled.Send(controlmsg.NewHello(kindCore, h.settings.Hostname, h.settings.ControlAddr))
		c.setDialled(core, dialled)
		h.log.Event(events.LinkUp, "core", controlAddr)
	}, h.handleFrame, func() {
		h.pending.failLink(c.setDialled(core, nil))
		h.log.Event(events.LinkDown, "core", controlAddr)
		h.loop.offer(func() { h.loop.node.PeerDisconnected(controlAddr, h.now()) })
	})
}

// setDialled replaces the link that this machine dialled, and gives the one before it.
func (c *coreLinks) setDialled(core *coreLink, dialled *link) (previous *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous, core.dialled = core.dialled, dialled
	return previous
}

// noteSender records the link on which a core machine sent a message, and connects to one that was unknown.
func (c *coreLinks) noteSender(controlAddr string, accepted *link) {
	c.connect(controlAddr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if core := c.byAddr[c.server.settings.MeshAddr(controlAddr)]; core != nil {
		core.accepted = accepted
	}
}

// noteHello records who dialled a link, where it is a core machine.
func (c *coreLinks) noteHello(from *link, hello *controlmsg.Hello) {
	if hello.Kind != kindCore {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.senders[from] = hello.Addr
}

// forgetSender forgets who dialled a link that has ended.
func (c *coreLinks) forgetSender(down *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.senders, down)
}

// senderAddr is the control address of the core machine that dialled a link, "" where it is none.
func (c *coreLinks) senderAddr(from *link) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.senders[from]
}

// count counts the dialled links that are up.
func (c *coreLinks) count() (up int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, core := range c.byAddr {
		if core.dialled != nil {
			up++
		}
	}
	return up
}

// linkTo gives a link to a core machine that is up, nil for none at the moment, and connects to one that was unknown.
func (c *coreLinks) linkTo(controlAddr string) *link {
	var dialled, accepted *link
	c.mu.Lock()
	core := c.byAddr[c.server.settings.MeshAddr(controlAddr)]
	if core != nil {
		dialled, accepted = core.dialled, core.accepted
	}
	c.mu.Unlock()
	if core == nil {
		c.connect(controlAddr)
	}
	for _, l := range []*link{dialled, accepted} {
		if l != nil && l.Up() {
			return l
		}
	}
	return nil
}

// send sends to a core machine. A frame for which no link is up is dropped: whoever needs an answer retries.
func (c *coreLinks) send(controlAddr string, frame *controlmsg.Frame) {
	if l := c.linkTo(controlAddr); l != nil {
		l.Send(frame)
	}
}

// broadcast sends to all other core machines whose dialled link is up.
func (c *coreLinks) broadcast(frame *controlmsg.Frame) {
	encoded := transport.Encode(frame)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, core := range c.byAddr {
		if core.dialled != nil {
			core.dialled.SendEncoded(encoded)
		}
	}
}
