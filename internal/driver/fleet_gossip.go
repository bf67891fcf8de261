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
	drainRetention       = 10 * time.Minute // of a drain whose revision the own list, though it is heard, doesn't reach
	drainGossipWindow    = time.Minute      // drains of so late go with each gossip; all of them with complete states
)

// gossip is what goes to a peer: all switchovers that are known, the zones' summary, and drains, all or the latest.
func (f *fleet) gossip(all bool) *mesh.Gossip {
	g := &mesh.Gossip{}
	now := f.service.decider.clock.now
	if z := f.service.zones; z != nil {
		z.mu.Lock()
		g.Zones = z.zones.Summary(now())
		z.mu.Unlock()
	}
	if f.service.switchovers != nil {
		for _, s := range f.service.switchovers.Status() {
			g.Switchovers = append(g.Switchovers, s.Notification)
		}
	}
	from := 0.0
	if !all {
		from = now() - milliseconds(drainGossipWindow)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	g.Drains = f.drains.Since(from)
	return g
}

// receiveGossip takes a peer's gossip. requestedAt is when it was requested, -Inf where it came unrequested. changed
// says that some of it was new and is to be passed on; requestAgain that the peer is to be requested to confirm a plan
// of zones.
func (f *fleet) receiveGossip(gossip *mesh.Gossip, requestedAt float64) (changed, requestAgain bool) {
	if len(gossip.Switchovers) > maxGossipSwitchovers || len(gossip.Drains) > maxDrains {
		f.service.log.Warn("membership", "reason", "too_many_words",
			"switches", len(gossip.Switchovers), "drains", len(gossip.Drains))
		return false, false
	}
	if z := f.service.zones; z != nil && gossip.Zones != nil {
		changed = z.apply(func(now float64) zones.Output { return z.zones.ReceiveSummary(now, requestedAt, gossip.Zones) })
		requestAgain = changed && math.IsInf(requestedAt, -1)
	}
	if s := f.service.switchovers; s != nil {
		for _, notification := range gossip.Switchovers {
			isNew, err := s.handleNotification(notification)
			if err != nil {
				f.service.log.Warn("switch", "error", err)
			}
			changed = changed || isNew
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range gossip.Drains {
		marks, isNew := f.drains.ApplyPeer(f.service.decider.clock.now(), d)
		f.applyDrains(marks)
		changed = changed || isNew
	}
	return changed, requestAgain
}

// membershipUpdated takes changes that a source's list made, of which peers are to learn the drains.
func (f *fleet) membershipUpdated(source roster.Source, revision int64, changes []roster.Entry) {
	if f.mesh == nil {
		return
	}
	var drains []membership.Drain
	for _, e := range changes {
		drains = append(drains, membership.Drain{
			Member:   e.ID,
			Source:   uint8(source),
			Revision: revision,
			Up:       e.Phase == roster.PhaseUp,
		})
	}
	f.mu.Lock()
	marks, isNew := f.drains.ApplyList(f.service.decider.clock.now(), uint8(source), revision, drains)
	f.applyDrains(marks)
	f.mu.Unlock()
	if isNew {
		f.mesh.SpreadGossip()
	}
}

// applyDrains makes members count as draining, or no longer, by what peers know. The caller holds the lock.
func (f *fleet) applyDrains(marks map[string]bool) {
	for member, draining := range marks {
		f.service.decider.setDraining(member, drainPeer, draining)
		f.service.log.Info("membership", "reason", "drain_told", "member", member, "draining", draining)
	}
}
