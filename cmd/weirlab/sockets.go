package main

// This file owns what a play on sockets leaves in the form of experiments, and the command that lays sockets and the
// emulator side by side. It must never fill in what was not counted.

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"weirwind/internal/lab"
	"weirwind/internal/lab/emulator"
	"weirwind/internal/lab/experiment"
	"weirwind/logic"
)

// socketsRow makes a row of a load's result. Of a second it knows only what ended in it.
func socketsRow(
	name, variant string,
	drivers int,
	seed uint64,
	mix []lab.OpKind,
	r lab.Result,
	seconds []*lab.OpStats,
) (experiment.Run, error) {
	run := experiment.Run{
		Experiment: name,
		Scenario:   name,
		Variant:    variant,
		Build:      "this",
		Drivers:    int32(drivers),
		Seed:       seed,
	}
	asked, served := 0.0, 0.0
	for _, k := range mix {
		f := r.Kinds[k.Name]
		latency, err := f.Latency.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
		if err != nil {
			return run, err
		}
		t := experiment.Type{
			Name:    k.Name,
			Value:   max(k.Value, 1),
			Acked:   int64(f.Outcomes[lab.Acked]),
			Refused: int64(f.Outcomes[lab.Refused]),
			Failed:  int64(f.Outcomes[lab.Failed] + f.Outcomes[lab.Lost]),
			Latency: latency,
		}
		for _, bar := range f.Latency.Distribution() {
			if k.Target == 0 || bar.To <= k.Target.Microseconds() {
				t.WithinTarget += bar.Count
			}
		}
		n := t.Acked + t.Refused + t.Failed
		run.Ops += n
		asked, served = asked+float64(n)*t.Value, served+float64(t.WithinTarget)*t.Value
		run.Types = append(run.Types, t)
	}
	run.ValueShare = served / max(asked, 1)
	for _, f := range seconds {
		s := experiment.Second{
			Acked:   int64(f.Outcomes[lab.Acked]),
			Refused: int64(f.Outcomes[lab.Refused]),
			Failed:  int64(f.Outcomes[lab.Failed] + f.Outcomes[lab.Lost]),
		}
		s.Arrivals = s.Acked + s.Refused + s.Failed
		s.ValueShare = float64(s.Acked) / float64(max(s.Arrivals, 1))
		run.Seconds = append(run.Seconds, s)
	}
	return run, nil
}

// writeReport draws rows into a file, and their pictures into a folder where one is named.
func writeReport(out io.Writer, path, title string, notes []string, rows []experiment.Run, pictures string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // a write that failed has said so
	if err := experiment.WritePage(f, title, notes, rows, "", pictures); err != nil {
		return err
	}
	fmt.Fprintf(out, "report: %s\n", path)
	return nil
}

// emulated is the scenario in virtual time that a play on sockets is compared with; a way takes so many milliseconds.
func (c *trustCommand) emulated(kind string, drivers int, o lab.Options, way float64) emulator.Setup {
	s := emulator.Setup{
		Drivers:          drivers,
		Groups:           o.Groups,
		Members:          o.Members,
		Cores:            o.Cores,
		ServiceTime:      ms(o.ServiceTime),
		ReplicationLag:   ms(o.ReplicationLag),
		Duration:         ms(c.For),
		Load:             c.Rate * o.ServiceTime.Seconds() / float64(o.Groups*o.Members*o.Cores),
		Policy:           "module",
		Seed:             o.Seed,
		Zones:            1,
		ZoneLatency:      way,
		CrossZoneLatency: way,
		Handshake:        way,
		ElectionTime:     ms(o.ElectionTime) - 1500, // the emulator's own watch takes 1.5 s of it
	}
	for _, k := range lab.DefaultMix {
		t := logic.OpType{Need: logic.Any, LatencyTarget: ms(k.Target), OpTimeout: ms(k.Timeout), Value: k.Value}
		switch k.Name {
		case "recent":
			t.Need, t.MaxAge = logic.Bounded, 200
		case "write":
			t.Need, t.Effect = logic.Write, logic.NonRetryable
		}
		s.Mix = append(s.Mix, emulator.OpKind{Name: k.Name, Share: k.Share, OpType: t})
	}
	if kind == "rough" {
		s.Faults = []emulator.Fault{{At: ms(c.For) / 4, Kind: "kill", Target: "g1m1"},
			{At: ms(c.For) * 3 / 4, Kind: "slow", Target: "g1m3"}}
	}
	return s
}

type trustCommand struct {
	For    time.Duration `help:"Of each play." default:"10s"`
	Rate   float64       `help:"Ops a second." default:"400"`
	Seeds  int           `help:"Plays of each kind." default:"3"`
	Report string        `help:"A page with both." placeholder:"FILE"`
}

// Run plays the same calm and rough scenario on sockets and in virtual time and compares them.
func (c *trustCommand) Run(out io.Writer) error {
	if c.For < 3*time.Second || c.Rate <= 0 || c.Rate > 5000 || c.Seeds < 1 || c.Seeds > 50 {
		return fmt.Errorf("a comparison lasts 3s at least, at up to 5000 ops a second, over up to 50 seeds")
	}
	const drivers = 2
	o := lab.Options{
		Groups:         1,
		Members:        5,
		Cores:          4,
		ServiceTime:    8 * time.Millisecond,
		ReplicationLag: 20 * time.Millisecond,
		ElectionTime:   2 * time.Second,
	}
	idle := o // an op nearly without work: what remains are the ways, the driver and the machine's timers
	idle.ServiceTime = 200 * time.Microsecond
	row, err := c.sockets("idle", drivers, idle)
	if err != nil {
		return err
	}
	way := max((row.Mean()-ms(idle.ServiceTime))/2, 0.01)
	fmt.Fprintf(out, "a way on this machine takes %.2f ms\n", way)
	var real, virtual []experiment.Run
	for _, kind := range []string{"calm", "rough"} {
		for seed := range uint64(c.Seeds) {
			o.Seed = seed + 1
			row, err := c.sockets(kind, drivers, o)
			if err != nil {
				return err
			}
			real = append(real, row)
			s := c.emulated(kind, drivers, o, way)
			run, err := experiment.RunPlan(experiment.Plan{Experiment: kind, Scenario: kind, Variant: "emulator", Setup: s}, "this")
			if err != nil {
				return err
			}
			run.Load = 0 // sockets know a rate alone
			virtual = append(virtual, run)
			fmt.Fprintf(out, "%s, seed %d: worth %.4f on sockets, %.4f in virtual time\n", kind, seed+1, row.ValueShare, run.ValueShare)
		}
	}
	var shown []experiment.Difference
	for _, d := range experiment.Compare(real, virtual, true) {
		if d.Measure.OnSockets {
			shown = append(shown, d)
		}
	}
	if err := experiment.WriteComparison(out, "sockets", "emulator", shown); err != nil || c.Report == "" {
		return err
	}
	return writeReport(out, c.Report, "Sockets beside the emulator", nil, append(real, virtual...), "")
}

func (c *trustCommand) sockets(kind string, drivers int, o lab.Options) (experiment.Run, error) {
	cluster, err := lab.Start(o)
	if err != nil {
		return experiment.Run{}, err
	}
	defer cluster.Stop()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	targets, wait, err := cluster.Drivers(ctx, drivers, io.Discard, nil)
	if err != nil {
		return experiment.Run{}, err
	}
	if kind == "rough" {
		first, third := cluster.Primary(1), "g1m3"
		defer time.AfterFunc(c.For/4, func() { cluster.Inject("kill", first) }).Stop()
		defer time.AfterFunc(3*c.For/4, func() { cluster.Inject("slow", third) }).Stop()
	}
	var seconds []*lab.OpStats
	r := lab.Load{
		Targets:  targets,
		Rate:     c.Rate,
		Duration: c.For,
		Mix:      lab.DefaultMix,
		Groups:   1,
		Seed:     o.Seed,
	}.Run(
		ctx,
		func(_ int, f *lab.OpStats) { seconds = append(seconds, f) },
	)
	end()
	if err := wait(); err != nil {
		return experiment.Run{}, err
	}
	if broken := cluster.Audit(r); len(broken) > 0 {
		return experiment.Run{}, fmt.Errorf("on sockets: %s", broken[0])
	}
	return socketsRow(kind, "sockets", drivers, o.Seed, lab.DefaultMix, r, seconds)
}
