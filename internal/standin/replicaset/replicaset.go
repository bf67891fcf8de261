// Package replicaset simulates a replication group of members: their logs and terms, which one is primary, and what
// each has received. It follows the wire protocol's specification, does no I/O and reads no clock: the test that uses
// it decides the order of all events.
//
// A commit is acknowledged once SyncN replicas have received it. A promoted member has only the commits that it had
// received; acknowledged commits that it lacks are recorded in LostCommits, which has to stay empty.
package replicaset

import (
	"cmp"
	"slices"

	"weirwind/internal/member/wire"
)

// Entry is a commit in a log.
type Entry struct {
	Term, Number uint64
	ID           string // id of the statement that committed
}

// Member is a database server of a group.
type Member struct {
	ID           string
	Primary      bool
	Up           bool
	Paused       bool // the control plane paused it: receives nothing until Resume or a promotion
	NotReceiving bool // fault: receives nothing, but answers
	Partitioned  bool // fault: reaches no other member, but clients reach it
	Draining     bool
	Term         uint64 // the newest term that it knows
	LeaderTerm   uint64 // the last term in which it became primary
	PausedTerm   uint64 // the term for which it was paused, reported as the promised term
	Log          []Entry
}

// Group is the members of a service.
type Group struct {
	SyncN       int // replicas that must receive a commit before it is acknowledged
	Members     []*Member
	Acked       map[string]bool // acknowledged commits, by statement id
	LostCommits []string        // acknowledged commits that a promoted member lacked; must stay empty
	Promotions  int

	// Deliver is called for each commit that enough replicas have received; Acknowledge then records that its client has
	// the acknowledgement. If Deliver is nil, each client has it at once.
	Deliver func(entry Entry, primary *Member)

	pending []Entry // commits that are not acknowledged yet
}

// New returns a group whose first member is the primary of term 1.
func New(syncN int, ids ...string) *Group {
	g := &Group{SyncN: syncN, Acked: map[string]bool{}}
	for i, id := range ids {
		g.Members = append(g.Members, &Member{ID: id, Primary: i == 0, Up: true, Term: 1, LeaderTerm: uint64(1 - min(i, 1))})
	}
	return g
}

// Member returns the member with an id, nil if there is none.
func (g *Group) Member(id string) *Member {
	if i := slices.IndexFunc(g.Members, func(member *Member) bool { return member.ID == id }); i >= 0 {
		return g.Members[i]
	}
	return nil
}

// Leader returns the primary of the newest term among the members that are up, nil if there is none.
func (g *Group) Leader() *Member {
	var leader *Member
	for _, m := range g.Members {
		if m.Up && m.Primary && (leader == nil || m.LeaderTerm > leader.LeaderTerm) {
			leader = m
		}
	}
	return leader
}

// Position returns the position of the last entry of a member's log.
func (m *Member) Position() wire.Position {
	if n := len(m.Log); n > 0 {
		return wire.Position{Term: m.Log[n-1].Term, Number: m.Log[n-1].Number}
	}
	return wire.Position{Term: 1}
}

// Status returns the status that a member reports.
func (m *Member) Status() wire.MemberStatus {
	return wire.MemberStatus{Primary: m.Primary, Term: m.Term, Received: m.Position(), PromisedTerm: m.PausedTerm}
}

// Write appends a commit to a member's log; ok is false if the member is not an available primary.
func (g *Group) Write(member *Member, id string) (position wire.Position, ok bool) {
	if !member.Up || !member.Primary {
		return wire.Position{}, false
	}
	p := member.Position()
	e := Entry{member.LeaderTerm, p.Number + 1, id}
	member.Log = append(member.Log, e)
	if g.SyncN == 0 {
		g.Acked[id] = true
	} else {
		g.pending = append(g.pending, e)
	}
	return wire.Position{Term: e.Term, Number: e.Number}, true
}

// Replicate copies each primary's log to the replicas for which allowed returns true, and acknowledges the commits that
// enough replicas have received.
func (g *Group) Replicate(allowed func(to *Member) bool) {
	for _, primary := range g.Members {
		if !primary.Up || !primary.Primary || primary.Partitioned {
			continue
		}
		for _, m := range g.Members {
			if m != primary && m.receivesFrom(primary) && allowed(m) {
				m.Term = primary.LeaderTerm
				m.receive(primary.Log)
			}
		}
		g.acknowledge(primary)
	}
}

// receivesFrom reports whether a replica currently accepts entries from a primary.
func (m *Member) receivesFrom(primary *Member) bool {
	return m.Up && !m.Primary && !m.Paused && !m.NotReceiving && !m.Partitioned && m.Term <= primary.LeaderTerm
}

// receive sets a replica's log to the primary's. Logs with the same entry at a position are equal up to it.
func (m *Member) receive(log []Entry) {
	n := len(m.Log)
	if n == 0 || n <= len(log) && m.Log[n-1] == log[n-1] {
		m.Log = append(m.Log, log[n:]...)
		return
	}
	m.Log = slices.Clone(log)
}

// contains reports whether a member's log has an entry. Entry number 1 is the first.
func (m *Member) contains(e Entry) bool {
	return uint64(len(m.Log)) >= e.Number && m.Log[e.Number-1] == e
}

// acknowledge acknowledges the pending commits of a primary that SyncN replicas have received.
func (g *Group) acknowledge(primary *Member) {
	g.pending = slices.DeleteFunc(g.pending, func(e Entry) bool {
		if !primary.contains(e) {
			return false
		}
		received := 0
		for _, m := range g.Members {
			if m != primary && m.contains(e) {
				received++
			}
		}
		if received < g.SyncN {
			return false
		}
		if g.Deliver != nil {
			g.Deliver(e, primary)
		} else {
			g.Acked[e.ID] = true
		}
		return true
	})
}

// Acknowledge records that a client has the acknowledgement of a commit. The commit is lost if a member that was
// promoted meanwhile lacks it.
func (g *Group) Acknowledge(entry Entry) {
	g.Acked[entry.ID] = true
	newest := slices.MaxFunc(g.Members, func(a, b *Member) int { return cmp.Compare(a.LeaderTerm, b.LeaderTerm) })
	if newest.LeaderTerm > entry.Term && !newest.contains(entry) {
		g.LostCommits = append(g.LostCommits, entry.ID)
	}
}

// DropPending drops the commits of a member that are not acknowledged yet: it has restarted, and the connections on
// which their clients waited ended with its process.
func (g *Group) DropPending(member *Member) {
	g.pending = slices.DeleteFunc(g.pending, member.contains)
}

// Pause stops a replica from receiving, on behalf of a new term.
func (m *Member) Pause(term uint64) {
	if term > max(m.Term, m.PausedTerm) && !m.Primary {
		m.Paused, m.PausedTerm = true, term
	}
}

// Resume lets a paused replica receive again.
func (m *Member) Resume() { m.Paused, m.PausedTerm = false, 0 }

// StepDown turns a primary of an older term into a replica.
func (m *Member) StepDown(term uint64) {
	if m.Primary && term > m.LeaderTerm {
		m.Primary, m.Term = false, term
	}
}

// Promote makes a member primary of a new term, as the platform does. It returns false if the member is not up.
func (g *Group) Promote(id string) bool {
	m := g.Member(id)
	if m == nil || !m.Up {
		return false
	}
	if m.Primary && g.Leader() == m {
		return true
	}
	received := make(map[string]bool, len(m.Log))
	for _, e := range m.Log {
		received[e.ID] = true
	}
	for acked := range g.Acked {
		if !received[acked] {
			g.LostCommits = append(g.LostCommits, acked)
		}
	}
	g.Promotions++
	term := g.newestTerm() + 1
	for _, other := range g.Members {
		other.Primary = other == m
		other.Resume()
		if other.Term = term; other != m {
			other.truncate(m.Log)
		}
	}
	m.LeaderTerm = term
	g.pending = nil
	return true
}

func (g *Group) newestTerm() (term uint64) {
	for _, m := range g.Members {
		term = max(term, m.Term, m.LeaderTerm)
	}
	return term
}

// truncate removes the entries of a member's log after its common prefix with the new primary's.
func (m *Member) truncate(primary []Entry) {
	common := 0
	for common < min(len(m.Log), len(primary)) && m.Log[common] == primary[common] {
		common++
	}
	m.Log = m.Log[:common]
}

// Join adds an empty replica.
func (g *Group) Join(id string) {
	g.Members = append(g.Members, &Member{ID: id, Up: true, Term: 1})
}

// Remove permanently removes a member and its log.
func (g *Group) Remove(id string) {
	g.Members = slices.DeleteFunc(g.Members, func(member *Member) bool { return member.ID == id })
}

// Restart brings a member back with its log. It is no longer paused.
func (m *Member) Restart() {
	m.Up = true
	m.Resume()
}
