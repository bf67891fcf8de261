package main

// This file owns the commands that run the experiments of a file, and compare and report results. Which differences are
// significant is decided by internal/lab/experiment.

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"

	"weirwind/internal/lab/experiment"
)

// experimentCommand runs a file's experiments.
type experimentCommand struct {
	File  string   `arg:"" help:"Scenarios and experiments, in HCL." placeholder:"FILE"`
	Out   string   `help:"The folder for results; runs that it holds already are not played again." default:"found"`
	Build string   `help:"A name for this build, to tell results of several apart." default:"this"`
	Cores int      `help:"Runs side by side; 0 for as many as there are cores." default:"0"`
	Only  []string `help:"Experiments to play; all without it."`
	PNG   bool     `help:"Each picture as PNG too."`
}

// Run runs the experiments and writes the page; it returns an error if the module violated a rule.
func (c *experimentCommand) Run(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	plans, err := experiment.ParseFile(c.File, text)
	if err != nil {
		return err
	}
	plans = c.selected(plans)
	if len(plans) == 0 {
		return fmt.Errorf("%s: nothing to play", c.File)
	}
	if c.Cores <= 0 {
		c.Cores = runtime.NumCPU()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	rows, err := experiment.Runner{Folder: c.Out, Build: c.Build, Cores: c.Cores, Out: out}.Run(ctx, plans)
	if err != nil {
		return err
	}
	report := reportCommand{
		Results: c.Out,
		Out:     filepath.Join(c.Out, "report.html"),
		Title:   strings.TrimSuffix(filepath.Base(c.File), ".hcl"),
	}
	if c.PNG {
		report.PNG = c.Out
	}
	if err := report.Run(out); err != nil {
		return err
	}
	return printViolations(out, rows)
}

// selected returns the plans of the experiments that the command line names, or all plans.
func (c *experimentCommand) selected(plans []experiment.Plan) []experiment.Plan {
	if len(c.Only) == 0 {
		return plans
	}
	var selected []experiment.Plan
	for _, p := range plans {
		for _, name := range c.Only {
			if p.Experiment == name {
				selected = append(selected, p)
			}
		}
	}
	return selected
}

// printViolations prints all violations; it returns an error if the module has any.
func printViolations(out io.Writer, rows []experiment.Run) error {
	moduleRuns := 0
	for _, r := range rows {
		for _, b := range r.Violations {
			fmt.Fprintf(out, "%s, %s, %d drivers, load %g, seed %d: %s broken %d times\n", r.Experiment, r.Variant, r.Drivers,
				r.Load, r.Seed, b.Rule, b.Count)
			if strings.Contains(r.Setup, `"Policy":"module"`) {
				moduleRuns++
			}
		}
	}
	if moduleRuns > 0 {
		return fmt.Errorf("the module broke rules in %d runs", moduleRuns)
	}
	return nil
}

// compareCommand compares two sets of results.
type compareCommand struct {
	A        string `arg:"" help:"Results: a folder or a file."`
	B        string `arg:"" help:"Results to lay beside them; may be the same." optional:""`
	VariantA string `help:"Of the first, this variant alone."`
	VariantB string `help:"Of the second, this variant alone."`
}

// Run prints means, differences and their 95 % intervals, over pairs of the same seed.
func (c *compareCommand) Run(out io.Writer) error {
	a, err := experiment.Load(c.A)
	if err != nil {
		return err
	}
	if c.B == "" {
		c.B = c.A
	}
	b, err := experiment.Load(c.B)
	if err != nil {
		return err
	}
	a, b = experiment.SelectVariant(a, c.VariantA), experiment.SelectVariant(b, c.VariantB)
	all := experiment.Compare(a, b, c.VariantA != "" || c.VariantB != "")
	if len(all) == 0 {
		return fmt.Errorf("no two runs of one experiment, size, load and seed")
	}
	name := func(path, variant string) string {
		if variant != "" {
			return variant
		}
		return filepath.Base(path)
	}
	return experiment.WriteComparison(out, name(c.A, c.VariantA), name(c.B, c.VariantB), all)
}

// reportCommand draws a page of results.
type reportCommand struct {
	Results string `arg:"" help:"A folder or a file of results."`
	Out     string `help:"The page." default:"report.html"`
	Title   string `help:"Of the page." default:"Experiments"`
	PNG     string `help:"A folder for the pictures as PNG." placeholder:"FOLDER"`
}

// Run writes the page.
func (c *reportCommand) Run(out io.Writer) error {
	rows, err := experiment.Load(c.Results)
	if err != nil {
		return err
	}
	return writeReport(out, c.Out, c.Title, nil, rows, c.PNG)
}
