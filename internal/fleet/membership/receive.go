package membership

// Receive handles a message. A process with a peer's name but another run cannot act as that peer.
func (f *Fleet) Receive(now float64, msg Message) Output {
	f.advance(now)
	if !f.acceptable(&msg) {
		return f.takeOutput()
	}
	from, sameRun := f.receiveGossip(&msg)
	if f.leaving {
		return f.takeOutput()
	}
	f.respond(from, sameRun, &msg)
	if msg.Vote != nil {
		f.receiveVote(msg.From.Name, msg.From.Address, *msg.Vote)
	}
	if msg.DecidedChange != nil {
		f.receiveDecided(*msg.DecidedChange)
	}
	f.compareViews(from, &msg)
	f.updatePartition()
	return f.takeOutput()
}

// acceptable reports whether a message is valid and was not sent by this process.
func (f *Fleet) acceptable(msg *Message) bool {
	bounded := len(msg.Records) <= maxRecords && len(msg.Reachability) <= maxRecords
	return msg.From.valid() && bounded && !f.isSelf(&msg.From)
}

// isSelf reports whether a record describes this process.
func (f *Fleet) isSelf(r *Record) bool { return r.Name == f.self.Name && r.Run == f.self.Run }

// receiveGossip applies the sender's record and the gossip of a message. It returns the sender's peer, nil if it is not
// known, and whether the known process is the one that sent the message.
func (f *Fleet) receiveGossip(msg *Message) (from *peer, sameRun bool) {
	f.applyRecord(msg.From)
	from = f.peersByName[msg.From.Name]
	sameRun = from != nil && from.Run == msg.From.Run
	if sameRun && msg.Counter > from.lastCounter {
		from.lastCounter, from.lastDirect = msg.Counter, f.now
		f.setReachable(from, true)
	}
	f.applyAll(msg.Records, msg.Reachability)
	return from, sameRun
}

// applyAll applies records and reachabilities.
func (f *Fleet) applyAll(records []Record, reachability []Reachability) {
	for _, r := range records {
		f.applyRecord(r)
	}
	for i := range reachability {
		f.receiveReachability(reachability[i])
	}
}

// respond answers a message by its kind. If this driver's record of the sender is not alive or has another run, the
// record is sent back, with the answer or in a separate message, so that the sender can refute it.
func (f *Fleet) respond(from *peer, sameRun bool, msg *Message) {
	var correction []Record
	if from != nil && (from.State != Alive || from.Run != msg.From.Run) {
		correction = []Record{from.Record}
	}
	switch msg.Kind {
	case Ping:
		if msg.Target == f.self.Name {
			f.send(msg.From.Address, Message{Kind: Ack, ProbeID: msg.ProbeID, Target: f.self.Name, Records: correction})
			correction = nil
		}
	case PingRequest:
		if sameRun {
			f.receivePingRequest(msg)
		}
	case Ack:
		f.receiveAck(msg)
	case Nack:
		f.receiveNack(msg)
	case Gossip:
	}
	if correction != nil && msg.Kind != Ack { // answering an ack could continue forever
		f.send(msg.From.Address, Message{Kind: Gossip, Target: msg.From.Name, Records: correction})
	}
}

// Snapshot returns this driver's full state.
func (f *Fleet) Snapshot() Snapshot {
	s := Snapshot{From: f.self, Roster: f.roster}
	for _, p := range f.peers {
		s.Records = append(s.Records, p.Record)
		if len(p.reachability.Unreachable) > 0 {
			s.Reachability = append(s.Reachability, p.reachability)
		}
	}
	if len(f.reachability.Unreachable) > 0 {
		s.Reachability = append(s.Reachability, f.reachability)
	}
	return s
}

// Merge merges a peer's full state: its records first, then its roster.
func (f *Fleet) Merge(now float64, snapshot Snapshot) Output {
	f.advance(now)
	if snapshot.From.valid() && !f.isSelf(&snapshot.From) {
		f.applyRecord(snapshot.From)
		f.applyAll(snapshot.Records, snapshot.Reachability)
		if snapshot.Roster != nil {
			f.receiveRoster(*snapshot.Roster)
		}
		f.updatePartition()
	}
	return f.takeOutput()
}
