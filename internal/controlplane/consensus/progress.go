package consensus

// progress is a leader's view of another voter or of a joining machine. It is reset at each election to leader.
type progress struct {
	// match is the entry that the peer had synced when it answered ackedRound. It may be older than what the peer
	// holds now, but never newer while the peer keeps its disk; a peer that loses its disk gets a new ID.
	match entryID
	// ackedRound is the latest heartbeat round that the peer has answered in the leader's term; 0 if none.
	ackedRound uint64
	// lastResponse is when the peer last answered, in milliseconds of the leader's clock. Before the first answer it
	// is the time from which the peer's silence is counted.
	lastResponse float64

	inflight  inflightEntry
	clock     peerClock
	clockRate clockRate
}

// inflightEntry is the entry that was last sent to a peer. It avoids sending the entry again with each heartbeat.
type inflightEntry struct {
	index  uint64  // 0 if there is none, or if it is known to be lost
	round  uint64  // heartbeat round of the entry: an answer to this or a later round shows whether it arrived
	sentAt float64 // milliseconds on the leader's clock
}

// peerClock is the latest reading of a peer's monotonic clock.
type peerClock struct {
	reading     float64 // milliseconds on the peer's clock; 0 if there is no reading
	receivedAt  float64 // milliseconds on the leader's clock
	incarnation uint32  // of the peer's process: each process starts a new clock
}

// recordResponse records a peer's answer. An answer to an earlier round than ackedRound was delivered out of order and
// doesn't update match.
func (p *progress) recordResponse(msg *Message, now float64) {
	p.lastResponse = now
	p.clock = peerClock{reading: msg.Clock, receivedAt: now, incarnation: msg.Incarnation}
	if msg.Round >= p.ackedRound {
		p.ackedRound, p.match = msg.Round, msg.lastID()
	}
}

// silentFor returns the time in milliseconds since the peer's last answer.
func (p *progress) silentFor(now float64) float64 { return now - p.lastResponse }

// lacksLastEntry reports whether a peer is not known to hold the leader's last entry.
func (n *Node) lacksLastEntry(peer *progress) bool { return peer.match != n.HardState.Last.id() }

// PeerStatus describes another voter as the leader sees it. Its JSON form is part of the control plane's status
// response.
type PeerStatus struct {
	Voter
	Index  uint64  // index of the entry that the voter has synced
	Behind bool    // the voter lacks the leader's last entry
	Silent float64 // milliseconds since the voter's last answer; negative if there was none
	// ClockDrift is the proven amount by which the voter's clock runs faster than the leader's, as a fraction, if its
	// magnitude is above MaxClockDrift; 0 otherwise.
	ClockDrift float64 `json:",omitempty"`
}

// PeerStatuses returns the statuses of the other voters in the order of the voters, or nil if this node doesn't lead.
func (n *Node) PeerStatuses(now float64) (statuses []PeerStatus) {
	if n.role != Leader {
		return nil
	}
	last := &n.HardState.Last
	for _, v := range last.Voters {
		if v.ID == n.HardState.ID {
			continue
		}
		status := PeerStatus{Voter: v, Behind: true, Silent: -1}
		if p := n.progress[v.ID]; p != nil {
			status.Index, status.Behind = p.match.index, p.match.index < last.Index || p.match.term < last.Term
			if p.lastResponse > 0 {
				status.Silent = p.silentFor(now)
			}
			if p.clockRate.isDrifting() {
				status.ClockDrift = p.clockRate.drift
			}
		}
		statuses = append(statuses, status)
	}
	return statuses
}
