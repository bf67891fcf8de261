package consensus

// This file owns replication: heartbeats, entries on their way, what is committed, and confirmation by a majority.

import (
	"maps"
	"slices"
)

// Propose offers a value behind the last one. False: not now.
func (n *Node) Propose(value []byte, now float64) (Entry, bool) {
	if !n.Established() || n.InFlight() || n.leavingAt > 0 {
		return Entry{}, false
	}
	n.put(n.HardState.Last.Voters, value, now)
	return n.HardState.Last, true
}

func (n *Node) put(voters []Voter, value []byte, now float64) {
	n.noteFormer(voters, now)
	n.HardState.Last = Entry{n.HardState.Term, n.HardState.Last.Index + 1, voters, value}
	n.dirty = true
	n.beat(now)
}

// ReadIndex asks whether this node still leads; Confirmed says it of that number.
func (n *Node) ReadIndex(now float64) uint64 {
	n.beat(now)
	return n.round
}

// ReadConfirmed says whether a majority has followed since the question.
func (n *Node) ReadConfirmed(round uint64) bool {
	if !n.Established() {
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
	if n.round%formerEvery == 0 {
		n.tellFormer(now)
	}
}

func (n *Node) sendAppend(v Voter, now float64) {
	p := n.peers[v.ID]
	if p == nil {
		p = &peer{heard: now}
		n.peers[v.ID] = p
	}
	last := &n.HardState.Last
	m := Message{Kind: AppendEntries, Term: n.HardState.Term, LastTerm: last.Term, LastIndex: last.Index, Round: n.round,
		Contact: n.contactFor(p), Incarnation: p.life}
	if n.HardState.CommitTerm == last.Term {
		m.Commit = n.HardState.Commit
	}
	if n.lacks(p) && (p.sent != last.Index || now-p.sentAt > 4*n.o.HeartbeatInterval) {
		m.Entry, p.sent, p.sentAt, p.sentRound = last, last.Index, now, n.round
	}
	n.send(v.Addr, m)
}

// lacks says that a voter is not known to hold the leader's entry.
func (n *Node) lacks(p *peer) bool {
	return p.term != n.HardState.Last.Term || p.index != n.HardState.Last.Index
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
	if have >= majority(last.Voters) && last.Term == n.HardState.Term && (n.HardState.Commit < last.Index || n.HardState.CommitTerm != last.Term) {
		n.HardState.Commit, n.HardState.CommitTerm, n.current = last.Index, last.Term, true
		n.decided = *last
		n.beatAt = now // followers are told
		if !n.isVoter(n.HardState.ID) {
			n.askSuccessor(now)
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
		n.followed, n.followedTill = m.From, now
		n.rest(now)
		last := &n.HardState.Last
		if last.Term == m.LastTerm && last.Index > n.decided.Index && m.Commit >= last.Index {
			n.decided = *last // the entry that is replaced below was committed: its leader wrote the next one behind it
		}
		if e := m.Entry; e != nil && (e.Term > last.Term || e.Term == last.Term && e.Index > last.Index) {
			n.noteFormer(e.Voters, now)
			n.HardState.Last, n.dirty = *e, true
		}
		if last.Term == m.LastTerm && last.Index == m.LastIndex && m.Commit >= last.Index {
			n.HardState.Commit, n.HardState.CommitTerm = last.Index, last.Term // not synced for its own sake: it is learned again
			n.decided = *last
		}
		n.takeContact(m, now)
	}
	n.send(m.From.Addr, Message{Kind: AppendEntriesResponse, Term: n.HardState.Term, LastTerm: n.HardState.Last.Term, LastIndex: n.HardState.Last.Index,
		Round: m.Round, Granted: n.leavingAt > 0, Clock: now, Incarnation: n.life})
}
