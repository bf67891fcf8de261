package main

// This file owns the form of a plan's file, in HCL, and its printing. It must never change what internal/plan decided.

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

type planCommand struct {
	File  string `arg:"" help:"Members, steps and limits, in HCL; docs/switchover.md has an example."`
	Tries int    `help:"Orders to try for a shorter plan." default:"300"`
	Seed  uint64 `help:"Of the orders." default:"1"`
}

type planFile struct {
	Members []struct {
		Name     string  `hcl:"name,label"`
		Group    int64   `hcl:"group"`
		Zone     string  `hcl:"zone,optional"`
		Capacity float64 `hcl:"capacity"`
		Primary  bool    `hcl:"primary,optional"`
	} `hcl:"member,block"`
	Replace []string `hcl:"replace,optional"`
	Switch  []string `hcl:"switch,optional"`
	Limits  struct {
		Cold       int     `hcl:"cold,optional"`
		Away       string  `hcl:"away,optional"`
		Warm       string  `hcl:"warm,optional"`
		ColdShare  float64 `hcl:"cold_share,optional"`
		Gap        string  `hcl:"gap,optional"`
		Lost       string  `hcl:"lost,optional"`
		Pause      string  `hcl:"pause,optional"`
		Within     string  `hcl:"within,optional"`
		Candidates int     `hcl:"candidates,optional"`
		Groups     []need  `hcl:"group,block"`
		Zones      []need  `hcl:"zone,block"`
	} `hcl:"limits,block"`
}

type need struct {
	Name     string  `hcl:"name,label"`
	Capacity float64 `hcl:"capacity"`
}

// Run prints the plan, or which limit stands in the way (exit code 1).
func (c *planCommand) Run(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	var f planFile
	if err := hclsimple.Decode(cmp.Or(c.File, "plan.hcl"), text, nil, &f); err != nil {
		if all := (hcl.Diagnostics)(nil); errors.As(err, &all) && len(all) > 0 {
			return all[0]
		}
		return err
	}
	l := plan.Limits{
		GroupCapacity:  map[int64]float64{},
		ZoneCapacity:   map[string]float64{},
		MaxUnavailable: cmp.Or(f.Limits.Cold, 1),
		WarmupCapacity: f.Limits.ColdShare,
		MinCandidates:  f.Limits.Candidates,
	}
	for _, t := range []struct {
		to   *float64
		text string
	}{{&l.ReplaceTime, f.Limits.Away}, {&l.WarmupTime, f.Limits.Warm}, {&l.WriteGap, f.Limits.Gap}, {&l.MaxWriteGap, f.Limits.Lost},
		{&l.SwitchInterval, f.Limits.Pause}, {&l.Deadline, f.Limits.Within}} {
		d, e := time.ParseDuration(cmp.Or(t.text, "0s"))
		*t.to, err = d.Seconds(), cmp.Or(err, e)
	}
	for _, g := range f.Limits.Groups {
		id, e := strconv.ParseInt(g.Name, 10, 64)
		l.GroupCapacity[id], err = g.Capacity, cmp.Or(err, e)
	}
	for _, z := range f.Limits.Zones {
		l.ZoneCapacity[z.Name] = z.Capacity
	}
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	var members []plan.Member
	for _, m := range f.Members {
		members = append(
			members,
			plan.Member{Name: m.Name, Zone: m.Zone, Group: m.Group, Capacity: m.Capacity, Primary: m.Primary},
		)
	}
	var steps []plan.Step
	for _, m := range f.Replace {
		steps = append(steps, plan.Step{Kind: plan.Replace, Member: m})
	}
	for _, m := range f.Switch {
		steps = append(steps, plan.Step{Kind: plan.Switch, Member: m})
	}
	if len(steps) == 0 {
		return errors.New("nothing to plan: name members to replace, or primaries to switch")
	}
	all, err := plan.Solve(members, steps, l, min(c.Tries, 100000), c.Seed)
	if err != nil {
		return err
	}
	fmt.Fprint(out, plan.Format(all))
	return nil
}
