package membership

// This file owns whom this driver asks for a sign of life, when it suspects, and what a driver that stood still blames
// on itself. It must never take a driver for failed that got through to anybody in time, as far as word of that came
// here.

import (
	"math"
	"slices"
)

// lookAtDoubted ends suspicions that have lasted.
func (f *Fleet) lookAtDoubted() {
	for _, m := range slices.Clone(f.suspects) {
		if m.State != Suspect {
			continue
		}
		switch at := f.deadline(m); {
		case f.now >= at:
			r := m.Record
			r.State, r.ReportedBy = Failed, f.self.Name
			f.apply(r)
		// its denial may not have come here
		case len(m.by) <= confirmers && f.now >= at-askBefore*f.rules.Period && f.now >= m.again:
			m.again = f.now + f.rules.Period/2
			f.send(m.Address, Message{Kind: Ping, Target: m.Name, Records: []Record{m.Record}})
		}
	}
	f.suspects = slices.DeleteFunc(f.suspects, func(m *member) bool { return m.State != Suspect })
}

// look asks again who did not answer straight, and notes who is not heard. One lost datagram says nothing, and word
// that somebody is not heard goes to all.
func (f *Fleet) look() {
	for _, m := range f.list {
		switch {
		case m.State.ended() || m.deaf || !m.silent || f.now < m.again:
		case m.tries < straight:
			m.tries, m.again = m.tries+1, f.now+f.rules.Period
			f.send(m.Address, Message{Kind: Ping, Target: m.Name})
		case f.now-max(m.fresh, m.met) > f.deafAfter():
			f.hear(m, false)
		}
	}
}

// stoodStill blames a gap on this driver itself: no probe was waited for, nobody had a chance to deny what is
// suspected, and what it holds for true may be old.
func (f *Fleet) stoodStill(now, gap float64) {
	f.note("stood_still", f.self.Name, "")
	f.probe, f.missed = nil, 0
	f.health = min(healthMost, f.health+1+int(gap/(4*f.rules.Period)))
	for _, m := range f.list {
		if m.State == Suspect {
			m.began += gap
		}
		m.fresh += gap
		m.silent = false
	}
	f.relays = map[uint64]*relay{}
	f.doubt, f.unproved, f.judgeAt = now+2*f.rules.Period, true, 0
	f.rosterConsensus.stood()
	if m := f.pick(func(m *member) bool { return !m.State.ended() }); m != nil {
		f.out.SyncWith = append(f.out.SyncWith, m.Address)
	}
	f.probeAt = now
}

// deafAfter is for how long a peer may not be heard straight before that is told.
func (f *Fleet) deafAfter() float64 {
	return f.rules.Period * (1 + float64(f.health)/2) * min(max(deafLeast, float64(2*len(f.list))), deafMost)
}

// deadline is when a suspicion becomes certain: the more confirm it the sooner, the less well this driver was the
// later.
func (f *Fleet) deadline(m *member) float64 {
	least, most := suspectLeast*f.rules.Period, suspectMost*f.rules.Period
	could := 0 // confirm it
	for _, o := range f.list {
		if o.State == Alive && o != m {
			if could++; could == confirmers {
				break
			}
		}
	}
	length := least
	if could > 0 {
		length = max(least, most-(most-least)*math.Log(float64(len(m.by)))/math.Log(float64(could+1)))
	}
	return m.began + length*m.scale
}

// pick draws a peer that fits, nil where there is none.
func (f *Fleet) pick(fits func(*member) bool) *member {
	if len(f.list) == 0 {
		return nil
	}
	for range 8 {
		if m := f.list[f.random.IntN(len(f.list))]; fits(m) {
			return m
		}
	}
	var found *member
	n := 0
	for _, m := range f.list {
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
	var m *member
	for len(f.check) > 0 && m == nil {
		if m = f.byName[f.check[0]]; m == nil || m.State != Suspect {
			m = nil
		}
		f.check = f.check[1:]
	}
	if m == nil {
		m = f.turnOf(uint64(f.now / f.rules.Period))
	}
	if m == nil {
		return
	}
	f.seq++
	slow := 1 + float64(f.health)/2
	f.probe = &probe{name: m.Name, seq: f.seq, began: f.now, direct: f.now + directShare*f.rules.Period*slow,
		until: f.now + 0.95*f.rules.Period*slow}
	f.send(m.Address, Message{Kind: Ping, ProbeID: f.seq, Target: m.Name})
}

// turnOf is whom this driver asks in a period; nil where there is nobody.
func (f *Fleet) turnOf(period uint64) *member {
	n, own := 0, 0 // of the peers; of those before this driver
	for _, m := range f.list {
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
	for _, m := range f.list {
		if !m.State.ended() {
			if at == 0 {
				return m
			}
			at--
		}
	}
	return nil
}

// followProbe asks others where no answer came, and suspects who did not answer them either.
func (f *Fleet) followProbe() {
	p := f.probe
	if p == nil {
		return
	}
	m := f.byName[p.name]
	if m == nil || m.State.ended() {
		f.probe = nil
		return
	}
	if !p.asked && f.now >= p.direct {
		if p.asked = true; !m.silent {
			m.silent, m.tries, m.again = true, 0, f.now+f.rules.Period
		}
		asked := map[string]bool{p.name: true}
		for range helpers {
			h := f.pick(func(h *member) bool { return h.State == Alive && !asked[h.Name] })
			if h == nil {
				break
			}
			asked[h.Name] = true
			p.expect++
			f.send(h.Address, Message{Kind: PingRequest, ProbeID: p.seq, Target: m.Name, TargetAddress: m.Address})
		}
	}
	if f.now < p.until {
		return
	}
	f.probe = nil
	if m.fresh >= p.began { // it lives, whatever became of the answer
		return
	}
	f.missed++
	if short := p.expect - p.nacks; short > 0 || p.expect == 0 && f.alive() > 1 {
		f.health = min(healthMost, f.health+1)
	}
	r := m.Record
	r.State, r.ReportedBy = Suspect, f.self.Name
	f.apply(r)
}

// answered notes a sign of life that this driver asked for.
func (f *Fleet) answered() {
	if f.unproved || f.missed > 0 {
		f.judgeAt = 0
	}
	f.missed, f.health, f.unproved = 0, max(0, f.health-1), false
}

// reconnect tries some of those that have failed: they may be behind a cut that has healed. All drivers together try
// each about twice a period.
func (f *Fleet) reconnect() {
	failed, living := 0, 1
	for _, m := range f.list {
		if m.State == Failed {
			failed++
		} else if m.State == Alive {
			living++
		}
	}
	if failed == 0 || f.random.Float64() > 2*float64(failed)/float64(living) {
		return
	}
	if m := f.pick(func(m *member) bool { return m.State == Failed }); m != nil {
		f.send(m.Address, Message{Kind: Ping, Target: m.Name, Records: []Record{m.Record}})
	}
}

// trySeeds exchanges whole states with a seed that is no peer yet.
func (f *Fleet) trySeeds() {
	known, living := map[string]bool{}, 0
	for _, m := range f.list {
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
	f.seedAt = f.now + f.rules.Period*pause*(0.75+0.5*f.random.Float64())
	if len(unknown) > 0 {
		f.out.SyncWith = append(f.out.SyncWith, unknown[f.random.IntN(len(unknown))])
	}
}
