package membership

// probe is the one that this driver has out.
type probe struct {
	target     string // name
	id         uint64
	sentAt     float64
	indirectAt float64 // others are requested to ping from then on
	deadline   float64 // the target is suspected then
	indirect   bool    // others were requested
	helpers    int     // how many
	nacks      int     // of theirs
}

// relay is a ping that this driver sent for a peer.
type relay struct {
	requester string // address
	target    string // name
	probeID   uint64 // of the requester's probe
	expiresAt float64
}

// tickProbe goes on with the probe that is out, or begins one where it is time.
func (f *Fleet) tickProbe(now float64) {
	f.advanceProbe()
	if now >= f.nextProbe && f.probe == nil {
		period := f.options.Period
		f.nextProbe = max(f.nextProbe+period, now+period/2) + 0.25*period*float64(f.health)
		f.startProbe()
		f.probeFailedPeer()
	}
	for id, r := range f.relays {
		if now >= r.expiresAt {
			delete(f.relays, id)
		}
	}
}

// startProbe pings a peer: one that others suspect, if it is to be rechecked, or the one whose turn it is.
func (f *Fleet) startProbe() {
	target := f.nextRecheck()
	if target == nil {
		target = f.scheduledTarget(uint64(f.now / f.options.Period))
	}
	if target == nil {
		return
	}
	f.probeSeq++
	slow := 1 + float64(f.health)/2
	f.probe = &probe{target: target.Name, id: f.probeSeq, sentAt: f.now,
		indirectAt: f.now + directProbeShare*f.options.Period*slow, deadline: f.now + probeShare*f.options.Period*slow}
	f.send(target.Address, Message{Kind: Ping, ProbeID: f.probeSeq, Target: target.Name})
}

// nextRecheck takes the next peer to be rechecked that is still suspected; nil: there is none.
func (f *Fleet) nextRecheck() *peer {
	for len(f.recheck) > 0 {
		suspect := f.peersByName[f.recheck[0]]
		f.recheck = f.recheck[1:]
		if suspect != nil && suspect.State == Suspect {
			return suspect
		}
	}
	return nil
}

// scheduledTarget is whom this driver pings in a period; nil: there is nobody. Turns go by the clock that all
// drivers share, about, so that in each period each driver is pinged by one other.
func (f *Fleet) scheduledTarget(period uint64) *peer {
	n, before := 0, 0 // of the peers; of those before this driver
	for _, p := range f.peers {
		if !p.State.ended() {
			if n++; p.Name < f.self.Name {
				before++
			}
		}
	}
	if n == 0 {
		return nil
	}
	skip := (before + int(period%uint64(n))) % n // the peers, without this driver, from the next one on
	for _, p := range f.peers {
		if !p.State.ended() {
			if skip == 0 {
				return p
			}
			skip--
		}
	}
	return nil
}

// advanceProbe requests others to ping where no ack came, and suspects a target that did not answer them either.
func (f *Fleet) advanceProbe() {
	if f.probe == nil {
		return
	}
	target := f.peersByName[f.probe.target]
	if target == nil || target.State.ended() {
		f.probe = nil
		return
	}
	if !f.probe.indirect && f.now >= f.probe.indirectAt {
		f.probeIndirectly(target)
	}
	if f.now >= f.probe.deadline {
		f.failProbe(target)
	}
}

// probeIndirectly requests some peers to ping the target.
func (f *Fleet) probeIndirectly(target *peer) {
	p := f.probe
	p.indirect = true
	if !target.unanswered {
		target.unanswered, target.reprobes, target.nextReprobe = true, 0, f.now+f.options.Period
	}
	helps := func(helper *peer) bool { return helper.State == Alive && helper.Name != target.Name }
	f.randomPeers(indirectProbes, helps, func(helper *peer) {
		p.helpers++
		f.send(helper.Address, Message{Kind: PingRequest, ProbeID: p.id, Target: target.Name, TargetAddress: target.Address})
	})
}

// failProbe ends a probe that nobody answered: the target is suspected unless it was heard otherwise. Nacks
// that are missing tell of this driver's own health (Lifeguard, section 4).
func (f *Fleet) failProbe(target *peer) {
	p := f.probe
	f.probe = nil
	if target.lastDirect >= p.sentAt { // it lives, whatever became of the answer
		return
	}
	f.missedProbes++
	if p.nacks < p.helpers || p.helpers == 0 && f.aliveCount() > 1 {
		f.health = min(maxHealth, f.health+1)
	}
	r := target.Record
	r.State, r.ReportedBy = Suspect, f.self.Name
	f.applyRecord(r)
}

// receivePingRequest pings another driver for a peer, and answers by a nack at once where that is not heard here.
func (f *Fleet) receivePingRequest(msg *Message) {
	if len(f.relays) >= maxRelays || msg.Target == f.self.Name || len(msg.TargetAddress) > maxNameBytes {
		return
	}
	f.probeSeq++
	f.relays[f.probeSeq] = &relay{requester: msg.From.Address, target: msg.Target, probeID: msg.ProbeID,
		expiresAt: f.now + 2*f.options.Period}
	f.send(msg.TargetAddress, Message{Kind: Ping, ProbeID: f.probeSeq, Target: msg.Target})
	if p := f.peersByName[msg.Target]; p == nil || p.lastDirect < f.now-nackShare*f.options.Period {
		f.send(msg.From.Address, Message{Kind: Nack, ProbeID: msg.ProbeID, Target: msg.Target})
	}
}

// receiveAck takes an answer to a ping, of this driver's own probe or one that it sent for a peer.
func (f *Fleet) receiveAck(msg *Message) {
	if r := f.relays[msg.ProbeID]; r != nil && r.target == msg.Target {
		delete(f.relays, msg.ProbeID)
		f.send(r.requester, Message{Kind: Ack, ProbeID: r.probeID, Target: r.target, Records: []Record{msg.From}})
	}
	if p := f.probe; p != nil && p.id == msg.ProbeID && p.target == msg.Target {
		f.probe = nil
		f.probeAnswered()
		if target := f.peersByName[p.target]; target != nil && msg.From.Name == p.target {
			target.unanswered = false
		}
	}
}

// receiveNack counts that a helper lives and did not hear the target.
func (f *Fleet) receiveNack(msg *Message) {
	if p := f.probe; p != nil && p.id == msg.ProbeID {
		p.nacks++
	}
}

// probeAnswered notes a sign of life that this driver asked for.
func (f *Fleet) probeAnswered() {
	if f.unconfirmed || f.missedProbes > 0 {
		f.nextAssessment = 0
	}
	f.missedProbes, f.health, f.unconfirmed = 0, max(0, f.health-1), false
}

// probeFailedPeer pings one of those that have failed, now and then: they may be behind a partition that has
// healed. All drivers together ping each about twice a period.
func (f *Fleet) probeFailedPeer() {
	failed, alive := 0, 1
	for _, p := range f.peers {
		switch p.State {
		case Failed:
			failed++
		case Alive:
			alive++
		}
	}
	if failed == 0 || f.random.Float64() > 2*float64(failed)/float64(alive) {
		return
	}
	if p := f.randomPeer(func(p *peer) bool { return p.State == Failed }); p != nil {
		f.send(p.Address, Message{Kind: Ping, Target: p.Name, Records: []Record{p.Record}})
	}
}

// resumeAfterPause blames a gap between two ticks on this driver itself: no probe was waited for, nobody had a
// chance to refute a suspicion, and what it takes for true may be old.
func (f *Fleet) resumeAfterPause(now, gap float64) {
	f.emit("stood_still", f.self.Name, "")
	f.probe, f.missedProbes = nil, 0
	f.health = min(maxHealth, f.health+1+int(gap/(4*f.options.Period)))
	for _, p := range f.peers {
		if p.State == Suspect {
			p.suspicion.beganAt += gap
		}
		p.lastDirect += gap
		p.unanswered = false
	}
	f.relays = map[uint64]*relay{}
	f.uncertainUntil, f.unconfirmed, f.nextAssessment = now+2*f.options.Period, true, 0
	f.rosterState.abandon()
	if p := f.randomPeer(expected); p != nil {
		f.pending.SyncWith = append(f.pending.SyncWith, p.Address)
	}
	f.nextProbe = now
}
