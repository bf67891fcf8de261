package membership

// probe is this driver's probe in flight.
type probe struct {
	target     string // name
	id         uint64
	sentAt     float64
	indirectAt float64 // when other peers are asked to ping the target
	deadline   float64 // when the target is suspected
	indirect   bool    // other peers were asked
	helpers    int     // number of peers asked
	nacks      int     // number of nacks received from them
}

// relay is a ping that this driver sent on behalf of a peer.
type relay struct {
	requester string // address
	target    string // name
	probeID   uint64 // ID of the requester's probe
	expiresAt float64
}

// tickProbe advances the probe in flight, or starts one if it is due.
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

// startProbe pings a peer: a queued recheck of a suspect if there is one, otherwise the scheduled target.
func (f *Fleet) startProbe() {
	target := f.nextRecheck()
	if target == nil {
		target = f.scheduledTarget(uint64(f.now / f.options.Period))
	}
	if target == nil {
		return
	}
	f.probeSeq++
	healthFactor := 1 + float64(f.health)/2
	f.probe = &probe{target: target.Name, id: f.probeSeq, sentAt: f.now,
		indirectAt: f.now + directProbeShare*f.options.Period*healthFactor,
		deadline:   f.now + probeShare*f.options.Period*healthFactor}
	f.send(target.Address, Message{Kind: Ping, ProbeID: f.probeSeq, Target: target.Name})
}

// nextRecheck dequeues the next peer to recheck that is still suspected, or returns nil.
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

// scheduledTarget returns the peer that this driver pings in a period, or nil if there is none. The period's number
// comes from the roughly common clock of all drivers, so that each driver is pinged by one other in each period.
func (f *Fleet) scheduledTarget(period uint64) *peer {
	n, before := 0, 0 // live peers; those that sort before this driver
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
	skip := (before + int(period%uint64(n))) % n // index in the list of live peers, rotated by period
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

// advanceProbe asks other peers to ping if no ack arrived in time, and ends the probe at its deadline.
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

// probeIndirectly asks some peers to ping the target.
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

// failProbe ends a probe without an answer: the target is suspected, unless another message arrived from it since.
// Missing nacks degrade this driver's own health score (Lifeguard, section 4).
func (f *Fleet) failProbe(target *peer) {
	p := f.probe
	f.probe = nil
	if target.lastDirect >= p.sentAt { // it is alive although the ack was lost
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

// receivePingRequest pings a driver on behalf of a peer, and sends a nack immediately if it was not heard recently.
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

// receiveAck handles an ack of this driver's own probe, or relays one of a ping on behalf of a peer.
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

// receiveNack counts a helper that is alive but has not heard the target.
func (f *Fleet) receiveNack(msg *Message) {
	if p := f.probe; p != nil && p.id == msg.ProbeID {
		p.nacks++
	}
}

// probeAnswered records that a probe was answered.
func (f *Fleet) probeAnswered() {
	if f.unconfirmed || f.missedProbes > 0 {
		f.nextAssessment = 0
	}
	f.missedProbes, f.health, f.unconfirmed = 0, max(0, f.health-1), false
}

// probeFailedPeer occasionally pings a random failed peer, which may be behind a partition that has healed. All drivers
// together ping each failed peer about twice per period.
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

// resumeAfterPause handles a gap between two ticks as a pause of this driver: the probe in flight is void, suspects had
// no chance to refute, and this driver's view may be stale.
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
	f.rosterState.abandonRounds()
	if p := f.randomPeer(notEnded); p != nil {
		f.pending.SyncWith = append(f.pending.SyncWith, p.Address)
	}
	f.nextProbe = now
}
