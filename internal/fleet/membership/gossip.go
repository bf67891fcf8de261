package membership

// This file owns what a driver passes on: which word goes along with which message, and for how long it goes round.

import (
	"math"
	"slices"
)

// send queues a message with what a peer is to know: first of itself, then news.
func (f *Fleet) send(address string, m Message) {
	f.counter++
	m.From, m.Counter, m.ViewHash = f.self, f.counter, f.viewHash
	if f.roster != nil {
		m.RosterVersion, m.RosterHash = f.roster.Version, f.roster.hash
	}
	left := maxPiggybackBytes
	for i := range m.Records {
		left -= m.Records[i].size()
	}
	if d := f.decidedChange; d != nil && f.decidedTransmissions > 0 && m.Vote == nil {
		f.decidedTransmissions--
		m.DecidedChange = d
		left -= d.size()
	}
	f.piggyback(&m, left)
	f.pending.Messages = append(f.pending.Messages, Envelope{address, m})
}

// piggyback puts news into a message, up to so many bytes: what was passed on least often first.
func (f *Fleet) piggyback(m *Message, left int) {
	i := 0
	for ; i < len(f.broadcasts); i++ {
		r := f.broadcasts[i]
		if r.superseded {
			continue
		}
		n := r.record.size()
		if r.reachability != nil {
			n = r.reachability.size()
		}
		if n > left {
			break
		}
		if left -= n; r.reachability != nil {
			m.Reachability = append(m.Reachability, *r.reachability)
		} else {
			m.Records = append(m.Records, r.record)
		}
		r.transmissions++
	}
	if i == 0 {
		return
	}
	taken, rest, times := f.broadcasts[:i], f.broadcasts[i:], f.retransmitLimit()
	f.spareBroadcasts = f.spareBroadcasts[:0]
	for len(taken) > 0 || len(rest) > 0 { // both are in order
		switch {
		case len(taken) > 0 && (taken[0].superseded || taken[0].transmissions >= times):
			f.dropBroadcast(taken[0])
			taken = taken[1:]
		case len(rest) > 0 && rest[0].superseded:
			rest = rest[1:]
		case len(rest) > 0 && (len(taken) == 0 || rest[0].transmissions <= taken[0].transmissions):
			f.spareBroadcasts = append(f.spareBroadcasts, rest[0])
			rest = rest[1:]
		default:
			f.spareBroadcasts = append(f.spareBroadcasts, taken[0])
			taken = taken[1:]
		}
	}
	f.broadcasts, f.spareBroadcasts = f.spareBroadcasts, f.broadcasts
}

// retransmitLimit is how often one driver passes an update on.
func (f *Fleet) retransmitLimit() int {
	return 3*int(math.Ceil(math.Log10(float64(len(f.peers)+2)))) + 2
}

func (r *broadcast) about() string {
	if r.reachability != nil {
		return "hears " + r.reachability.Name
	}
	return r.record.Name
}

// dropBroadcast takes an update out of those that go round.
func (f *Fleet) dropBroadcast(r *broadcast) {
	r.superseded = true
	key := r.about()
	if left := slices.DeleteFunc(f.broadcastsAbout[key], func(o *broadcast) bool { return o.superseded }); len(left) > 0 {
		f.broadcastsAbout[key] = left
	} else {
		delete(f.broadcastsAbout, key)
	}
}

// addBroadcast makes an update go round, before all others.
func (f *Fleet) addBroadcast(r *broadcast) {
	f.broadcasts = slices.Insert(f.broadcasts, 0, r)
	f.broadcastsAbout[r.about()] = append(f.broadcastsAbout[r.about()], r)
}

// broadcastRecord makes a record news. Sayings of a driver replace each other, but for suspicions by several.
func (f *Fleet) broadcastRecord(r Record) {
	f.lastNews = f.now
	for _, o := range slices.Clone(f.broadcastsAbout[r.Name]) {
		if r.State != Suspect || o.record.State != Suspect || o.record.Run != r.Run || o.record.Incarnation != r.Incarnation ||
			o.record.ReportedBy == r.ReportedBy {
			f.dropBroadcast(o)
		}
	}
	f.addBroadcast(&broadcast{record: r})
}

// gossip passes news on between probes.
func (f *Fleet) gossip() {
	if len(f.broadcastsAbout) == 0 && f.decidedTransmissions == 0 {
		return
	}
	to := map[string]bool{}
	for range gossipFanout {
		m := f.randomPeer(func(m *peer) bool { return !m.State.ended() && !to[m.Name] })
		if m == nil {
			return
		}
		to[m.Name] = true
		f.send(m.Address, Message{Kind: Gossip, Target: m.Name})
	}
}

// compareViews begins an exchange with a peer that sees the fleet otherwise though nothing was news for a while, or that
// holds a newer roster.
func (f *Fleet) compareViews(from *peer, m Message) {
	if from == nil || from.Run != m.From.Run || from.State.ended() {
		return
	}
	newer := m.RosterVersion > 0 && (f.roster == nil || m.RosterVersion > f.roster.Version ||
		m.RosterVersion == f.roster.Version && m.RosterHash != f.roster.hash)
	if f.roster != nil && m.RosterVersion > f.roster.Version {
		if f.rosterBehindSince == 0 {
			f.rosterBehindSince = f.now
		}
	} else {
		f.rosterBehindSince = 0
	}
	// ... or where there is more news than updates carry: behind a heal, or as many start at once
	differs := m.ViewHash != f.viewHash && (f.now-f.lastNews > viewsSettleAfter*f.options.Period || len(f.broadcastsAbout) > maxBroadcastBacklog)
	if !newer && !differs || f.now < f.nextSync || f.now < from.nextSync {
		return
	}
	f.nextSync, from.nextSync = f.now+f.options.Period, f.now+syncInterval*f.options.Period
	f.pending.SyncWith = append(f.pending.SyncWith, from.Address)
}

// Snapshot is all that this driver knows.
func (f *Fleet) Snapshot() Snapshot {
	w := Snapshot{From: f.self, Roster: f.roster}
	for _, m := range f.peers {
		if w.Records = append(w.Records, m.Record); len(m.reachability.Unreachable) > 0 {
			w.Reachability = append(w.Reachability, m.reachability)
		}
	}
	if len(f.reachability.Unreachable) > 0 {
		w.Reachability = append(w.Reachability, f.reachability)
	}
	return w
}

// Merge takes all that a peer knows: who lives and who does not, then the roster.
func (f *Fleet) Merge(now float64, w Snapshot) Output {
	f.advance(now)
	if w.From.valid() && !(w.From.Name == f.self.Name && w.From.Run == f.self.Run) {
		f.applyRecord(w.From)
		for _, r := range w.Records {
			f.applyRecord(r)
		}
		for i := range w.Reachability {
			f.receiveReachability(w.Reachability[i])
		}
		if w.Roster != nil {
			f.receiveRoster(*w.Roster)
		}
		f.updatePartition()
	}
	return f.takeOutput()
}
