package main

// This file owns the commands on registries: the list as a driver would see it, and what is wrong with entries. It must
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

type registryCommands struct {
	Watch watchRegistry `cmd:"" help:"Print the list as it changes, until interrupted."`
	Check checkRegistry `cmd:"" help:"Read the list once and say what is wrong with entries; exit code 1 where anything is."`
}

type registryFlags struct {
	Operator string `help:"The operators' file." env:"WEIRWIND_OPERATOR" placeholder:"FILE"`
}

func (f *registryFlags) open() (*operator.Registry, registry.Client, error) {
	o, err := (&files{Operator: f.Operator}).operators()
	if err != nil {
		return nil, nil, err
	}
	if o.Registry == nil {
		return nil, nil, errors.New("the operators' file has no block registry")
	}
	c, err := registry.New(driver.RegistryOptions(o.Registry))
	return o.Registry, c, err
}

type watchRegistry struct {
	registryFlags
	For time.Duration `help:"Stop after so long." placeholder:"TIME"`
}

// Run follows the registry and prints what a driver's roster makes of it.
func (c *watchRegistry) Run(out io.Writer) error {
	g, client, err := c.open()
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
	now := func() float64 { return float64(time.Now().UnixMicro()) / 1000 }
	r := roster.New(roster.Options{Preferred: roster.SourceRegistry, ConfirmAfter: float64(g.ConfirmAfter.Milliseconds())})
	w := registry.Watcher{
		Client:     client,
		Now:        now,
		OnActivity: func() {},
		Scheduler: roster.NewScheduler(
			roster.SchedulerOptions{Endpoints: len(g.Endpoints), Drivers: 1, Seed: uint64(os.Getpid())},
		),
		Position: func() (int64, bool) {
			_, revision, told := r.Revision(roster.SourceRegistry)
			return revision, told
		},
		Apply: func(u roster.Update) (roster.Verdict, float64) {
			o := r.Apply(now(), u)
			lead, revision, age, epochs := r.Leader(now())
			for _, e := range o.Changes {
				fmt.Fprintf(out, "%s %s revision=%d epoch=%d age_ms=%.0f member=%s phase=%s cell=%d host_port=%s\n",
					time.Now().UTC().Format(time.RFC3339Nano), lead, revision, epochs, age, e.ID,
					[...]string{"up", "draining", "removed"}[e.Phase], e.Group, e.Address)
			}
			for _, text := range o.Notes {
				fmt.Fprintf(out, "%s note: %s\n", time.Now().UTC().Format(time.RFC3339Nano), text)
			}
			return o.Verdict, float64(g.ConfirmAfter.Milliseconds())
		},
		OnDisconnect: func(err error) {
			r.SetDisconnected(roster.SourceRegistry)
			fmt.Fprintf(out, "%s lost: %v\n", time.Now().UTC().Format(time.RFC3339Nano), err)
		},
	}
	w.Run(ctx)
	return nil
}

type checkRegistry struct {
	registryFlags
}

// Run reads the list from every endpoint.
func (c *checkRegistry) Run(out io.Writer) error {
	g, client, err := c.open()
	if err != nil {
		return err
	}
	bad := 0
	for i, endpoint := range g.Endpoints {
		ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
		members, revision := 0, int64(0)
		err := client.List(ctx, i, true, func(u roster.Update) {
			members, revision = members+len(u.Entries), u.Revision
			for _, b := range u.Invalid {
				bad++
				fmt.Fprintf(out, "%s: entry %s: %s\n", endpoint, b.ID, b.Reason)
			}
		})
		if end(); err != nil {
			bad++
			fmt.Fprintf(out, "%s: %v\n", endpoint, err)
			continue
		}
		fmt.Fprintf(out, "%s: revision %d, %d good entries\n", endpoint, revision, members)
	}
	if bad > 0 {
		return fmt.Errorf("%d things are wrong", bad)
	}
	return nil
}
