package consensus

// progress is what a leader knows of another voter, or of a machine that wants to vote. It begins anew with
// each lead.
type progress struct {
	// match is the entry that the peer held synced when it answered ackedRound. It may be older than what it
	// holds, never newer, as long as the peer's disk keeps it; another disk is another peer.
	match entryID
	// ackedRound is the newest heartbeat round that the peer has answered in the leader's term; 0: none.
	ackedRound uint64
	// lastResponse is when the peer last answered, in the leader's milliseconds. Before its first answer it
	// is when the leader began to count its silence.
	lastResponse float64

	inflight  inflightEntry
	clock     peerClock
	clockRate clockRate
}

// inflightEntry is the entry that was last sent to a peer, so that it isn't sent with each heartbeat.
type inflightEntry struct {
	index  uint64  // 0: none, or it is known lost
	round  uint64  // of the heartbeat that bore it: an answer to that one or a later one shows whether it came
	sentAt float64 // the leader's milliseconds
}

// peerClock is a reading of a peer's steady clock, by its newest answer.
type peerClock struct {
	reading     float64 // the peer's milliseconds; 0: none came
	receivedAt  float64 // the leader's milliseconds
	incarnation uint32  // of the peer's process: its clock begins anew with each
}

// recordResponse takes an answer. An answer to an earlier round than ackedRound was overtaken and says
// nothing of what is synced now.
func (p *progress) recordResponse(msg *Message, now float64) {
	p.lastResponse = now
	p.clock = peerClock{reading: msg.Clock, receivedAt: now, incarnation: msg.Incarnation}
	if msg.Round >= p.ackedRound {
		p.ackedRound, p.match = msg.Round, msg.lastID()
	}
}

// silentFor is for how many milliseconds the peer has not answered.
func (p *progress) silentFor(now float64) float64 { return now - p.lastResponse }

// lacksLast says that a peer is not known to hold the leader's last entry.
func (n *Node) lacksLast(peer *progress) bool { return peer.match != n.HardState.Last.id() }

// PeerStatus is how far another voter is, as the leader knows it. Its JSON form is shown by the control
// plane's status call.
type PeerStatus struct {
	Voter
	Index  uint64  // of the entry that it holds synced
	Behind bool    // it lacks the leader's last entry
	Silent float64 // milliseconds since its last answer; below 0: none came
	// ClockDrift is by how much its clock is proved to run faster than the leader's, in parts of one, where that is more
	// than MaxClockDrift; else 0.
	ClockDrift float64 `json:",omitempty"`
}

// PeerStatuses gives the other voters' in the order of the voters; nil where this node does not lead.
func (n *Node) PeerStatuses(now float64) (out []PeerStatus) {
	if n.role != Leader {
		return nil
	}
	last := &n.HardState.Last
	for _, v := range last.Voters {
		if v.ID == n.HardState.ID {
			continue
		}
		s := PeerStatus{Voter: v, Behind: true, Silent: -1}
		if p := n.progress[v.ID]; p != nil {
			s.Index, s.Behind = p.match.index, p.match.index < last.Index || p.match.term < last.Term
			if p.lastResponse > 0 {
				s.Silent = p.silentFor(now)
			}
			if p.clockRate.drifts() {
				s.ClockDrift = p.clockRate.drift
			}
		}
		out = append(out, s)
	}
	return out
}
