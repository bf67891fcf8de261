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
	ID       string
	Primary  bool
	Up       bool
	Paused   bool
	Deaf     bool // receives nothing, though it answers
	Cut      bool // reaches no other member, though clients reach it
	Drains   bool
	Term     uint64 // newest known
	Held     uint64 // term that it holds the lead for
	PausedAt uint64 // term that it was paused with, which is what a paused replica answers that it holds
	Log      []Entry
}

// Group is all of a service.
type Group struct {
	SyncN   int
	Members []*Member
	Acked   map[string]bool
	waiting []Entry // written, not yet answered
	Lost    []string
	Leads   int // promotions carried out
}

// New gives a group whose first member leads.
func New(syncN int, ids ...string) *Group {
	g := &Group{SyncN: syncN, Acked: map[string]bool{}}
	for i, id := range ids {
		g.Members = append(g.Members, &Member{ID: id, Primary: i == 0, Up: true, Term: 1, Held: uint64(1 - min(i, 1))})
	}
	return g
}

// Get gives a member, nil for none.
func (g *Group) Get(id string) *Member {
	if i := slices.IndexFunc(g.Members, func(m *Member) bool { return m.ID == id }); i >= 0 {
		return g.Members[i]
	}
	return nil
}

// Leader is who leads among those that are up, nil for nobody.
func (g *Group) Leader() *Member {
	var best *Member
	for _, m := range g.Members {
		if m.Up && m.Primary && (best == nil || m.Held > best.Held) {
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
	return wire.MemberStatus{Primary: m.Primary, Term: m.Term, Received: m.Position(), PromisedTerm: m.PausedAt}
}

// Write appends a commit at a member. False: it does not lead.
func (g *Group) Write(m *Member, id string) (wire.Position, bool) {
	if !m.Up || !m.Primary {
		return wire.Position{}, false
	}
	p := m.Position()
	e := Entry{m.Held, p.Number + 1, id}
	m.Log = append(m.Log, e)
	if g.SyncN == 0 {
		g.Acked[id] = true
	} else {
		g.waiting = append(g.waiting, e)
	}
	return wire.Position{Term: e.Term, Number: e.Number}, true
}

// Replicate lets replicas receive what the leader has, each only if may says so, and answers what is received widely
// enough.
func (g *Group) Replicate(may func(to *Member) bool) {
	for _, p := range g.Members {
		if !p.Up || !p.Primary || p.Cut {
			continue
		}
		for _, m := range g.Members {
			if m == p || !m.Up || m.Primary || m.Paused || m.Deaf || m.Cut || m.Term > p.Held || !may(m) {
				continue
			}
			m.Term = p.Held
			m.Log = slices.Clone(p.Log)
		}
		g.waiting = slices.DeleteFunc(g.waiting, func(e Entry) bool {
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
	if term > max(m.Term, m.PausedAt) && !m.Primary {
		m.Paused, m.PausedAt = true, term
	}
}

// Continue lets a paused replica receive again.
func (m *Member) Continue() { m.Paused, m.PausedAt = false, 0 }

// StepDown turns a primary of a lower term into a replica.
func (m *Member) StepDown(term uint64) {
	if m.Primary && term > m.Held {
		m.Primary, m.Term = false, term
	}
}

// Promote carries out the platform's order. False: the member is not running.
func (g *Group) Promote(id string) bool {
	m := g.Get(id)
	if m == nil || !m.Up {
		return false
	}
	if m.Primary && g.Leader() == m {
		return true
	}
	term := m.Term
	for _, o := range g.Members {
		term = max(term, o.Term, o.Held)
	}
	term++
	for acked := range g.Acked {
		if !slices.ContainsFunc(m.Log, func(e Entry) bool { return e.ID == acked }) {
			g.Lost = append(g.Lost, acked)
		}
	}
	g.Leads++
	for _, o := range g.Members {
		o.Primary = o == m
		o.Continue()
		if o.Term = term; o != m {
			n := 0
			for n < min(len(o.Log), len(m.Log)) && o.Log[n] == m.Log[n] {
				n++
			}
			o.Log = o.Log[:n]
		}
	}
	m.Held = term
	g.waiting = nil
	return true
}

// Join adds an empty replica.
func (g *Group) Join(id string) {
	g.Members = append(g.Members, &Member{ID: id, Up: true, Term: 1})
}

// End takes a member away for good, with its log.
func (g *Group) End(id string) {
	g.Members = slices.DeleteFunc(g.Members, func(m *Member) bool { return m.ID == id })
}

// Restart brings a member back with its log; a pause is forgotten.
func (m *Member) Restart() {
	m.Up = true
	m.Continue()
}
