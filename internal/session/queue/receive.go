package queue

// This file owns which part of the package takes which message of a site or an edge.

// Receive takes an envelope of a site or an edge.
func (s *Site) Receive(from string, envelope *Envelope, now float64) {
	if s.Epoch == 0 || s.current == nil {
		if envelope.Kind == KindAttach {
			s.reject(from, envelope, reasonNotNow)
		}
		return
	}
	if site, ok := s.current.Sites[from]; ok && envelope.SiteEpoch != site.Epoch {
		return // of another incarnation, or of one that this site has not heard of yet: it is sent again
	}
	switch envelope.Kind {
	case KindAttach:
		s.attach(from, envelope, now)
	case KindLocate:
		s.receiveLocate(from, envelope, now)
	case KindAck, KindPublish, KindDetach:
		s.receiveFromEdge(from, envelope, now)
	case KindSnapshot:
		s.receiveSnapshot(from, envelope)
	case KindReplicate:
		s.receiveOps(from, envelope)
	case KindReplicateAck:
		s.receiveReplicateAck(from, envelope, now)
	case KindHandOver:
		s.acceptHandOver(from, envelope, now)
	case KindHandOverDone:
		s.receiveHandOverDone(from, envelope)
	case KindDiscard:
		s.receiveDiscard(envelope)
	case KindTakeOverRequest:
		s.receiveTakeOverRequest(from, envelope, now)
	}
}

// reject answers a KindAttach.
func (s *Site) reject(edge string, attach *Envelope, reason string) {
	s.send(edge, Envelope{Kind: KindRejected, Session: attach.Session, Socket: attach.Socket, Reason: reason})
}

// receiveLocate answers an edge that looks for a session's owner.
func (s *Site) receiveLocate(from string, envelope *Envelope, now float64) {
	if sess := s.owned[envelope.Session]; sess != nil && s.holdsLease(now) {
		s.send(from, Envelope{Kind: KindRedirect, Session: envelope.Session, Socket: envelope.Socket, Owner: s.Name,
			Replicas: sess.Replicas, Epoch: sess.Epoch})
	}
}

// redirect tells the edge of a session's socket who owns it.
func (s *Site) redirect(sess *session, owner string, replicas []string, epoch uint64) {
	s.send(sess.edge, Envelope{Kind: KindRedirect, Session: sess.id, Socket: sess.socket, Owner: owner,
		Replicas: replicas, Epoch: epoch})
}
