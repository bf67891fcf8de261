package membership

// This file owns what a record changes: which of two of a driver holds, and what others say of this one.

import (
	"slices"
	"strings"
)

// apply takes a record of a driver.
func (f *Fleet) apply(r Record) {
	if !r.sane() {
		return
	}
	if r.Name == f.self.Name {
		f.ofSelf(r)
		return
	}
	m := f.byName[r.Name]
	if m == nil {
		if r.State.ended() && !f.listed(r.Name) {
			return // nothing is lost by not knowing it
		}
		if len(f.list) >= f.rules.MaxDrivers {
			if f.now-f.warned[""] > 60*f.rules.Period {
				f.warned[""] = f.now
				f.note("fleet_full", r.Name, "")
			}
			return
		}
		m = &member{Record: Record{Name: r.Name, State: Left}, met: f.now, since: f.now, on: f.listed(r.Name)}
		i, _ := slices.BinarySearchFunc(f.list, r.Name, func(m *member, name string) int {
			return strings.Compare(m.Name, name)
		})
		f.list = slices.Insert(f.list, i, m)
		f.byName[r.Name] = m
		f.enter(m, r)
		return
	}
	switch {
	case r.State == Failed && m.State == Alive && m.Run == r.Run && m.Incarnation <= r.Incarnation &&
		f.now-m.fresh < heardLately*f.rules.Period:
		// Heard here a moment ago: news of the other side of a cut that healed. It is told, and denies it; if it
		// has failed since, this driver finds out, or hears of it once more.
		if f.now >= m.accused {
			m.accused = f.now + f.rules.Period
			f.send(m.Address, Message{Kind: Gossip, Target: m.Name, Records: []Record{r}})
		}
	case m.Run == r.Run && m.Incarnation == r.Incarnation && m.State == Suspect && r.State == Suspect:
		if !m.by[r.ReportedBy] && len(m.by) <= confirmers {
			m.by[r.ReportedBy] = true
			f.queue(r)
		}
	case r.supersedes(&m.Record):
		f.enter(m, r)
	case r.contests(&m.Record) && f.now-f.warned[r.Name] > 60*f.rules.Period && len(f.warned) < 256:
		f.warned[r.Name] = f.now
		f.note("name_twice", r.Name, "at "+m.Address+" and at "+r.Address)
	}
}

// enter makes a record the one that holds.
func (f *Fleet) enter(m *member, r Record) {
	before, run := m.State, m.Run
	if !before.ended() {
		f.view ^= mark(m.Name, m.Run)
	}
	if !r.State.ended() {
		f.view ^= mark(r.Name, r.Run)
	}
	if r.Run != run {
		m.count, m.fresh, m.silent, m.deaf, m.hears = 0, 0, false, false, Reachability{}
	}
	if before != r.State || r.Run != run {
		m.since = f.now
		f.statesGen++
	}
	m.Record = r
	if r.State == Suspect {
		if before != Suspect {
			f.suspects = append(f.suspects, m)
		}
		m.began, m.scale, m.by = f.now, 1+float64(f.health)/2, map[string]bool{r.ReportedBy: true}
		if r.ReportedBy != f.self.Name && len(f.check) < maxChecks && f.random.Float64()*float64(f.alive()) < checkers {
			f.check = append(f.check, r.Name)
		}
	} else {
		m.by = nil
	}
	if before.ended() != r.State.ended() || r.Run != run {
		f.changed = f.now
		switch {
		case !r.State.ended() && r.Run != run:
			f.note("fellow_came", r.Name, r.Address)
		case !r.State.ended():
			m.met, m.silent = f.now, false
			f.note("fellow_back", r.Name, r.Address)
		case r.State == Left:
			f.note("fellow_left", r.Name, "")
		default:
			f.note("fellow_failed", r.Name, "told by "+r.ReportedBy)
		}
	}
	if r.State.ended() && m.deaf {
		m.deaf = false
		f.tellHearing()
	}
	f.queue(r)
}

// ofSelf takes what others say of this driver, or of another process with its name.
func (f *Fleet) ofSelf(r Record) {
	switch {
	case r.Run == f.self.Run && r.State == Left && !f.leaving: // operators took it for gone: it comes as a new one
		f.rename(r.Run + 1)
		f.note("forgotten", f.self.Name, "")
	case r.Run == f.self.Run:
		if (r.State == Suspect || r.State == Failed) && r.Incarnation >= f.self.Incarnation && !f.leaving {
			f.self.Incarnation = r.Incarnation + 1
			f.health = min(healthMost, f.health+1)
			if r.State == Failed {
				f.note("denied", f.self.Name, "said to have failed, by "+r.ReportedBy)
			}
			f.queue(f.self)
		}
	case r.Address == f.self.Address || r.State.ended(): // an earlier run of its own, or one that has ended elsewhere
		if r.Run > f.self.Run {
			f.rename(r.Run + 1)
		}
		if r.Address == f.holder {
			f.contested, f.holder, f.judgeAt = 0, "", 0
			f.queue(f.self)
		}
	case r.Run < f.self.Run: // it was there first
		if f.contested == 0 && f.holder != r.Address {
			f.note("name_taken", f.self.Name, "by the driver at "+r.Address)
		}
		f.contested, f.holder, f.judgeAt = f.now, r.Address, 0
	}
}

// rename takes a higher run: what is said of the earlier ones is not about this process.
func (f *Fleet) rename(run uint64) {
	f.view ^= mark(f.self.Name, f.self.Run) ^ mark(f.self.Name, run)
	f.self.Run, f.self.Incarnation = run, 0
	f.hears.Run = run
	f.queue(f.self)
}

// reap forgets those that have ended, are on no roster and were remembered for long enough.
func (f *Fleet) reap() {
	gone := func(m *member) bool { return m.State.ended() && f.now-m.since > f.rules.RetainFor && !m.on }
	if !slices.ContainsFunc(f.list, gone) {
		return
	}
	f.list = slices.DeleteFunc(f.list, func(m *member) bool {
		if gone(m) {
			delete(f.byName, m.Name)
			return true
		}
		return false
	})
}

// alive counts the drivers that live, this one included.
func (f *Fleet) alive() int {
	n := 1
	for _, m := range f.list {
		if m.State == Alive {
			n++
		}
	}
	return n
}
