package controlplane

import (
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
)

// handleFrame gives a frame to the owner of what it is about. It runs in the link's reading goroutine.
func (h *Server) handleFrame(from *link, frame *controlmsg.Frame) {
	switch {
	case frame.Consensus != nil:
		h.handleConsensusMessage(from, frame.Consensus)
	case frame.Hello != nil:
		h.cores.noteHello(from, frame.Hello)
		controlmsg.HandleHello(from, frame.Hello)
	case frame.Request != nil:
		h.handleForwardedRequest(from, frame.Request)
	case frame.Response != nil:
		h.pending.answer(from, frame.Response)
	default:
		h.state.do(func() { h.state.handleFrame(from, frame) })
	}
}

func (h *Server) handleConsensusMessage(from *link, message *consensus.Message) {
	h.loop.offer(func() { // a message that finds no room is lost, as on a link
		if message.From.Addr != "" {
			h.cores.noteSender(message.From.Addr, from)
		}
		h.loop.node.Step(message, h.now())
		h.loop.notifyCommitted() // the next message may bring an entry that replaces this one
	})
}

// handleForwardedRequest has a request of another core machine decided here, and answers it over the link that it
// came on.
func (h *Server) handleForwardedRequest(from *link, r *controlmsg.Request) {
	respond := func(status int, body []byte) {
		from.Send(&controlmsg.Frame{Response: &controlmsg.Response{Number: r.Number, Status: status, Body: body}})
	}
	if !h.loop.offer(func() { h.loop.submit(*r, respond) }) {
		busy := answerTo(errBusy)
		respond(busy.status, busy.body)
	}
}

// handleLinkDown follows the end of a link that another process dialled.
func (h *Server) handleLinkDown(down *link) {
	h.pending.failLink(down)
	h.cores.forgetSender(down)
	h.state.do(func() { h.state.agents.remove(down) })
}
