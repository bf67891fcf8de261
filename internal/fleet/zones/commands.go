package zones

// This file implements operators' commands: each is applied once, by the leader, and expires by the leader's clock.

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Command is an operator's command: to evacuate a zone, to let it return, or to freeze the plan.
type Command struct {
	Zone     string  `cbor:"1,keyasint,omitempty" json:"zone,omitempty"`
	Evacuate bool    `cbor:"2,keyasint,omitempty" json:"away,omitempty"`     // false: let it return
	Duration float64 `cbor:"3,keyasint,omitempty" json:"for_ms,omitempty"`   // milliseconds; 0: until revoked
	Freeze   *bool   `cbor:"4,keyasint,omitempty" json:"freeze,omitempty"`   // only voters may change; nil: as before
	ID       uint64  `cbor:"5,keyasint,omitempty" json:"asked_at,omitempty"` // the command is applied once
}

// Errors of commands and of Simulate, distinguished by errors.Is; internal/control maps them to statuses.
var (
	ErrNoPlan      = errors.New("no plan of zones is agreed on yet")
	ErrNotInForce  = errors.New("this driver does not hold a plan that is in force: ask another one")
	ErrUnknownZone = errors.New("no zone of this name is known")
	ErrNotLeader   = errors.New("this driver does not lead: ask the first voter that lives")
)

// maxAppliedCommands is the number of remembered command IDs above which all are dropped.
const maxAppliedCommands = 32

// Submit applies a command and forwards it to the voters. Errors: ErrNoPlan, ErrNotInForce, ErrUnknownZone.
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

// apply executes a command if this driver leads.
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

// activeEvacuations returns the current evacuations in the form used by plans, unsorted (see Plan.sort). The remaining
// time is rounded up to a multiple of 60 heartbeats, so that plans do not change at every heartbeat.
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
