// Command weirlab is the laboratory on sockets: a stand-in cluster, an open-loop load, and a demonstration of both with
// two drivers. It owns the command line and what is printed. It must never judge by anything but the audit.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"weirwind/internal/cli"
	"weirwind/internal/lab"
	"weirwind/internal/lab/experiment"
	"weirwind/internal/lab/hollow"
	"weirwind/internal/lab/sessionrun"
)

type commands struct {
	Demo       demoCommand       `cmd:"" help:"Start a cluster, two drivers and a load, kill the primary, drain a replica, show what happens, and end with an audit."`
	Serve      serveCommand      `cmd:"" help:"Start a cluster and its list of members; faults come as lines on standard input, such as 'kill g1m1'."`
	Emulate    emulateCommand    `cmd:"" help:"Play drivers before members in virtual time, the module and baselines side by side."`
	Experiment experimentCommand `cmd:"" help:"Play the experiments of a file, side by side, and draw what came of them."`
	Compare    compareCommand    `cmd:"" help:"Compare two sets of results, or two variants of one, with 95 % intervals."`
	Report     reportCommand     `cmd:"" help:"Draw a page of results."`
	Trust      trustCommand      `cmd:"" help:"Play the same scenarios on sockets and in virtual time, and compare."`
	Switch     switchCommand     `cmd:"" help:"Change the primary again and again under load, with hooks, without, and by killing it; count gaps and effects."`
	Storm      stormCommand      `cmd:"" help:"Restart a stand-in registry under many clients that follow it, ours and naive ones."`
	Flock      flockCommand      `cmd:"" help:"Measure how drivers find out about each other, in virtual time."`
	Fleet      fleetCommand      `cmd:"" help:"Play a script with processes of the program that know each other, and draw who saw whom when."`
	Sessions   sessionsCommand   `cmd:"" help:"Play an evening of open websocket sessions with processes: a site is pulled, another drained, every message audited."`
	Hollow     hollowCommand     `cmd:"" help:"Measure what core machines and agents cost by size: real processes, hollow drivers and members, counted by purpose."`
	Load       loadCommand       `cmd:"" help:"Ask drivers at a rate that does not wait for them."`
}

func main() {
	if code, ok := sessionrun.Role(); ok { // one of an evening's processes
		os.Exit(code)
	}
	if code, ok := hollow.Role(); ok {
		os.Exit(code)
	}
	os.Exit(command(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// command carries a call out and gives the exit code; a broken rule is 1.
func command(args []string, in io.Reader, out, problems io.Writer) int {
	return cli.Run("weirlab", "The laboratory of weirwind.", &commands{}, args, in, out, problems)
}

type demoCommand struct {
	For     time.Duration `help:"How long the load lasts." default:"12s"`
	Rate    float64       `help:"Ops a second." default:"300"`
	Drivers int           `help:"Drivers." default:"2"`
	Log     string        `help:"A file for the drivers' logs." placeholder:"FILE"`
	Seed    uint64        `help:"Of the load." default:"1"`
	Slack   time.Duration `help:"Beyond an op's time its answer still counts." default:"50ms"`
	Report  string        `help:"The page that ends it." default:"weirlab-demo.html"`
}

// Run plays the demonstration: a third of the time in, the primary is killed; two thirds in, it is back and a replica
// drains.
func (c *demoCommand) Run(out io.Writer) error {
	if c.For < time.Second || c.Rate <= 0 || c.Rate > 20000 || c.Drivers < 1 || c.Drivers > 50 {
		return fmt.Errorf("a demonstration lasts 1s at least, at up to 20000 ops a second, with up to 50 drivers")
	}
	cluster, err := lab.Start(lab.Options{Seed: c.Seed, ElectionTime: min(2*time.Second, c.For/6)})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	log, shut, err := logTo(c.Log)
	if err != nil {
		return err
	}
	defer shut()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	serving, end := context.WithCancel(context.Background())
	targets, wait, err := cluster.Drivers(serving, c.Drivers, log, nil)
	if err != nil {
		end()
		return err
	}
	fmt.Fprintf(out, "a cluster of 5 members, %s is primary; %d drivers at %s; %g ops a second for %s\n",
		cluster.Primary(1), c.Drivers, strings.Join(targets, ", "), c.Rate, c.For)
	first := cluster.Primary(1)
	result, seconds := c.play(ctx, out, cluster, targets, first)
	end()
	if err := wait(); err != nil {
		return err
	}
	summary(out, result)
	return c.report(out, cluster, first, result, seconds)
}

// play puts the load before the drivers and carries out what happens to the cluster.
func (c *demoCommand) play(
	ctx context.Context,
	out io.Writer,
	cluster *lab.Cluster,
	targets []string,
	first string,
) (result lab.Result, seconds []*lab.OpStats) {
	kill := time.AfterFunc(c.For/3, func() {
		fmt.Fprintf(out, "      -- %s, the primary, is killed\n", first)
		cluster.Inject("kill", first)
	})
	defer kill.Stop()
	drain := time.AfterFunc(2*c.For/3, func() {
		replica := cluster.Replica(1)
		fmt.Fprintf(out, "      -- %s is primary; %s is back; %s is told to drain\n", cluster.Primary(1), first, replica)
		cluster.Inject("heal", first)
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
	result = load.Run(ctx, func(second int, f *lab.OpStats) {
		seconds = append(seconds, f)
		fmt.Fprintf(out, "%6d %6d %7d %6d %5d %8s %8s\n", second, f.Outcomes[lab.Acked], f.Outcomes[lab.Refused], f.Outcomes[lab.Failed],
			f.Outcomes[lab.Lost], f.Quantile(50).Round(100*time.Microsecond), f.Quantile(99).Round(100*time.Microsecond))
	})
	return result, seconds
}

// report draws the page and gives the audit's verdict.
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

// logTo opens the file for processes' logs; without a name they go nowhere.
func logTo(file string) (io.Writer, func(), error) {
	if file == "" {
		return io.Discard, func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, nil, err
	}
	return f, func() { _ = f.Close() }, nil
}

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

func verdict(out io.Writer, broken []string) error {
	if len(broken) == 0 {
		fmt.Fprintln(out, "audit: every op got one whole answer, no write ran twice, nothing came to a drained member")
		return nil
	}
	for _, b := range broken[:min(len(broken), 20)] {
		fmt.Fprintln(out, "audit:", b)
	}
	return fmt.Errorf("%d broken rules", len(broken))
}

type serveCommand struct {
	Groups  int           `help:"Groups." default:"1"`
	Members int           `help:"Members a group." default:"5"`
	Work    time.Duration `help:"Mean time of an op." default:"3ms"`
	Lag     time.Duration `help:"Of replicas." default:"20ms"`
	Elect   time.Duration `help:"From a primary's end to the next one." default:"2s"`
	Config  string        `help:"Write a driver's configuration to this file." placeholder:"FILE"`
	Listen  string        `help:"The address in that configuration." default:"127.0.0.1:6432"`
}

// Run serves until its input ends or it is interrupted.
func (c *serveCommand) Run(in io.Reader, out io.Writer) error {
	if c.Groups < 1 || c.Members < 1 || c.Groups*c.Members > 500 {
		return fmt.Errorf("a cluster has up to 500 members")
	}
	cluster, err := lab.Start(lab.Options{Groups: c.Groups, Members: c.Members, ServiceTime: c.Work, ReplicationLag: c.Lag, ElectionTime: c.Elect})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	if c.Config != "" {
		if err := os.WriteFile(c.Config, cluster.Configuration("n0", c.Listen, 1, 0), 0o600); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "discovery at %s; kill, heal, hang, free, slow, drain or undrain a member\n", cluster.Discovery())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	lines := make(chan string)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(in); s.Scan(); {
			lines <- s.Text()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case text, ok := <-lines:
			if !ok {
				return nil
			}
			what, id, _ := strings.Cut(strings.TrimSpace(text), " ")
			fmt.Fprintf(out, "%s %s: %v\n", what, id, map[bool]string{true: "done", false: "not known"}[cluster.Inject(what, id)])
		}
	}
}

type loadCommand struct {
	Target []string      `help:"A driver's address; may stand several times." required:"" placeholder:"ADDRESS"`
	Rate   float64       `help:"Ops a second, all targets together." default:"100"`
	For    time.Duration `help:"How long." default:"10s"`
	Groups int           `help:"Groups, numbered from 1." default:"1"`
	Mix    string        `help:"A file: a JSON array of name, share, write, timeout (nanoseconds)." placeholder:"FILE"`
	Seed   uint64        `help:"Of arrivals." default:"1"`
}

// Run plays the load and prints what came of it. Latency counts from the moment at which an op was due.
func (c *loadCommand) Run(out io.Writer) error {
	mix := lab.DefaultMix
	if c.Mix != "" {
		text, err := os.ReadFile(c.Mix)
		if err != nil {
			return err
		}
		mix = nil
		if err := json.Unmarshal(text, &mix); err != nil {
			return fmt.Errorf("%s: no mix: %w", c.Mix, err)
		}
		if len(mix) == 0 {
			return fmt.Errorf("%s: no mix: <nil>", c.Mix)
		}
		for _, k := range mix {
			if k.Name == "" || k.Share <= 0 || k.Timeout < time.Millisecond {
				return fmt.Errorf("%s: op type %q wants a name, a share and a timeout of 1 ms at least", c.Mix, k.Name)
			}
		}
	}
	if c.Rate <= 0 || c.For <= 0 {
		return fmt.Errorf("a load wants a rate and a time")
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	result := lab.Load{Targets: c.Target, Rate: c.Rate, Duration: c.For, Mix: mix, Groups: c.Groups, Seed: c.Seed}.Run(ctx, nil)
	summary(out, result)
	for name, f := range result.Kinds {
		if f.Skipped > 0 {
			fmt.Fprintf(out, "%s: %d ops were not asked, too many were open\n", name, f.Skipped)
		}
	}
	return nil
}

type stormCommand struct {
	Clients int           `help:"Clients." default:"1000"`
	Members int           `help:"In the registry." default:"200"`
	Away    time.Duration `help:"The registry's absence." default:"1s"`
}

// Run plays the storm twice and prints what the registry had to bear.
func (c *stormCommand) Run(out io.Writer) error {
	if c.Clients < 1 || c.Clients > 5000 || c.Members < 1 || c.Members > 50000 {
		return fmt.Errorf("a storm is of up to 5000 clients and 50000 members")
	}
	fmt.Fprintf(out, "%d clients, %d members; the registry is away for %s and loses its history\n", c.Clients, c.Members,
		c.Away)
	for _, naive := range []bool{false, true} {
		r, err := lab.Storm{Clients: c.Clients, Members: c.Members, Downtime: c.Away, Naive: naive, Timeout: 3 * time.Minute}.Run()
		if err != nil {
			return err
		}
		fmt.Fprintf(
			out,
			"%-6s %5d whole lists a second at the peak, %5d in all, all current after %s\n",
			map[bool]string{false: "ours", true: "naive"}[naive],
			r.Peak,
			r.Reads,
			r.Until.Round(time.Millisecond),
		)
	}
	return nil
}
