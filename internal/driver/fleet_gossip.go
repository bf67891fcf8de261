package driver

import (
	"math"
	"time"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/mesh"
	"weirwind/internal/fleet/zones"
	"weirwind/internal/roster"
)

const (
	maxDrains            = 4096
	maxGossipSwitchovers = 256
	drainRetention       = 10 * time.Minute // of a drain while its source responds, but with lists of earlier revisions
	drainGossipWindow    = time.Minute      // gossip contains the drains of this period, and complete gossip all drains
)

// gossip returns the gossip for a peer: all known switchovers, the summary of zones, and all or the recent drains.
func (f *fleet) gossip(all bool) *mesh.Gossip {
	gossip := &mesh.Gossip{}
	now := f.service.decider.clock.now
	if agent := f.service.zones; agent != nil {
		agent.mu.Lock()
		gossip.Zones = agent.coordinator.Summary(now())
		agent.mu.Unlock()
	}
	if f.service.switchovers != nil {
		for _, status := range f.service.switchovers.Status() {
			gossip.Switchovers = append(gossip.Switchovers, status.Notification)
		}
	}
	since := 0.0
	if !all {
		since = now() - milliseconds(drainGossipWindow)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	gossip.Drains = f.drains.Since(since)
	return gossip
}

// receiveGossip handles a peer's gossip. requestedAt is when it was requested, or -Inf if it was not. changed reports
// that some of it was new and should be passed on; requestAgain that the peer should be asked to confirm a zone plan.
func (f *fleet) receiveGossip(gossip *mesh.Gossip, requestedAt float64) (changed, requestAgain bool) {
	if len(gossip.Switchovers) > maxGossipSwitchovers || len(gossip.Drains) > maxDrains {
		f.service.log.Warn("membership", "reason", "too_many_words",
			"switches", len(gossip.Switchovers), "drains", len(gossip.Drains))
		return false, false
	}
	if agent := f.service.zones; agent != nil && gossip.Zones != nil {
		changed = agent.apply(func(now float64) zones.Output {
			return agent.coordinator.ReceiveSummary(now, requestedAt, gossip.Zones)
		})
		requestAgain = changed && math.IsInf(requestedAt, -1)
	}
	if switchovers := f.service.switchovers; switchovers != nil {
		for _, notification := range gossip.Switchovers {
			isNew, err := switchovers.handleNotification(notification)
			if err != nil {
				f.service.log.Warn("switch", "error", err)
			}
			changed = changed || isNew
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, drain := range gossip.Drains {
		drainingByMember, isNew := f.drains.ApplyPeer(f.service.decider.clock.now(), drain)
		f.applyDrains(drainingByMember)
		changed = changed || isNew
	}
	return changed, requestAgain
}

// membershipUpdated handles changes in a source's list: drains among them are passed on to peers.
func (f *fleet) membershipUpdated(source roster.Source, revision int64, changes []roster.Entry) {
	if f.mesh == nil {
		return
	}
	var drains []membership.Drain
	for _, entry := range changes {
		drains = append(drains, membership.Drain{
			Member:   entry.ID,
			Source:   uint8(source),
			Revision: revision,
			Up:       entry.Phase == roster.PhaseUp,
		})
	}
	f.mu.Lock()
	drainingByMember, isNew := f.drains.ApplyList(f.service.decider.clock.now(), uint8(source), revision, drains)
	f.applyDrains(drainingByMember)
	f.mu.Unlock()
	if isNew {
		f.mesh.SpreadGossip()
	}
}

// applyDrains sets whether members count as draining, as decided from peers' drains. The caller holds the lock.
func (f *fleet) applyDrains(drainingByMember map[string]bool) {
	for member, draining := range drainingByMember {
		f.service.decider.setDraining(member, drainPeer, draining)
		f.service.log.Info("membership", "reason", "drain_told", "member", member, "draining", draining)
	}
}
