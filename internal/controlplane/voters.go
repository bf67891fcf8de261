package controlplane

import (
	"maps"
	"math"
	"slices"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/util/events"
)

// This file monitors the other voters while this machine leads: it detects which are silent, and whose clocks run at a
// different rate.

const partsPerMillion = 1e6

// watchClocks logs when a voter's clock is found to run at a different rate, and when it no longer does.
func (c *consensusLoop) watchClocks() {
	drifts := c.node.ClockDrifts()
	if len(drifts) == 0 && len(c.driftingVoters) == 0 {
		return
	}
	drifting := map[string]bool{}
	for _, drift := range drifts {
		drifting[drift.Voter.ID] = true
		if !c.driftingVoters[drift.Voter.ID] {
			rate := math.Round(drift.Rate * partsPerMillion)
			c.server.log.Event(events.ClockDrift, "machine", drift.Voter.Addr, "rate", rate, "own", drift.LeaderClock)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.driftingVoters)) {
		if !drifting[id] {
			c.server.log.Event(events.ClockDrift, "machine", id, "rate", 0)
		}
	}
	c.driftingVoters = drifting
}

// watchVoters notifies the soft state when another core machine becomes silent, and when none is silent any more.
func (c *consensusLoop) watchVoters() {
	silent := slices.ContainsFunc(c.node.PeerStatuses(c.server.now()), func(peer consensus.PeerStatus) bool {
		return peer.Silent < 0 || peer.Silent > voterSilenceTimeoutMs
	})
	if silent == c.voterSilent {
		return
	}
	c.voterSilent = silent
	s := c.server.state
	s.enqueue(func() { s.failovers.setVoterSilent(silent, c.server.now()) })
}
