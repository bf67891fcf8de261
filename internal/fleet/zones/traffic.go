package zones

// This file counts a driver's sends by zone. The size of the counts must not depend on operations or members.

import (
	"cmp"
	"slices"
)

// CrossZoneTraffic counts sends from drivers of one zone to members of another.
type CrossZoneTraffic struct {
	To     string `json:"to"`
	Type   string `json:"type"`   // of the operation
	Reason string `json:"reason"` // one of the Reason constants
	Ops    int64  `json:"ops"`
	Bytes  int64  `json:"bytes"`
}

// Reasons of sends to another zone.
const (
	ReasonPlan          = "plan"        // the plan assigns a share to that zone
	ReasonPrimary       = "primary"     // the group's primary is there, and the operation is a write or requires it
	ReasonRetry         = "repeat"      // an earlier send failed
	ReasonNoLocalMember = "no_near"     // the group has no usable member in the zone
	ReasonLocalLoaded   = "near_loaded" // local members have more sends in flight, or lag too far behind
)

// maxTrafficKeys bounds the number of counts: sends with further keys are not counted.
const maxTrafficKeys = 4096

// SendAttributes are the attributes of a send that determine its reason.
type SendAttributes struct {
	Retry, Primary, NoLocalMember bool
}

// reason returns the first reason that applies to a send to another zone.
func (s SendAttributes) reason(planned bool) string {
	switch {
	case s.Retry:
		return ReasonRetry
	case s.Primary:
		return ReasonPrimary
	case planned:
		return ReasonPlan
	case s.NoLocalMember:
		return ReasonNoLocalMember
	}
	return ReasonLocalLoaded
}

type trafficKey struct{ to, opType, reason string }

type trafficCount struct{ ops, bytes int64 }

// TrafficCounter counts sends. Its zero value is ready; it is not safe for concurrent use.
type TrafficCounter struct {
	counts map[trafficKey]*trafficCount
	reads  map[string]float64 // by zone, since the last TakeReads
}

// Record counts a send of a number of bytes. planned is set if the plan assigns a share to the destination zone.
func (c *TrafficCounter) Record(from, to, opType string, bytes int, attributes SendAttributes, planned bool) {
	if c.counts == nil {
		c.counts, c.reads = map[trafficKey]*trafficCount{}, map[string]float64{}
	}
	if !attributes.Primary && len(c.reads) < maxZones {
		c.reads[to]++
	}
	if from == to {
		return
	}
	key := trafficKey{to, opType, attributes.reason(planned)}
	n := c.counts[key]
	if n == nil {
		if len(c.counts) >= maxTrafficKeys {
			return
		}
		n = &trafficCount{}
		c.counts[key] = n
	}
	n.ops++
	n.bytes += int64(bytes)
}

// TakeReads returns the number of reads to each zone since its last call.
func (c *TrafficCounter) TakeReads() map[string]float64 {
	reads := c.reads
	c.reads = map[string]float64{}
	return reads
}

// CrossZone returns the counts since the start, sorted.
func (c *TrafficCounter) CrossZone() (all []CrossZoneTraffic) {
	for key, n := range c.counts {
		all = append(all, CrossZoneTraffic{key.to, key.opType, key.reason, n.ops, n.bytes})
	}
	slices.SortFunc(all, func(a, b CrossZoneTraffic) int {
		return cmp.Or(cmp.Compare(a.To, b.To), cmp.Compare(a.Type, b.Type), cmp.Compare(a.Reason, b.Reason))
	})
	return all
}
