package main

// This file owns the command that changes the primary under load: by planned switchovers with and without hooks, and by
// killing it.

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/lab"
)

// switchCommand changes a group's primary under load.
type switchCommand struct {
	Drivers int           `help:"Drivers." default:"10"`
	Changes int           `help:"Of each kind." default:"5"`
	Rate    float64       `help:"Writes a second, all drivers together." default:"300"`
	Elect   time.Duration `help:"For which the cluster itself has no primary." default:"500ms"`
	Seed    uint64        `help:"Of the load." default:"1"`
}

// Run prints the gaps, outcomes and repeated writes for each kind of change; it returns an error if there is a
// violation.
func (c *switchCommand) Run(out io.Writer) error {
	if c.Drivers < 1 || c.Drivers > 100 || c.Changes < 1 || c.Changes > 200 || c.Rate <= 0 || c.Rate > 5000 ||
		c.Elect < 10*time.Millisecond {
		return fmt.Errorf("changes are of up to 100 drivers, 200 of each kind, at up to 5000 writes a second")
	}
	fmt.Fprintf(out, "%d drivers, %g writes a second, the cluster itself is without a primary for %s\n", c.Drivers, c.Rate,
		c.Elect)
	fmt.Fprintln(
		out,
		"kind              changes  acked refused failed  lost  ran twice   gap of the cluster   "+
			"gap that clients saw: median, worst   p99 of writes",
	)
	for _, kind := range []string{"planned, hooks", "planned, no hooks", "killed"} {
		if err := c.run(out, kind); err != nil {
			return err
		}
	}
	return nil
}

// change changes the primary in one of the three ways and returns the time for which the cluster had none.
func change(ctx context.Context, cluster *lab.Cluster, kind string, hooks *control.Client) (time.Duration, error) {
	old, from := cluster.Primary(1), time.Now()
	switch kind {
	case "planned, hooks":
		return cluster.Switchover(ctx, hooks, 1)
	case "planned, no hooks":
		cluster.Inject("demote", old)
	case "killed":
		cluster.Inject("kill", old)
	}
	for cluster.Primary(1) == "" {
		time.Sleep(time.Millisecond)
	}
	gap := time.Since(from)
	cluster.Inject("heal", old)
	return gap, nil
}

// run changes the primary repeatedly under load, and prints a line with the result.
func (c *switchCommand) run(out io.Writer, kind string) error {
	cluster, err := lab.Start(lab.Options{Seed: c.Seed, ElectionTime: c.Elect})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	folder, err := os.MkdirTemp("", "weirlab")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	drivers, err := cluster.StartHookedDrivers(ctx, c.Drivers, folder, io.Discard, nil)
	if err != nil {
		return err
	}
	result := make(chan lab.Result, 1)
	begin := time.Now()
	go func() { result <- c.load(drivers.Addresses).Run(ctx, nil) }()
	var gaps []time.Duration // times for which the cluster had no primary
	for i := range c.Changes {
		time.Sleep(time.Until(begin.Add(time.Duration(i)*c.period() + c.period()/2)))
		gap, err := change(ctx, cluster, kind, drivers.Clients[i%c.Drivers])
		if err != nil {
			return err
		}
		gaps = append(gaps, gap)
	}
	r := <-result
	end()
	if err := drivers.Wait(); err != nil {
		return err
	}
	c.print(out, kind, cluster, r, gaps)
	if violations := cluster.Audit(r); len(violations) > 0 {
		return fmt.Errorf("%s: %s", kind, violations[0])
	}
	return nil
}

// period returns the time between two changes.
func (c *switchCommand) period() time.Duration { return c.Elect + time.Second }

// load returns the load of writes that runs during all changes.
func (c *switchCommand) load(targets []string) lab.Load {
	return lab.Load{
		Targets:  targets,
		Rate:     c.Rate,
		Duration: time.Duration(c.Changes+1) * c.period(),
		Mix:      []lab.OpKind{{Name: "write", Share: 1, Write: true, Timeout: 4 * time.Second}},
		Groups:   1,
		Seed:     c.Seed,
		Slack:    time.Second,
	}
}

// print prints the line of a kind of change; gaps are the times for which the cluster had no primary.
func (c *switchCommand) print(out io.Writer, kind string, cluster *lab.Cluster, r lab.Result, gaps []time.Duration) {
	var clientGaps []time.Duration // longest times without an acknowledged write, by change
	for i := range c.Changes {
		begin := time.Duration(i)*c.period() + c.period()/4
		clientGaps = append(clientGaps, r.LongestGap(begin, begin+c.period()))
	}
	slices.Sort(clientGaps)
	slices.Sort(gaps)
	s := r.Kinds["write"]
	round := func(duration time.Duration) time.Duration { return duration.Round(time.Millisecond) }
	fmt.Fprintf(out, "%-17s %7d %6d %7d %6d %5d %10d   %18s   %24s, %s   %s\n", kind, c.Changes, s.Outcomes[lab.Acked],
		s.Outcomes[lab.Refused], s.Outcomes[lab.Failed], s.Outcomes[lab.Lost], cluster.RepeatedWrites(),
		round(gaps[len(gaps)/2]), round(clientGaps[len(clientGaps)/2]), round(clientGaps[len(clientGaps)-1]),
		round(s.Quantile(99)))
}
