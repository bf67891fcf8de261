package experiment

// This file owns the playing of plans side by side, their progress, and going on after a break. It must never play a
// run again whose result is there, nor take a result for one of another setup or build.

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

// Runner plays plans into a folder.
type Runner struct {
	Folder string
	Build  string // names the build that plays
	Cores  int
	Out    io.Writer // progress
}

// Run plays what has no result in the folder yet and gives all rows in the order of the plans. It ends early with the
// context; what was played until then stays.
func (r Runner) Run(ctx context.Context, plans []Plan) ([]Run, error) {
	runs := filepath.Join(r.Folder, "runs")
	if err := os.MkdirAll(runs, 0o755); err != nil {
		return nil, err
	}
	rows := make([]Run, len(plans))
	var left []int
	for i := range plans {
		if kept, err := Load(filepath.Join(runs, plans[i].fileName(r.Build))); err == nil && len(kept) == 1 {
			rows[i] = kept[0]
		} else {
			left = append(left, i)
		}
	}
	fmt.Fprintf(r.Out, "%d runs, %d of them are there already\n", len(plans), len(plans)-len(left))
	var mu sync.Mutex
	done := make([]float64, len(left))
	begin, shown := time.Now(), time.Now()
	progress := func(n int, share float64, over bool) {
		mu.Lock()
		defer mu.Unlock()
		if done[n] = share; !over && time.Since(shown) < 5*time.Second {
			return
		}
		shown = time.Now()
		part, all, whole := 0.0, 0.0, 0
		for i, x := range done {
			cost := plans[left[i]].cost()
			if part, all = part+x*cost, all+cost; x >= 1 {
				whole++
			}
		}
		rest := time.Duration(float64(time.Since(begin)) * (all - part) / max(part, 1e-9)).Round(time.Second)
		fmt.Fprintf(r.Out, "%d of %d runs done, %.0f %% of the work, about %s left\n", whole, len(left), 100*part/all, rest)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(r.Cores, 1))
	each := max(1, r.Cores/max(len(left), 1))
	for n, i := range left {
		g.Go(func() error {
			result, err := emulator.Run(plans[i].Setup, each, func(share float64) bool {
				progress(n, min(share, 0.999), false)
				return ctx.Err() == nil
			})
			if err != nil {
				return fmt.Errorf("experiment %q, variant %q: %w", plans[i].Experiment, plans[i].Variant, err)
			}
			if rows[i], err = newRun(plans[i], r.Build, result); err != nil {
				return err
			}
			if err := Save(filepath.Join(runs, plans[i].fileName(r.Build)), rows[i:i+1]); err != nil {
				return err
			}
			progress(n, 1, true)
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return rows, Save(filepath.Join(r.Folder, "results.parquet"), rows)
}

// Play plays one plan on one core.
func RunPlan(p Plan, build string) (Run, error) {
	r, err := emulator.Run(p.Setup, 1, nil)
	if err != nil {
		return Run{}, err
	}
	return newRun(p, build, r)
}

// cost is about how much work a run is, in no unit.
func (p *Plan) cost() float64 {
	s := &p.Setup
	ops := s.Load * float64(s.Groups*s.Members*s.Cores) / s.ServiceTime * s.Duration
	return ops*12 + s.Duration/5*float64(s.Drivers)*float64(1+s.Groups*s.Members)/10
}
