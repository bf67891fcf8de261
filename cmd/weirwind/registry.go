package main

// This file implements the registry commands, which show the membership as a driver sees it, and invalid entries. They
// never write to a registry.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"weirwind/internal/driver"
	"weirwind/internal/operator"
	"weirwind/internal/registry"
	"weirwind/internal/roster"
)

const checkTimeout = 10 * time.Second // per endpoint

type registryCommands struct {
	Watch registryWatchCommand `cmd:"" help:"Print the list as it changes, until interrupted."`
	Check registryCheckCommand `cmd:"" help:"Read the list once and say what is wrong with entries; exit code 1 where anything is."`
}

type registryFlags struct {
	Operator string `help:"The operators' file." env:"WEIRWIND_OPERATOR" placeholder:"FILE"`
}

// open returns the registry block of the operators' file, and a client.
func (f *registryFlags) open() (*operator.Registry, registry.Client, error) {
	file, err := (&files{Operator: f.Operator}).operators()
	if err != nil {
		return nil, nil, err
	}
	if file.Registry == nil {
		return nil, nil, errors.New("the operators' file has no block registry")
	}
	c, err := registry.New(driver.RegistryOptions(file.Registry))
	return file.Registry, c, err
}

type registryWatchCommand struct {
	registryFlags
	For time.Duration `help:"Stop after so long." placeholder:"TIME"`
}

// Run follows the registry and prints the changes of a driver's roster.
func (c *registryWatchCommand) Run(out io.Writer) error {
	options, client, err := c.open()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.For > 0 {
		var end context.CancelFunc
		ctx, end = context.WithTimeout(ctx, c.For)
		defer end()
	}
	newRosterPrinter(out, options).watch(ctx, client)
	return nil
}

// rosterPrinter applies a registry's updates to a roster and prints the changes.
type rosterPrinter struct {
	out          io.Writer
	roster       *roster.Roster
	confirmAfter float64 // milliseconds
	endpoints    int
}

func newRosterPrinter(out io.Writer, options *operator.Registry) *rosterPrinter {
	confirmAfter := float64(options.ConfirmAfter.Milliseconds())
	return &rosterPrinter{
		out:          out,
		roster:       roster.New(roster.Options{Preferred: roster.SourceRegistry, ConfirmAfter: confirmAfter}),
		confirmAfter: confirmAfter,
		endpoints:    len(options.Endpoints),
	}
}

// watch follows the registry until the context ends.
func (p *rosterPrinter) watch(ctx context.Context, client registry.Client) {
	w := registry.Watcher{
		Client: client,
		Scheduler: roster.NewScheduler(roster.SchedulerOptions{
			Endpoints: p.endpoints,
			Drivers:   1,
			Seed:      uint64(os.Getpid()),
		}),
		Position: func() (int64, bool) {
			_, revision, known := p.roster.Revision(roster.SourceRegistry)
			return revision, known
		},
		Apply:        p.apply,
		OnDisconnect: p.disconnected,
		OnActivity:   func() {},
		Now:          nowMillis,
	}
	w.Run(ctx)
}

func (p *rosterPrinter) apply(update roster.Update) (roster.Verdict, float64) {
	outcome := p.roster.Apply(nowMillis(), update)
	source, revision, age, epochs := p.roster.Leader(nowMillis())
	for _, e := range outcome.Changes {
		fmt.Fprintf(p.out, "%s %s revision=%d epoch=%d age_ms=%.0f member=%s phase=%s cell=%d host_port=%s\n",
			timeOfDay(), source, revision, epochs, age, e.ID, [...]string{"up", "draining", "removed"}[e.Phase], e.Group,
			e.Address)
	}
	for _, note := range outcome.Notes {
		fmt.Fprintf(p.out, "%s note: %s\n", timeOfDay(), note)
	}
	return outcome.Verdict, p.confirmAfter
}

func (p *rosterPrinter) disconnected(err error) {
	p.roster.SetDisconnected(roster.SourceRegistry)
	fmt.Fprintf(p.out, "%s lost: %v\n", timeOfDay(), err)
}

func nowMillis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func timeOfDay() string { return time.Now().UTC().Format(time.RFC3339Nano) }

type registryCheckCommand struct {
	registryFlags
}

// Run reads the membership from every endpoint.
func (c *registryCheckCommand) Run(out io.Writer) error {
	options, client, err := c.open()
	if err != nil {
		return err
	}
	problems := 0
	for i, endpoint := range options.Endpoints {
		problems += checkEndpoint(out, client, i, endpoint)
	}
	if problems > 0 {
		return fmt.Errorf("%d things are wrong", problems)
	}
	return nil
}

// checkEndpoint reads the membership from one endpoint, prints the problems and returns their number.
func checkEndpoint(out io.Writer, client registry.Client, index int, endpoint string) (problems int) {
	ctx, end := context.WithTimeout(context.Background(), checkTimeout)
	defer end()
	members, revision := 0, int64(0)
	err := client.List(ctx, index, true, func(update roster.Update) {
		members, revision = members+len(update.Entries), update.Revision
		for _, e := range update.Invalid {
			problems++
			fmt.Fprintf(out, "%s: entry %s: %s\n", endpoint, e.ID, e.Reason)
		}
	})
	if err != nil {
		fmt.Fprintf(out, "%s: %v\n", endpoint, err)
		return problems + 1
	}
	fmt.Fprintf(out, "%s: revision %d, %d good entries\n", endpoint, revision, members)
	return problems
}
