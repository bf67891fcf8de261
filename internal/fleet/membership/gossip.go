package membership

import (
	"math"
	"slices"
)

// broadcast is a record or reachability that this driver gossips on successive messages.
type broadcast struct {
	record        Record
	reachability  *Reachability // if not nil, sent instead of the record
	transmissions int           // so far
	superseded    bool          // replaced by a newer one or sent often enough; removed when the queue is next reordered
}

// broadcastQueue holds what is gossiped.
type broadcastQueue struct {
	// broadcasts are sorted by transmissions, newest first among equals.
	broadcasts    []*broadcast
	reorderBuffer []*broadcast // reused by reorderBroadcasts
	// broadcastsBySubject are the broadcasts that are not superseded, by broadcast.subject.
	broadcastsBySubject map[string][]*broadcast
	lastQueuedAt        float64 // when a record was last queued
}

// send queues a message for a peer and adds this driver's record, view and roster hashes, and gossip.
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

// piggyback adds gossip to a message, up to budget bytes, least transmitted first.
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

// reorderBroadcasts merges the first count broadcasts, which were just sent, with the rest, and drops those that
// reached the retransmit limit.
func (f *Fleet) reorderBroadcasts(count int) {
	sent, rest, limit := f.broadcasts[:count], f.broadcasts[count:], f.retransmitLimit()
	merged := f.reorderBuffer[:0]
	for len(sent) > 0 || len(rest) > 0 { // both are sorted
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
	f.broadcasts, f.reorderBuffer = merged, f.broadcasts
}

// retransmitLimit returns how often one driver sends a broadcast: it grows with the logarithm of the fleet's size
// (SWIM, section 4.1).
func (f *Fleet) retransmitLimit() int {
	return 3*int(math.Ceil(math.Log10(float64(len(f.peers)+2)))) + 2
}

// subject returns the key of what a broadcast describes: a newer broadcast with the same key replaces it.
func (b *broadcast) subject() string {
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

// dropBroadcast stops sending a broadcast.
func (f *Fleet) dropBroadcast(dropped *broadcast) {
	dropped.superseded = true
	key := dropped.subject()
	rest := slices.DeleteFunc(f.broadcastsBySubject[key], func(b *broadcast) bool { return b.superseded })
	if len(rest) > 0 {
		f.broadcastsBySubject[key] = rest
	} else {
		delete(f.broadcastsBySubject, key)
	}
}

// addBroadcast queues a broadcast ahead of all others.
func (f *Fleet) addBroadcast(added *broadcast) {
	f.broadcasts = slices.Insert(f.broadcasts, 0, added)
	key := added.subject()
	f.broadcastsBySubject[key] = append(f.broadcastsBySubject[key], added)
}

// broadcastRecord queues a record. It replaces earlier records of the driver, except suspicions by other accusers.
func (f *Fleet) broadcastRecord(r Record) {
	f.lastQueuedAt = f.now
	for _, old := range slices.Clone(f.broadcastsBySubject[r.Name]) {
		o := &old.record
		confirms := r.State == Suspect && o.State == Suspect && o.Run == r.Run && o.Incarnation == r.Incarnation &&
			o.ReportedBy != r.ReportedBy
		if !confirms {
			f.dropBroadcast(old)
		}
	}
	f.addBroadcast(&broadcast{record: r})
}

// gossip sends queued broadcasts to random peers, between probes.
func (f *Fleet) gossip() {
	if len(f.broadcastsBySubject) == 0 && f.decidedTransmissions == 0 {
		return
	}
	f.randomPeers(gossipFanout, notEnded, func(p *peer) {
		f.send(p.Address, Message{Kind: Gossip, Target: p.Name})
	})
}

// compareViews requests a snapshot exchange with a peer that has a newer roster, or whose view differs although nothing
// was gossiped for a while or the gossip backlog is too long, as after a partition or a start of many drivers.
func (f *Fleet) compareViews(from *peer, msg *Message) {
	if from == nil || from.Run != msg.From.Run || from.State.ended() {
		return
	}
	f.compareRosters(msg)
	settled := f.now-f.lastQueuedAt > viewsSettleAfter*f.options.Period || len(f.broadcastsBySubject) > maxBroadcastBacklog
	differs := msg.ViewHash != f.viewHash && settled
	if !f.lacksRoster(msg) && !differs || f.now < f.nextSync || f.now < from.nextSync {
		return
	}
	f.nextSync, from.nextSync = f.now+f.options.Period, f.now+syncInterval*f.options.Period
	f.pending.SyncWith = append(f.pending.SyncWith, from.Address)
}

// lacksRoster reports whether a peer has a newer roster, or a different one of the same version.
func (f *Fleet) lacksRoster(msg *Message) bool {
	if msg.RosterVersion == 0 || f.roster == nil {
		return msg.RosterVersion > 0
	}
	return msg.RosterVersion > f.roster.Version || msg.RosterVersion == f.roster.Version && msg.RosterHash != f.roster.hash
}

// compareRosters records since when a peer has had a newer roster.
func (f *Fleet) compareRosters(msg *Message) {
	if f.roster == nil || msg.RosterVersion <= f.roster.Version {
		f.rosterBehindSince = 0
	} else if f.rosterBehindSince == 0 {
		f.rosterBehindSince = f.now
	}
}
