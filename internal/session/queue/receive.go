package queue

// This file dispatches the envelopes that a site receives.

// Receive handles an envelope of a site or an edge.
func (s *Site) Receive(from string, envelope *Envelope, now float64) {
	if s.Epoch == 0 || s.current == nil {
		if envelope.Kind == KindAttach {
			s.reject(from, envelope, reasonNotNow)
		}
		return
	}
	if site, ok := s.current.Sites[from]; ok && envelope.SiteEpoch != site.Epoch {
		return // from another incarnation than this site's map has; if the map is outdated, the message will be sent again
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

// reject answers a KindAttach with a rejection.
func (s *Site) reject(edge string, attach *Envelope, reason string) {
	s.send(edge, Envelope{Kind: KindRejected, Session: attach.Session, Socket: attach.Socket, Reason: reason})
}

// receiveLocate answers an edge that asks for a session's owner.
func (s *Site) receiveLocate(from string, envelope *Envelope, now float64) {
	if sess := s.owned[envelope.Session]; sess != nil && s.holdsLease(now) {
		s.send(from, Envelope{Kind: KindRedirect, Session: envelope.Session, Socket: envelope.Socket, Owner: s.Name,
			Replicas: sess.Replicas, Epoch: sess.Epoch})
	}
}

// redirect tells the edge of a session's socket which site owns the session.
func (s *Site) redirect(sess *session, owner string, replicas []string, epoch uint64) {
	s.send(sess.edge, Envelope{Kind: KindRedirect, Session: sess.id, Socket: sess.socket, Owner: owner,
		Replicas: replicas, Epoch: epoch})
}
