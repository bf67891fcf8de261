package learned

import (
	"math"
	"slices"

	"weirwind/logic"
)

// Table is the state of the present run as it is saved. It is used by one goroutine at a time.
type Table struct {
	config       Config
	state        *State  // the state that the returned records lead to
	hintsSavedAt float64 // by the wall clock; -Inf before the first time
	savedAt      float64 // when records were last returned, by the wall clock
}

// NewTable starts a run with the state that an earlier run saved, or an empty one if saved is nil or belongs to another
// driver. Restore reads the saved state before StartRun redates it.
func NewTable(config Config, saved *State, now Timestamp) *Table {
	t := &Table{config: config, state: newState(), hintsSavedAt: math.Inf(-1), savedAt: now.Wall}
	if saved != nil && saved.Meta.Name == config.Name {
		t.state = saved
	}
	m := &t.state.Meta
	m.Schema, m.Name, m.CleanShutdown = Schema, config.Name, false
	m.Run++
	return t
}

// StartRun redates the state by this run's clock: dates are translated to its wall clock, and evidence from a state
// dated in the future is dropped.
func (t *Table) StartRun(now Timestamp) {
	s := t.state
	if s.Meta.SavedAt != (Timestamp{}) {
		s.redate(now, elapsedSince(s.Meta.SavedAt, now))
	}
	s.Meta.SavedAt = now
	s.Meta.MaxPosition = max(t.config.reservedPosition(now), t.savedMaxPosition(now))
}

func (s *State) redate(now Timestamp, since elapsed) {
	for id, g := range s.Groups {
		if g.SeenAt = redate(g.SeenAt, s.Meta.SavedAt, now, since); since.future {
			g.Primary, g.InSlot, g.SeenAt = "", false, 0
		}
		s.Groups[id] = g
	}
	for id, m := range s.Members {
		if m.EjectedAt = redate(m.EjectedAt, s.Meta.SavedAt, now, since); since.future {
			m.EjectedAt, m.Disconnected = 0, false
		}
		if since.stepped || since.future {
			m.Position = 0
		}
		s.Members[id] = m
	}
}

// savedMaxPosition returns the saved MaxPosition, or 0 if it came from a wrong clock.
func (t *Table) savedMaxPosition(now Timestamp) float64 {
	if position := t.state.Meta.MaxPosition; position-now.Wall < maxReservedLead {
		return position
	}
	return 0
}

// Snapshot returns the state as one record.
func (t *Table) Snapshot() []byte { return t.state.Snapshot() }

// State returns the table's state, which callers must not modify.
func (t *Table) State() *State { return t.state }

// UpdateMembership applies a membership list, complete or as changes, and returns the records to save at once. A
// revision lower than the previous one begins an epoch.
func (t *Table) UpdateMembership(now Timestamp, revision int64, complete bool, entries []Entry) [][]byte {
	s := t.state
	var r record
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		if e.Phase == PhaseRemoved {
			if _, ok := s.Membership[e.ID]; ok {
				r.RemovedEntries = append(r.RemovedEntries, e.ID)
			}
			continue
		}
		if listed[e.ID] = true; s.Membership[e.ID] != e {
			r.Entries = append(r.Entries, e)
		}
	}
	if complete {
		for id := range s.Membership {
			if !listed[id] && !slices.Contains(r.RemovedEntries, id) {
				r.RemovedEntries = append(r.RemovedEntries, id)
			}
		}
		slices.Sort(r.RemovedEntries)
	}
	meta := s.Meta
	if revision < meta.Revision {
		meta.Epoch++
		meta.PriorRevision = max(meta.PriorRevision, meta.Revision)
	}
	if r.empty() && revision == meta.Revision {
		return nil
	}
	meta.Revision = revision
	return t.commit(now, meta, &r)
}

// Update compares the decision module's memory with the saved state and returns records for the changes that justify a
// write now. At the last save of a run it returns all changes.
func (t *Table) Update(now Timestamp, memory *logic.Memory, last bool) [][]byte {
	var r record
	hints := last || now.Wall-t.hintsSavedAt >= hintInterval
	t.diffGroups(&r, now, memory, last, hints)
	t.diffMembers(&r, memory, last, hints)
	if hints {
		t.diffOpTypes(&r, memory)
		t.hintsSavedAt = now.Wall
	}
	meta := t.state.Meta
	meta.CleanShutdown = last
	if r.empty() && !last && !t.needsRenewal(now) {
		return nil
	}
	return t.commit(now, meta, &r)
}

// diffGroups adds the groups that are new, changed or removed to a record.
func (t *Table) diffGroups(r *record, now Timestamp, memory *logic.Memory, last, hints bool) {
	s := t.state
	known := make(map[int64]bool, len(memory.Groups))
	for _, m := range memory.Groups {
		known[m.Group] = true
		g := Group{m.Group, m.Primary, m.InSlot, math.Floor(m.SeenAt), m.WorkRate, m.LastCommit}
		if math.IsInf(m.SeenAt, 0) {
			g.SeenAt = 0
		}
		saved, isSaved := s.Groups[m.Group]
		switch {
		case !isSaved || g.Primary != saved.Primary || g.InSlot != saved.InSlot ||
			g.LastCommit != saved.LastCommit && last || hints && changed(g.WorkRate, saved.WorkRate):
			r.Groups = append(r.Groups, g)
		case g.SeenAt > saved.SeenAt+1 && (t.config.trustWindow() > 0 || last):
			age := int64(math.Ceil(now.Wall - g.SeenAt)) // rounded up: evidence must not become younger
			r.Sightings = append(r.Sightings, Sighting{Group: g.ID, Age: age})
		}
	}
	for id := range s.Groups {
		if !known[id] {
			r.RemovedGroups = append(r.RemovedGroups, id)
		}
	}
	slices.Sort(r.RemovedGroups)
}

// diffMembers adds the members that are new, changed or removed to a record.
func (t *Table) diffMembers(r *record, memory *logic.Memory, last, hints bool) {
	s := t.state
	known := make(map[string]bool, len(memory.Members))
	for _, current := range memory.Members {
		known[current.Member] = true
		m := Member{current.Member, current.Group, math.Floor(max(current.Position, 0)),
			current.StartedAt, current.EjectedAt, current.Disconnected, current.Window}
		saved, isSaved := s.Members[current.Member]
		if !isSaved || m.StartedAt != saved.StartedAt || m.EjectedAt != saved.EjectedAt ||
			m.Disconnected != saved.Disconnected || m.Group != saved.Group ||
			hints && changed(m.Window, saved.Window) ||
			m.Position > saved.Position && (last || t.config.savesPositions()) {
			r.Members = append(r.Members, m)
		}
	}
	for id := range s.Members {
		if !known[id] {
			r.RemovedMembers = append(r.RemovedMembers, id)
		}
	}
	slices.Sort(r.RemovedMembers)
}

// diffOpTypes adds the op types whose latencies have changed to a record. All values of an op type are hints.
func (t *Table) diffOpTypes(r *record, memory *logic.Memory) {
	for i, m := range memory.OpTypes {
		if i >= len(t.config.OpTypes) {
			break
		}
		opType := t.config.OpTypes[i]
		saved := t.state.OpTypes[opType.Name]
		if changed(m.Typical, saved.Typical) || changed(m.Best, saved.Best) || saved.LatencyTarget != opType.LatencyTarget {
			r.OpTypes = append(r.OpTypes, OpTypeStats{opType.Name, opType.LatencyTarget, m.Typical, m.Best})
		}
	}
}

// needsRenewal reports whether the timestamp alone justifies a write: before MaxPosition runs out, if sessions don't
// track their positions and so depend on it, or else only to keep the age of the state known.
func (t *Table) needsRenewal(now Timestamp) bool {
	if !t.config.SessionsTrackPosition {
		return t.state.Meta.MaxPosition < t.config.reservedPosition(now)-t.config.SaveInterval/2
	}
	return now.Wall-t.savedAt >= renewalIntervals*t.config.SaveInterval
}

func changed(value, saved float64) bool {
	return math.Abs(value-saved) > minHintChange*max(math.Abs(saved), math.Abs(value))
}

// commit applies a record to the state and returns it encoded, split into several records if it is too long. Each
// begins with the timestamp by which its contents are dated.
func (t *Table) commit(now Timestamp, meta Meta, r *record) (records [][]byte) {
	meta.SavedAt = now
	meta.MaxPosition = max(t.config.reservedPosition(now), t.savedMaxPosition(now))
	parts := r.split()
	for i, part := range parts {
		m := meta
		if i < len(parts)-1 {
			m.Revision = t.state.Meta.Revision // the new revision counts only after the last part
		}
		part.Meta = &m
		records = append(records, part.encode())
		t.state.apply(part)
	}
	t.savedAt = now.Wall
	return records
}
