package experiment

// This file owns the running of plans side by side, their progress, and going on after an interruption. No run is
// repeated whose result is there, and no result is taken for one of another setup or build.

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/lab/emulator"
)

const (
	progressPeriod = 5 * time.Second
	resultsFile    = "results.parquet"
	runsFolder     = "runs"
)

// Runner runs plans and keeps their results in a folder.
type Runner struct {
	Folder string
	Build  string    // the name of the build that runs
	Cores  int       // to use
	Out    io.Writer // for progress
}

// Run runs the plans that have no result in the folder and gives all rows in the order of the plans. It ends early with
// the context; the results until then stay.
func (r Runner) Run(ctx context.Context, plans []Plan) ([]Run, error) {
	if err := os.MkdirAll(filepath.Join(r.Folder, runsFolder), 0o755); err != nil {
		return nil, err
	}
	rows, missing := r.loadResults(plans)
	fmt.Fprintf(r.Out, "%d runs, %d of them are there already\n", len(plans), len(plans)-len(missing))
	p := newProgress(r.Out, plans, missing)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(r.Cores, 1))
	workers := max(1, r.Cores/max(len(missing), 1))
	for n, i := range missing {
		g.Go(func() error {
			result, err := emulator.Run(plans[i].Setup, workers, func(share float64) bool {
				p.update(n, share)
				return ctx.Err() == nil
			})
			if err != nil {
				return fmt.Errorf("experiment %q, variant %q: %w", plans[i].Experiment, plans[i].Variant, err)
			}
			if rows[i], err = newRun(plans[i], r.Build, result); err != nil {
				return err
			}
			if err := Save(r.runFile(&plans[i]), rows[i:i+1]); err != nil {
				return err
			}
			p.done(n)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return rows, Save(filepath.Join(r.Folder, resultsFile), rows)
}

// runFile is where a plan's result is kept.
func (r *Runner) runFile(plan *Plan) string {
	return filepath.Join(r.Folder, runsFolder, plan.fileName(r.Build))
}

// loadResults gives the rows that are in the folder, by plan, and the indexes of plans without one.
func (r *Runner) loadResults(plans []Plan) (rows []Run, missing []int) {
	rows = make([]Run, len(plans))
	for i := range plans {
		if kept, err := Load(r.runFile(&plans[i])); err == nil && len(kept) == 1 {
			rows[i] = kept[0]
		} else {
			missing = append(missing, i)
		}
	}
	return rows, missing
}

// progress prints how much of the work is done, now and then.
type progress struct {
	out   io.Writer
	costs []float64 // of runs
	begin time.Time

	mu      sync.Mutex
	shares  []float64 // of runs that are done
	printed time.Time
}

func newProgress(out io.Writer, plans []Plan, missing []int) *progress {
	p := &progress{out: out, shares: make([]float64, len(missing)), begin: time.Now(), printed: time.Now()}
	for _, i := range missing {
		p.costs = append(p.costs, plans[i].cost())
	}
	return p
}

// update takes a run's share; a run counts as done by done alone.
func (p *progress) update(run int, share float64) {
	const almostDone = 0.999
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shares[run] = min(share, almostDone); time.Since(p.printed) >= progressPeriod {
		p.print()
	}
}

// done prints progress with each run that is done.
func (p *progress) done(run int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares[run] = 1
	p.print()
}

// print prints progress. The lock is held.
func (p *progress) print() {
	p.printed = time.Now()
	done, total, runs := 0.0, 0.0, 0
	for i, share := range p.shares {
		if done, total = done+share*p.costs[i], total+p.costs[i]; share >= 1 {
			runs++
		}
	}
	left := time.Duration(float64(time.Since(p.begin)) * (total - done) / max(done, 1e-9)).Round(time.Second)
	fmt.Fprintf(p.out, "%d of %d runs done, %.0f %% of the work, about %s left\n", runs, len(p.shares), 100*done/total,
		left)
}

// RunPlan runs one plan on one core.
func RunPlan(plan Plan, build string) (Run, error) {
	r, err := emulator.Run(plan.Setup, 1, nil)
	if err != nil {
		return Run{}, err
	}
	return newRun(plan, build, r)
}

// cost is about how much work a run is, in no unit: its ops, and the ticks of its drivers.
func (p *Plan) cost() float64 {
	s := &p.Setup
	ops := s.Load * float64(s.Groups*s.Members*s.Cores) / s.ServiceTime * s.Duration
	return ops*12 + s.Duration/5*float64(s.Drivers)*float64(1+s.Groups*s.Members)/10
}
