package membershipsim

// This file owns measurements: the time until all drivers have detected a failure, the time until they agree after a
// partition, and the number of false positives of the failure detector.

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/fleet/membership"
)

// Timeouts of measurements in milliseconds.
const (
	rosterTimeout = 120000
	knownTimeout  = 60000
	healTimeout   = 120000
)

// ErrNoRoster is the error if the drivers do not agree on a roster in time.
var ErrNoRoster = errors.New("no roster in two minutes")

// Durations collects durations in milliseconds.
type Durations struct{ values []float64 }

// Add adds a duration.
func (d *Durations) Add(x float64) { d.values = append(d.values, x) }

// String returns the median, the 99th percentile, the maximum and the number of the durations.
func (d *Durations) String() string {
	if len(d.values) == 0 {
		return "none"
	}
	slices.Sort(d.values)
	quantile := func(q float64) float64 { return d.values[min(int(q*float64(len(d.values))), len(d.values)-1)] }
	return fmt.Sprintf("median %.0f ms, p99 %.0f ms, worst %.0f ms of %d", quantile(0.5), quantile(0.99),
		d.values[len(d.values)-1], len(d.values))
}

// startAll starts all drivers and waits until each has a roster of all drivers. It does not wait for complete views, as
// under packet loss some driver is suspected at any time.
func (s *Simulation) startAll() (took float64, ok bool) {
	for i := range s.Drivers {
		s.Start(i, 0)
	}
	return s.RunUntilTrue(rosterTimeout, func() bool {
		return !slices.ContainsFunc(s.Drivers, func(driver *Driver) bool {
			roster := driver.View.Status().Roster
			return roster == nil || len(roster.Names) != len(s.Drivers)
		})
	})
}

// allComplete reports whether every running driver sees all drivers.
func (s *Simulation) allComplete() bool {
	for _, d := range s.Drivers {
		if d.View == nil {
			continue
		}
		if status, _, _ := d.View.PartitionStatus(); status != membership.Complete {
			return false
		}
	}
	return true
}

// MeasureFailureDetection kills drivers one after the other and prints the times until the others detected the
// failures. Each driver is restarted before the next one is killed.
func MeasureFailureDetection(out io.Writer, options Options, kills int) error {
	s := New(options)
	took, ok := s.startAll()
	if !ok {
		return ErrNoRoster
	}
	fmt.Fprintf(out, "drivers=%d period=%.0fms: a roster of all %.0f ms after the start of all at once\n", options.Drivers,
		s.options.Period, took)
	var each, last Durations
	for range kills {
		killed := s.random.IntN(len(s.Drivers))
		s.Run(10 * s.options.Period * s.random.Float64())
		s.Kill(killed)
		took, err := s.awaitDetection(killed, &each)
		if err != nil {
			return err
		}
		last.Add(took)
		s.Start(killed, 0)
		if _, ok := s.RunUntilTrue(knownTimeout, s.allComplete); !ok {
			return errors.New("the membership is not complete a minute after a restart")
		}
	}
	fmt.Fprintf(out, "  from a kill to each knowing: %s\n  from a kill to all knowing: %s\n", &each, &last)
	return nil
}

// awaitDetection waits until all other drivers have detected a failure, and adds each driver's detection time to each.
func (s *Simulation) awaitDetection(failed int, each *Durations) (took float64, err error) {
	knows := map[int]bool{}
	took, ok := s.RunUntilTrue(knownTimeout, func() bool {
		for i, d := range s.Drivers {
			if d.View == nil || knows[i] || d.View.StateOf(s.Drivers[failed].Name) != membership.Failed {
				continue
			}
			knows[i] = true
			each.Add(s.Now - s.killedAt)
		}
		return len(knows) == len(s.Drivers)-1
	})
	if !ok {
		return took, fmt.Errorf("only %d of %d drivers detected a failure within a minute", len(knows), len(s.Drivers)-1)
	}
	return took, nil
}

// MeasurePartitionHealing repeatedly partitions the drivers into two sides for 60 periods, and prints the times from
// the end of a partition until all drivers agree.
func MeasurePartitionHealing(out io.Writer, options Options, times int) error {
	s := New(options)
	if _, ok := s.startAll(); !ok {
		return ErrNoRoster
	}
	var agreed Durations
	for range times {
		boundary := len(s.Drivers) * (1 + s.random.IntN(3)) / 5
		s.Blocked = func(from, to int) bool { return (from < boundary) != (to < boundary) }
		s.Run(60 * s.options.Period)
		s.Blocked = nil
		took, ok := s.RunUntilTrue(healTimeout, s.allComplete)
		if !ok {
			return errors.New("no agreement two minutes after the end of a partition")
		}
		agreed.Add(took)
		s.Run(10 * s.options.Period)
	}
	fmt.Fprintf(out, "drivers=%d: agreed after the heal of a cut of 60 periods: %s\n", options.Drivers, &agreed)
	return nil
}

// MeasureFalsePositives runs drivers without failures on a network that loses datagrams, a tenth of them on throttled
// cores, and prints the number of false positives and what the membership costs a driver. slow is the probability, at
// each tick, that a throttled driver pauses.
func MeasureFalsePositives(out io.Writer, options Options, duration, pauseChance float64) error {
	s := New(options)
	if _, ok := s.startAll(); !ok {
		return ErrNoRoster
	}
	const window = 20000 // milliseconds in which reports about the same driver are counted once
	failed := map[string]bool{}
	pauses, denials := 0, 0
	s.OnEvent = func(at float64, _ string, event membership.Event) {
		switch event.Reason {
		case "fellow_failed":
			failed[fmt.Sprintf("%s %.0f", event.Name, at/window)] = true
		case "stood_still":
			pauses++
		case "denied":
			denials++
		}
	}
	for i, d := range s.Drivers {
		if pauseChance > 0 && i%10 == 3 {
			d.PauseChance = pauseChance
		}
		d.Bytes, d.Sent = 0, 0
	}
	s.measureSizes = true
	began := time.Now()
	s.Run(duration)
	perDriver := time.Since(began).Seconds() / float64(len(s.Drivers))
	seconds := duration / 1000
	fmt.Fprintf(out, "drivers=%d loss=%.2f throttled=%.2f for %.0f s: %d living drivers taken for failed, %d denied it; "+
		"stood still %d times\n", options.Drivers, options.Loss, pauseChance, seconds, len(failed), denials, pauses)
	messages, bytes := s.meanSent()
	fmt.Fprintf(out, "  a driver: %.1f messages and %.0f bytes a second "+
		"(measured in CBOR with the code, without IP and UDP headers), %.3f %% of a core\n",
		messages/seconds, bytes/seconds, 100*perDriver/seconds)
	return nil
}

// meanSent returns the mean numbers of messages and bytes that a driver has sent.
func (s *Simulation) meanSent() (messages, bytes float64) {
	sent := 0
	for _, d := range s.Drivers {
		bytes, sent = bytes+d.Bytes, sent+d.Sent
	}
	n := float64(len(s.Drivers))
	return float64(sent) / n, bytes / n
}

// encodedSize returns the size of a message's datagram.
func encodedSize(message *membership.Message) float64 {
	b, err := cbor.Marshal(message)
	if err != nil {
		return 0
	}
	return float64(len(b) + datagramHeader)
}
