package controlplane

import (
	"maps"
	"slices"

	"weirwind/internal/controlplane/quota"
)

// voterHistory is who voted of late, as this machine saw it. A machine that begins to lead must know who may still hold
// what was leased out by an earlier lead. It belongs to softState.
type voterHistory struct {
	voters  []string           // control addresses
	former  map[string]float64 // when a machine ceased to vote, in ms
	knownAt float64            // from when on no voter of the time of a lease is missing, in ms
}

// newVoterHistory begins a history. fresh: the whole system starts for the first time, and nobody voted before.
func newVoterHistory(fresh bool) voterHistory {
	h := voterHistory{former: map[string]float64{}}
	if !fresh {
		h.knownAt = quota.BoundLifetime
	}
	return h
}

// observe takes the voters of a committed entry. gap: voters of entries before it may have been missed.
func (h *voterHistory) observe(voters []string, gap bool, now float64) {
	for _, addr := range h.voters {
		if !slices.Contains(voters, addr) {
			h.former[addr] = now
		}
	}
	for _, addr := range voters {
		delete(h.former, addr)
	}
	maps.DeleteFunc(h.former, func(_ string, endedAt float64) bool { return now-endedAt > quota.BoundLifetime })
	h.voters = voters
	if gap {
		h.knownAt = now + quota.BoundLifetime
	}
}

// history gives those that may hold a lease.
func (h *voterHistory) history(now float64) quota.History {
	holders := slices.Clone(h.voters)
	for addr, endedAt := range h.former {
		if now-endedAt <= quota.BoundLifetime {
			holders = append(holders, addr)
		}
	}
	return quota.History{Holders: holders, KnownAt: h.knownAt}
}
