package driver

import (
	"strings"

	"weirwind/internal/discovery"
	"weirwind/internal/learned"
	"weirwind/internal/roster"
	"weirwind/logic"
)

const maxLoggedMembers = 8 // members per log line

// initMembership sets the initial list. Without a registry it counts as discovery's list, and the watch continues from
// its revision; with a registry its source is unknown.
func (s *Service) initMembership(initial discovery.Response) {
	update := discoveryUpdate(initial)
	if update.Snapshot = true; s.registryConfig != nil {
		update.Source = roster.SourceKnown
	}
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	outcome := s.roster.Apply(s.decider.clock.now(), update)
	s.roster.SetDisconnected(update.Source)
	s.publish(outcome, logic.ListCached)
}

// updateMembership applies a list or changes from a source, and returns the verdict of the roster, which chooses
// between sources.
func (s *Service) updateMembership(update roster.Update) roster.Verdict {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	outcome := s.roster.Apply(s.decider.clock.now(), update)
	s.publish(outcome, logic.ListChanges)
	if outcome.Verdict != roster.VerdictGap && outcome.Verdict != roster.VerdictUnconfirmed {
		s.fleet.membershipUpdated(update.Source, update.Revision, outcome.Changes)
	}
	return outcome.Verdict
}

// sourceDisconnected records that a source can't be reached.
func (s *Service) sourceDisconnected(source roster.Source) {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	s.roster.SetDisconnected(source)
	s.publish(s.roster.Tick(s.decider.clock.now()), logic.ListChanges)
}

// tickRoster lets the roster fail over to another source when a timeout has passed.
func (s *Service) tickRoster() {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	if outcome := s.roster.Tick(s.decider.clock.now()); len(outcome.Changes)+len(outcome.Notes) > 0 {
		s.publish(outcome, logic.ListChanges)
	}
}

// publish passes the roster's changes to the pool, then to the module, so that attempts find the addresses. The caller
// holds rosterMu, so that changes are published in order.
func (s *Service) publish(outcome roster.Outcome, kind logic.ListKind) {
	for _, text := range outcome.Notes {
		s.log.Warn("roster", "text", text)
	}
	changes := make([]discovery.Entry, 0, len(outcome.Changes))
	var logged []string
	for i, entry := range outcome.Changes {
		if changes = append(changes, fromRoster(entry)); i < maxLoggedMembers {
			logged = append(logged, entry.ID+"="+changes[i].Phase)
		}
	}
	if len(changes) > 0 {
		leader, revision, _, _ := s.roster.Leader(s.decider.clock.now())
		s.log.Info("list", "source", leader.String(), "revision", revision, "changed", len(changes), "members",
			strings.Join(logged, ","))
	}
	s.pool.setMembers(changes, false)
	s.decider.updateMembership(kind, changes) // also without changes: a list was received
	if s.stateSaver != nil {
		s.stateSaver.recordMembership(s.discoveryRevisionLocked(), len(changes) > 0)
	}
}

// discoveryRevision returns the revision of discovery's list that the roster has.
func (s *Service) discoveryRevision() int64 {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	return s.discoveryRevisionLocked()
}

// membership returns the roster's members, and the revision of discovery's list that the roster has.
func (s *Service) membership() (revision int64, entries []learned.Entry) {
	s.rosterMu.Lock()
	defer s.rosterMu.Unlock()
	for _, entry := range s.roster.Members() {
		entries = append(entries, toLearned(fromRoster(entry)))
	}
	return s.discoveryRevisionLocked(), entries
}

// discoveryRevisionLocked returns the revision of discovery's list that the roster has, or else that of the initial
// list. The revisions of a registry are independent of it. The caller holds rosterMu.
func (s *Service) discoveryRevisionLocked() int64 {
	if _, revision, known := s.roster.Revision(roster.SourceDiscovery); known {
		return revision
	}
	_, revision, _ := s.roster.Revision(roster.SourceKnown)
	return revision
}
