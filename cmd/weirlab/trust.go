package main

// This file owns the command that validates the emulator by comparing it with runs on sockets.

import (
	"context"
	"fmt"
	"io"
	"time"

	"weirwind/internal/lab"
	"weirwind/internal/lab/emulator"
	"weirwind/internal/lab/experiment"
	"weirwind/logic"
)

const trustDrivers = 2

// trustCommand compares the emulator with runs on sockets.
type trustCommand struct {
	For    time.Duration `help:"Of each play." default:"10s"`
	Rate   float64       `help:"Ops a second." default:"400"`
	Seeds  int           `help:"Plays of each kind." default:"3"`
	Report string        `help:"A page with both." placeholder:"FILE"`
}

// Run runs the same scenarios, with and without faults, on sockets and in virtual time, and compares the results.
func (c *trustCommand) Run(out io.Writer) error {
	if c.For < 3*time.Second || c.Rate <= 0 || c.Rate > 5000 || c.Seeds < 1 || c.Seeds > 50 {
		return fmt.Errorf("a comparison lasts 3s at least, at up to 5000 ops a second, over up to 50 seeds")
	}
	o := lab.Options{
		Groups:         1,
		Members:        5,
		Cores:          4,
		ServiceTime:    8 * time.Millisecond,
		ReplicationLag: 20 * time.Millisecond,
		ElectionTime:   2 * time.Second,
	}
	latency, err := c.measureLatency(o)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "a way on this machine takes %.2f ms\n", latency)
	var real, virtual []experiment.Run
	for _, kind := range []string{"calm", "rough"} {
		for seed := range uint64(c.Seeds) {
			o.Seed = seed + 1
			onSockets, err := c.sockets(kind, o)
			if err != nil {
				return err
			}
			emulated, err := c.emulate(kind, o, latency)
			if err != nil {
				return err
			}
			real, virtual = append(real, onSockets), append(virtual, emulated)
			fmt.Fprintf(out, "%s, seed %d: worth %.4f on sockets, %.4f in virtual time\n", kind, seed+1, onSockets.ValueShare,
				emulated.ValueShare)
		}
	}
	var compared []experiment.Difference
	for _, d := range experiment.Compare(real, virtual, true) {
		if d.Measure.OnSockets {
			compared = append(compared, d)
		}
	}
	if err := experiment.WriteComparison(out, "sockets", "emulator", compared); err != nil || c.Report == "" {
		return err
	}
	return writeReport(out, c.Report, "Sockets beside the emulator", nil, append(real, virtual...), "")
}

// measureLatency measures the one-way latency on this machine, in milliseconds, by ops with a very short service time:
// the rest of their latency is the round trip, the driver's overhead and the machine's timers.
func (c *trustCommand) measureLatency(options lab.Options) (float64, error) {
	options.ServiceTime = 200 * time.Microsecond
	row, err := c.sockets("idle", options)
	if err != nil {
		return 0, err
	}
	return max((row.Mean()-ms(options.ServiceTime))/2, 0.01), nil
}

// emulate runs a scenario in virtual time.
func (c *trustCommand) emulate(kind string, options lab.Options, latency float64) (experiment.Run, error) {
	setup := c.emulatorSetup(kind, options, latency)
	plan := experiment.Plan{Experiment: kind, Scenario: kind, Variant: "emulator", Setup: setup}
	run, err := experiment.RunPlan(plan, "this")
	run.Load = 0 // runs on sockets have a rate, and no load
	return run, err
}

// sockets runs a scenario on sockets and audits it.
func (c *trustCommand) sockets(kind string, options lab.Options) (experiment.Run, error) {
	cluster, err := lab.Start(options)
	if err != nil {
		return experiment.Run{}, err
	}
	defer cluster.Stop()
	ctx, end := context.WithCancel(context.Background())
	defer end()
	targets, wait, err := cluster.Drivers(ctx, trustDrivers, io.Discard, nil)
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
		Seed:     options.Seed,
	}.Run(
		ctx,
		func(_ int, stats *lab.OpStats) { seconds = append(seconds, stats) },
	)
	end()
	if err := wait(); err != nil {
		return experiment.Run{}, err
	}
	if violations := cluster.Audit(r); len(violations) > 0 {
		return experiment.Run{}, fmt.Errorf("on sockets: %s", violations[0])
	}
	return socketsRow(kind, "sockets", trustDrivers, options.Seed, lab.DefaultMix, r, seconds)
}

// emulatorSetup returns the setup in virtual time with which a run on sockets is compared; latency is one-way, in
// milliseconds.
func (c *trustCommand) emulatorSetup(kind string, options lab.Options, latency float64) emulator.Setup {
	s := emulator.Setup{
		Drivers:          trustDrivers,
		Groups:           options.Groups,
		Members:          options.Members,
		Cores:            options.Cores,
		ServiceTime:      ms(options.ServiceTime),
		ReplicationLag:   ms(options.ReplicationLag),
		Duration:         ms(c.For),
		Load:             c.Rate * options.ServiceTime.Seconds() / float64(options.Groups*options.Members*options.Cores),
		Policy:           emulator.PolicyModule,
		Seed:             options.Seed,
		Zones:            1,
		ZoneLatency:      latency,
		CrossZoneLatency: latency,
		Handshake:        latency,
		ElectionTime:     ms(options.ElectionTime) - 1500, // the emulator takes 1.5 s to detect a failure
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
