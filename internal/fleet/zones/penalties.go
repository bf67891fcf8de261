package zones

// This file computes a driver's zone penalties for its routing module, which bring its own reads to the shares planned
// for its zone. It must never exclude the own zone's members, or shift load faster than members can warm up.

import "math"

// A penalty is a cost that the routing module adds to the members of a zone, in sends in flight.
const (
	defaultPenalty = 0.3  // the module's default for other zones
	avoidPenalty   = 60.0 // of zones that should receive no reads
	maxPenalty     = 8.0  // upper bound of the controller's penalties
	penaltyGain    = 1.5  // change per second for a share that is missed by 1
	minSamples     = 20   // reads since the last update; fewer say nothing about shares
	maxStepMillis  = 2000 // upper bound of the time that one update accounts for
)

// penaltyController brings the shares of a driver's own reads to the planned ones by integral control.
type penaltyController struct {
	zone      string             // of the driver
	penalties map[string]float64 // by zone, 0 to maxPenalty; nil before the first update
	updatedAt float64            // when update was last called
}

// basePenalty returns the module's default for a zone.
func (c *penaltyController) basePenalty(zone string) float64 {
	if zone == c.zone {
		return 0
	}
	return defaultPenalty
}

// update adjusts the penalties toward the planned shares. sent is the number of the driver's own reads to each zone
// since the last update.
func (c *penaltyController) update(now float64, plan *Plan, zones []string, sent map[string]float64) {
	if c.penalties == nil {
		c.penalties = map[string]float64{}
	}
	seconds := min(max(now-c.updatedAt, 0), maxStepMillis) / 1000
	c.updatedAt = now
	total := 0.0
	for _, n := range sent {
		total += n
	}
	lowest := math.Inf(1) // penalty of the zones that have a share
	for _, zone := range zones {
		penalty, known := c.penalties[zone]
		if !known {
			penalty = c.basePenalty(zone)
		}
		share := plan.share(c.zone, zone)
		controlled := share > 0 && share < 0.995
		if controlled && total >= minSamples {
			penalty += penaltyGain * seconds * (sent[zone]/total - share)
		} else if !controlled { // return to the default
			penalty += (c.basePenalty(zone) - penalty) * min(1, seconds/2)
		}
		c.penalties[zone] = penalty
		if share > 0 {
			lowest = min(lowest, penalty)
		}
	}
	c.normalize(lowest)
}

// normalize bounds the penalties. Only their differences matter, so it raises all of them if the lowest is negative.
func (c *penaltyController) normalize(lowest float64) {
	for zone, penalty := range c.penalties {
		if lowest < 0 {
			penalty -= lowest
		}
		c.penalties[zone] = min(max(penalty, 0), maxPenalty)
	}
}

// effective returns the penalties for the module, or nil if they equal its defaults. Without a plan in force only the
// zones that the plan took out of service keep avoidPenalty, and all others have the default.
func (c *penaltyController) effective(plan *Plan, zones []string, inForce bool) map[string]float64 {
	if plan == nil {
		return nil
	}
	penalties, nonDefault := map[string]float64{}, false
	for _, name := range zones {
		penalty := c.effectivePenalty(plan, plan.zone(name), inForce)
		penalties[name] = penalty
		nonDefault = nonDefault || penalty != c.basePenalty(name)
	}
	if !nonDefault {
		return nil
	}
	return penalties
}

func (c *penaltyController) effectivePenalty(plan *Plan, zone Zone, inForce bool) float64 {
	own := zone.Name == c.zone
	empty := zone.State == Ejected || zone.State == Draining && zone.Capacity == 0
	if empty && !(own && zone.Cause == Isolated) {
		return avoidPenalty
	}
	if !inForce {
		return c.basePenalty(zone.Name)
	}
	unplanned := !own && plan.share(c.zone, zone.Name) == 0 && len(plan.Flows) > 0 && zone.State != Serving
	if plan.partitioned(c.zone, zone.Name) || unplanned {
		return avoidPenalty
	}
	if penalty, known := c.penalties[zone.Name]; known {
		return math.Round(penalty*20) / 20
	}
	return c.basePenalty(zone.Name)
}
