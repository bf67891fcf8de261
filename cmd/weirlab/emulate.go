package main

// This file owns the command that runs the emulator with several policies in parallel.

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"weirwind/internal/lab/emulator"
)

// emulateCommand runs a setup in virtual time.
type emulateCommand struct {
	Drivers int           `help:"Drivers, each with an own module." default:"3"`
	Groups  int           `help:"Groups." default:"1"`
	Members int           `help:"Members a group." default:"5"`
	Cores   int           `help:"Cores a member." default:"4"`
	Work    time.Duration `help:"Mean time of an op on one core." default:"40ms"`
	Load    float64       `help:"Share of all cores that the ops would take." default:"0.4"`
	Lag     time.Duration `help:"Of replicas." default:"20ms"`
	For     time.Duration `help:"Virtual time in which clients come." default:"30s"`
	Retries int           `help:"Further tries of a client whose op was refused." default:"2"`
	Seed    uint64        `help:"Of the play; the same seed gives the same play." default:"1"`
	On      int           `help:"Cores a play may use; they change nothing but its time." default:"1"`
	Policy  []string      `help:"module, primary, random, round-robin or least; may stand several times." default:"module"`
	Fault   []string      `help:"Such as kill@10s:g1m1 or, for 4 s, kill@10s+4s:g1m1; docs/lab.md names all faults. May stand several times." placeholder:"WHAT@WHEN:MEMBER"`
}

// Run runs each policy and prints its result. It returns an error if the module violated a rule; violations by
// baselines are expected.
func (c *emulateCommand) Run(out io.Writer) error {
	s := emulator.Setup{
		Drivers:        c.Drivers,
		Groups:         c.Groups,
		Members:        c.Members,
		Cores:          c.Cores,
		ServiceTime:    ms(c.Work),
		Load:           c.Load,
		ReplicationLag: ms(c.Lag),
		Duration:       ms(c.For),
		Retries:        c.Retries,
		Seed:           c.Seed,
	}
	for _, text := range c.Fault {
		fault, err := parseFault(text)
		if err != nil {
			return err
		}
		s.Faults = append(s.Faults, fault)
	}
	results, errs := make([]*emulator.Result, len(c.Policy)), make([]error, len(c.Policy))
	var runs sync.WaitGroup
	for i, p := range c.Policy {
		s := s
		s.Policy = p
		runs.Go(func() { results[i], errs[i] = emulator.Run(s, c.On, nil) })
	}
	runs.Wait()
	violations := 0
	for i, r := range results {
		if errs[i] != nil {
			return errs[i]
		}
		if n := printResult(out, c.Policy[i], r); c.Policy[i] == emulator.PolicyModule {
			violations += n
		}
	}
	if violations > 0 {
		return fmt.Errorf("the module broke rules %d times", violations)
	}
	return nil
}

// parseFault parses a fault of the form kill@10s:g1m1 or, with a duration, kill@10s+4s:g1m1.
func parseFault(text string) (emulator.Fault, error) {
	kind, rest, hasTime := strings.Cut(text, "@")
	when, member, hasMember := strings.Cut(rest, ":")
	when, length, lasts := strings.Cut(when, "+")
	at, err := time.ParseDuration(when)
	duration := time.Duration(0)
	if lasts && err == nil {
		duration, err = time.ParseDuration(length)
	}
	if !hasTime || !hasMember || err != nil || at < 0 || duration < 0 {
		return emulator.Fault{}, fmt.Errorf("fault %q is not of the form kill@10s:g1m1", text)
	}
	return emulator.Fault{At: ms(at), Duration: ms(duration), Kind: kind, Target: member}, nil
}

// printResult prints the result of one policy and returns the number of violations.
func printResult(out io.Writer, policy string, r *emulator.Result) (violations int) {
	fmt.Fprintf(out, "%s: %d ops, %.3f of their worth served in time\n", policy, r.Ops, r.ValueShare)
	for k := range r.Types {
		t := &r.Types[k]
		q := func(x float64) string { return fmt.Sprintf("%.1f", t.Quantile(x)) }
		fmt.Fprintf(out, "  %-8s acked %d (in time %d), refused tries %d, failed %d; ms: median %s, p99 %s, worst %s\n",
			r.Setup.Mix[k].Name, t.Outcomes[emulator.Acked], t.WithinTarget, t.Outcomes[emulator.Refused],
			t.Outcomes[emulator.Failed], q(50),
			q(99), q(100))
	}
	for _, rule := range slices.Sorted(maps.Keys(r.Violations)) {
		fmt.Fprintf(out, "  broken: %s, %d times\n", rule, r.Violations[rule])
		violations += r.Violations[rule]
	}
	for _, text := range r.FirstViolations[:min(len(r.FirstViolations), 3)] {
		fmt.Fprintf(out, "    %s\n", text)
	}
	return violations
}

// ms returns a duration in milliseconds.
func ms(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }
