package main

// This file owns the command that runs a load on drivers.

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"weirwind/internal/lab"
)

// loadCommand runs an open-loop load.
type loadCommand struct {
	Target []string      `help:"A driver's address; may stand several times." required:"" placeholder:"ADDRESS"`
	Rate   float64       `help:"Ops a second, all targets together." default:"100"`
	For    time.Duration `help:"How long." default:"10s"`
	Groups int           `help:"Groups, numbered from 1." default:"1"`
	Mix    string        `help:"A file: a JSON array of name, share, write, timeout (nanoseconds)." placeholder:"FILE"`
	Seed   uint64        `help:"Of arrivals." default:"1"`
}

// Run runs the load and prints the outcomes. Latency is measured from each op's intended time.
func (c *loadCommand) Run(out io.Writer) error {
	mix, err := c.readMix()
	if err != nil {
		return err
	}
	if c.Rate <= 0 || c.For <= 0 {
		return fmt.Errorf("a load wants a rate and a time")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	load := lab.Load{Targets: c.Target, Rate: c.Rate, Duration: c.For, Mix: mix, Groups: c.Groups, Seed: c.Seed}
	result := load.Run(ctx, nil)
	summary(out, result)
	for name, f := range result.Kinds {
		if f.Skipped > 0 {
			fmt.Fprintf(out, "%s: %d ops were not sent, as too many were in flight\n", name, f.Skipped)
		}
	}
	return nil
}

// readMix reads the file of the mix; without a file it returns the default mix.
func (c *loadCommand) readMix() ([]lab.OpKind, error) {
	if c.Mix == "" {
		return lab.DefaultMix, nil
	}
	text, err := os.ReadFile(c.Mix)
	if err != nil {
		return nil, err
	}
	var mix []lab.OpKind
	if err := json.Unmarshal(text, &mix); err != nil {
		return nil, fmt.Errorf("%s: invalid mix: %w", c.Mix, err)
	}
	if len(mix) == 0 {
		return nil, fmt.Errorf("%s: the mix is empty", c.Mix)
	}
	for _, k := range mix {
		if k.Name == "" || k.Share <= 0 || k.Timeout < time.Millisecond {
			return nil, fmt.Errorf("%s: op type %q needs a name, a share and a timeout of at least 1 ms", c.Mix, k.Name)
		}
	}
	return mix, nil
}
