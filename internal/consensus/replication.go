package consensus

// This file owns replication: heartbeats, entries on their way, what is committed, and confirmation by a majority.

import (
	"maps"
	"slices"
)

// Propose offers a value behind the last one. False: not now.
func (n *Node) Propose(value []byte, now float64) (Entry, bool) {
	if !n.Ready() || n.Busy() {
		return Entry{}, false
	}
	n.put(n.HardState.Last.Voters, value, now)
	return n.HardState.Last, true
}

func (n *Node) put(voters []Voter, value []byte, now float64) {
	n.HardState.Last = Entry{n.HardState.Term, n.HardState.Last.Index + 1, voters, value}
	n.dirty = true
	n.beat(now)
}

// Confirm asks whether this node still leads; Confirmed says it of that number.
func (n *Node) Confirm(now float64) uint64 {
	n.beat(now)
	return n.round
}

// Confirmed says whether a majority has followed since the question.
func (n *Node) Confirmed(round uint64) bool {
	if !n.Ready() {
		return false
	}
	have := 0
	for _, v := range n.HardState.Last.Voters {
		if p := n.peers[v.ID]; v.ID == n.HardState.ID || p != nil && p.round >= round {
			have++
		}
	}
	return have >= majority(n.HardState.Last.Voters)
}

func (n *Node) beat(now float64) {
	n.round++
	n.startProbe(now)
	n.beatAt = now + n.o.HeartbeatInterval
	for _, v := range n.HardState.Last.Voters {
		if v.ID != n.HardState.ID {
			n.sendAppend(v, now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.joins)) {
		j := n.joins[id]
		if now-j.at > 10*n.o.HeartbeatInterval {
			delete(n.joins, id)
		} else if !n.isVoter(id) {
			n.sendAppend(j.v, now)
		}
	}
}

func (n *Node) sendAppend(v Voter, now float64) {
	p := n.peers[v.ID]
	if p == nil {
		p = &peer{heard: now}
		n.peers[v.ID] = p
	}
	last := &n.HardState.Last
	m := Message{Kind: Append, Term: n.HardState.Term, LastTerm: last.Term, LastIndex: last.Index, Round: n.round,
		Contact: n.contactFor(p), Life: p.life}
	if n.HardState.CommitOf == last.Term {
		m.Commit = n.HardState.Commit
	}
	if (p.term != last.Term || p.index != last.Index) && (p.sent != last.Index || now-p.sentAt > 4*n.o.HeartbeatInterval) {
		m.Entry, p.sent, p.sentAt = last, last.Index, now
	}
	n.send(v.Addr, m)
}

// advance commits what a majority holds, and lets the lead go where a majority is silent.
func (n *Node) advance(now float64) {
	last := &n.HardState.Last
	have, alive := 0, 0
	for _, v := range last.Voters {
		if v.ID == n.HardState.ID {
			alive++
			if !n.dirty {
				have++
			}
			continue
		}
		p := n.peers[v.ID]
		if p == nil {
			continue
		}
		if p.term == last.Term && p.index == last.Index {
			have++
		}
		if now-p.heard < 2*n.o.ElectionTimeout {
			alive++
		}
	}
	if alive < majority(last.Voters) {
		n.follow(Voter{}, now)
		return
	}
	if have >= majority(last.Voters) && last.Term == n.HardState.Term && (n.HardState.Commit < last.Index || n.HardState.CommitOf != last.Term) {
		n.HardState.Commit, n.HardState.CommitOf, n.current = last.Index, last.Term, true
		n.beatAt = now // followers are told
		if !n.isVoter(n.HardState.ID) {
			n.follow(Voter{}, now)
		}
	}
	n.endProbe()
}

func (n *Node) append(m *Message, now float64) {
	if m.Term >= n.HardState.Term && (m.Term > n.HardState.Term || n.role != Follower || n.leader.ID != m.From.ID) {
		if m.Term > n.HardState.Term {
			n.HardState.Term, n.HardState.Vote, n.dirty = m.Term, "", true
		}
		n.follow(m.From, now)
	}
	if m.Term == n.HardState.Term {
		n.heardAt = now
		n.rest(now)
		last := &n.HardState.Last
		if e := m.Entry; e != nil && (e.Term > last.Term || e.Term == last.Term && e.Index > last.Index) {
			n.HardState.Last, n.dirty = *e, true
		}
		if last.Term == m.LastTerm && last.Index == m.LastIndex && m.Commit >= last.Index {
			n.HardState.Commit, n.HardState.CommitOf = last.Index, last.Term // not synced for its own sake: it is learned again
		}
		n.takeContact(m, now)
	}
	n.send(m.From.Addr, Message{Kind: Appended, Term: n.HardState.Term, LastTerm: n.HardState.Last.Term, LastIndex: n.HardState.Last.Index,
		Round: m.Round, Clock: now, Life: n.life})
}
