package main

// This file implements the zones commands.

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/fleet/zones"
)

type zonesCommands struct {
	Status   zonesStatusCommand   `cmd:"" help:"The plan that the driver goes by, what it sees of zones, and what crossed between them."`
	Plan     zonesPlanCommand     `cmd:"" help:"Which shares would be planned; at the driver that leads."`
	Evacuate zonesEvacuateCommand `cmd:"" help:"Have a zone's reads and primaries move elsewhere."`
	Return   zonesReturnCommand   `cmd:"" help:"Take an evacuation back."`
	Freeze   zonesFreezeCommand   `cmd:"" help:"Have the plan stay as it is, or go on again with --off."`
	Watch    zonesWatchCommand    `cmd:"" help:"Print each new plan, until interrupted."`
}

// printPlan prints the driver's plan, with a line for each zone, partition, flow, move and constraint.
func printPlan(out io.Writer, status *zones.Status) {
	fmt.Fprintf(out, "self=%s zone=%s leads=%v in_force=%v age=%s", status.Self, status.Zone, status.Leader,
		status.InForce, roundedDuration(status.Age))
	if status.Plan == nil {
		fmt.Fprintln(out, " epoch=none")
		return
	}
	fmt.Fprintf(out, " epoch=%d voters=%v frozen=%v\n", status.Plan.Epoch, status.Plan.Voters, status.Plan.Frozen)
	for _, z := range status.Plan.Zones {
		fmt.Fprintf(out, "zone=%s state=%s cause=%s part=%.2f", z.Name, z.State, z.Cause, z.Capacity)
		if t, ok := status.ZonePenalties[z.Name]; ok {
			fmt.Fprintf(out, " toll=%.2f", t)
		}
		fmt.Fprintln(out)
	}
	for _, c := range status.Plan.Partitions {
		fmt.Fprintf(out, "cut from=%s to=%s\n", c.From, c.To)
	}
	for _, f := range status.Plan.Flows {
		fmt.Fprintf(out, "share from=%s to=%s of=%.2f\n", f.From, f.To, f.Share)
	}
	for _, m := range status.Plan.Moves {
		fmt.Fprintf(out, "move group=%d from=%s to=%s\n", m.Group, m.From, m.To)
	}
	for _, b := range status.Plan.BindingConstraints {
		fmt.Fprintf(out, "binds %s\n", b)
	}
}

type zonesStatusCommand struct {
	socketFlag
	JSON bool `help:"As JSON." name:"json"`
}

// Run prints the driver's plan, its observations of zones, and the cross-zone traffic.
func (c *zonesStatusCommand) Run(out io.Writer) error {
	return c.call(callTimeout, func(ctx context.Context, client *control.Client) error {
		s, err := client.Zones(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(out, s)
		}
		printPlan(out, &s)
		for _, g := range s.Observations {
			fmt.Fprintf(out, "sees zone=%s members=%d silent=%d behind=%d slow=%.2f reads=%.1f/s\n", g.Zone, g.Members,
				g.Unreachable, g.Lagging, g.LatencyRatio, g.Reads)
		}
		for _, x := range s.CrossZone {
			fmt.Fprintf(out, "crossed to=%s type=%s reason=%s ops=%d bytes=%d\n", x.To, x.Type, x.Reason, x.Ops, x.Bytes)
		}
		return nil
	})
}

type zonesPlanCommand struct {
	socketFlag
	DryRun  bool   `help:"Said for clarity: this command never changes anything." default:"true"`
	Without string `help:"Were this zone away."`
	JSON    bool   `help:"As JSON." name:"json"`
}

// Run prints the plan that would be made.
func (c *zonesPlanCommand) Run(out io.Writer) error {
	return c.call(callTimeout, func(ctx context.Context, client *control.Client) error {
		p, err := client.PreviewZones(ctx, c.Without)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(out, p)
		}
		for _, z := range p.Zones {
			fmt.Fprintf(out, "zone=%s region=%s reads=%.1f/s room=%.1f/s\n", z.Name, z.Region, z.Demand, z.Capacity)
		}
		for _, f := range p.Flows {
			fmt.Fprintf(out, "share from=%s to=%s of=%.2f\n", f.From, f.To, f.Share)
		}
		for _, b := range p.BindingConstraints {
			fmt.Fprintf(out, "binds %s\n", b)
		}
		return nil
	})
}

type zonesEvacuateCommand struct {
	socketFlag
	Zone string        `arg:"" help:"The zone."`
	For  time.Duration `help:"It returns by itself after so long; 0: when it is told to."`
}

// Run evacuates a zone.
func (c *zonesEvacuateCommand) Run() error {
	return c.call(callTimeout, func(ctx context.Context, client *control.Client) error {
		duration := float64(c.For.Milliseconds())
		return client.SubmitZoneCommand(ctx, zones.Command{Zone: c.Zone, Evacuate: true, Duration: duration})
	})
}

type zonesReturnCommand struct {
	socketFlag
	Zone string `arg:"" help:"The zone."`
}

// Run ends an evacuation.
func (c *zonesReturnCommand) Run() error {
	return c.call(callTimeout, func(ctx context.Context, client *control.Client) error {
		return client.SubmitZoneCommand(ctx, zones.Command{Zone: c.Zone})
	})
}

type zonesFreezeCommand struct {
	socketFlag
	Off bool `help:"Plans go on again."`
}

// Run freezes the plan, or unfreezes it.
func (c *zonesFreezeCommand) Run() error {
	return c.call(callTimeout, func(ctx context.Context, client *control.Client) error {
		on := !c.Off
		return client.SubmitZoneCommand(ctx, zones.Command{Freeze: &on})
	})
}

type zonesWatchCommand struct {
	watchFlags
	JSON bool `help:"As JSON, a plan a line." name:"json"`
}

// Run prints plans as they change, and the requested moves of primaries.
func (c *zonesWatchCommand) Run(out io.Writer) error {
	epoch, inForce := uint64(0), false
	var moves []zones.Move
	return c.poll(func(ctx context.Context, client *control.Client) error {
		s, err := client.Zones(ctx)
		if err != nil {
			return err
		}
		p := s.Plan
		if p == nil || p.Epoch == epoch && inForce == s.InForce && slices.Equal(p.Moves, moves) {
			return nil
		}
		epoch, inForce, moves = p.Epoch, s.InForce, p.Moves
		if c.JSON {
			return printJSON(out, s)
		}
		fmt.Fprintln(out, time.Now().Format("15:04:05.000"))
		printPlan(out, &s)
		return nil
	})
}
