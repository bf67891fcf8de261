package controlplane

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/controlplane/failover"
	"weirwind/internal/util/events"
)

// rosterIntervalMs is the minimum time between two proposals of a roster, so that changes that occur together take one
// entry.
const rosterIntervalMs = 200.0

// rosterTracker keeps the committed roster up to date at the leader. The roster lists the members that may hold an
// acknowledged commit. It belongs to softState.
type rosterTracker struct {
	owner *softState

	// removable holds the members that ended and are not the only holder of a commit, so that they may leave the roster.
	// It is valid for this leadership.
	removable      map[config.RosterMember]bool
	nextProposalAt float64
}

func newRosterTracker(owner *softState) rosterTracker {
	return rosterTracker{owner: owner}
}

// reset drops the state of an earlier leadership.
func (r *rosterTracker) reset() {
	r.removable, r.nextProposalAt = map[config.RosterMember]bool{}, 0
}

// absent returns the members on a service's roster that have ended or are unknown here, so that no statement can be
// sent to them. An unknown member counts as departed once this machine has led for memberTimeout without a heartbeat
// from it, as a known one would have expired by then.
func (r *rosterTracker) absent(service string, now float64) (out []failover.Member) {
	s := r.owner
	for _, id := range s.committed.Roster[service] {
		record, known := s.members.table.Get(id)
		if known && !record.Tombstone || r.removable[config.RosterMember{Service: service, ID: id}] {
			continue // a removable member is about to leave the roster; others hold all that it held, committed or not
		}
		departed := known || now-s.leadership.since > ms(memberTimeout)
		out = append(out, failover.Member{ID: id, Absent: true, Departed: departed})
	}
	return out
}

// step proposes to add the members that the roster lacks, and to remove those that may leave it.
func (r *rosterTracker) step(live map[string][]directory.Member, now float64) {
	if now < r.nextProposalAt {
		return
	}
	change := r.change(live)
	if len(change.Add)+len(change.Remove) == 0 {
		return
	}
	r.nextProposalAt = now + rosterIntervalMs
	loop := r.owner.server.loop
	loop.offer(func() { loop.proposeRoster(change) }) // proposed again at the next step
}

// change returns the difference between the live members and the roster.
func (r *rosterTracker) change(live map[string][]directory.Member) (change config.RosterChange) {
	s := r.owner
	for i := range s.config.Services {
		service := &s.config.Services[i]
		if service.SyncReplicas == 0 {
			continue // its commits are not guaranteed to survive a failover
		}
		for _, m := range live[service.Name] {
			entry := config.RosterMember{Service: service.Name, ID: m.ID}
			delete(r.removable, entry) // it is back
			if !s.committed.Roster.Contains(service.Name, m.ID) {
				change.Add = append(change.Add, entry)
			}
		}
	}
	for entry := range r.removable {
		if s.committed.Roster.Contains(entry.Service, entry.ID) {
			change.Remove = append(change.Remove, entry)
		} else {
			delete(r.removable, entry)
		}
	}
	return change
}

// proposeRoster proposes a change of the roster.
func (c *consensusLoop) proposeRoster(change config.RosterChange) {
	proposed := c.proposeChange(func(state *config.State) *config.State { return state.WithRoster(change) })
	if proposed {
		c.server.log.Event(events.RosterChange, "added", loggedMembers(change.Add), "removed", loggedMembers(change.Remove))
	}
}

// proposeChange proposes a change of the newest committed state, and reports whether it did. It does not while an entry
// is in flight, or if the change has no effect; the soft state asks for it again.
func (c *consensusLoop) proposeChange(change func(*config.State) *config.State) bool {
	entry, committed := c.node.Committed()
	upToDate := committed && c.committed != nil && c.appliedEntry == entryIDOf(&entry)
	if !upToDate || !c.node.Established() || c.node.InFlight() {
		return false
	}
	next := change(c.committed)
	if next == c.committed {
		return false
	}
	value, err := next.Encode()
	if err != nil {
		c.server.fail(err)
		return false
	}
	_, proposed := c.node.Propose(value, c.server.now())
	return proposed
}

// loggedMember is a member in a log line. Its keys are fixed, as log readers depend on them.
type loggedMember struct {
	Service string `json:"Svc"`
	ID      string `json:"ID"`
}

func loggedMembers(members []config.RosterMember) (out []loggedMember) {
	for _, m := range members {
		out = append(out, loggedMember{Service: m.Service, ID: m.ID})
	}
	return out
}
