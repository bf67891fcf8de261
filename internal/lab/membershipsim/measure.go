package membershipsim

// This file owns measurements of a flock: how soon all know of a loss, agree after a heal, and what that costs.

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/fleet/membership"
)

// Spread is of a number of durations, milliseconds.
type Durations struct{ all []float64 }

// Add takes one more.
func (s *Durations) Add(x float64) { s.all = append(s.all, x) }

func (s *Durations) String() string {
	if len(s.all) == 0 {
		return "none"
	}
	slices.Sort(s.all)
	at := func(q float64) float64 { return s.all[min(int(q*float64(len(s.all))), len(s.all)-1)] }
	return fmt.Sprintf("median %.0f ms, p99 %.0f ms, worst %.0f ms of %d", at(0.5), at(0.99), s.all[len(s.all)-1],
		len(s.all))
}

// founded starts all drivers and waits until they have a roster of all.
func (f *Simulation) startAll() (took float64, ok bool) {
	for i := range f.Drivers {
		f.Start(i, 0)
	}
	return f.RunUntilTrue(120000, func() bool { // under loss somebody is suspected at any moment: not all are whole at once
		return !slices.ContainsFunc(f.Drivers, func(d *Driver) bool {
			r := d.View.Status().Roster
			return r == nil || len(r.Names) != len(f.Drivers)
		})
	})
}

func (f *Simulation) allHaveStatus(want membership.PartitionStatus, not map[int]bool) bool {
	for i, d := range f.Drivers {
		if d.View == nil || not[i] {
			continue
		}
		if s, _, _ := d.View.PartitionStatus(); s != want {
			return false
		}
	}
	return true
}

// Losses kills drivers one after the other and tells how long it took until all others knew; each returns before the
// next.
func MeasureFailureDetection(out io.Writer, o Options, kills int) error {
	f := New(o)
	took, ok := f.startAll()
	if !ok {
		return fmt.Errorf("no roster in two minutes")
	}
	fmt.Fprintf(out, "drivers=%d period=%.0fms: a roster of all %.0f ms after the start of all at once\n", o.Drivers,
		f.options.Period, took)
	var each, last Durations
	for range kills {
		i := f.draw.IntN(len(f.Drivers))
		f.Run(10 * f.options.Period * f.draw.Float64())
		f.Kill(i)
		knows := map[int]bool{}
		took, ok := f.RunUntilTrue(60000, func() bool {
			for k, d := range f.Drivers {
				if d.View == nil || knows[k] {
					continue
				}
				if d.View.StateOf(f.Drivers[i].Name) != membership.Failed {
					continue
				}
				knows[k] = true
				each.Add(f.Now - f.killedAt)
			}
			return len(knows) == len(f.Drivers)-1
		})
		if !ok {
			return fmt.Errorf("%d of %d know of a loss after a minute", len(knows), len(f.Drivers)-1)
		}
		last.Add(took)
		f.Start(i, 0)
		if _, ok := f.RunUntilTrue(60000, func() bool { return f.allHaveStatus(membership.Complete, nil) }); !ok {
			return fmt.Errorf("not whole a minute after a return")
		}
	}
	fmt.Fprintf(out, "  from a kill to each knowing: %s\n  from a kill to all knowing: %s\n", &each, &last)
	return nil
}

// Heals cuts the drivers into two parts for half a minute and tells how long after the heal all agree.
func MeasurePartitionHealing(out io.Writer, o Options, times int) error {
	f := New(o)
	if _, ok := f.startAll(); !ok {
		return fmt.Errorf("no roster in two minutes")
	}
	var agreed Durations
	for range times {
		at := len(f.Drivers) * (1 + f.draw.IntN(3)) / 5
		f.Blocked = func(a, b int) bool { return (a < at) != (b < at) }
		f.Run(60 * f.options.Period)
		f.Blocked = nil
		took, ok := f.RunUntilTrue(120000, func() bool { return f.allHaveStatus(membership.Complete, nil) })
		if !ok {
			return fmt.Errorf("not agreed two minutes after a heal")
		}
		agreed.Add(took)
		f.Run(10 * f.options.Period)
	}
	fmt.Fprintf(out, "drivers=%d: agreed after the heal of a cut of 60 periods: %s\n", o.Drivers, &agreed)
	return nil
}

// Wrong plays calm time on a network that loses datagrams, a tenth of the drivers on throttled cores, and counts living
// drivers that were taken for failed; it tells what all that costs.
func MeasureFalsePositives(out io.Writer, o Options, length float64, slow float64) error {
	f := New(o)
	if _, ok := f.startAll(); !ok {
		return fmt.Errorf("no roster in two minutes")
	}
	failed := map[string]bool{}
	stood, denied := 0, 0
	f.OnEvent = func(at float64, d string, n membership.Event) {
		switch n.Reason {
		case "fellow_failed":
			failed[fmt.Sprintf("%s %.0f", n.Name, at/20000)] = true
		case "stood_still":
			stood++
		case "denied":
			denied++
		}
	}
	for i, d := range f.Drivers {
		if slow > 0 && i%10 == 3 {
			d.Slow = slow
		}
		d.Bytes, d.Sent = 0, 0
	}
	f.sampleSizes = true
	began := time.Now()
	f.Run(length)
	real := time.Since(began)
	bytes, sent := 0.0, 0
	for _, d := range f.Drivers {
		bytes, sent = bytes+d.Bytes, sent+d.Sent
	}
	n, s := float64(len(f.Drivers)), length/1000
	fmt.Fprintf(
		out,
		"drivers=%d loss=%.2f throttled=%.2f for %.0f s: %d living drivers taken for failed, %d denied it; "+
			"stood still %d times\n  a driver: %.1f messages and %.0f bytes a second "+
			"(measured in CBOR with the code, without IP and UDP headers), %.3f %% of a core\n",
		o.Drivers,
		o.Loss,
		slow,
		s,
		len(failed),
		denied,
		stood,
		float64(sent)/n/s,
		bytes/n/s,
		100*real.Seconds()/n/s,
	)
	return nil
}

// size is of a message as it goes out.
func encodedSize(m *membership.Message) float64 {
	b, err := cbor.Marshal(m)
	if err != nil {
		return 0
	}
	return float64(len(b) + 16)
}
