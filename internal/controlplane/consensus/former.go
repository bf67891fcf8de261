package consensus

import "slices"

// maxFormerVoters bounds the list in an entry. The core is a few machines.
const maxFormerVoters = 8

// formerVoters gives the list for the next entry of a leader: who voted before it, and may still act on what an earlier
// leader leased out to it. An address leaves the list when it votes again, and once this leader has led, without it as
// a voter, for longer than any such lease.
func (n *Node) formerVoters(voters []Voter, now float64) (former []string) {
	for _, addr := range n.HardState.Last.Former {
		since, noted := n.formerSince[addr]
		if !noted {
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

// LeaseHolders gives the addresses of all that may act on what this or an earlier leader leased out: those that vote by the
// last entry, and those that did before.
func (n *Node) LeaseHolders() (addrs []string) {
	for _, v := range n.HardState.Last.Voters {
		addrs = append(addrs, v.Addr)
	}
	return append(addrs, n.HardState.Last.Former...)
}
