package controlplane

import (
	"sync"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/events"
	"weirwind/internal/util/transport"
)

// Delays between two attempts to connect to another core machine.
const (
	initialReconnectDelay = 50 * time.Millisecond
	maxReconnectDelay     = time.Second
)

// kindCore is the kind in a core machine's Hello.
const kindCore = "core"

// coreLinks holds this machine's links to the other core machines. Any goroutine may use it.
//
// Each machine of a pair dials the other. A machine sends on the link that it dialled itself or, while that is down, on
// the link on which the peer sent its last consensus message.
type coreLinks struct {
	server *Server

	mu sync.Mutex
	// byAddr is keyed by mesh address. Entries are never removed, as each has a goroutine that keeps it connected.
	byAddr map[string]*coreLink
	// senders maps each link that another core machine dialled to the control address in its Hello.
	senders map[*link]string
}

// coreLink holds the two links between this machine and another one.
type coreLink struct {
	dialled  *link // nil while it is down
	accepted *link // link of the peer's last consensus message; it may be up while dialled is down
}

func newCoreLinks(server *Server) *coreLinks {
	return &coreLinks{server: server, byAddr: map[string]*coreLink{}, senders: map[*link]string{}}
}

// connect starts to keep a link to the core machine with that control address until the process ends. It does nothing
// for this machine's own address, or if there is already such a link.
func (c *coreLinks) connect(controlAddr string) {
	srv := c.server
	if controlAddr == srv.settings.ControlAddr {
		return
	}
	addr := srv.settings.MeshAddr(controlAddr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddr[addr] != nil {
		return
	}
	core := &coreLink{}
	c.byAddr[addr] = core
	backoff := transport.Backoff{Initial: initialReconnectDelay, Max: maxReconnectDelay,
		DialTimeout: transport.DialTimeout}
	go transport.KeepConnected(srv.ctx, addr, backoff, func(dialled *link) {
		dialled.SetCounters(&srv.dialled)
		dialled.Send(controlmsg.NewHello(kindCore, srv.settings.Hostname, srv.settings.ControlAddr))
		c.setDialled(core, dialled)
		srv.log.Event(events.LinkUp, "core", controlAddr)
	}, srv.handleFrame, func() {
		srv.pending.failLink(c.setDialled(core, nil))
		srv.log.Event(events.LinkDown, "core", controlAddr)
		srv.loop.offer(func() { srv.loop.node.PeerDisconnected(controlAddr, srv.now()) })
	})
}

// setDialled replaces the link that this machine dialled, and returns the previous one.
func (c *coreLinks) setDialled(core *coreLink, dialled *link) (previous *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous, core.dialled = core.dialled, dialled
	return previous
}

// recordSender records the link on which a core machine sent a message, and connects to the machine if it was unknown.
func (c *coreLinks) recordSender(controlAddr string, accepted *link) {
	c.connect(controlAddr)
	c.mu.Lock()
	defer c.mu.Unlock()
	if core := c.byAddr[c.server.settings.MeshAddr(controlAddr)]; core != nil {
		core.accepted = accepted
	}
}

// recordHello records the address of the core machine that dialled a link. Links of other processes are ignored.
func (c *coreLinks) recordHello(from *link, hello *controlmsg.Hello) {
	if hello.Kind != kindCore {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.senders[from] = hello.Addr
}

// removeSender drops the record of who dialled a link that has ended.
func (c *coreLinks) removeSender(down *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.senders, down)
}

// senderAddr returns the control address of the core machine that dialled a link, "" if no core machine did.
func (c *coreLinks) senderAddr(from *link) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.senders[from]
}

// countDialled returns the number of dialled links that are up.
func (c *coreLinks) countDialled() (up int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, core := range c.byAddr {
		if core.dialled != nil {
			up++
		}
	}
	return up
}

// linkTo returns a link to a core machine that is up, or nil. It connects to the machine if it was unknown.
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

// send sends a frame to a core machine. If no link is up, the frame is dropped; a sender that needs an answer retries.
func (c *coreLinks) send(controlAddr string, frame *controlmsg.Frame) {
	if l := c.linkTo(controlAddr); l != nil {
		l.Send(frame)
	}
}

// broadcast sends a frame to all other core machines whose dialled link is up.
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
