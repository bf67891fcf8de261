package membership

// Receive takes a message. What a stranger under a peer's name or address says of itself counts for nothing.
func (f *Fleet) Receive(now float64, msg Message) Output {
	f.advance(now)
	if !f.acceptable(&msg) {
		return f.takeOutput()
	}
	from, known := f.receiveGossip(&msg)
	if f.leaving {
		return f.takeOutput()
	}
	f.respond(from, known, &msg)
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

// acceptable says that a message can be true, and is not this process's own.
func (f *Fleet) acceptable(msg *Message) bool {
	bounded := len(msg.Records) <= maxRecords && len(msg.Reachability) <= maxRecords
	return msg.From.valid() && bounded && !f.isSelf(&msg.From)
}

// isSelf says that a record is of this process.
func (f *Fleet) isSelf(r *Record) bool { return r.Name == f.self.Name && r.Run == f.self.Run }

// receiveGossip takes what a message says of drivers, and gives what is known of its sender (nil: it is no
// peer), and whether the sender is that process.
func (f *Fleet) receiveGossip(msg *Message) (from *peer, known bool) {
	f.applyRecord(msg.From)
	from = f.peersByName[msg.From.Name]
	known = from != nil && from.Run == msg.From.Run
	if known && msg.Counter > from.lastCounter {
		from.lastCounter, from.lastDirect = msg.Counter, f.now
		f.setReachable(from, true)
	}
	f.applyAll(msg.Records, msg.Reachability)
	return from, known
}

// applyAll takes records of drivers and whom they don't hear.
func (f *Fleet) applyAll(records []Record, reachability []Reachability) {
	for _, r := range records {
		f.applyRecord(r)
	}
	for i := range reachability {
		f.receiveReachability(reachability[i])
	}
}

// respond answers by the message's kind. A sender whose record here is of another process, or isn't alive, gets that
// record, with the answer or in a message of its own, so that it can refute it.
func (f *Fleet) respond(from *peer, known bool, msg *Message) {
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
		if known {
			f.receivePingRequest(msg)
		}
	case Ack:
		f.receiveAck(msg)
	case Nack:
		f.receiveNack(msg)
	case Gossip:
	}
	if correction != nil && msg.Kind != Ack { // an answer to an answer could go on for ever
		f.send(msg.From.Address, Message{Kind: Gossip, Target: msg.From.Name, Records: correction})
	}
}

// Snapshot is all that this driver knows.
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

// Merge takes all that a peer knows: who lives and who does not, then the roster.
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
