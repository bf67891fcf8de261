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
func (s *Service) initMembership(known discovery.Response) {
	u := discoveryUpdate(known)
	if u.Snapshot = true; s.registryConfig != nil {
		u.Source = roster.SourceKnown
	}
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	out := s.roster.Apply(s.decider.clock.now(), u)
	s.roster.SetDisconnected(u.Source)
	s.publish(out, logic.ListCached)
}

// updateMembership takes a list or changes from a source, and says what the roster, which chooses between sources,
// makes of them.
func (s *Service) updateMembership(update roster.Update) roster.Verdict {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	out := s.roster.Apply(s.decider.clock.now(), update)
	s.publish(out, logic.ListChanges)
	if out.Verdict != roster.VerdictGap && out.Verdict != roster.VerdictUnconfirmed {
		s.fleet.membershipUpdated(update.Source, update.Revision, out.Changes)
	}
	return out.Verdict
}

// sourceDisconnected notes that a source can't be reached.
func (s *Service) sourceDisconnected(source roster.Source) {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	s.roster.SetDisconnected(source)
	s.publish(s.roster.Tick(s.decider.clock.now()), logic.ListChanges)
}

// tickRoster lets another source take the lead when it is time.
func (s *Service) tickRoster() {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	if out := s.roster.Tick(s.decider.clock.now()); len(out.Changes)+len(out.Notes) > 0 {
		s.publish(out, logic.ListChanges)
	}
}

// publish passes the roster's changes on: addresses first, so that attempts find them. The caller holds rosterMu, so
// that changes are passed on in their order.
func (s *Service) publish(out roster.Outcome, kind logic.ListKind) {
	for _, text := range out.Notes {
		s.log.Warn("roster", "text", text)
	}
	changes := make([]discovery.Entry, 0, len(out.Changes))
	var logged []string
	for i, e := range out.Changes {
		if changes = append(changes, fromRoster(e)); i < maxLoggedMembers {
			logged = append(logged, e.ID+"="+changes[i].Phase)
		}
	}
	if len(changes) > 0 {
		leader, revision, _, _ := s.roster.Leader(s.decider.clock.now())
		s.log.Info("list", "source", leader.String(), "revision", revision, "changed", len(changes), "members",
			strings.Join(logged, ","))
	}
	s.pool.setMembers(changes, false)
	s.decider.updateMembership(kind, changes) // also without changes: a list has come
	if s.stateSaver != nil {
		s.stateSaver.recordMembership(s.discoveryRevisionLocked(), len(changes) > 0)
	}
}

// discoveryRevision is up to which revision discovery's list is held.
func (s *Service) discoveryRevision() int64 {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	return s.discoveryRevisionLocked()
}

// membership is the roster's members, and the revision of discovery's list that is held.
func (s *Service) membership() (revision int64, entries []learned.Entry) {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	for _, e := range s.roster.Members() {
		entries = append(entries, toLearned(fromRoster(e)))
	}
	return s.discoveryRevisionLocked(), entries
}

// discoveryRevisionLocked is up to which revision discovery's list is held, or that of the start's list; a registry
// has revisions of its own. The caller holds rosterMu.
func (s *Service) discoveryRevisionLocked() int64 {
	if _, revision, known := s.roster.Revision(roster.SourceDiscovery); known {
		return revision
	}
	_, revision, _ := s.roster.Revision(roster.SourceKnown)
	return revision
}
