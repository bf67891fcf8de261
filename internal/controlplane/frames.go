package controlplane

import (
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
)

// handleFrame gives a frame to the owner of what it is about. It runs in the link's reading goroutine.
func (h *Server) handleFrame(l *link, f *controlmsg.Frame) {
	switch {
	case f.Consensus != nil:
		h.handleConsensusMessage(l, f.Consensus)
	case f.Hello != nil:
		controlmsg.HandleHello(l, f.Hello)
	case f.Request != nil:
		h.handleForwardedRequest(l, f.Request)
	case f.Response != nil:
		h.pending.answer(l, f.Response)
	default:
		h.state.do(func() { h.state.handleFrame(l, f) })
	}
}

func (h *Server) handleConsensusMessage(l *link, m *consensus.Message) {
	h.loop.do(func() {
		if m.From.Addr != "" {
			h.cores.noteSender(m.From.Addr, l)
		}
		h.loop.node.Step(m, h.now())
		h.loop.notifyCommitted() // the next message may bring an entry that replaces this one
	})
}

// handleForwardedRequest has a request of another core machine decided here, and answers it over the link that it
// came on.
func (h *Server) handleForwardedRequest(l *link, r *controlmsg.Request) {
	h.loop.do(func() {
		h.loop.submit(*r, func(status int, body []byte) {
			l.Send(&controlmsg.Frame{Response: &controlmsg.Response{Number: r.Number, Status: status, Body: body}})
		})
	})
}

// handleLinkDown follows the end of a link that another process dialled.
func (h *Server) handleLinkDown(l *link) {
	h.pending.failLink(l)
	h.state.do(func() { h.state.agents.remove(l) })
}
