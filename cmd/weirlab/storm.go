package main

// This file owns the command that restarts a registry under many clients.

import (
	"fmt"
	"io"
	"time"

	"weirwind/internal/lab"
)

// registryRestartCommand restarts a registry under many clients.
type registryRestartCommand struct {
	Clients int           `help:"Clients." default:"1000"`
	Members int           `help:"In the registry." default:"200"`
	Away    time.Duration `help:"The registry's absence." default:"1s"`
}

// Run restarts the registry under weirwind's clients and under naive ones, and prints the load on the registry.
func (c *registryRestartCommand) Run(out io.Writer) error {
	if c.Clients < 1 || c.Clients > 5000 || c.Members < 1 || c.Members > 50000 {
		return fmt.Errorf("a storm is of up to 5000 clients and 50000 members")
	}
	fmt.Fprintf(out, "%d clients, %d members; the registry is away for %s and loses its history\n", c.Clients, c.Members,
		c.Away)
	for _, naive := range []bool{false, true} {
		restart := lab.RegistryRestart{
			Clients:  c.Clients,
			Members:  c.Members,
			Downtime: c.Away,
			Naive:    naive,
			Timeout:  3 * time.Minute,
		}
		r, err := restart.Run()
		if err != nil {
			return err
		}
		fmt.Fprintf(
			out,
			"%-6s %5d whole lists a second at the peak, %5d in all, all current after %s\n",
			map[bool]string{false: "ours", true: "naive"}[naive],
			r.PeakReads,
			r.Reads,
			r.CatchUpTime.Round(time.Millisecond),
		)
	}
	return nil
}
