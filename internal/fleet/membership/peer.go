package membership

import (
	"slices"
	"strings"
)

// peer is what this driver knows about another driver.
type peer struct {
	Record
	stateSince float64 // when State or Run last changed
	aliveSince float64 // when it was first known, or last returned
	onRoster   bool    // it is on the current roster

	lastCounter uint64  // Counter of the latest message received directly from it
	lastDirect  float64 // when that message was received
	unanswered  bool    // the last direct ping was not answered
	reprobes    int     // pings since then, to check whether it is reachable
	nextReprobe float64 // earliest time of the next of these pings, or of the next ping before a suspicion times out
	unreachable bool    // not heard directly, although others report it as live

	reachability   Reachability // the latest one that it gossiped
	suspicion      suspicion    // while State is Suspect
	nextSync       float64      // earliest time of the next snapshot exchange with it
	nextAccusation float64      // earliest time at which it is next notified that others report it as failed
}

// maxNameWarnings bounds the number of names for which a conflict is logged.
const maxNameWarnings = 256

// applyRecord merges a record of a driver, received from itself or from others.
func (f *Fleet) applyRecord(r Record) {
	if !r.valid() {
		return
	}
	if r.Name == f.self.Name {
		f.applyOwnRecord(r)
		return
	}
	known := f.peersByName[r.Name]
	if known == nil {
		f.addPeer(r)
		return
	}
	switch {
	case r.State == Failed && f.contradictedLocally(known, r):
		f.notifyAccused(known, r)
	case known.Run == r.Run && known.Incarnation == r.Incarnation && known.State == Suspect && r.State == Suspect:
		if known.suspicion.confirm(r.ReportedBy) {
			f.broadcastRecord(r)
		}
	case r.supersedes(&known.Record):
		f.setRecord(known, r)
	case r.conflictsWith(&known.Record) && f.mayWarn(r.Name) && len(f.warnedAt) < maxNameWarnings:
		f.warnedAt[r.Name] = f.now
		f.emit("name_twice", r.Name, "at "+known.Address+" and at "+r.Address)
	}
}

// mayWarn reports whether the last warning about a name is long enough ago. "" stands for the fleet_full warning.
func (f *Fleet) mayWarn(name string) bool { return f.now-f.warnedAt[name] > 60*f.options.Period }

// addPeer adds a peer by its first record. An ended driver is added only if it is on the roster; otherwise nothing
// depends on it.
func (f *Fleet) addPeer(r Record) {
	if r.State.ended() && !f.onRoster(r.Name) {
		return
	}
	if len(f.peers) >= f.options.MaxDrivers {
		if f.mayWarn("") {
			f.warnedAt[""] = f.now
			f.emit("fleet_full", r.Name, "")
		}
		return
	}
	placeholder := Record{Name: r.Name, State: Left}
	added := &peer{Record: placeholder, aliveSince: f.now, stateSince: f.now, onRoster: f.onRoster(r.Name)}
	i, _ := slices.BinarySearchFunc(f.peers, r.Name, func(p *peer, name string) int {
		return strings.Compare(p.Name, name)
	})
	f.peers = slices.Insert(f.peers, i, added)
	f.peersByName[r.Name] = added
	f.setRecord(added, r)
}

// contradictedLocally reports whether a record marks a peer as failed that this driver heard a moment ago. Such records
// come from the other side of a partition that has healed.
func (f *Fleet) contradictedLocally(known *peer, r Record) bool {
	return known.State == Alive && known.Run == r.Run && known.Incarnation <= r.Incarnation &&
		f.now-known.lastDirect < recentlyHeard*f.options.Period
}

// notifyAccused sends a peer the record that marks it as failed, so that it can refute it. If the peer has failed in
// the meantime, this driver detects that itself or receives the record again.
func (f *Fleet) notifyAccused(accused *peer, r Record) {
	if f.now >= accused.nextAccusation {
		accused.nextAccusation = f.now + f.options.Period
		f.send(accused.Address, Message{Kind: Gossip, Target: accused.Name, Records: []Record{r}})
	}
}

// setRecord replaces a peer's record and gossips the new one.
func (f *Fleet) setRecord(target *peer, r Record) {
	before, otherRun := target.State, r.Run != target.Run
	if !before.ended() {
		f.viewHash ^= processHash(target.Name, target.Run)
	}
	if !r.State.ended() {
		f.viewHash ^= processHash(r.Name, r.Run)
	}
	if otherRun {
		target.lastCounter, target.lastDirect, target.unanswered, target.unreachable = 0, 0, false, false
		target.reachability = Reachability{}
	}
	if before != r.State || otherRun {
		target.stateSince = f.now
		f.stateVersion++
	}
	target.Record = r
	if r.State == Suspect {
		f.beginSuspicion(target, before)
	} else {
		target.suspicion = suspicion{}
	}
	if before.ended() != r.State.ended() || otherRun {
		f.liveSetChangedAt = f.now
		f.emitLiveness(target, otherRun)
	}
	if r.State.ended() && target.unreachable {
		target.unreachable = false
		f.broadcastReachability()
	}
	f.broadcastRecord(r)
}

// emitLiveness logs that a peer joined, returned, left or failed.
func (f *Fleet) emitLiveness(target *peer, otherRun bool) {
	switch {
	case !target.State.ended() && otherRun:
		f.emit("fellow_came", target.Name, target.Address)
	case !target.State.ended():
		target.aliveSince, target.unanswered = f.now, false
		f.emit("fellow_back", target.Name, target.Address)
	case target.State == Left:
		f.emit("fellow_left", target.Name, "")
	default:
		f.emit("fellow_failed", target.Name, "told by "+target.ReportedBy)
	}
}

// applyOwnRecord handles a record about this driver, or about another process with its name.
func (f *Fleet) applyOwnRecord(r Record) {
	switch {
	case r.Run == f.self.Run && r.State == Left && !f.leaving: // an operator forgot this driver: rejoin as a new process
		f.adoptRun(r.Run + 1)
		f.emit("forgotten", f.self.Name, "")
	case r.Run == f.self.Run:
		f.refute(r)
	case r.Address == f.self.Address || r.State.ended(): // an earlier run of this driver, or an ended process elsewhere
		if r.Run > f.self.Run {
			f.adoptRun(r.Run + 1)
		}
		if r.Address == f.nameOwner {
			f.nameTakenAt, f.nameOwner, f.nextAssessment = 0, "", 0
			f.broadcastRecord(f.self)
		}
	case r.Run < f.self.Run: // the other process used the name first
		if f.nameTakenAt == 0 && f.nameOwner != r.Address {
			f.emit("name_taken", f.self.Name, "by the driver at "+r.Address)
		}
		f.nameTakenAt, f.nameOwner, f.nextAssessment = f.now, r.Address, 0
	}
}

// refute raises the incarnation to refute a record that marks this driver as suspect or failed.
func (f *Fleet) refute(r Record) {
	accused := r.State == Suspect || r.State == Failed
	if !accused || r.Incarnation < f.self.Incarnation || f.leaving {
		return
	}
	f.self.Incarnation = r.Incarnation + 1
	f.health = min(maxHealth, f.health+1)
	if r.State == Failed {
		f.emit("denied", f.self.Name, "said to have failed, by "+r.ReportedBy)
	}
	f.broadcastRecord(f.self)
}

// adoptRun switches to a higher run, so that records of earlier runs do not apply to this process.
func (f *Fleet) adoptRun(run uint64) {
	f.viewHash ^= processHash(f.self.Name, f.self.Run) ^ processHash(f.self.Name, run)
	f.self.Run, f.self.Incarnation = run, 0
	f.reachability.Run = run
	f.broadcastRecord(f.self)
}

// reapEnded removes ended peers that are not on the roster and were retained for Options.RetainFor.
func (f *Fleet) reapEnded() {
	expired := func(p *peer) bool {
		return p.State.ended() && f.now-p.stateSince > f.options.RetainFor && !p.onRoster
	}
	if !slices.ContainsFunc(f.peers, expired) {
		return
	}
	f.peers = slices.DeleteFunc(f.peers, func(p *peer) bool {
		if expired(p) {
			delete(f.peersByName, p.Name)
			return true
		}
		return false
	})
}

// aliveCount returns the number of alive drivers, including this one.
func (f *Fleet) aliveCount() int {
	n := 1
	for _, p := range f.peers {
		if p.State == Alive {
			n++
		}
	}
	return n
}

// randomPeer returns a random peer that fits, or nil if there is none.
func (f *Fleet) randomPeer(fits func(*peer) bool) *peer {
	if len(f.peers) == 0 {
		return nil
	}
	for range 8 {
		if p := f.peers[f.random.IntN(len(f.peers))]; fits(p) {
			return p
		}
	}
	var found *peer
	n := 0
	for _, p := range f.peers {
		if fits(p) {
			if n++; f.random.IntN(n) == 0 {
				found = p
			}
		}
	}
	return found
}

// randomPeers calls do with up to limit distinct random peers that fit.
func (f *Fleet) randomPeers(limit int, fits func(*peer) bool, do func(*peer)) {
	drawn := map[string]bool{}
	for range limit {
		p := f.randomPeer(func(p *peer) bool { return fits(p) && !drawn[p.Name] })
		if p == nil {
			return
		}
		drawn[p.Name] = true
		do(p)
	}
}

// notEnded reports whether a peer is alive or suspected.
func notEnded(known *peer) bool { return !known.State.ended() }
