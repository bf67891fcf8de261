package experiment

// This file owns the parallel execution of plans, their progress, and resuming after an interruption. A run whose
// result is stored is not repeated, and a result of another setup or build is not used.

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

// Runner runs plans and stores their results in a folder.
type Runner struct {
	Folder string
	Build  string    // name of the build under test
	Cores  int       // number of cores to use
	Out    io.Writer // receives progress messages
}

// Run runs the plans that have no result in the folder and returns all rows in the order of the plans. It stops when
// the context ends; results that are complete by then stay stored.
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

// runFile returns the path of a plan's result.
func (r *Runner) runFile(plan *Plan) string {
	return filepath.Join(r.Folder, runsFolder, plan.fileName(r.Build))
}

// loadResults returns the stored rows by plan, and the indexes of the plans without one.
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

// progress periodically prints the share of the work that is done.
type progress struct {
	out   io.Writer
	costs []float64 // costs of the runs
	begin time.Time

	mu          sync.Mutex
	shares      []float64 // by run: share that is done
	lastPrinted time.Time
}

func newProgress(out io.Writer, plans []Plan, missing []int) *progress {
	p := &progress{out: out, shares: make([]float64, len(missing)), begin: time.Now(), lastPrinted: time.Now()}
	for _, i := range missing {
		p.costs = append(p.costs, plans[i].cost())
	}
	return p
}

// update sets the share of a run that is done; only the method done marks the run as complete.
func (p *progress) update(run int, share float64) {
	const almostDone = 0.999
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shares[run] = min(share, almostDone); time.Since(p.lastPrinted) >= progressPeriod {
		p.print()
	}
}

// done marks a run as complete and prints progress.
func (p *progress) done(run int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shares[run] = 1
	p.print()
}

// print prints progress; the caller holds the lock.
func (p *progress) print() {
	p.lastPrinted = time.Now()
	done, total, runs := 0.0, 0.0, 0
	for i, share := range p.shares {
		if done, total = done+share*p.costs[i], total+p.costs[i]; share >= 1 {
			runs++
		}
	}
	remaining := time.Duration(float64(time.Since(p.begin)) * (total - done) / max(done, 1e-9)).Round(time.Second)
	fmt.Fprintf(p.out, "%d of %d runs done, %.0f %% of the work, about %s left\n", runs, len(p.shares), 100*done/total,
		remaining)
}

// RunPlan runs a single plan on one core.
func RunPlan(plan Plan, build string) (Run, error) {
	r, err := emulator.Run(plan.Setup, 1, nil)
	if err != nil {
		return Run{}, err
	}
	return newRun(plan, build, r)
}

// cost estimates the computing time of a run in arbitrary units, from its ops and its drivers' ticks.
func (p *Plan) cost() float64 {
	s := &p.Setup
	ops := s.Load * float64(s.Groups*s.Members*s.Cores) / s.ServiceTime * s.Duration
	return ops*12 + s.Duration/5*float64(s.Drivers)*float64(1+s.Groups*s.Members)/10
}
