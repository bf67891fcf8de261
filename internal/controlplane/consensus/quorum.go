package consensus

import "slices"

// majority is the smallest number of voters such that any two sets of so many share one. Of no voters it is
// 1: they decide nothing.
func majority(voters []Voter) int { return len(voters)/2 + 1 }

// hasMajority says whether a majority of voters satisfies a condition.
func hasMajority(voters []Voter, satisfies func(Voter) bool) bool {
	count := 0
	for _, v := range voters {
		if satisfies(v) {
			count++
		}
	}
	return count >= majority(voters)
}

// indexOfAddr is the position of the voter at an address; -1: none is there.
func indexOfAddr(voters []Voter, addr string) int {
	return slices.IndexFunc(voters, func(v Voter) bool { return v.Addr == addr })
}

// isVoter says whether the node with an ID votes, by the newest accepted entry.
func (n *Node) isVoter(id string) bool {
	return slices.ContainsFunc(n.HardState.Last.Voters, func(v Voter) bool { return v.ID == id })
}

// quorumOf says whether this node and the peers whose progress satisfies a condition are a majority of
// voters. A voter without progress satisfies none.
func (n *Node) quorumOf(voters []Voter, satisfies func(*progress) bool) bool {
	return hasMajority(voters, func(v Voter) bool {
		if v.ID == n.HardState.ID {
			return true
		}
		p := n.progress[v.ID]
		return p != nil && satisfies(p)
	})
}
