package driver

import (
	"strings"

	"weirwind/internal/discovery"
	"weirwind/internal/learned"
	"weirwind/internal/roster"
	"weirwind/logic"
)

const maxLoggedMembers = 8 // members in a line of the log

// initMembership takes the list that a start begins with. It is discovery's, which goes on from its revision; where
// there is a registry beside it, nobody knows whose it is.
func (v *Service) initMembership(known discovery.Response) {
	u := discoveryUpdate(known)
	if u.Snapshot = true; v.registryConfig != nil {
		u.Source = roster.SourceKnown
	}
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
	out := v.roster.Apply(v.decider.clock.now(), u)
	v.roster.SetDisconnected(u.Source)
	v.publish(out, logic.ListCached)
}

// updateMembership takes a list or changes from a source, and says what the roster, which chooses between sources, makes
// of them.
func (v *Service) updateMembership(u roster.Update) roster.Verdict {
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
	out := v.roster.Apply(v.decider.clock.now(), u)
	v.publish(out, logic.ListChanges)
	if out.Verdict != roster.VerdictGap && out.Verdict != roster.VerdictUnconfirmed {
		v.fleet.membershipUpdated(u.Source, u.Revision, out.Changes)
	}
	return out.Verdict
}

// sourceDisconnected notes that a source can't be reached.
func (v *Service) sourceDisconnected(source roster.Source) {
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
	v.roster.SetDisconnected(source)
	v.publish(v.roster.Tick(v.decider.clock.now()), logic.ListChanges)
}

// tickRoster lets another source take the lead when it is time.
func (v *Service) tickRoster() {
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
	if out := v.roster.Tick(v.decider.clock.now()); len(out.Changes)+len(out.Notes) > 0 {
		v.publish(out, logic.ListChanges)
	}
}

// publish passes the roster's changes on: addresses first, so that attempts find them. The caller holds rosterMu, so
// that changes are passed on in their order.
func (v *Service) publish(out roster.Outcome, kind logic.ListKind) {
	for _, text := range out.Notes {
		v.log.Warn("roster", "text", text)
	}
	changes := make([]discovery.Entry, 0, len(out.Changes))
	var logged []string
	for i, e := range out.Changes {
		if changes = append(changes, fromRoster(e)); i < maxLoggedMembers {
			logged = append(logged, e.ID+"="+changes[i].Phase)
		}
	}
	if len(changes) > 0 {
		leader, revision, _, _ := v.roster.Leader(v.decider.clock.now())
		v.log.Info("list", "source", leader.String(), "revision", revision, "changed", len(changes), "members",
			strings.Join(logged, ","))
	}
	v.pool.setMembers(changes, false)
	v.decider.updateMembership(kind, changes) // also without changes: a list has come
	if v.stateSaver != nil {
		v.stateSaver.noteMembership(v.discoveryRevisionLocked(), len(changes) > 0)
	}
}

// discoveryRevision is up to which revision discovery's list is held.
func (v *Service) discoveryRevision() int64 {
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
	return v.discoveryRevisionLocked()
}

// membership is the roster's members, and the revision of discovery's list that is held.
func (v *Service) membership() (revision int64, entries []learned.Entry) {
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
	for _, e := range v.roster.Members() {
		entries = append(entries, toLearned(fromRoster(e)))
	}
	return v.discoveryRevisionLocked(), entries
}

// discoveryRevisionLocked is up to which revision discovery's list is held, or that of the start's list; a registry
// has revisions of its own. The caller holds rosterMu.
func (v *Service) discoveryRevisionLocked() int64 {
	if _, revision, known := v.roster.Revision(roster.SourceDiscovery); known {
		return revision
	}
	_, revision, _ := v.roster.Revision(roster.SourceKnown)
	return revision
}
