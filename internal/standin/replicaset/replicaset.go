// Package replicaset is a stand-in for a replication group of the wire's members: logs, terms, who leads, who has
// received what. It is written from the pages on the wire, does no I/O, and takes time from its caller, so that a test
// decides the order of all.
//
// A commit is answered once SyncN replicas have received it. A promoted member holds what it had received and nothing
// beyond; what it lacked and was answered is counted in Lost, which no test may see above zero.
package replicaset

import (
	"slices"

	"weirwind/internal/dataplane/wire"
)

// Entry is a commit in a log.
type Entry struct {
	Term, Number uint64
	ID           string // of the statement that wrote
}

// Member is one.
type Member struct {
	ID           string
	Primary      bool
	Up           bool
	Paused       bool
	NotReceiving bool // receives nothing, though it answers
	Partitioned  bool // reaches no other member, though clients reach it
	Draining     bool
	Term         uint64 // newest known
	LeaderTerm   uint64 // term that it holds the lead for
	PausedTerm   uint64 // term that it was paused with, which is what a paused replica answers that it holds
	Log          []Entry
}

// Group is all of a service.
type Group struct {
	SyncN      int
	Members    []*Member
	Acked      map[string]bool
	pending    []Entry // written, not yet answered
	Lost       []string
	Promotions int // promotions carried out
}

// New gives a group whose first member leads.
func New(syncN int, ids ...string) *Group {
	g := &Group{SyncN: syncN, Acked: map[string]bool{}}
	for i, id := range ids {
		g.Members = append(g.Members, &Member{ID: id, Primary: i == 0, Up: true, Term: 1, LeaderTerm: uint64(1 - min(i, 1))})
	}
	return g
}

// Get gives a member, nil for none.
func (g *Group) Member(id string) *Member {
	if i := slices.IndexFunc(g.Members, func(m *Member) bool { return m.ID == id }); i >= 0 {
		return g.Members[i]
	}
	return nil
}

// Leader is who leads among those that are up, nil for nobody.
func (g *Group) Leader() *Member {
	var best *Member
	for _, m := range g.Members {
		if m.Up && m.Primary && (best == nil || m.LeaderTerm > best.LeaderTerm) {
			best = m
		}
	}
	return best
}

// Position is the end of a member's log.
func (m *Member) Position() wire.Position {
	if n := len(m.Log); n > 0 {
		return wire.Position{Term: m.Log[n-1].Term, Number: m.Log[n-1].Number}
	}
	return wire.Position{Term: 1}
}

// Status is the row that a member answers with.
func (m *Member) Status() wire.MemberStatus {
	return wire.MemberStatus{Primary: m.Primary, Term: m.Term, Received: m.Position(), PromisedTerm: m.PausedTerm}
}

// Write appends a commit at a member. False: it does not lead.
func (g *Group) Write(m *Member, id string) (wire.Position, bool) {
	if !m.Up || !m.Primary {
		return wire.Position{}, false
	}
	p := m.Position()
	e := Entry{m.LeaderTerm, p.Number + 1, id}
	m.Log = append(m.Log, e)
	if g.SyncN == 0 {
		g.Acked[id] = true
	} else {
		g.pending = append(g.pending, e)
	}
	return wire.Position{Term: e.Term, Number: e.Number}, true
}

// Replicate lets replicas receive what the leader has, each only if may says so, and answers what is received widely
// enough.
func (g *Group) Replicate(may func(to *Member) bool) {
	for _, p := range g.Members {
		if !p.Up || !p.Primary || p.Partitioned {
			continue
		}
		for _, m := range g.Members {
			if m == p || !m.Up || m.Primary || m.Paused || m.NotReceiving || m.Partitioned || m.Term > p.LeaderTerm || !may(m) {
				continue
			}
			m.Term = p.LeaderTerm
			m.Log = slices.Clone(p.Log)
		}
		g.pending = slices.DeleteFunc(g.pending, func(e Entry) bool {
			if !slices.Contains(p.Log, e) {
				return false
			}
			have := 0
			for _, m := range g.Members {
				if m != p && slices.Contains(m.Log, e) {
					have++
				}
			}
			if have >= g.SyncN {
				g.Acked[e.ID] = true
			}
			return have >= g.SyncN
		})
	}
}

// Pause keeps a replica from receiving.
func (m *Member) Pause(term uint64) {
	if term > max(m.Term, m.PausedTerm) && !m.Primary {
		m.Paused, m.PausedTerm = true, term
	}
}

// Continue lets a paused replica receive again.
func (m *Member) Resume() { m.Paused, m.PausedTerm = false, 0 }

// StepDown turns a primary of a lower term into a replica.
func (m *Member) StepDown(term uint64) {
	if m.Primary && term > m.LeaderTerm {
		m.Primary, m.Term = false, term
	}
}

// Promote carries out the platform's order. False: the member is not running.
func (g *Group) Promote(id string) bool {
	m := g.Member(id)
	if m == nil || !m.Up {
		return false
	}
	if m.Primary && g.Leader() == m {
		return true
	}
	term := m.Term
	for _, o := range g.Members {
		term = max(term, o.Term, o.LeaderTerm)
	}
	term++
	for acked := range g.Acked {
		if !slices.ContainsFunc(m.Log, func(e Entry) bool { return e.ID == acked }) {
			g.Lost = append(g.Lost, acked)
		}
	}
	g.Promotions++
	for _, o := range g.Members {
		o.Primary = o == m
		o.Resume()
		if o.Term = term; o != m {
			n := 0
			for n < min(len(o.Log), len(m.Log)) && o.Log[n] == m.Log[n] {
				n++
			}
			o.Log = o.Log[:n]
		}
	}
	m.LeaderTerm = term
	g.pending = nil
	return true
}

// Join adds an empty replica.
func (g *Group) Join(id string) {
	g.Members = append(g.Members, &Member{ID: id, Up: true, Term: 1})
}

// End takes a member away for good, with its log.
func (g *Group) Remove(id string) {
	g.Members = slices.DeleteFunc(g.Members, func(m *Member) bool { return m.ID == id })
}

// Restart brings a member back with its log; a pause is forgotten.
func (m *Member) Restart() {
	m.Up = true
	m.Resume()
}
