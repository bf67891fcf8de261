package main

// This file reads a plan's input file, in HCL. Package plan computes and formats the plan.

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsimple"

	"weirwind/internal/plan"
)

const maxAttempts = 100000

type planCommand struct {
	File     string `arg:"" help:"Members, steps and limits, in HCL; docs/switchover.md has an example."`
	Attempts int    `name:"tries" help:"Orders to try for a shorter plan." default:"300"`
	Seed     uint64 `help:"Of the orders." default:"1"`
}

// planFile is the input file of a plan.
type planFile struct {
	Members []planMember `hcl:"member,block"`
	Replace []string     `hcl:"replace,optional"`
	Switch  []string     `hcl:"switch,optional"`
	Limits  planLimits   `hcl:"limits,block"`
}

type planMember struct {
	Name     string  `hcl:"name,label"`
	Group    int64   `hcl:"group"`
	Zone     string  `hcl:"zone,optional"`
	Capacity float64 `hcl:"capacity"`
	Primary  bool    `hcl:"primary,optional"`
}

// planLimits corresponds to plan.Limits, with durations in Go's syntax.
type planLimits struct {
	MaxUnavailable int                `hcl:"cold,optional"`
	ReplaceTime    string             `hcl:"away,optional"`
	WarmupTime     string             `hcl:"warm,optional"`
	WarmupCapacity float64            `hcl:"cold_share,optional"`
	WriteGap       string             `hcl:"gap,optional"`
	MaxWriteGap    string             `hcl:"lost,optional"`
	SwitchInterval string             `hcl:"pause,optional"`
	Deadline       string             `hcl:"within,optional"`
	MinCandidates  int                `hcl:"candidates,optional"`
	Groups         []requiredCapacity `hcl:"group,block"`
	Zones          []requiredCapacity `hcl:"zone,block"`
}

type requiredCapacity struct {
	Name     string  `hcl:"name,label"`
	Capacity float64 `hcl:"capacity"`
}

// Run prints the plan, or returns the limit that makes it infeasible.
func (c *planCommand) Run(out io.Writer) error {
	f, err := readPlanFile(c.File)
	if err != nil {
		return err
	}
	limits, err := f.Limits.limits()
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	steps := f.steps()
	if len(steps) == 0 {
		return errors.New("nothing to plan: name members to replace, or primaries to switch")
	}
	scheduled, err := plan.Solve(f.members(), steps, limits, min(c.Attempts, maxAttempts), c.Seed)
	if err != nil {
		return err
	}
	fmt.Fprint(out, plan.Format(scheduled))
	return nil
}

func readPlanFile(name string) (file planFile, err error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return file, err
	}
	err = hclsimple.Decode(cmp.Or(name, "plan.hcl"), text, nil, &file)
	if problems := (hcl.Diagnostics)(nil); errors.As(err, &problems) && len(problems) > 0 {
		return file, problems[0]
	}
	return file, err
}

// limits converts the limits. It returns the first error, checking durations before groups.
func (l *planLimits) limits() (plan.Limits, error) {
	limits := plan.Limits{
		GroupCapacity:  map[int64]float64{},
		ZoneCapacity:   map[string]float64{},
		MaxUnavailable: cmp.Or(l.MaxUnavailable, 1),
		WarmupCapacity: l.WarmupCapacity,
		MinCandidates:  l.MinCandidates,
	}
	for _, d := range []struct {
		seconds *float64
		text    string
	}{
		{&limits.ReplaceTime, l.ReplaceTime},
		{&limits.WarmupTime, l.WarmupTime},
		{&limits.WriteGap, l.WriteGap},
		{&limits.MaxWriteGap, l.MaxWriteGap},
		{&limits.SwitchInterval, l.SwitchInterval},
		{&limits.Deadline, l.Deadline},
	} {
		duration, err := time.ParseDuration(cmp.Or(d.text, "0s"))
		if err != nil {
			return limits, err
		}
		*d.seconds = duration.Seconds()
	}
	for _, g := range l.Groups {
		group, err := strconv.ParseInt(g.Name, 10, 64)
		if err != nil {
			return limits, err
		}
		limits.GroupCapacity[group] = g.Capacity
	}
	for _, z := range l.Zones {
		limits.ZoneCapacity[z.Name] = z.Capacity
	}
	return limits, nil
}

func (f *planFile) members() (members []plan.Member) {
	for _, m := range f.Members {
		members = append(members, plan.Member{
			Name:     m.Name,
			Zone:     m.Zone,
			Group:    m.Group,
			Capacity: m.Capacity,
			Primary:  m.Primary,
		})
	}
	return members
}

func (f *planFile) steps() (steps []plan.Step) {
	for _, name := range f.Replace {
		steps = append(steps, plan.Step{Kind: plan.Replace, Member: name})
	}
	for _, name := range f.Switch {
		steps = append(steps, plan.Step{Kind: plan.Switch, Member: name})
	}
	return steps
}
