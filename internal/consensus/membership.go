package consensus

// This file owns who votes: the founders, machines that join, and voters that are removed.

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
)

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

// Restored gives the state of a machine of a core that is founded anew from an entry that was saved, at a term beyond all that
// the lost core can have reached: its ids are new, so that no vote of an old machine counts, and an old one that comes back finds
// a newer entry and joins. An id of "" says that addr is not among the voters.
func Restored(addr string, voters []string, e Entry, term uint64) HardState {
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

// Standing is how far a voter is, as the leader knows it.
type Standing struct {
	Voter
	Index  uint64  // of the entry that it holds synced
	Behind bool    // it lacks the leader's entry
	Silent float64 // milliseconds since its last word; below 0: none came
}

// Others gives the other voters' standings; nil where this node does not lead.
func (n *Node) Others(now float64) (out []Standing) {
	if n.role != Leader {
		return nil
	}
	for _, v := range n.HardState.Last.Voters {
		if v.ID == n.HardState.ID {
			continue
		}
		s := Standing{Voter: v, Behind: true, Silent: -1}
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
	for _, v := range n.HardState.Last.Voters {
		if !slices.Contains(all, v.Addr) {
			all = append(all, v.Addr)
		}
	}
	return slices.DeleteFunc(all, func(a string) bool { return a == n.o.Addr })
}

// tend changes who votes: one step at a time, and only behind an entry of its own term.
func (n *Node) tend(now float64) {
	if n.Busy() || now-n.since < n.o.ElectionTimeout {
		return
	}
	last := &n.HardState.Last
	for _, id := range slices.Sorted(maps.Keys(n.joins)) {
		j, p := n.joins[id], n.peers[id]
		if n.isVoter(id) {
			delete(n.joins, id)
			continue
		}
		if p == nil || p.index != last.Index || p.term != last.Term || now-p.heard > 2*n.o.HeartbeatInterval+n.o.ElectionTimeout {
			continue // it is brought up first
		}
		delete(n.joins, id)
		voters := slices.Clone(last.Voters)
		if i := slices.IndexFunc(voters, func(v Voter) bool { return v.Addr == j.v.Addr }); i >= 0 {
			voters[i] = j.v // the same machine with another disk: the old life's is gone for certain
		} else {
			voters = append(voters, j.v)
		}
		n.put(voters, last.Value, now)
		return
	}
	if len(last.Voters) <= max(n.o.MinVoters, 1) {
		return
	}
	for i, v := range last.Voters {
		if p := n.peers[v.ID]; v.ID != n.HardState.ID && p != nil && now-p.heard > n.o.RemoveAfter {
			n.put(slices.Delete(slices.Clone(last.Voters), i, i+1), last.Value, now)
			return
		}
	}
}
