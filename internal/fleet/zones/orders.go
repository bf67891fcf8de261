package zones

// This file owns operators' orders: each is taken once, by the leader, and lapses by the leader's clock.

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Command is an order of operators.
type Command struct {
	Zone     string  `cbor:"1,keyasint,omitempty" json:"zone,omitempty"`
	Evacuate bool    `cbor:"2,keyasint,omitempty" json:"away,omitempty"`     // else it is to return
	Duration float64 `cbor:"3,keyasint,omitempty" json:"for_ms,omitempty"`   // 0: until it is taken back
	Freeze   *bool   `cbor:"4,keyasint,omitempty" json:"freeze,omitempty"`   // nothing is changed but what voters need
	ID       uint64  `cbor:"5,keyasint,omitempty" json:"asked_at,omitempty"` // one order is taken once
}

// Errors of orders.
var (
	ErrNoPlan      = errors.New("no plan of zones is agreed on yet")
	ErrNotInForce  = errors.New("this driver does not hold a plan that is in force: ask another one")
	ErrUnknownZone = errors.New("no zone of this name is known")
	ErrNotLeader   = errors.New("this driver does not lead: ask the first voter that lives")
)

// Submit takes what operators say, and passes it on to the voters.
func (z *Coordinator) Submit(now float64, s Command) (Output, error) {
	switch {
	case z.plan == nil:
		return Output{}, ErrNoPlan
	case !z.inForce(now):
		return Output{}, ErrNotInForce
	case s.Freeze == nil && !slices.Contains(z.zoneNames(), s.Zone):
		return Output{}, ErrUnknownZone
	}
	z.apply(now, s)
	for _, v := range z.plan.Voters {
		if v != z.self.Name {
			z.send(v, Message{Kind: ForwardCommand, Command: &s})
		}
	}
	return z.output(now), nil
}

// apply takes one, where this driver leads.
func (z *Coordinator) apply(now float64, s Command) {
	if z.trackers == nil || z.applied[s.ID] {
		return
	}
	if len(z.applied) > maxAppliedCommands {
		z.applied = map[uint64]bool{}
	}
	z.applied[s.ID] = true
	switch {
	case s.Freeze != nil:
		z.frozen = *s.Freeze
	case s.Evacuate:
		z.evacuations[s.Zone] = math.Inf(1)
		if s.Duration > 0 {
			z.evacuations[s.Zone] = now + s.Duration
		}
	default:
		delete(z.evacuations, s.Zone)
	}
	z.emit("order", s.Zone, fmt.Sprintf("away=%v for=%.0fms", s.Evacuate, s.Duration))
}

func (z *Coordinator) expireEvacuations(now float64) {
	for zone, until := range z.evacuations {
		if now >= until {
			delete(z.evacuations, zone)
		}
	}
}

// activeOrders are the orders that hold, for a plan. Times left are told in steps: a plan for each beat would be none.
func (z *Coordinator) activeEvacuations(now float64) (all []Evacuation) {
	for zone, until := range z.evacuations {
		o := Evacuation{Zone: zone}
		if !math.IsInf(until, 1) {
			o.HeartbeatsLeft = uint64(math.Ceil((until-now)/z.heartbeat/60)) * 60
		}
		all = append(all, o)
	}
	return all
}
