package controlplane

// This file owns the roster at the machine that leads: which members it adds, which it removes, and the proposals of both.

import (
	"net/http"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/controlplane/failover"
	"weirwind/internal/util/events"
)

const rosterEvery = 200.0 // milliseconds between proposals: what comes together costs one

// Times of doubt: members may beat at a machine of the core that this one doesn't hear.
const (
	voterSilent   = 1000.0 // milliseconds after which a machine of the core is silent
	replacedAfter = 1.5    // beats: a late word of the old one doesn't end the new one
	doubtFor      = 3000.0 // after it is back, or this machine began to lead, until its members are known
)

// watchVoters tells the tables when a machine of the core falls silent, and when all are heard again.
func (c *consensusLoop) watchVoters() {
	split := slices.ContainsFunc(c.node.PeerStatuses(c.h.now()), func(s consensus.PeerStatus) bool {
		return s.Silent < 0 || s.Silent > voterSilent
	})
	if split == c.split {
		return
	}
	c.split = split
	c.h.tables.do(func() { c.h.tables.partial, c.h.tables.partialAt = split, c.h.now() })
}

// doubtful says whether there may be members of which this leader has not heard though they live.
func (t *tables) doubtful(now float64) bool {
	return t.partial || now-max(t.partialAt, t.ledAt) < doubtFor
}

// present gives the members that have not ended, by service.
func (t *tables) present() map[string][]directory.Member {
	bySvc := map[string][]directory.Member{}
	for _, m := range t.members.Snapshot() {
		if !m.Tombstone {
			bySvc[m.Service] = append(bySvc[m.Service], m)
		}
	}
	return bySvc
}

// endReplaced notes the end of members whose address another now has: a member that crashed comes back with its log and another id. The
// old id stays on the roster until it is covered, which takes a living primary, but nobody waits for it to be silent for a minute.
func (t *tables) endReplaced(by directory.Member, now float64) {
	for _, m := range t.members.Snapshot() {
		sameAddress := m.Service == by.Service && m.Addr == by.Addr && m.ID != by.ID
		if sameAddress && !m.Tombstone && t.members.HeartbeatAge(m.ID, now) > replacedAfter*ms(t.h.set.HeartbeatInterval) {
			t.leave(m.ID)
		}
	}
}

// absent gives the members on the roster of a service to which no question can be put. One of which nothing is known has ended once
// it was silent, as far as this leader can tell, for as long as a known one may be.
func (t *tables) absent(svc string, now float64) (out []failover.Member) {
	for _, id := range t.state.Roster[svc] {
		m, known := t.members.Get(id)
		if known && !m.Tombstone || t.covered[config.RosterMember{Service: svc, ID: id}] {
			continue // a covered one is to leave the roster: what it held is at others, agreed on or not
		}
		ended := known || now-t.ledAt > ms(memberKeep)
		out = append(out, failover.Member{ID: id, Absent: true, Departed: ended})
	}
	return out
}

// tendRoster proposes what the roster lacks, and what may leave it.
func (t *tables) tendRoster(bySvc map[string][]directory.Member, now float64) {
	if now < t.rosterAt {
		return
	}
	change := t.rosterChange(bySvc)
	if len(change.Add)+len(change.Remove) == 0 {
		return
	}
	t.rosterAt = now + rosterEvery
	t.h.loop.do(func() { t.h.loop.proposeRoster(change) })
}

// rosterChange compares the members that are there with the roster.
func (t *tables) rosterChange(bySvc map[string][]directory.Member) (change config.RosterChange) {
	for i := range t.config.Services {
		svc := t.config.Services[i].Name
		if t.config.Services[i].SyncReplicas == 0 {
			continue // nothing is promised of its commits
		}
		for _, m := range bySvc[svc] {
			item := config.RosterMember{Service: svc, ID: m.ID}
			delete(t.covered, item) // it is back
			if !t.state.Roster.Contains(svc, m.ID) {
				change.Add = append(change.Add, item)
			}
		}
	}
	for item := range t.covered {
		if t.state.Roster.Contains(item.Service, item.ID) {
			change.Remove = append(change.Remove, item)
		} else {
			delete(t.covered, item)
		}
	}
	return change
}

// proposeRoster has a change agreed on, unless another change is: then the tables ask again. It is made of the newest committed state.
func (c *consensusLoop) proposeRoster(change config.RosterChange) {
	e, committed := c.node.Committed()
	if !committed || c.state == nil || c.seen != [2]uint64{e.Term, e.Index} || !c.node.Established() || c.node.InFlight() {
		return
	}
	next := c.state.WithRoster(change)
	if next == c.state {
		return
	}
	value, err := cbor.Marshal(next)
	if err != nil {
		c.h.fail(err)
		return
	}
	if _, ok := c.node.Propose(value, c.h.now()); ok {
		c.h.log.Event(events.RosterChange, "added", loggedMembers(change.Add), "removed", loggedMembers(change.Remove))
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

// forget takes an operator's word that a member is gone for good: its group waits for it no longer. What it alone held is given up.
func (m *membersResource) forget(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	m.h.tables.do(func() { m.h.tables.leave(id) })
	status, answer := m.h.call(controlmsg.Request{ForgetMember: id})
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	w.Write(answer)
}
