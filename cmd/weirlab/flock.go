package main

// This file owns the commands on drivers that know each other: in virtual time, and as processes by a script. It must
// never print a figure that the play did not give.

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"time"

	"weirwind/internal/lab/fleet"
	"weirwind/internal/lab/membershipsim"
)

type flockCommand struct {
	Drivers []int         `help:"How many; may stand several times." default:"5,10,100,1000"`
	Period  time.Duration `help:"Between two probes of one driver." default:"500ms"`
	Kills   int           `help:"Losses to measure." default:"30"`
	Heals   int           `help:"Cuts to heal." default:"5"`
	For     time.Duration `help:"Virtual time of the watch for living drivers taken for failed." default:"10m"`
	Loss    float64       `help:"Share of datagrams that are lost in it." default:"0.05"`
	Slow    float64       `help:"For a tenth of the drivers: chance at each tick (ten a period) to stand still for up to 0.8 of a period." default:"0.05"`
	Seed    uint64        `help:"Of the play." default:"1"`
}

// Run measures.
func (c *flockCommand) Run(out io.Writer) error {
	for _, n := range c.Drivers {
		o := membershipsim.Options{Drivers: n, Period: ms(c.Period), Seed: c.Seed}
		if err := membershipsim.MeasureFailureDetection(out, o, c.Kills); err != nil {
			return err
		}
		if err := membershipsim.MeasurePartitionHealing(out, o, c.Heals); err != nil {
			return err
		}
		o.Loss = c.Loss
		if err := membershipsim.MeasureFalsePositives(out, o, ms(c.For), c.Slow); err != nil {
			return err
		}
	}
	return nil
}

type fleetCommand struct {
	File    string `arg:"" help:"The script."`
	Page    string `help:"The page that shows who saw whom when." default:"weirlab-fleet.html"`
	Program string `help:"The built program; built anew without it." placeholder:"PATH"`
}

// Run plays a script with processes of the program.
func (c *fleetCommand) Run(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	s, err := fleet.ParseScript(c.File, text)
	if err != nil {
		return err
	}
	if s.Program = c.Program; s.Program == "" {
		folder, err := os.MkdirTemp("", "wwbin")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(folder) }()
		if s.Program, err = fleet.Build(folder); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	page, err := s.Run(ctx, out)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Page, page, 0o644); err != nil {
		return err
	}
	fmt.Fprintln(out, "page:", c.Page)
	return nil
}
