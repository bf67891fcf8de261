package membership

import (
	"math"
	"slices"
)

// broadcast is a record or a reachability that this driver passes on, on one message after another.
type broadcast struct {
	record        Record
	reachability  *Reachability // in place of the record; nil: none
	transmissions int           // so far
	superseded    bool          // by a newer one; it is dropped from the queue in passing
}

// broadcastQueue is what is passed on.
type broadcastQueue struct {
	// broadcasts are in the order of their transmissions, the newest first among equals.
	broadcasts      []*broadcast
	spareBroadcasts []*broadcast // storage for the next order
	// broadcastsAbout are those that are not superseded, by whom they are about.
	broadcastsAbout map[string][]*broadcast
	lastQueuedAt    float64 // when a record was queued last
}

// send queues a message with what a peer is to know: of this driver itself, then the newest gossip.
func (f *Fleet) send(address string, msg Message) {
	f.counter++
	msg.From, msg.Counter, msg.ViewHash = f.self, f.counter, f.viewHash
	if f.roster != nil {
		msg.RosterVersion, msg.RosterHash = f.roster.Version, f.roster.hash
	}
	budget := maxPiggybackBytes
	for i := range msg.Records {
		budget -= msg.Records[i].size()
	}
	if d := f.decidedChange; d != nil && f.decidedTransmissions > 0 && msg.Vote == nil {
		f.decidedTransmissions--
		msg.DecidedChange = d
		budget -= d.size()
	}
	f.piggyback(&msg, budget)
	f.pending.Messages = append(f.pending.Messages, Envelope{address, msg})
}

// piggyback puts gossip into a message, up to so many bytes: what was passed on least often first.
func (f *Fleet) piggyback(msg *Message, budget int) {
	i := 0
	for ; i < len(f.broadcasts); i++ {
		b := f.broadcasts[i]
		if b.superseded {
			continue
		}
		n := b.size()
		if n > budget {
			break
		}
		budget -= n
		b.transmissions++
		if b.reachability != nil {
			msg.Reachability = append(msg.Reachability, *b.reachability)
		} else {
			msg.Records = append(msg.Records, b.record)
		}
	}
	if i > 0 {
		f.reorderBroadcasts(i)
	}
}

// reorderBroadcasts merges the first ones, which were passed on, with the rest, without those that were passed on
// often enough.
func (f *Fleet) reorderBroadcasts(count int) {
	sent, rest, limit := f.broadcasts[:count], f.broadcasts[count:], f.retransmitLimit()
	merged := f.spareBroadcasts[:0]
	for len(sent) > 0 || len(rest) > 0 { // both are in order
		switch {
		case len(sent) > 0 && (sent[0].superseded || sent[0].transmissions >= limit):
			f.dropBroadcast(sent[0])
			sent = sent[1:]
		case len(rest) > 0 && rest[0].superseded:
			rest = rest[1:]
		case len(rest) > 0 && (len(sent) == 0 || rest[0].transmissions <= sent[0].transmissions):
			merged = append(merged, rest[0])
			rest = rest[1:]
		default:
			merged = append(merged, sent[0])
			sent = sent[1:]
		}
	}
	f.broadcasts, f.spareBroadcasts = merged, f.broadcasts
}

// retransmitLimit is how often one driver passes a broadcast on: by the logarithm of the fleet's size (SWIM,
// section 4.1).
func (f *Fleet) retransmitLimit() int {
	return 3*int(math.Ceil(math.Log10(float64(len(f.peers)+2)))) + 2
}

// about is whom a broadcast is about: a newer one with the same key replaces it.
func (b *broadcast) about() string {
	if b.reachability != nil {
		return "hears " + b.reachability.Name
	}
	return b.record.Name
}

func (b *broadcast) size() int {
	if b.reachability != nil {
		return b.reachability.size()
	}
	return b.record.size()
}

// dropBroadcast takes a broadcast out of those that are passed on.
func (f *Fleet) dropBroadcast(dropped *broadcast) {
	dropped.superseded = true
	key := dropped.about()
	rest := slices.DeleteFunc(f.broadcastsAbout[key], func(b *broadcast) bool { return b.superseded })
	if len(rest) > 0 {
		f.broadcastsAbout[key] = rest
	} else {
		delete(f.broadcastsAbout, key)
	}
}

// addBroadcast has a broadcast passed on, before all others.
func (f *Fleet) addBroadcast(added *broadcast) {
	f.broadcasts = slices.Insert(f.broadcasts, 0, added)
	key := added.about()
	f.broadcastsAbout[key] = append(f.broadcastsAbout[key], added)
}

// broadcastRecord has a record passed on. Records of a driver replace each other, but for suspicions by several.
func (f *Fleet) broadcastRecord(r Record) {
	f.lastQueuedAt = f.now
	for _, old := range slices.Clone(f.broadcastsAbout[r.Name]) {
		o := &old.record
		confirms := r.State == Suspect && o.State == Suspect && o.Run == r.Run && o.Incarnation == r.Incarnation &&
			o.ReportedBy != r.ReportedBy
		if !confirms {
			f.dropBroadcast(old)
		}
	}
	f.addBroadcast(&broadcast{record: r})
}

// gossip passes on between probes.
func (f *Fleet) gossip() {
	if len(f.broadcastsAbout) == 0 && f.decidedTransmissions == 0 {
		return
	}
	f.randomPeers(gossipFanout, expected, func(p *peer) {
		f.send(p.Address, Message{Kind: Gossip, Target: p.Name})
	})
}

// compareViews asks for an exchange of snapshots with a peer that has a newer roster, or that sees the fleet
// otherwise though nothing was gossiped for a while, or though there is more than gossip carries: after a heal,
// or as many start at once.
func (f *Fleet) compareViews(from *peer, msg *Message) {
	if from == nil || from.Run != msg.From.Run || from.State.ended() {
		return
	}
	f.compareRosters(msg)
	settled := f.now-f.lastQueuedAt > viewsSettleAfter*f.options.Period || len(f.broadcastsAbout) > maxBroadcastBacklog
	differs := msg.ViewHash != f.viewHash && settled
	if !f.lacksRoster(msg) && !differs || f.now < f.nextSync || f.now < from.nextSync {
		return
	}
	f.nextSync, from.nextSync = f.now+f.options.Period, f.now+syncInterval*f.options.Period
	f.pending.SyncWith = append(f.pending.SyncWith, from.Address)
}

// lacksRoster says that a peer has a roster that this driver lacks: a newer one, or another of this version.
func (f *Fleet) lacksRoster(msg *Message) bool {
	if msg.RosterVersion == 0 || f.roster == nil {
		return msg.RosterVersion > 0
	}
	return msg.RosterVersion > f.roster.Version || msg.RosterVersion == f.roster.Version && msg.RosterHash != f.roster.hash
}

// compareRosters notes since when a peer has a newer roster.
func (f *Fleet) compareRosters(msg *Message) {
	if f.roster == nil || msg.RosterVersion <= f.roster.Version {
		f.rosterBehindSince = 0
	} else if f.rosterBehindSince == 0 {
		f.rosterBehindSince = f.now
	}
}
