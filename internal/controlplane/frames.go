package controlplane

import (
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
)

// handleFrame passes a frame to the owner of the state that it concerns. It runs in the link's reading goroutine.
func (srv *Server) handleFrame(from *link, frame *controlmsg.Frame) {
	switch {
	case frame.Consensus != nil:
		srv.handleConsensusMessage(from, frame.Consensus)
	case frame.Hello != nil:
		srv.cores.recordHello(from, frame.Hello)
		controlmsg.HandleHello(from, frame.Hello)
	case frame.Request != nil:
		srv.handleForwardedRequest(from, frame.Request)
	case frame.Response != nil:
		srv.pending.answer(from, frame.Response)
	default:
		srv.state.enqueue(func() { srv.state.handleFrame(from, frame) })
	}
}

func (srv *Server) handleConsensusMessage(from *link, message *consensus.Message) {
	srv.loop.offer(func() { // if the queue is full the message is lost, as it might be on the network
		if message.From.Addr != "" {
			srv.cores.recordSender(message.From.Addr, from)
		}
		srv.loop.node.Step(message, srv.now())
		srv.loop.notifyCommitted() // the next message may replace this entry
	})
}

// handleForwardedRequest has a request from another core machine decided here, and answers it on the same link.
func (srv *Server) handleForwardedRequest(from *link, r *controlmsg.Request) {
	respond := func(status int, body []byte) {
		from.Send(&controlmsg.Frame{Response: &controlmsg.Response{Number: r.Number, Status: status, Body: body}})
	}
	if !srv.loop.offer(func() { srv.loop.submit(*r, respond) }) {
		busy := errorAnswer(errBusy)
		respond(busy.status, busy.body)
	}
}

// handleLinkDown cleans up after a link that another process dialled has ended.
func (srv *Server) handleLinkDown(down *link) {
	srv.pending.failLink(down)
	srv.cores.removeSender(down)
	srv.state.enqueue(func() { srv.state.agents.remove(down) })
}
