package fleet

// This file owns scripts: their HCL format and the execution of their steps.

import (
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/hcl/v2/hclsimple"

	"weirwind/internal/standin/links"
)

// Script describes a fleet and the steps that are executed on it. Times are Go durations.
type Script struct {
	Drivers      int    `hcl:"drivers"`
	ExtraDrivers int    `hcl:"spare,optional"` // drivers that are started later
	Period       string `hcl:"period,optional"`
	End          string `hcl:"end"`
	Seed         int    `hcl:"seed,optional"`
	Steps        []Step `hcl:"step,block"`

	Program     string
	period, end time.Duration
}

// Step is a step of a script: kill, stop, freeze, thaw or start drivers, configure the link from one driver to another
// (way), partition the drivers (cut), or heal all links.
type Step struct {
	Kind       string  `hcl:"what,label"`
	At         string  `hcl:"at"`
	Drivers    []int   `hcl:"drivers,optional"`
	Partitions [][]int `hcl:"parts,optional"`
	From       int     `hcl:"from,optional"`
	To         int     `hcl:"to,optional"`
	Blocked    bool    `hcl:"cut,optional"`
	Loss       float64 `hcl:"loss,optional"`
	Duplicate  float64 `hcl:"double,optional"`
	Delay      string  `hcl:"delay,optional"`
	Jitter     string  `hcl:"jitter,optional"`
	Rate       int     `hcl:"rate,optional"`

	at            time.Duration
	delay, jitter time.Duration
}

// ParseScript parses a script. Syntax errors contain file and line.
func ParseScript(name string, text []byte) (*Script, error) {
	s := &Script{}
	if err := hclsimple.Decode(name, text, nil, s); err != nil {
		return nil, err
	}
	times := durations{file: name}
	s.period, s.end = times.parse("period", s.Period, 500*time.Millisecond), times.parse("end", s.End, 0)
	if s.Drivers < 1 || s.ExtraDrivers < 0 || s.Drivers+s.ExtraDrivers > 60 || s.period < 50*time.Millisecond ||
		s.end > time.Hour {
		return nil, fmt.Errorf("%s: 1 to 60 drivers, a period of 50ms at least, an hour at most", name)
	}
	n := s.Drivers + s.ExtraDrivers
	for i := range s.Steps {
		p := &s.Steps[i]
		p.at = times.parse("at", p.At, 0)
		p.delay, p.jitter = times.parse("delay", p.Delay, 0), times.parse("jitter", p.Jitter, 0)
		if !slices.Contains(stepKinds, p.Kind) {
			return nil, fmt.Errorf("%s: step %q is not known", name, p.Kind)
		}
		for _, d := range append(slices.Concat(p.Partitions...), append(p.Drivers, p.From, p.To)...) {
			if d < 0 || d >= n {
				return nil, fmt.Errorf("%s: there is no driver %d", name, d)
			}
		}
	}
	slices.SortStableFunc(s.Steps, func(a, b Step) int { return int(a.at - b.at) })
	return s, times.err
}

// stepKinds are the valid kinds of steps.
var stepKinds = []string{"kill", "stop", "freeze", "thaw", "start", "way", "cut", "heal"}

// durations parses the durations of a file and keeps the last error.
type durations struct {
	file string
	err  error
}

func (d *durations) parse(argument, text string, defaultValue time.Duration) time.Duration {
	if text == "" {
		return defaultValue
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed < 0 {
		d.err = fmt.Errorf("%s: %s is %q; it wants a time such as \"10s\"", d.file, argument, text)
	}
	return parsed
}

// String returns a description of the step.
func (p *Step) String() string {
	switch p.Kind {
	case "way":
		return fmt.Sprintf("n%d to n%d: cut %v, loss %g, double %g, delay %s+%s, rate %d", p.From, p.To, p.Blocked, p.Loss,
			p.Duplicate, p.delay, p.jitter, p.Rate)
	case "cut":
		return fmt.Sprint("cut into ", p.Partitions)
	case "heal":
		return "heal"
	}
	return fmt.Sprint(p.Kind, " ", p.Drivers)
}

// apply executes the step.
func (p *Step) apply(fleet *Fleet) error {
	switch p.Kind {
	case "way":
		fleet.Links.Set(p.From, p.To, links.Link{Blocked: p.Blocked, Loss: p.Loss, Duplicate: p.Duplicate, Delay: p.delay,
			Jitter: p.jitter, Rate: p.Rate})
	case "cut":
		sides := make([]int, len(fleet.Drivers))
		for i, drivers := range p.Partitions {
			for _, d := range drivers {
				sides[d] = i + 1
			}
		}
		fleet.Links.Partition(sides...)
	case "heal":
		fleet.Links.Heal()
	}
	for _, i := range p.Drivers {
		if err := p.applyTo(fleet.Drivers[i]); err != nil {
			return err
		}
	}
	return nil
}

// applyTo executes the step on one driver.
func (p *Step) applyTo(driver *Driver) error {
	switch p.Kind {
	case "kill":
		driver.Kill()
	case "stop":
		go driver.Stop() // asynchronous, as it waits for the process's end
	case "freeze":
		driver.Freeze()
	case "thaw":
		driver.Thaw()
	case "start":
		return driver.Start()
	}
	return nil
}
