package driver

import (
	"maps"
	"slices"
	"strings"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/zones"
	"weirwind/logic"
)

const (
	positionTTL      = 2000.0 // milliseconds for which a reported position is used
	readRateInterval = 900.0  // minimum milliseconds over which reads are counted; shorter periods are imprecise
	maxLatencyZones  = 64
)

// fleetView returns the drivers and zones that the mesh knows.
func (z *zoneAgent) fleetView() zones.Fleet {
	status := z.service.fleet.mesh.Status()
	view := zones.Fleet{
		Partition: status.Partition,
		Alive:     []zones.Peer{{Name: status.Self, Zone: z.zone}},
		Zones:     []string{z.zone},
	}
	if status.Roster != nil {
		view.RosterVersion, view.Roster = status.Roster.Version, status.Roster.Names
	}
	for _, driver := range status.Drivers {
		if driver.State == membership.Alive || driver.State == membership.Suspect {
			view.Alive = append(view.Alive, zones.Peer{Name: driver.Name, Zone: driver.Zone})
		}
		view.Zones = append(view.Zones, driver.Zone)
	}
	slices.SortFunc(view.Alive, func(a, b zones.Peer) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(view.Zones)
	view.Zones = slices.Compact(view.Zones)
	return view
}

// observations returns what this driver's decision module knows of members, by zone, the locations of primaries, and
// this driver's read rates by zone, which are nil if they were updated less than readRateInterval ago.
func (z *zoneAgent) observations(now float64) (
	observations []zones.Observation, primaries []zones.PrimaryLocation, readRates map[string]float64) {
	var memory logic.Memory
	z.service.decider.step(logic.Event{Kind: logic.EvRemember, Memory: &memory})
	members := z.service.decider.listedMembers()
	byZone, reported := z.countMembers(now, &memory, members)
	for _, g := range memory.Groups {
		if entry, ok := members[g.Primary]; ok && g.Primary != "" {
			primaries = append(primaries, zones.PrimaryLocation{Group: g.Group, Zone: entry.Zone})
		}
	}
	z.trafficMu.Lock()
	defer z.trafficMu.Unlock()
	readRates = z.updateReadRates(now)
	for zone, observation := range byZone {
		if observation.Reads = z.readRates[zone]; 2*reported[zone] < observation.Members {
			observation.Lagging = 0 // too few members have reported their position recently
		}
		if baseline := z.latencies[zone]; baseline != nil {
			observation.LatencyRatio = baseline.Ratio()
		}
		observations = append(observations, *observation)
	}
	slices.SortFunc(observations, func(a, b zones.Observation) int { return strings.Compare(a.Zone, b.Zone) })
	return observations, primaries, readRates
}

// countMembers counts, by zone, the members that are up, and how many of them are unreachable or lagging; reported
// counts the members with a recent position.
func (z *zoneAgent) countMembers(now float64, memory *logic.Memory, members map[string]logic.ListEntry) (
	byZone map[string]*zones.Observation, reported map[string]int) {
	byZone, reported = map[string]*zones.Observation{}, map[string]int{}
	positions := z.recentPositions(now, members)
	newest := map[int64]float64{} // by group
	for member, latest := range positions {
		newest[members[member].Group] = max(newest[members[member].Group], latest.position)
	}
	for _, member := range memory.Members {
		entry, ok := members[member.Member]
		if !ok || entry.Phase != logic.Ready {
			continue
		}
		observation := byZone[entry.Zone]
		if observation == nil {
			observation = &zones.Observation{Zone: entry.Zone}
			byZone[entry.Zone] = observation
		}
		if observation.Members++; member.EjectedAt > 0 {
			observation.Unreachable++
		}
		if latest, ok := positions[member.Member]; ok {
			if reported[entry.Zone]++; z.stalenessBound > 0 && newest[member.Group]-latest.position > z.stalenessBound {
				observation.Lagging++
			}
		}
	}
	return byZone, reported
}

// recentPositions returns the recently reported positions of listed members, and deletes all others.
func (z *zoneAgent) recentPositions(now float64, members map[string]logic.ListEntry) map[string]reportedPosition {
	z.trafficMu.Lock()
	defer z.trafficMu.Unlock()
	maps.DeleteFunc(z.positions, func(member string, reported reportedPosition) bool {
		_, listed := members[member]
		return !listed || now-reported.reportedAt > positionTTL
	})
	return maps.Clone(z.positions)
}

// updateReadRates counts reads per second by zone, and returns nil if less than readRateInterval has passed since the
// last count. The caller holds trafficMu.
func (z *zoneAgent) updateReadRates(now float64) map[string]float64 {
	elapsed := now - z.readRatesCountedAt
	if elapsed < readRateInterval && z.readRates != nil {
		return nil
	}
	z.readRates = z.traffic.TakeReads()
	for zone, reads := range z.readRates {
		z.readRates[zone] = reads * 1000 / max(elapsed, 1)
	}
	z.readRatesCountedAt = now
	return z.readRates
}

// countSend counts an attempt of an op that goes to a zone. The decider calls it under its lock.
func (z *zoneAgent) countSend(op *op, zone string, retry, hasLocal bool) {
	z.trafficMu.Lock()
	defer z.trafficMu.Unlock()
	z.traffic.Record(z.zone, zone, z.opTypes[op.opType], len(op.statement.Text),
		zones.SendAttributes{Retry: retry, Primary: op.statement.Write, NoLocalMember: !hasLocal}, z.plannedZones[zone])
}

// recordAnswer records the latency of a successful answer, and the position that came with it, 0 if there is none. The
// decider calls it under its lock.
func (z *zoneAgent) recordAnswer(member, zone string, latencyMs, position float64) {
	z.trafficMu.Lock()
	defer z.trafficMu.Unlock()
	if position > 0 {
		z.positions[member] = reportedPosition{position, z.service.decider.clock.now()}
	}
	baseline := z.latencies[zone]
	if baseline == nil {
		if len(z.latencies) >= maxLatencyZones {
			return
		}
		baseline = &zones.LatencyBaseline{}
		z.latencies[zone] = baseline
	}
	baseline.Add(latencyMs)
}
