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
	positionTTL      = 2000.0 // milliseconds for which a member's position counts
	readRateInterval = 900.0  // milliseconds between two counts of reads, at least: shorter spans say little
	maxLatencyZones  = 64
)

// membership is what the mesh knows of drivers and their zones.
func (z *zoneAgent) membership() zones.Fleet {
	s := z.service.fleet.mesh.Status()
	f := zones.Fleet{Partition: s.Partition, Alive: []zones.Peer{{Name: s.Self, Zone: z.zone}}, Zones: []string{z.zone}}
	if s.Roster != nil {
		f.RosterVersion, f.Roster = s.Roster.Version, s.Roster.Names
	}
	for _, d := range s.Drivers {
		if d.State == membership.Alive || d.State == membership.Suspect {
			f.Alive = append(f.Alive, zones.Peer{Name: d.Name, Zone: d.Zone})
		}
		f.Zones = append(f.Zones, d.Zone)
	}
	slices.SortFunc(f.Alive, func(a, b zones.Peer) int { return strings.Compare(a.Name, b.Name) })
	slices.Sort(f.Zones)
	f.Zones = slices.Compact(f.Zones)
	return f
}

// observations are what the own decision module knows of members, by zone, where primaries are, and the rates of own
// reads by zone; those are nil where they were counted shortly before.
func (z *zoneAgent) observations(now float64) (
	all []zones.Observation, primaries []zones.PrimaryLocation, readRates map[string]float64) {
	var memory logic.Memory
	z.service.decider.step(logic.Event{Kind: logic.EvRemember, Memory: &memory})
	members := z.service.decider.listedMembers()
	byZone, reported := z.countMembers(now, &memory, members)
	for _, g := range memory.Groups {
		if l, ok := members[g.Primary]; ok && g.Primary != "" {
			primaries = append(primaries, zones.PrimaryLocation{Group: g.Group, Zone: l.Zone})
		}
	}
	z.trafficMu.Lock()
	defer z.trafficMu.Unlock()
	readRates = z.updateReadRates(now)
	for zone, o := range byZone {
		if o.Reads = z.readRates[zone]; 2*reported[zone] < o.Members {
			o.Lagging = 0 // too few have reported their positions of late to tell
		}
		if latency := z.latencies[zone]; latency != nil {
			o.LatencyRatio = latency.Ratio()
		}
		all = append(all, *o)
	}
	slices.SortFunc(all, func(a, b zones.Observation) int { return strings.Compare(a.Zone, b.Zone) })
	return all, primaries, readRates
}

// countMembers counts the members of each zone that are up, and of them the unreachable and the lagging ones; reported
// counts those with a recent position.
func (z *zoneAgent) countMembers(now float64, memory *logic.Memory, members map[string]logic.ListEntry) (
	byZone map[string]*zones.Observation, reported map[string]int) {
	byZone, reported = map[string]*zones.Observation{}, map[string]int{}
	positions := z.recentPositions(now, members)
	newest := map[int64]float64{} // by group
	for member, p := range positions {
		newest[members[member].Group] = max(newest[members[member].Group], p.position)
	}
	for _, m := range memory.Members {
		l, ok := members[m.Member]
		if !ok || l.Phase != logic.Ready {
			continue
		}
		o := byZone[l.Zone]
		if o == nil {
			o = &zones.Observation{Zone: l.Zone}
			byZone[l.Zone] = o
		}
		if o.Members++; m.EjectedAt > 0 {
			o.Unreachable++
		}
		if p, ok := positions[m.Member]; ok {
			if reported[l.Zone]++; z.stalenessBound > 0 && newest[m.Group]-p.position > z.stalenessBound {
				o.Lagging++
			}
		}
	}
	return byZone, reported
}

// recentPositions are those that listed members reported recently; others are forgotten.
func (z *zoneAgent) recentPositions(now float64, members map[string]logic.ListEntry) map[string]reportedPosition {
	z.trafficMu.Lock()
	defer z.trafficMu.Unlock()
	maps.DeleteFunc(z.positions, func(member string, p reportedPosition) bool {
		_, listed := members[member]
		return !listed || now-p.reportedAt > positionTTL
	})
	return maps.Clone(z.positions)
}

// updateReadRates counts reads by zone, a second, about once a second; nil in between. The caller holds trafficMu.
func (z *zoneAgent) updateReadRates(now float64) map[string]float64 {
	span := now - z.readRatesAt
	if span < readRateInterval && z.readRates != nil {
		return nil
	}
	z.readRates = z.traffic.TakeReads()
	for zone, n := range z.readRates {
		z.readRates[zone] = n * 1000 / max(span, 1)
	}
	z.readRatesAt = now
	return z.readRates
}

// countSend counts an attempt at an op in a zone. The decider calls it under its lock.
func (z *zoneAgent) countSend(op *op, zone string, retry, hasLocal bool) {
	z.trafficMu.Lock()
	defer z.trafficMu.Unlock()
	z.traffic.Record(z.zone, zone, z.opTypes[op.opType], len(op.statement.Text),
		zones.SendAttributes{Retry: retry, Primary: op.statement.Write, NoLocalMember: !hasLocal}, z.planned[zone])
}

// recordAnswer takes how many milliseconds a good answer took, and the position that came with it, 0 for none. The
// decider calls it under its lock.
func (z *zoneAgent) recordAnswer(member, zone string, took, position float64) {
	z.trafficMu.Lock()
	defer z.trafficMu.Unlock()
	if position > 0 {
		z.positions[member] = reportedPosition{position, z.service.decider.clock.now()}
	}
	latency := z.latencies[zone]
	if latency == nil {
		if len(z.latencies) >= maxLatencyZones {
			return
		}
		latency = &zones.LatencyBaseline{}
		z.latencies[zone] = latency
	}
	latency.Add(took)
}
