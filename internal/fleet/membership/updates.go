package membership

// This file owns what a record changes: which of two of a driver holds, and what others say of this one.

import (
	"slices"
	"strings"
)

// applyRecord takes a record of a driver.
func (f *Fleet) applyRecord(r Record) {
	if !r.valid() {
		return
	}
	if r.Name == f.self.Name {
		f.applyOwnRecord(r)
		return
	}
	m := f.peersByName[r.Name]
	if m == nil {
		if r.State.ended() && !f.onRoster(r.Name) {
			return // nothing is lost by not knowing it
		}
		if len(f.peers) >= f.options.MaxDrivers {
			if f.now-f.warnedAt[""] > 60*f.options.Period {
				f.warnedAt[""] = f.now
				f.emit("fleet_full", r.Name, "")
			}
			return
		}
		m = &peer{Record: Record{Name: r.Name, State: Left}, aliveSince: f.now, stateSince: f.now, onRoster: f.onRoster(r.Name)}
		i, _ := slices.BinarySearchFunc(f.peers, r.Name, func(m *peer, name string) int {
			return strings.Compare(m.Name, name)
		})
		f.peers = slices.Insert(f.peers, i, m)
		f.peersByName[r.Name] = m
		f.setRecord(m, r)
		return
	}
	switch {
	case r.State == Failed && m.State == Alive && m.Run == r.Run && m.Incarnation <= r.Incarnation &&
		f.now-m.lastDirect < recentlyHeard*f.options.Period:
		// Heard here a moment ago: news of the other side of a cut that healed. It is told, and denies it; if it
		// has failed since, this driver finds out, or hears of it once more.
		if f.now >= m.nextAccusation {
			m.nextAccusation = f.now + f.options.Period
			f.send(m.Address, Message{Kind: Gossip, Target: m.Name, Records: []Record{r}})
		}
	case m.Run == r.Run && m.Incarnation == r.Incarnation && m.State == Suspect && r.State == Suspect:
		if !m.accusers[r.ReportedBy] && len(m.accusers) <= maxConfirmations {
			m.accusers[r.ReportedBy] = true
			f.broadcastRecord(r)
		}
	case r.supersedes(&m.Record):
		f.setRecord(m, r)
	case r.conflictsWith(&m.Record) && f.now-f.warnedAt[r.Name] > 60*f.options.Period && len(f.warnedAt) < 256:
		f.warnedAt[r.Name] = f.now
		f.emit("name_twice", r.Name, "at "+m.Address+" and at "+r.Address)
	}
}

// setRecord makes a record the one that holds.
func (f *Fleet) setRecord(m *peer, r Record) {
	before, run := m.State, m.Run
	if !before.ended() {
		f.viewHash ^= processHash(m.Name, m.Run)
	}
	if !r.State.ended() {
		f.viewHash ^= processHash(r.Name, r.Run)
	}
	if r.Run != run {
		m.lastCounter, m.lastDirect, m.unanswered, m.unreachable, m.reachability = 0, 0, false, false, Reachability{}
	}
	if before != r.State || r.Run != run {
		m.stateSince = f.now
		f.stateVersion++
	}
	m.Record = r
	if r.State == Suspect {
		if before != Suspect {
			f.suspects = append(f.suspects, m)
		}
		m.suspectedAt, m.suspicionScale, m.accusers = f.now, 1+float64(f.health)/2, map[string]bool{r.ReportedBy: true}
		if r.ReportedBy != f.self.Name && len(f.recheck) < maxRechecks && f.random.Float64()*float64(f.aliveCount()) < suspicionCheckers {
			f.recheck = append(f.recheck, r.Name)
		}
	} else {
		m.accusers = nil
	}
	if before.ended() != r.State.ended() || r.Run != run {
		f.liveSetChangedAt = f.now
		switch {
		case !r.State.ended() && r.Run != run:
			f.emit("fellow_came", r.Name, r.Address)
		case !r.State.ended():
			m.aliveSince, m.unanswered = f.now, false
			f.emit("fellow_back", r.Name, r.Address)
		case r.State == Left:
			f.emit("fellow_left", r.Name, "")
		default:
			f.emit("fellow_failed", r.Name, "told by "+r.ReportedBy)
		}
	}
	if r.State.ended() && m.unreachable {
		m.unreachable = false
		f.broadcastReachability()
	}
	f.broadcastRecord(r)
}

// applyOwnRecord takes what others say of this driver, or of another process with its name.
func (f *Fleet) applyOwnRecord(r Record) {
	switch {
	case r.Run == f.self.Run && r.State == Left && !f.leaving: // operators took it for gone: it comes as a new one
		f.adoptRun(r.Run + 1)
		f.emit("forgotten", f.self.Name, "")
	case r.Run == f.self.Run:
		if (r.State == Suspect || r.State == Failed) && r.Incarnation >= f.self.Incarnation && !f.leaving {
			f.self.Incarnation = r.Incarnation + 1
			f.health = min(maxHealth, f.health+1)
			if r.State == Failed {
				f.emit("denied", f.self.Name, "said to have failed, by "+r.ReportedBy)
			}
			f.broadcastRecord(f.self)
		}
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

// adoptRun takes a higher run: what is said of the earlier ones is not about this process.
func (f *Fleet) adoptRun(run uint64) {
	f.viewHash ^= processHash(f.self.Name, f.self.Run) ^ processHash(f.self.Name, run)
	f.self.Run, f.self.Incarnation = run, 0
	f.reachability.Run = run
	f.broadcastRecord(f.self)
}

// reapEnded forgets those that have ended, are on no roster and were remembered for long enough.
func (f *Fleet) reapEnded() {
	gone := func(m *peer) bool { return m.State.ended() && f.now-m.stateSince > f.options.RetainFor && !m.onRoster }
	if !slices.ContainsFunc(f.peers, gone) {
		return
	}
	f.peers = slices.DeleteFunc(f.peers, func(m *peer) bool {
		if gone(m) {
			delete(f.peersByName, m.Name)
			return true
		}
		return false
	})
}

// aliveCount counts the drivers that live, this one included.
func (f *Fleet) aliveCount() int {
	n := 1
	for _, m := range f.peers {
		if m.State == Alive {
			n++
		}
	}
	return n
}
