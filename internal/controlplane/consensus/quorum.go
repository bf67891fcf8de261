package consensus

import "slices"

// majority returns the smallest number of voters such that any two sets of that many voters overlap. For no voters it
// is 1, so that an empty set decides nothing.
func majority(voters []Voter) int { return len(voters)/2 + 1 }

// hasMajority reports whether a majority of voters satisfies a condition.
func hasMajority(voters []Voter, satisfies func(Voter) bool) bool {
	count := 0
	for _, v := range voters {
		if satisfies(v) {
			count++
		}
	}
	return count >= majority(voters)
}

// indexOfAddr returns the position of the voter with an address, or -1 if there is none.
func indexOfAddr(voters []Voter, addr string) int {
	return slices.IndexFunc(voters, func(v Voter) bool { return v.Addr == addr })
}

// isVoter reports whether the node with an ID votes according to the last accepted entry.
func (n *Node) isVoter(id string) bool {
	return slices.ContainsFunc(n.HardState.Last.Voters, func(v Voter) bool { return v.ID == id })
}

// quorumOf reports whether this node, if it is among the voters, and the peers whose progress satisfies a condition are
// a majority of voters. A voter without progress does not count.
func (n *Node) quorumOf(voters []Voter, satisfies func(*progress) bool) bool {
	return hasMajority(voters, func(v Voter) bool {
		if v.ID == n.HardState.ID {
			return true
		}
		p := n.progress[v.ID]
		return p != nil && satisfies(p)
	})
}
