package consensus

// This file owns who votes: the founders, machines that join, and voters that are removed.

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
)

// maxJoins bounds the machines that wait to vote; the core is a few.
const maxJoins = 64

type joiner struct {
	v  Voter
	at float64
}

// Bootstrap gives the state of a machine that founds the core with the others at addresses.
func Bootstrap(addr string, founders []string) HardState {
	var voters []Voter
	for _, a := range founders {
		voters = append(voters, Voter{"0@" + a, a})
	}
	slices.SortFunc(voters, func(a, b Voter) int { return cmp.Compare(a.ID, b.ID) })
	return HardState{ID: "0@" + addr, Last: Entry{Index: 1, Voters: voters}, Commit: 1}
}

// Restore gives the state of a machine of a core that is founded anew from an entry that was saved, at a term beyond all that
// the lost core can have reached: its ids are new, so that no vote of an old machine counts, and an old one that comes back finds
// a newer entry and joins. An id of "" says that addr is not among the voters.
func Restore(addr string, voters []string, e Entry, term uint64) HardState {
	h := HardState{Term: term, Last: Entry{Term: term, Index: e.Index + 1, Value: e.Value}}
	for _, a := range voters {
		v := Voter{"r" + strconv.FormatUint(term, 10) + "@" + a, a}
		h.Last.Voters = append(h.Last.Voters, v)
		if a == addr {
			h.ID = v.ID
		}
	}
	return h
}

// Empty gives the state of a machine that knows nothing; id is drawn anew for each life of a disk.
func Empty(id string) HardState { return HardState{ID: id} }

func (n *Node) isVoter(id string) bool {
	return slices.ContainsFunc(n.HardState.Last.Voters, func(v Voter) bool { return v.ID == id })
}

func majority(voters []Voter) int { return len(voters)/2 + 1 }

// PeerStatus is how far a voter is, as the leader knows it.
type PeerStatus struct {
	Voter
	Index  uint64  // of the entry that it holds synced
	Behind bool    // it lacks the leader's entry
	Silent float64 // milliseconds since its last word; below 0: none came
}

// PeerStatuses gives the other voters' standings; nil where this node does not lead.
func (n *Node) PeerStatuses(now float64) (out []PeerStatus) {
	if n.role != Leader {
		return nil
	}
	for _, v := range n.HardState.Last.Voters {
		if v.ID == n.HardState.ID {
			continue
		}
		s := PeerStatus{Voter: v, Behind: true, Silent: -1}
		if p := n.peers[v.ID]; p != nil {
			s.Index, s.Behind = p.index, p.index < n.HardState.Last.Index || p.term < n.HardState.Last.Term
			if p.heard > 0 {
				s.Silent = now - p.heard
			}
		}
		out = append(out, s)
	}
	return out
}

func (n *Node) known() []string {
	all := slices.Clone(n.o.Seeds)
	// With those who wrote to an earlier life of this disk.
	for _, v := range append(slices.Clone(n.HardState.Last.Voters), n.leader, n.followed) {
		if v.Addr != "" && !slices.Contains(all, v.Addr) {
			all = append(all, v.Addr)
		}
	}
	return slices.DeleteFunc(all, func(a string) bool { return a == n.o.Addr })
}

// takeJoin notes at the leader that a machine wants to vote.
func (n *Node) takeJoin(v Voter, now float64) {
	if n.isVoter(v.ID) || len(n.joins) >= maxJoins {
		return
	}
	if _, known := n.joins[v.ID]; !known {
		n.peers[v.ID] = &peer{heard: now}
	}
	n.joins[v.ID] = joiner{v, now}
}

// A voter that was removed while it was away may come back knowing none of those that vote now: those that it knew may all have
// been replaced. For a while leaders let it hear that they lead, by a heartbeat in formerEvery.
const (
	formerFor   = 120_000 // milliseconds
	formerEvery = 4
)

// noteFormer notes whose machine votes no longer behind a change of voters.
func (n *Node) noteFormer(voters []Voter, now float64) {
	votes := func(addr string) bool {
		return slices.ContainsFunc(voters, func(v Voter) bool { return v.Addr == addr })
	}
	for _, v := range n.HardState.Last.Voters {
		if !votes(v.Addr) && v.Addr != n.o.Addr {
			n.former[v.Addr] = now + formerFor
		}
	}
	maps.DeleteFunc(n.former, func(addr string, until float64) bool { return now > until || votes(addr) })
}

func (n *Node) tellFormer(now float64) {
	for _, addr := range slices.Sorted(maps.Keys(n.former)) {
		if now <= n.former[addr] {
			last := &n.HardState.Last
			n.send(addr, Message{Kind: AppendEntries, Term: n.HardState.Term, LastTerm: last.Term, LastIndex: last.Index, Round: n.round})
		}
	}
}

func (n *Node) askToJoin() {
	for _, a := range n.known() {
		n.send(a, Message{Kind: Join})
	}
}

// joinLag is how many entries a joiner may be behind. Each message brings it the whole value, so that one that answers is as good
// as brought up; to wait for the newest entry would keep it out for as long as changes come faster than it answers.
const joinLag = 8

// tend changes who votes: one step at a time, and only behind an entry of its own term.
//
// One that must go and one that comes change places in two steps, the removal first: with 2 tolerate + 1 voters, of which one is
// gone, the 2 tolerate that are left commit on as many disks as before (tolerate + 1), and neither step needs the joiner. In the
// other order 2 tolerate + 2 would vote between the steps, of which the gone one and the joiner, if that fails too, are half.
func (n *Node) tend(now float64) {
	if n.InFlight() {
		return
	}
	last := &n.HardState.Last
	joiner, joins := n.nextJoiner(now)
	if i := slices.IndexFunc(last.Voters, func(v Voter) bool { return v.Addr == joiner.Addr }); joins && i >= 0 {
		voters := slices.Clone(last.Voters)
		voters[i] = joiner // the same machine with another disk: the old life's is gone for certain
		delete(n.joins, joiner.ID)
		n.put(voters, last.Value, now)
		return
	}
	if gone := n.longestGone(now); gone >= 0 && n.mayRemove(joins) {
		if voters := slices.Delete(slices.Clone(last.Voters), gone, gone+1); n.confirmedBy(voters, now) {
			n.removal = removal{}
			n.put(voters, last.Value, now)
			return
		}
	}
	if joins && len(last.Voters) == n.fewest() && n.suspects(now) {
		return // it may be there for the silent one: which is known soon
	}
	if joins {
		delete(n.joins, joiner.ID)
		n.put(append(slices.Clone(last.Voters), joiner), last.Value, now)
	}
}

func (n *Node) fewest() int { return max(n.o.MinVoters, 1) }

// mayRemove says that one voter less is enough, or that another joins at once.
func (n *Node) mayRemove(joins bool) bool {
	voters := len(n.HardState.Last.Voters)
	return voters > n.fewest() || voters == n.fewest() && voters > 1 && joins
}

// noteLeaving notes whether a voter ends in order. It answers on until its process ends, so that what is on its way is decided.
func (n *Node) noteLeaving(id string, leaves bool, now float64) {
	if leaves && n.isVoter(id) {
		n.left[id] = now
	} else {
		delete(n.left, id)
	}
}

// leaving says that a voter told of its end not long ago; behind that its silence counts, as it may be back unheard.
func (n *Node) leaving(id string, now float64) bool {
	at, told := n.left[id]
	return told && now-at < n.o.RemoveAfter
}

// nextJoiner gives a machine that wants to vote, answers, and has nearly all.
func (n *Node) nextJoiner(now float64) (Voter, bool) {
	last := &n.HardState.Last
	for _, id := range slices.Sorted(maps.Keys(n.joins)) {
		if n.isVoter(id) {
			delete(n.joins, id)
			continue
		}
		p := n.peers[id]
		if p != nil && p.term == last.Term && p.index+joinLag >= last.Index && now-p.heard < n.answerWithin() {
			return n.joins[id].v, true
		}
	}
	return Voter{}, false
}

// answerWithin is how long ago the last answer of a machine may be that counts as alive for a change of voters.
func (n *Node) answerWithin() float64 { return n.o.ElectionTimeout + 2*n.o.HeartbeatInterval }

// longestGone gives the place of the voter that said that it ends, or else of the one that is silent for longest; below 0: none is.
func (n *Node) longestGone(now float64) int {
	found, longest := -1, n.o.RemoveAfter
	for i, v := range n.HardState.Last.Voters {
		p := n.peers[v.ID]
		if v.ID == n.HardState.ID || p == nil {
			continue
		}
		if n.leaving(v.ID, now) {
			return i
		}
		if silent := now - p.heard; silent > longest {
			found, longest = i, silent
		}
	}
	return found
}

// removal is the question that a removal of a voter waits for.
type removal struct {
	round   uint64
	askedAt float64
}

// confirmedBy says whether a majority of the voters that would be left has answered a heartbeat that was sent for this removal.
// That they answered lately is not enough: one that has ended since would be part of a set in which no majority is left for ever,
// where the one that is removed might have come back.
func (n *Node) confirmedBy(voters []Voter, now float64) bool {
	if n.removal.round == 0 || now-n.removal.askedAt > n.answerWithin() {
		n.removal = removal{n.ReadIndex(now), now}
	}
	count := 0
	for _, v := range voters {
		if p := n.peers[v.ID]; v.ID == n.HardState.ID || p != nil && p.round >= n.removal.round {
			count++
		}
	}
	return count >= majority(voters)
}

// suspects says that a voter missed some heartbeats.
func (n *Node) suspects(now float64) bool {
	return slices.ContainsFunc(n.HardState.Last.Voters, func(v Voter) bool {
		p := n.peers[v.ID]
		return v.ID != n.HardState.ID && p != nil && now-p.heard > 3*n.o.HeartbeatInterval
	})
}

// answering counts the voters, this node with them, that answered one of the newest heartbeats. A leader that ends has no time to ask
// anew: its successor may end with it.
func (n *Node) answering(voters []Voter, now float64) (count int) {
	for _, v := range voters {
		if p := n.peers[v.ID]; v.ID == n.HardState.ID || p != nil && now-p.heard < 3*n.o.HeartbeatInterval {
			count++
		}
	}
	return count
}
