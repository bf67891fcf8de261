package consensus

import "slices"

// maxFormerVoters bounds the list in an entry. A cluster has only a few machines.
const maxFormerVoters = 8

// formerVoters returns the former voters for the leader's next entry: machines that voted before it and may still act
// on a lease from an earlier leader. An address leaves the list when it votes again, and once this leader has led for
// longer than FormerVoterLifetime, the lifetime of such leases, without it as a voter.
func (n *Node) formerVoters(voters []Voter, now float64) (former []string) {
	for _, addr := range n.HardState.Last.Former {
		since, known := n.formerSince[addr]
		if !known {
			since = now
			n.formerSince[addr] = now
		}
		if now-since <= n.options.FormerVoterLifetime {
			former = append(former, addr)
		}
	}
	for _, v := range n.HardState.Last.Voters {
		if !slices.Contains(former, v.Addr) {
			former = append(former, v.Addr)
			n.formerSince[v.Addr] = now
		}
	}
	former = slices.DeleteFunc(former, func(addr string) bool { return indexOfAddr(voters, addr) >= 0 })
	if len(former) == 0 {
		return nil
	}
	return former[max(len(former)-maxFormerVoters, 0):]
}

// LeaseHolders returns the addresses of all machines that may act on a lease from this or an earlier leader: the
// voters of the last entry, and the former voters.
func (n *Node) LeaseHolders() (addrs []string) {
	for _, v := range n.HardState.Last.Voters {
		addrs = append(addrs, v.Addr)
	}
	return append(addrs, n.HardState.Last.Former...)
}
