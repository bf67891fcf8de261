package membership

import (
	"slices"
	"strings"
)

// peer is what this driver knows of another.
type peer struct {
	Record
	stateSince float64 // when State or Run changed last
	aliveSince float64 // when it was first known, or last came back
	onRoster   bool    // it is on the roster that holds

	lastCounter uint64  // of the newest message that came directly from it
	lastDirect  float64 // when that came
	unanswered  bool    // the last probe directly to it was not answered
	reprobes    int     // pings since, to find out whether it is reachable
	nextReprobe float64 // the next of these, or the last ping of a suspicion
	unreachable bool    // it is not heard directly, though it is said to live

	reachability   Reachability // the newest that came from it
	suspicion      suspicion    // while State is Suspect
	nextSync       float64      // no exchange of snapshots with it before
	nextAccusation float64      // it is not notified before then that others take it for failed
}

// maxNameWarnings bounds the names that two processes were seen to have.
const maxNameWarnings = 256

// applyRecord takes a record of a driver, from itself or from others.
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
	case r.State == Failed && f.refutedHere(known, r):
		f.notifyAccused(known, r)
	case known.Run == r.Run && known.Incarnation == r.Incarnation && known.State == Suspect && r.State == Suspect:
		if known.suspicion.confirm(r.ReportedBy) {
			f.broadcastRecord(r)
		}
	case r.supersedes(&known.Record):
		f.setRecord(known, r)
	case r.conflictsWith(&known.Record) && f.warnNow(r.Name) && len(f.warnedAt) < maxNameWarnings:
		f.warnedAt[r.Name] = f.now
		f.emit("name_twice", r.Name, "at "+known.Address+" and at "+r.Address)
	}
}

// warnNow says that the last warning about a name is not recent. "" stands for a fleet that is full.
func (f *Fleet) warnNow(name string) bool { return f.now-f.warnedAt[name] > 60*f.options.Period }

// addPeer takes the first record of a driver. One that has ended counts if it is on the roster: else nothing is
// lost by not knowing it.
func (f *Fleet) addPeer(r Record) {
	if r.State.ended() && !f.onRoster(r.Name) {
		return
	}
	if len(f.peers) >= f.options.MaxDrivers {
		if f.warnNow("") {
			f.warnedAt[""] = f.now
			f.emit("fleet_full", r.Name, "")
		}
		return
	}
	none := Record{Name: r.Name, State: Left}
	added := &peer{Record: none, aliveSince: f.now, stateSince: f.now, onRoster: f.onRoster(r.Name)}
	i, _ := slices.BinarySearchFunc(f.peers, r.Name, func(p *peer, name string) int {
		return strings.Compare(p.Name, name)
	})
	f.peers = slices.Insert(f.peers, i, added)
	f.peersByName[r.Name] = added
	f.setRecord(added, r)
}

// refutedHere says of a record by which a peer has failed that it was heard here a moment ago: others' view
// from the other side of a partition that healed.
func (f *Fleet) refutedHere(known *peer, r Record) bool {
	return known.State == Alive && known.Run == r.Run && known.Incarnation <= r.Incarnation &&
		f.now-known.lastDirect < recentlyHeard*f.options.Period
}

// notifyAccused tells a peer that it is said to have failed, so that it refutes that. If it has failed since,
// this driver finds out, or hears of it once more.
func (f *Fleet) notifyAccused(accused *peer, r Record) {
	if f.now >= accused.nextAccusation {
		accused.nextAccusation = f.now + f.options.Period
		f.send(accused.Address, Message{Kind: Gossip, Target: accused.Name, Records: []Record{r}})
	}
}

// setRecord makes a record the one that holds, and passes it on.
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

// emitLiveness logs that a peer came, came back, left or failed.
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

// applyOwnRecord takes what others say of this driver, or of another process with its name.
func (f *Fleet) applyOwnRecord(r Record) {
	switch {
	case r.Run == f.self.Run && r.State == Left && !f.leaving: // operators took it for gone: it comes as a new one
		f.adoptRun(r.Run + 1)
		f.emit("forgotten", f.self.Name, "")
	case r.Run == f.self.Run:
		f.refute(r)
	case r.Address == f.self.Address || r.State.ended(): // an earlier run of its own, or one that has ended elsewhere
		if r.Run > f.self.Run {
			f.adoptRun(r.Run + 1)
		}
		if r.Address == f.nameOwner {
			f.nameTakenAt, f.nameOwner, f.nextAssessment = 0, "", 0
			f.broadcastRecord(f.self)
		}
	case r.Run < f.self.Run: // it was there first
		if f.nameTakenAt == 0 && f.nameOwner != r.Address {
			f.emit("name_taken", f.self.Name, "by the driver at "+r.Address)
		}
		f.nameTakenAt, f.nameOwner, f.nextAssessment = f.now, r.Address, 0
	}
}

// refute answers that this driver is suspected or has failed by a higher incarnation.
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

// adoptRun takes a higher run: what is said of the earlier ones is not about this process.
func (f *Fleet) adoptRun(run uint64) {
	f.viewHash ^= processHash(f.self.Name, f.self.Run) ^ processHash(f.self.Name, run)
	f.self.Run, f.self.Incarnation = run, 0
	f.reachability.Run = run
	f.broadcastRecord(f.self)
}

// reapEnded forgets those that have ended, are on no roster and were remembered for long enough.
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

// aliveCount counts the drivers that live, this one included.
func (f *Fleet) aliveCount() int {
	n := 1
	for _, p := range f.peers {
		if p.State == Alive {
			n++
		}
	}
	return n
}

// randomPeer draws a peer that fits; nil: there is none.
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

// randomPeers draws at most so many different peers that fit, and gives each to do.
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

// expected says that a peer does not count as ended.
func expected(known *peer) bool { return !known.State.ended() }
