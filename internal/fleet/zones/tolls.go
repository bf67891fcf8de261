package zones

// This file owns what one driver makes of the plan: tolls for its routing module, which bring its own reads to the
// shares planned for its zone. It must never shut the own zone's members off, or move faster than they can warm up.

import "math"

// A toll is a cost that the routing module adds to the members of a zone, in sends in flight.
const (
	defaultToll = 0.3 // of another zone's members, the module's default
	avoidToll   = 60.0
	maxToll     = 8.0  // of what the controller sets
	tollGain    = 1.5  // a second, for the whole of a share missed
	minSamples  = 20   // sends since the last step: fewer say nothing of shares
	maxStep     = 2000 // milliseconds that one step counts for at most
)

// tollController brings the shares of a driver's own reads to the planned ones, by integral control.
type tollController struct {
	zone      string             // of the driver
	tolls     map[string]float64 // by zone, 0 to maxToll; nil before the first step
	steeredAt float64            // the last step
}

// baseToll is the module's default for a zone.
func (c *tollController) baseToll(zone string) float64 {
	if zone == c.zone {
		return 0
	}
	return defaultToll
}

// steer brings tolls nearer to what the planned shares need. sent is how many of the own reads went to each zone since
// the last step.
func (c *tollController) steer(now float64, plan *Plan, zones []string, sent map[string]float64) {
	if c.tolls == nil {
		c.tolls = map[string]float64{}
	}
	seconds := min(max(now-c.steeredAt, 0), maxStep) / 1000
	c.steeredAt = now
	total := 0.0
	for _, n := range sent {
		total += n
	}
	lowest := math.Inf(1) // of zones that have a share
	for _, zone := range zones {
		toll, known := c.tolls[zone]
		if !known {
			toll = c.baseToll(zone)
		}
		share := plan.share(c.zone, zone)
		controlled := share > 0 && share < 0.995
		if controlled && total >= minSamples {
			toll += tollGain * seconds * (sent[zone]/total - share)
		} else if !controlled { // back to what it is without a plan
			toll += (c.baseToll(zone) - toll) * min(1, seconds/2)
		}
		c.tolls[zone] = toll
		if share > 0 {
			lowest = min(lowest, toll)
		}
	}
	c.normalize(lowest)
}

// normalize keeps tolls within bounds. Only their differences matter, so that a negative lowest one raises them all.
func (c *tollController) normalize(lowest float64) {
	for zone, toll := range c.tolls {
		if lowest < 0 {
			toll -= lowest
		}
		c.tolls[zone] = min(max(toll, 0), maxToll)
	}
}

// effective are the tolls for the module; nil where they are its defaults. Without a plan in force only
// ejected zones keep their toll, and all else is as it is without a plan.
func (c *tollController) effective(plan *Plan, zones []string, inForce bool) map[string]float64 {
	if plan == nil {
		return nil
	}
	tolls, differ := map[string]float64{}, false
	for _, name := range zones {
		toll := c.effectiveToll(plan, plan.zone(name), inForce)
		tolls[name] = toll
		differ = differ || toll != c.baseToll(name)
	}
	if !differ {
		return nil
	}
	return tolls
}

func (c *tollController) effectiveToll(plan *Plan, zone Zone, inForce bool) float64 {
	own := zone.Name == c.zone
	empty := zone.State == Ejected || zone.State == Draining && zone.Capacity == 0
	if empty && !(own && zone.Cause == Isolated) {
		return avoidToll
	}
	if !inForce {
		return c.baseToll(zone.Name)
	}
	unplanned := !own && plan.share(c.zone, zone.Name) == 0 && len(plan.Flows) > 0 && zone.State != Serving
	if plan.partitioned(c.zone, zone.Name) || unplanned {
		return avoidToll
	}
	if toll, known := c.tolls[zone.Name]; known {
		return math.Round(toll*20) / 20
	}
	return c.baseToll(zone.Name)
}
