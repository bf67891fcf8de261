package controlplane

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/controlplane/failover"
	"weirwind/internal/util/events"
)

// rosterIntervalMs is the time between two proposals of a roster: what comes together costs one.
const rosterIntervalMs = 200.0

// rosterTracker has the leader keep the committed roster up to date: the members that may hold an acknowledged
// commit. It belongs to softState.
type rosterTracker struct {
	owner *softState

	// removable are members that ended and hold no commit alone: they may leave the roster. It holds for this lead.
	removable      map[config.RosterMember]bool
	nextProposalAt float64
}

func newRosterTracker(owner *softState) rosterTracker {
	return rosterTracker{owner: owner}
}

// reset forgets what an earlier lead knew.
func (r *rosterTracker) reset() {
	r.removable, r.nextProposalAt = map[config.RosterMember]bool{}, 0
}

// absent gives the members on the roster of a service that have ended or are unknown here, so that no question can be
// put to them. An unknown one counts as departed once this machine has led for memberTimeout without a heartbeat of
// it: a known one would have expired by then.
func (r *rosterTracker) absent(service string, now float64) (out []failover.Member) {
	s := r.owner
	for _, id := range s.committed.Roster[service] {
		record, known := s.members.table.Get(id)
		if known && !record.Tombstone || r.removable[config.RosterMember{Service: service, ID: id}] {
			continue // a removable one is about to leave the roster: what it held is at others, committed or not
		}
		departed := known || now-s.leadership.since > ms(memberTimeout)
		out = append(out, failover.Member{ID: id, Absent: true, Departed: departed})
	}
	return out
}

// step proposes the members that the roster lacks, and those that may leave it.
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

// change compares the live members with the roster.
func (r *rosterTracker) change(live map[string][]directory.Member) (change config.RosterChange) {
	s := r.owner
	for i := range s.config.Services {
		service := &s.config.Services[i]
		if service.SyncReplicas == 0 {
			continue // nothing is promised of its commits
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

// proposeRoster proposes a change of the roster on top of the newest committed state, unless an entry is in flight:
// then the soft state repeats the change.
func (c *consensusLoop) proposeRoster(change config.RosterChange) {
	entry, committed := c.node.Committed()
	upToDate := committed && c.committed != nil && c.applied == entryIDOf(&entry)
	if !upToDate || !c.node.Established() || c.node.InFlight() {
		return
	}
	next := c.committed.WithRoster(change)
	if next == c.committed {
		return
	}
	value, err := next.Encode()
	if err != nil {
		c.server.fail(err)
		return
	}
	if _, ok := c.node.Propose(value, c.server.now()); ok {
		c.server.log.Event(events.RosterChange, "added", loggedMembers(change.Add), "removed", loggedMembers(change.Remove))
	}
}

// loggedMember is a member as the log shows it: readers of logs know its keys.
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
