package main

// This file owns the command that measures the drivers' membership protocol in virtual time.

import (
	"io"
	"time"

	"weirwind/internal/lab/membershipsim"
)

// membershipCommand measures failure detection, partition healing and false positives of the membership protocol.
type membershipCommand struct {
	Drivers []int         `help:"How many; may stand several times." default:"5,10,100,1000"`
	Period  time.Duration `help:"Between two probes of one driver." default:"500ms"`
	Kills   int           `help:"Losses to measure." default:"30"`
	Heals   int           `help:"Cuts to heal." default:"5"`
	For     time.Duration `help:"Virtual time of the watch for living drivers taken for failed." default:"10m"`
	Loss    float64       `help:"Share of datagrams that are lost in it." default:"0.05"`
	Slow    float64       `help:"For a tenth of the drivers: chance at each tick (ten a period) to stand still for up to 0.8 of a period." default:"0.05"`
	Seed    uint64        `help:"Of the play." default:"1"`
}

// Run prints detection and healing times, and false positives, for each number of drivers.
func (c *membershipCommand) Run(out io.Writer) error {
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
