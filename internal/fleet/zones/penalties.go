package zones

// This file owns what one driver makes of the plan: tolls for its routing module, which bring its own reads to the
// shares planned for its zone. It must never shut the own zone's members off, or move faster than they can warm up.

import "math"

// A toll is a cost that the routing module adds to the members of a zone, in sends in flight.
const (
	defaultPenalty = 0.3 // of another zone's members, the module's default
	avoidPenalty   = 60.0
	maxPenalty     = 8.0  // of what the controller sets
	penaltyGain    = 1.5  // a second, for the whole of a share missed
	minSamples     = 20   // sends since the last step: fewer say nothing of shares
	maxStepMillis  = 2000 // milliseconds that one step counts for at most
)

// tollController brings the shares of a driver's own reads to the planned ones, by integral control.
type penaltyController struct {
	zone      string             // of the driver
	penalties map[string]float64 // by zone, 0 to maxToll; nil before the first step
	updatedAt float64            // the last step
}

// baseToll is the module's default for a zone.
func (c *penaltyController) basePenalty(zone string) float64 {
	if zone == c.zone {
		return 0
	}
	return defaultPenalty
}

// steer brings tolls nearer to what the planned shares need. sent is how many of the own reads went to each zone since
// the last step.
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
	lowest := math.Inf(1) // of zones that have a share
	for _, zone := range zones {
		penalty, known := c.penalties[zone]
		if !known {
			penalty = c.basePenalty(zone)
		}
		share := plan.share(c.zone, zone)
		controlled := share > 0 && share < 0.995
		if controlled && total >= minSamples {
			penalty += penaltyGain * seconds * (sent[zone]/total - share)
		} else if !controlled { // back to what it is without a plan
			penalty += (c.basePenalty(zone) - penalty) * min(1, seconds/2)
		}
		c.penalties[zone] = penalty
		if share > 0 {
			lowest = min(lowest, penalty)
		}
	}
	c.normalize(lowest)
}

// normalize keeps tolls within bounds. Only their differences matter, so that a negative lowest one raises them all.
func (c *penaltyController) normalize(lowest float64) {
	for zone, penalty := range c.penalties {
		if lowest < 0 {
			penalty -= lowest
		}
		c.penalties[zone] = min(max(penalty, 0), maxPenalty)
	}
}

// effective are the tolls for the module; nil where they are its defaults. Without a plan in force only
// ejected zones keep their toll, and all else is as it is without a plan.
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
