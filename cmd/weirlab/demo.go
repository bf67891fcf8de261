package main

// This file owns the command that demonstrates a cluster with drivers under faults.

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"weirwind/internal/lab"
	"weirwind/internal/lab/experiment"
)

// demoCommand demonstrates a cluster under faults.
type demoCommand struct {
	For     time.Duration `help:"How long the load lasts." default:"12s"`
	Rate    float64       `help:"Ops a second." default:"300"`
	Drivers int           `help:"Drivers." default:"2"`
	Log     string        `help:"A file for the drivers' logs." placeholder:"FILE"`
	Seed    uint64        `help:"Of the load." default:"1"`
	Slack   time.Duration `help:"Beyond an op's time its answer still counts." default:"50ms"`
	Report  string        `help:"The page that ends it." default:"weirlab-demo.html"`
}

// Run runs the demonstration: the primary is killed after a third of the time; after two thirds it is restarted and a
// replica is drained.
func (c *demoCommand) Run(out io.Writer) error {
	if c.For < time.Second || c.Rate <= 0 || c.Rate > 20000 || c.Drivers < 1 || c.Drivers > 50 {
		return fmt.Errorf("a demonstration lasts 1s at least, at up to 20000 ops a second, with up to 50 drivers")
	}
	cluster, err := lab.Start(lab.Options{Seed: c.Seed, ElectionTime: min(2*time.Second, c.For/6)})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	log, closeLog, err := logTo(c.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	serving, stopDrivers := context.WithCancel(context.Background())
	targets, wait, err := cluster.Drivers(serving, c.Drivers, log, nil)
	if err != nil {
		stopDrivers()
		return err
	}
	fmt.Fprintf(out, "a cluster of 5 members, %s is primary; %d drivers at %s; %g ops a second for %s\n",
		cluster.Primary(1), c.Drivers, strings.Join(targets, ", "), c.Rate, c.For)
	oldPrimary := cluster.Primary(1)
	result, seconds := c.run(ctx, out, cluster, targets, oldPrimary)
	stopDrivers()
	if err := wait(); err != nil {
		return err
	}
	summary(out, result)
	return c.report(out, cluster, oldPrimary, result, seconds)
}

// run runs the load on the drivers and injects the faults into the cluster.
func (c *demoCommand) run(
	ctx context.Context,
	out io.Writer,
	cluster *lab.Cluster,
	targets []string,
	oldPrimary string,
) (result lab.Result, seconds []*lab.OpStats) {
	kill := time.AfterFunc(c.For/3, func() {
		fmt.Fprintf(out, "      -- %s, the primary, is killed\n", oldPrimary)
		cluster.Inject("kill", oldPrimary)
	})
	defer kill.Stop()
	drain := time.AfterFunc(2*c.For/3, func() {
		replica := cluster.Replica(1)
		fmt.Fprintf(out, "      -- %s is primary; %s is back; %s is told to drain\n", cluster.Primary(1), oldPrimary, replica)
		cluster.Inject("heal", oldPrimary)
		cluster.Inject("drain", replica)
	})
	defer drain.Stop()
	fmt.Fprintln(out, "second  acked refused failed  lost   median      p99")
	load := lab.Load{
		Targets:  targets,
		Rate:     c.Rate,
		Duration: c.For,
		Mix:      lab.DefaultMix,
		Groups:   1,
		Seed:     c.Seed,
		Slack:    c.Slack,
	}
	result = load.Run(ctx, func(second int, stats *lab.OpStats) {
		seconds = append(seconds, stats)
		fmt.Fprintf(out, "%6d %6d %7d %6d %5d %8s %8s\n", second, stats.Outcomes[lab.Acked], stats.Outcomes[lab.Refused],
			stats.Outcomes[lab.Failed],
			stats.Outcomes[lab.Lost], stats.Quantile(50).Round(100*time.Microsecond),
			stats.Quantile(99).Round(100*time.Microsecond))
	})
	return result, seconds
}

// report writes the page and prints the audit's result.
func (c *demoCommand) report(
	out io.Writer,
	cluster *lab.Cluster,
	first string,
	result lab.Result,
	seconds []*lab.OpStats,
) error {
	row, err := socketsRow("demonstration", "two drivers", c.Drivers, c.Seed, lab.DefaultMix, result, seconds)
	if err != nil {
		return err
	}
	notes := []string{
		fmt.Sprintf(
			"%s of load at %g ops a second before %d drivers and five members. A third of the way in the primary, %s, "+
				"was killed; at two thirds it came back and a replica was told to drain. Of a second is counted what ended in it.",
			c.For,
			c.Rate,
			c.Drivers,
			first,
		),
	}
	if err := writeReport(out, c.Report, "weirlab demo", notes, []experiment.Run{row}, ""); err != nil {
		return err
	}
	return verdict(out, cluster.Audit(result))
}

// summary prints the outcomes of a load by op type.
func summary(out io.Writer, r lab.Result) {
	fmt.Fprintln(out, "op type     acked refused failed  lost   median      p99      worst")
	var names []string
	for name := range r.Kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		f := r.Kinds[name]
		fmt.Fprintf(out, "%-10s %6d %7d %6d %5d %8s %8s %10s\n", name, f.Outcomes[lab.Acked], f.Outcomes[lab.Refused],
			f.Outcomes[lab.Failed], f.Outcomes[lab.Lost], f.Quantile(50).Round(100*time.Microsecond),
			f.Quantile(99).Round(100*time.Microsecond), f.Quantile(100).Round(100*time.Microsecond))
	}
}

// verdict prints the audit's result; it returns an error if there are violations.
func verdict(out io.Writer, violations []string) error {
	if len(violations) == 0 {
		fmt.Fprintln(out, "audit: every op got one whole answer, no write ran twice, nothing came to a drained member")
		return nil
	}
	for _, b := range violations[:min(len(violations), 20)] {
		fmt.Fprintln(out, "audit:", b)
	}
	return fmt.Errorf("%d broken rules", len(violations))
}
