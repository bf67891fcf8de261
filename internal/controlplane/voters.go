package controlplane

import (
	"maps"
	"math"
	"slices"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/util/events"
)

// This file owns what the consensus loop watches of the other voters while this machine leads: who is silent, and whose
// clock runs at another rate.

const partsPerMillion = 1e6

// watchClocks logs when a voter's clock is found to run at another rate, and when it no longer does.
func (c *consensusLoop) watchClocks() {
	drifts := c.node.ClockDrifts()
	if len(drifts) == 0 && len(c.drifting) == 0 {
		return
	}
	now := map[string]bool{}
	for _, drift := range drifts {
		now[drift.Voter.ID] = true
		if !c.drifting[drift.Voter.ID] {
			rate := math.Round(drift.Rate * partsPerMillion)
			c.server.log.Event(events.ClockDrift, "machine", drift.Voter.Addr, "rate", rate, "own", drift.LeaderClock)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.drifting)) {
		if !now[id] {
			c.server.log.Event(events.ClockDrift, "machine", id, "rate", 0)
		}
	}
	c.drifting = now
}

// watchVoters notifies the soft state when another machine of the core falls silent, and when none is silent any more.
func (c *consensusLoop) watchVoters() {
	silent := slices.ContainsFunc(c.node.PeerStatuses(c.server.now()), func(peer consensus.PeerStatus) bool {
		return peer.Silent < 0 || peer.Silent > voterSilentMs
	})
	if silent == c.voterSilent {
		return
	}
	c.voterSilent = silent
	s := c.server.state
	s.do(func() { s.failovers.setVoterSilent(silent, c.server.now()) })
}
