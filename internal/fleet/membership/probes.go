package membership

// This file owns whom this driver asks for a sign of life, when it suspects, and what a driver that stood still blames
// on itself. It must never take a driver for failed that got through to anybody in time, as far as word of that came
// here.

import (
	"math"
	"slices"
)

// advanceSuspicions ends suspicions that have lasted.
func (f *Fleet) advanceSuspicions() {
	for _, m := range slices.Clone(f.suspects) {
		if m.State != Suspect {
			continue
		}
		switch at := f.suspicionDeadline(m); {
		case f.now >= at:
			r := m.Record
			r.State, r.ReportedBy = Failed, f.self.Name
			f.applyRecord(r)
		// its denial may not have come here
		case len(m.accusers) <= maxConfirmations && f.now >= at-lastProbeBefore*f.options.Period && f.now >= m.nextReprobe:
			m.nextReprobe = f.now + f.options.Period/2
			f.send(m.Address, Message{Kind: Ping, Target: m.Name, Records: []Record{m.Record}})
		}
	}
	f.suspects = slices.DeleteFunc(f.suspects, func(m *peer) bool { return m.State != Suspect })
}

// checkReachability asks again who did not answer straight, and notes who is not heard. One lost datagram says nothing, and word
// that somebody is not heard goes to all.
func (f *Fleet) checkReachability() {
	for _, m := range f.peers {
		switch {
		case m.State.ended() || m.unreachable || !m.unanswered || f.now < m.nextReprobe:
		case m.reprobes < maxReprobes:
			m.reprobes, m.nextReprobe = m.reprobes+1, f.now+f.options.Period
			f.send(m.Address, Message{Kind: Ping, Target: m.Name})
		case f.now-max(m.lastDirect, m.aliveSince) > f.unreachableAfter():
			f.setReachable(m, false)
		}
	}
}

// resumeAfterPause blames a gap on this driver itself: no probe was waited for, nobody had a chance to deny what is
// suspected, and what it holds for true may be old.
func (f *Fleet) resumeAfterPause(now, gap float64) {
	f.emit("stood_still", f.self.Name, "")
	f.probe, f.missedProbes = nil, 0
	f.health = min(maxHealth, f.health+1+int(gap/(4*f.options.Period)))
	for _, m := range f.peers {
		if m.State == Suspect {
			m.suspectedAt += gap
		}
		m.lastDirect += gap
		m.unanswered = false
	}
	f.relays = map[uint64]*relay{}
	f.uncertainUntil, f.unconfirmed, f.nextAssessment = now+2*f.options.Period, true, 0
	f.rosterConsensus.abandon()
	if m := f.randomPeer(func(m *peer) bool { return !m.State.ended() }); m != nil {
		f.pending.SyncWith = append(f.pending.SyncWith, m.Address)
	}
	f.nextProbe = now
}

// unreachableAfter is for how long a peer may not be heard straight before that is told.
func (f *Fleet) unreachableAfter() float64 {
	return f.options.Period * (1 + float64(f.health)/2) * min(max(minUnreachableAfter, float64(2*len(f.peers))), maxUnreachableAfter)
}

// suspicionDeadline is when a suspicion becomes certain: the more confirm it the sooner, the less well this driver was the
// later.
func (f *Fleet) suspicionDeadline(m *peer) float64 {
	least, most := minSuspicion*f.options.Period, maxSuspicion*f.options.Period
	could := 0 // confirm it
	for _, o := range f.peers {
		if o.State == Alive && o != m {
			if could++; could == maxConfirmations {
				break
			}
		}
	}
	length := least
	if could > 0 {
		length = max(least, most-(most-least)*math.Log(float64(len(m.accusers)))/math.Log(float64(could+1)))
	}
	return m.suspectedAt + length*m.suspicionScale
}

// randomPeer draws a peer that fits, nil where there is none.
func (f *Fleet) randomPeer(fits func(*peer) bool) *peer {
	if len(f.peers) == 0 {
		return nil
	}
	for range 8 {
		if m := f.peers[f.random.IntN(len(f.peers))]; fits(m) {
			return m
		}
	}
	var found *peer
	n := 0
	for _, m := range f.peers {
		if fits(m) {
			if n++; f.random.IntN(n) == 0 {
				found = m
			}
		}
	}
	return found
}

// startProbe asks a peer whether it lives: one that others suspect, if it is to be looked at, or the one whose turn it
// is. Turns go by the clock that all drivers share, about, so that in each period each driver is asked by one other.
func (f *Fleet) startProbe() {
	var m *peer
	for len(f.recheck) > 0 && m == nil {
		if m = f.peersByName[f.recheck[0]]; m == nil || m.State != Suspect {
			m = nil
		}
		f.recheck = f.recheck[1:]
	}
	if m == nil {
		m = f.scheduledTarget(uint64(f.now / f.options.Period))
	}
	if m == nil {
		return
	}
	f.probeSeq++
	slow := 1 + float64(f.health)/2
	f.probe = &probe{name: m.Name, id: f.probeSeq, sentAt: f.now, indirectAt: f.now + directProbeShare*f.options.Period*slow,
		deadline: f.now + 0.95*f.options.Period*slow}
	f.send(m.Address, Message{Kind: Ping, ProbeID: f.probeSeq, Target: m.Name})
}

// scheduledTarget is whom this driver asks in a period; nil where there is nobody.
func (f *Fleet) scheduledTarget(period uint64) *peer {
	n, own := 0, 0 // of the peers; of those before this driver
	for _, m := range f.peers {
		if !m.State.ended() {
			if n++; m.Name < f.self.Name {
				own++
			}
		}
	}
	if n == 0 {
		return nil
	}
	at := (own + int(period%uint64(n))) % n // the peers, without this driver, from the next one on
	for _, m := range f.peers {
		if !m.State.ended() {
			if at == 0 {
				return m
			}
			at--
		}
	}
	return nil
}

// advanceProbe asks others where no answer came, and suspects who did not answer them either.
func (f *Fleet) advanceProbe() {
	p := f.probe
	if p == nil {
		return
	}
	m := f.peersByName[p.name]
	if m == nil || m.State.ended() {
		f.probe = nil
		return
	}
	if !p.indirect && f.now >= p.indirectAt {
		if p.indirect = true; !m.unanswered {
			m.unanswered, m.reprobes, m.nextReprobe = true, 0, f.now+f.options.Period
		}
		asked := map[string]bool{p.name: true}
		for range indirectProbes {
			h := f.randomPeer(func(h *peer) bool { return h.State == Alive && !asked[h.Name] })
			if h == nil {
				break
			}
			asked[h.Name] = true
			p.helpers++
			f.send(h.Address, Message{Kind: PingRequest, ProbeID: p.id, Target: m.Name, TargetAddress: m.Address})
		}
	}
	if f.now < p.deadline {
		return
	}
	f.probe = nil
	if m.lastDirect >= p.sentAt { // it lives, whatever became of the answer
		return
	}
	f.missedProbes++
	if short := p.helpers - p.nacks; short > 0 || p.helpers == 0 && f.aliveCount() > 1 {
		f.health = min(maxHealth, f.health+1)
	}
	r := m.Record
	r.State, r.ReportedBy = Suspect, f.self.Name
	f.applyRecord(r)
}

// probeAnswered notes a sign of life that this driver asked for.
func (f *Fleet) probeAnswered() {
	if f.unconfirmed || f.missedProbes > 0 {
		f.nextAssessment = 0
	}
	f.missedProbes, f.health, f.unconfirmed = 0, max(0, f.health-1), false
}

// probeFailedPeer tries some of those that have failed: they may be behind a cut that has healed. All drivers together try
// each about twice a period.
func (f *Fleet) probeFailedPeer() {
	failed, living := 0, 1
	for _, m := range f.peers {
		if m.State == Failed {
			failed++
		} else if m.State == Alive {
			living++
		}
	}
	if failed == 0 || f.random.Float64() > 2*float64(failed)/float64(living) {
		return
	}
	if m := f.randomPeer(func(m *peer) bool { return m.State == Failed }); m != nil {
		f.send(m.Address, Message{Kind: Ping, Target: m.Name, Records: []Record{m.Record}})
	}
}

// syncWithSeed exchanges whole states with a seed that is no peer yet.
func (f *Fleet) syncWithSeed() {
	known, living := map[string]bool{}, 0
	for _, m := range f.peers {
		if !m.State.ended() {
			known[m.Address] = true
			living++
		}
	}
	var unknown []string
	for _, s := range f.seeds {
		if !known[s] {
			unknown = append(unknown, s)
		}
	}
	pause := 2.0
	if living > 0 {
		pause = 10
	}
	f.nextSeedSync = f.now + f.options.Period*pause*(0.75+0.5*f.random.Float64())
	if len(unknown) > 0 {
		f.pending.SyncWith = append(f.pending.SyncWith, unknown[f.random.IntN(len(unknown))])
	}
}
