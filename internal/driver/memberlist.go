package driver

// This file owns the way of member lists into the driver: what sources tell goes before the roster, and what the
// roster shows goes to those who go by it. It must never choose between sources, or let two of them be told at once.

import (
	"strings"

	"weirwind/internal/discovery"
	"weirwind/internal/learned"
	"weirwind/internal/operator"
	"weirwind/internal/roster"
	"weirwind/logic"
)

const maxLoggedMembers = 8 // members in a line of the log

// start gives the list that a start begins with. It is one that discovery told, which goes on from there; where there
// is a registry beside it, nobody knows who told it.
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

// told takes what a source told, and says what the roster makes of it.
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

// lost notes that a source can't be heard.
func (v *Service) sourceDisconnected(s roster.Source) {
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
	v.roster.SetDisconnected(s)
	v.publish(v.roster.Tick(v.decider.clock.now()), logic.ListChanges)
}

// tick lets another source take the lead when it is time.
func (v *Service) tickRoster() {
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
	if out := v.roster.Tick(v.decider.clock.now()); len(out.Changes)+len(out.Notes) > 0 {
		v.publish(out, logic.ListChanges)
	}
}

// give hands changes out: addresses first, so that sends find them. The caller holds the lock.
func (v *Service) publish(out roster.Outcome, kind logic.ListKind) {
	for _, text := range out.Notes {
		v.log.Warn("roster", "text", text)
	}
	changes := make([]discovery.Entry, 0, len(out.Changes))
	var named []string
	for i, e := range out.Changes {
		if changes = append(changes, fromRoster(e)); i < maxLoggedMembers {
			named = append(named, e.ID+"="+changes[i].Phase)
		}
	}
	if len(changes) > 0 {
		lead, revision, _, _ := v.roster.Leader(v.decider.clock.now())
		v.log.Info("list", "source", lead.String(), "revision", revision, "changed", len(changes), "members",
			strings.Join(named, ","))
	}
	v.pool.setMembers(changes, false)
	v.decider.updateMembership(kind, changes) // also with nothing new: a list has come
	if v.stateSaver != nil {
		v.stateSaver.noteMembership(v.discoveryRevisionLocked(), len(changes) > 0)
	}
}

// revision is up to where discovery's list is held.
func (v *Service) discoveryRevision() int64 {
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
	return v.discoveryRevisionLocked()
}

// listed is the list that is shown, and up to where discovery's is held.
func (v *Service) membership() (revision int64, entries []learned.Entry) {
	v.rosterMu.Lock()
	defer v.rosterMu.Unlock()
	for _, e := range v.roster.Members() {
		entries = append(entries, toLearned(fromRoster(e)))
	}
	return v.discoveryRevisionLocked(), entries
}

// held is up to where discovery's list is held, or what the start was given; a registry counts in revisions of its own.
// The caller holds the lock.
func (v *Service) discoveryRevisionLocked() int64 {
	if _, revision, told := v.roster.Revision(roster.SourceDiscovery); told {
		return revision
	}
	_, revision, _ := v.roster.Revision(roster.SourceKnown)
	return revision
}

var rosterPhases = map[string]roster.Phase{discovery.PhaseUp: roster.PhaseUp,
	discovery.PhaseDraining: roster.PhaseDraining, discovery.PhaseRemoved: roster.PhaseRemoved}

func discoveryUpdate(a discovery.Response) roster.Update {
	u := roster.Update{Source: roster.SourceDiscovery, Revision: a.Revision, Snapshot: a.Complete, Linearizable: true}
	for _, e := range a.Members {
		u.Entries = append(u.Entries, toRoster(e))
	}
	return u
}

func toRoster(e discovery.Entry) roster.Entry {
	return roster.Entry{ID: e.ID, Address: e.Address, Zone: e.Zone, Group: e.Group, Phase: rosterPhases[e.Phase],
		Access:    e.Access,
		StartedAt: e.StartedAt}
}

func fromRoster(e roster.Entry) discovery.Entry {
	return discovery.Entry{ID: e.ID, Address: e.Address, Zone: e.Zone, Group: e.Group, Access: e.Access,
		StartedAt: e.StartedAt,
		Phase: [...]string{roster.PhaseUp: discovery.PhaseUp, roster.PhaseDraining: discovery.PhaseDraining,
			roster.PhaseRemoved: discovery.PhaseRemoved}[e.Phase]}
}

func rosterOptions(g *operator.Registry) roster.Options {
	if g == nil {
		return roster.Options{Preferred: roster.SourceDiscovery}
	}
	return roster.Options{
		Preferred:     roster.SourceRegistry,
		FailoverAfter: milliseconds(g.FailoverAfter),
		ConfirmAfter:  milliseconds(g.ConfirmAfter),
	}
}
