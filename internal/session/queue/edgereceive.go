package queue

// This file handles the envelopes that an edge receives from sites.

// Receive handles an envelope of a site.
func (e *Edge) Receive(from string, envelope *Envelope, now float64) {
	sock := e.sockets[envelope.Socket]
	if sock == nil || sock.session != envelope.Session || envelope.Epoch > 0 && envelope.Epoch < sock.epoch {
		return
	}
	fromOwner := from == sock.owner
	switch envelope.Kind {
	case KindAttached:
		if fromOwner {
			e.receiveAttached(sock, envelope, now)
		}
	case KindDeliver:
		if fromOwner && sock.attached {
			e.receiveDeliver(sock, envelope)
		}
	case KindPublishAck:
		if fromOwner && sock.attached {
			e.receivePublishAck(sock, envelope.Number)
		}
	case KindRedirect:
		e.receiveRedirect(sock, envelope, now)
	case KindRejected:
		if fromOwner && !sock.attached && envelope.Reason == reasonUnknown {
			sock.owner = ""
		}
	case KindDetach:
		if fromOwner {
			e.endSocket(sock, "another connection has taken its place", false)
		}
	}
}

func (e *Edge) receiveAttached(sock *socket, envelope *Envelope, now float64) {
	if sock.connection > 0 && !sock.attached {
		e.addOwnerGap(now - sock.detachedAt)
	}
	firstAttach := !sock.opened
	sock.delivered = max(sock.delivered, envelope.Base) // received by the client over an earlier connection
	sock.attached, sock.opened, sock.attachAttempts = true, true, 0
	sock.epoch, sock.connection, sock.replicas = envelope.Epoch, envelope.Connection, envelope.Replicas
	if firstAttach {
		sock.lastPublished = max(sock.lastPublished, envelope.Number)
		e.emit(ClientEvent{Kind: EventOpened, Socket: sock.id, Number: envelope.Number, Secret: sock.secret,
			Session: sock.session})
	} else {
		e.receivePublishAck(sock, envelope.Number)
	}
	e.republish(sock, now)
}

// receiveDeliver sends the client the messages that follow the last one sent to it.
func (e *Edge) receiveDeliver(sock *socket, envelope *Envelope) {
	sock.epoch = envelope.Epoch
	for _, m := range envelope.Messages {
		if m.Number == sock.delivered+1 {
			sock.delivered = m.Number
			e.emit(ClientEvent{Kind: EventMessage, Socket: sock.id, Number: m.Number, Body: m.Body})
		}
	}
}

// receivePublishAck handles the acknowledgement that the client's messages up to a number are replicated.
func (e *Edge) receivePublishAck(sock *socket, number uint64) {
	unackedBefore := len(sock.unacked)
	for len(sock.unacked) > 0 && sock.unacked[0].Number <= number {
		sock.unacked = sock.unacked[1:]
	}
	if len(sock.unacked) != unackedBefore {
		e.emit(ClientEvent{Kind: EventPublishAcked, Socket: sock.id, Number: number})
	}
}

// receiveRedirect attaches a socket to the owner that a site has named.
func (e *Edge) receiveRedirect(sock *socket, envelope *Envelope, now float64) {
	if sock.attached && sock.owner == envelope.Owner && envelope.Epoch <= sock.epoch {
		return
	}
	sock.detach(now)
	sock.owner, sock.replicas, sock.nextAttachAt = envelope.Owner, envelope.Replicas, now+locateInterval
	e.attach(sock)
}
