package zones

// This file owns operators' commands: each is applied once, by the leader, and expires by the leader's clock.

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Command is what operators order: to evacuate a zone, to let it return, or to freeze the plan.
type Command struct {
	Zone     string  `cbor:"1,keyasint,omitempty" json:"zone,omitempty"`
	Evacuate bool    `cbor:"2,keyasint,omitempty" json:"away,omitempty"`     // else it is to return
	Duration float64 `cbor:"3,keyasint,omitempty" json:"for_ms,omitempty"`   // milliseconds; 0: until it is revoked
	Freeze   *bool   `cbor:"4,keyasint,omitempty" json:"freeze,omitempty"`   // whether only voters change; nil: as before
	ID       uint64  `cbor:"5,keyasint,omitempty" json:"asked_at,omitempty"` // of the command: it is applied once
}

// Errors of commands and of Simulate, distinguished by errors.Is; internal/control maps them to statuses.
var (
	ErrNoPlan      = errors.New("no plan of zones is agreed on yet")
	ErrNotInForce  = errors.New("this driver does not hold a plan that is in force: ask another one")
	ErrUnknownZone = errors.New("no zone of this name is known")
	ErrNotLeader   = errors.New("this driver does not lead: ask the first voter that lives")
)

// maxAppliedCommands is how many IDs of commands are remembered before all are forgotten.
const maxAppliedCommands = 32

// Submit takes a command, and forwards it to the voters. Errors: ErrNoPlan, ErrNotInForce, ErrUnknownZone.
func (z *Coordinator) Submit(now float64, cmd Command) (Output, error) {
	switch {
	case z.plan == nil:
		return Output{}, ErrNoPlan
	case !z.inForce(now):
		return Output{}, ErrNotInForce
	case cmd.Freeze == nil && !slices.Contains(z.zoneNames(), cmd.Zone):
		return Output{}, ErrUnknownZone
	}
	z.apply(now, cmd)
	for _, voter := range z.plan.Voters {
		if voter != z.self.Name {
			z.send(voter, Message{Kind: ForwardCommand, Command: &cmd})
		}
	}
	return z.output(now), nil
}

// apply carries out a command, where this driver leads.
func (z *Coordinator) apply(now float64, cmd Command) {
	if z.trackers == nil || z.appliedCommands[cmd.ID] {
		return
	}
	if len(z.appliedCommands) > maxAppliedCommands {
		z.appliedCommands = map[uint64]bool{}
	}
	z.appliedCommands[cmd.ID] = true
	switch {
	case cmd.Freeze != nil:
		z.frozen = *cmd.Freeze
	case cmd.Evacuate:
		z.evacuations[cmd.Zone] = math.Inf(1)
		if cmd.Duration > 0 {
			z.evacuations[cmd.Zone] = now + cmd.Duration
		}
	default:
		delete(z.evacuations, cmd.Zone)
	}
	z.emit("order", cmd.Zone, fmt.Sprintf("away=%v for=%.0fms", cmd.Evacuate, cmd.Duration))
}

func (z *Coordinator) expireEvacuations(now float64) {
	for zone, until := range z.evacuations {
		if now >= until {
			delete(z.evacuations, zone)
		}
	}
}

// activeEvacuations are those that hold, for a plan. The time that is left is rounded up to 60 heartbeats, so that a
// plan does not differ from the last one at each heartbeat. They are in no order: Plan.sort follows.
func (z *Coordinator) activeEvacuations(now float64) (active []Evacuation) {
	for zone, until := range z.evacuations {
		e := Evacuation{Zone: zone}
		if !math.IsInf(until, 1) {
			e.RemainingHeartbeats = uint64(math.Ceil((until-now)/z.heartbeat/60)) * 60
		}
		active = append(active, e)
	}
	return active
}
