package fleet

// This file owns the execution of scripts, and the record of the drivers' reports.

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/lab"
)

// interval is a period in which a state was reported.
type interval struct {
	From, To float64 // seconds
	State    string
}

// reports are the states that a driver reported, by subject; the subject "" is its own partition status.
type reports map[string][]interval

// record extends the last interval of a subject, or adds an interval if the state has changed.
func (r reports) record(now float64, subject, state string) {
	all := r[subject]
	if n := len(all); n > 0 && all[n-1].State == state {
		all[n-1].To = now
		return
	} else if n > 0 {
		all[n-1].To = now
	}
	r[subject] = append(all, interval{now, now, state})
}

// Run executes a script, prints its steps and results, and returns the page.
func (s *Script) Run(ctx context.Context, out io.Writer) ([]byte, error) {
	cluster, err := lab.Start(lab.Options{Seed: uint64(s.Seed)})
	if err != nil {
		return nil, err
	}
	defer cluster.Stop()
	f, err := New(Options{Program: s.Program, Drivers: s.Drivers, ExtraDrivers: s.ExtraDrivers, Period: s.period,
		Seed: uint64(s.Seed), Cluster: cluster})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.StartAll(); err != nil {
		return nil, err
	}
	r := &scriptRun{script: s, fleet: f, out: out, began: time.Now(), killedAt: map[string]float64{}}
	for range f.Drivers {
		r.reports = append(r.reports, reports{})
	}
	for ctx.Err() == nil && time.Since(r.began) < s.end {
		if err := r.runDueSteps(); err != nil {
			return nil, err
		}
		r.poll()
		select {
		case <-ctx.Done():
		case <-time.After(s.period / 4):
		}
	}
	r.printStatuses()
	return renderPage(f, r.reports, r.executed, r.now())
}

// scriptRun is the execution of a script. Times are seconds from its start.
type scriptRun struct {
	script *Script
	fleet  *Fleet
	out    io.Writer
	began  time.Time

	nextStep int                // index of the first step that is not executed
	executed []interval         // the executed steps
	killedAt map[string]float64 // kill times of drivers whose failure is not known to all others

	mu      sync.Mutex
	reports []reports // by driver
}

// printStatuses prints the history of each driver's partition status.
func (r *scriptRun) printStatuses() {
	for i, d := range r.fleet.Drivers {
		var statuses []string
		for _, x := range r.reports[i][""] {
			statuses = append(statuses, fmt.Sprintf("%.1fs %s", x.From, x.State))
		}
		fmt.Fprintf(r.out, "%s: %s\n", d.Name, strings.Join(statuses, ", "))
	}
}

// now returns the time since the start, in seconds.
func (r *scriptRun) now() float64 { return time.Since(r.began).Seconds() }

// runDueSteps executes the steps that are due.
func (r *scriptRun) runDueSteps() error {
	for r.nextStep < len(r.script.Steps) && time.Since(r.began) >= r.script.Steps[r.nextStep].at {
		step := &r.script.Steps[r.nextStep]
		r.nextStep++
		fmt.Fprintf(r.out, "%6.1fs %s\n", r.now(), step)
		r.executed = append(r.executed, interval{r.now(), 0, step.String()})
		for _, i := range step.Drivers {
			if step.Kind == "kill" {
				r.killedAt[r.fleet.Drivers[i].Name] = r.now()
			}
		}
		if err := step.apply(r.fleet); err != nil {
			return err
		}
	}
	return nil
}

// poll queries all drivers for their views, and prints the killed drivers whose failure all others have detected.
func (r *scriptRun) poll() {
	var polls sync.WaitGroup
	notFailed := map[string]bool{} // drivers that at least one other driver does not consider failed
	for i, d := range r.fleet.Drivers {
		polls.Go(func() {
			status, err := d.Status()
			r.mu.Lock()
			defer r.mu.Unlock()
			if err != nil {
				r.reports[i].record(r.now(), "", "silent")
				return
			}
			r.reports[i].record(r.now(), "", status.Partition.String())
			for _, v := range status.Drivers {
				if v.State != membership.Failed {
					notFailed[v.Name] = true
				}
				r.reports[i].record(r.now(), v.Name, stateOf(v))
			}
		})
	}
	polls.Wait()
	for name, at := range r.killedAt {
		if !notFailed[name] {
			fmt.Fprintf(r.out, "%6.1fs all know that %s failed, %.2f s after the kill\n", r.now(), name, r.now()-at)
			delete(r.killedAt, name)
		}
	}
}

// stateOf returns a driver's state in the form of the page.
func stateOf(view membership.View) string {
	if view.State == membership.Alive && !view.Reachable {
		return "unheard"
	}
	return view.State.String()
}
