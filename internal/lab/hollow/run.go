package hollow

// This file owns a run: its processes and its phases.

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"weirwind/internal/controlplane/controlmsg"
)

const (
	agentsPerProcess = 250
	maxMemory        = 14 << 30 // bytes of all processes together; a run that exceeds it is stopped
	pollPeriod       = 100 * time.Millisecond
	httpTimeout      = 10 * time.Second
	maxHerdSize      = 400 // maximum number of drivers that restart simultaneously
)

// Options are the options of a run.
type Options struct {
	Drivers   int
	Databases int // number of databases, with three members each
	Cores     int // number of core machines
	// Renewals is the minimum number of renewals of each lease in a phase, which take about one second each; the steady
	// phase has three times as many.
	Renewals int
	Timeout  time.Duration // time limit for all processes to know a phase's changes
	Net      int           // second byte of the first address; the following networks are used too
	Port     int           // first of four consecutive ports
	Log      io.Writer     // receives the processes' logs; nil: none
}

// run is the state of a run.
type run struct {
	Options
	childPlan
	folder  string
	cores   []*child
	drivers []*child
	members []*child
	http    http.Client
	config  []byte // the latest accepted configuration
}

// coreStatus holds the fields of a core machine's status that a run reads.
type coreStatus struct {
	CoreLinks   int
	MemberCount int
	DriverCount int
	Traffic     map[string]controlmsg.Traffic
}

// phase is a part of a run.
type phase struct {
	name         string
	events       int                            // number of changes
	makeChanges  func(events int) error         // nil: no changes, and the phase begins when there are no more updates
	changesKnown func(events int) (bool, error) // reports whether all processes know the changes; nil: not measured
}

// phases returns the phases of a run, in order.
func (r *run) phases(ctx context.Context) []phase {
	drivers := r.Options.Drivers
	return []phase{
		{"start", drivers, func(int) error { return r.start(ctx) }, r.allKnown},
		{"steady", 0, nil, nil},
		{"configuration", 1, r.changeConfig, r.configReceived},
		{"member changes", max(r.Databases*membersPerGroup/100, 1), r.changeMembers, nil},
		{"driver restarts", max(drivers/100, 1), r.restartDrivers, r.allKnown},
		{"herd", min(maxHerdSize, drivers/2), r.restartDrivers, r.allKnown},
	}
}

// Run executes all phases at one size and prints the result of each. With an error it returns the rows of the phases
// that are complete.
func Run(ctx context.Context, options Options, out io.Writer) (rows []Row, err error) {
	r := &run{
		Options:   options,
		childPlan: childPlan{Net: options.Net, Port: options.Port},
		http:      http.Client{Timeout: httpTimeout},
	}
	for n := range options.Cores {
		r.childPlan.Cores = append(r.childPlan.Cores, net.JoinHostPort(r.coreIP(n), strconv.Itoa(options.Port+3)))
	}
	if r.folder, err = os.MkdirTemp("", "hollow"); err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(r.folder) }()
	defer r.stop()
	for _, p := range r.phases(ctx) {
		result, err := r.runPhase(ctx, p)
		if err != nil {
			return rows, err
		}
		added := r.newRows(result)
		rows = append(rows, added...)
		printPhase(out, added)
	}
	return rows, nil
}

// runPhase makes a phase's changes, waits until they are known and all leases are renewed, and takes samples before and
// after.
func (r *run) runPhase(ctx context.Context, step phase) (result phaseResult, err error) {
	renewals := r.Renewals * r.Options.Drivers
	if step.makeChanges == nil {
		if err := r.awaitQuiet(ctx); err != nil {
			return result, fmt.Errorf("before %s: %w", step.name, err)
		}
		renewals *= 3 // a longer phase for more precise rates
	}
	result = phaseResult{name: step.name, events: step.events}
	if result.before, err = r.sample(); err != nil {
		return result, err
	}
	began := time.Now()
	if step.makeChanges != nil {
		if err := step.makeChanges(step.events); err != nil {
			return result, fmt.Errorf("%s: %w", step.name, err)
		}
	}
	if step.changesKnown != nil {
		if err := r.pollUntil(ctx, func() (bool, error) { return step.changesKnown(step.events) }); err != nil {
			return result, fmt.Errorf("%s: %w", step.name, err)
		}
		result.knownAfter = time.Since(began).Seconds()
	}
	target := countRenewals(result.before) + renewals
	if err := r.pollUntil(ctx, func() (bool, error) { return r.renewalsReached(target) }); err != nil {
		return result, fmt.Errorf("%s: %w", step.name, err)
	}
	result.after, err = r.sample()
	result.seconds = time.Since(began).Seconds()
	return result, err
}

func sleep(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(max(duration, 0)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// pollUntil polls a condition until it holds, or returns an error after the timeout.
func (r *run) pollUntil(ctx context.Context, condition func() (bool, error)) error {
	for began := time.Now(); ; {
		if ok, err := condition(); ok || err != nil {
			return err
		}
		if time.Since(began) > r.Timeout {
			return fmt.Errorf("not known everywhere after %s", r.Timeout)
		}
		if err := sleep(ctx, pollPeriod); err != nil {
			return err
		}
	}
}

// start starts all processes and submits the first configuration until it is accepted.
func (r *run) start(ctx context.Context) error {
	for n := range r.childPlan.Cores {
		file := filepath.Join(r.folder, fmt.Sprintf("core%d.conf", n))
		if err := os.WriteFile(file, []byte(strings.Join(r.coreSettings(n), "\n")+"\n"), 0o600); err != nil {
			return err
		}
		if err := r.addChild(&r.cores, "core", file, 0, 0); err != nil {
			return err
		}
	}
	for first := 0; first < r.Options.Drivers; first += agentsPerProcess {
		if err := r.addChild(&r.drivers, "drivers", "", first, min(agentsPerProcess, r.Options.Drivers-first)); err != nil {
			return err
		}
	}
	if err := r.addChild(&r.members, "members", "", 0, r.Databases*membersPerGroup); err != nil {
		return err
	}
	return r.pollUntil(ctx, func() (bool, error) { return r.changeConfig(1) == nil, nil })
}

// addChild starts a process in a role, with a range of the agents or members.
func (r *run) addChild(to *[]*child, role, file string, first, count int) error {
	plan := r.childPlan
	plan.First, plan.Count = first, count
	c, err := startChild(role, file, &plan, r.Log)
	if err == nil {
		*to = append(*to, c)
	}
	return err
}

// stop ends all processes.
func (r *run) stop() {
	for _, c := range slices.Concat(r.cores, r.drivers, r.members) {
		c.kill()
	}
}

// coreSettings returns the lines of a core machine's settings file.
func (r *run) coreSettings(n int) []string {
	seeds := r.childPlan.Cores[:min(3, r.Options.Cores)]
	return []string{fmt.Sprint("hostname=core-", n), fmt.Sprintf("zone=zone-%d", n), "region=r", "init=true",
		"tolerate.nodes=1", "beatMs=1200", "limits.memMb=4000", "listen.ctl=" + r.childPlan.Cores[n], "ip=" + r.coreIP(n),
		fmt.Sprintf("portRange=%d,%d", r.childPlan.Port, r.childPlan.Port+2), "peers=" + strings.Join(seeds, ","),
		"datadir=" + filepath.Join(r.folder, fmt.Sprint("core", n))}
}
