package main

// This file owns the commands on a driver's fellows. It must never decide who lives.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/mesh"
)

type membershipCommands struct {
	Status  fellowsCommand      `cmd:"" help:"Whom the driver sees, and its standing."`
	Watch   watchCommand        `cmd:"" help:"Print what changes of that, until interrupted."`
	Leave   leaveCommand        `cmd:"" help:"Have the driver leave its fellows on purpose; it goes on serving clients."`
	Forget  forgetFellowCommand `cmd:"" help:"Take a failed driver off the roster that majorities are counted in."`
	Compare compareCommand      `cmd:"" help:"Ask all drivers for their views; exit code 1 where they differ."`
}

// with makes one call to the driver.
func (f *socketFlag) with(do func(context.Context, *control.Client) error) error {
	ctx, stop := context.WithTimeout(context.Background(), 25*time.Second)
	defer stop()
	client := control.NewClient(f.Socket, "")
	defer client.Close()
	return do(ctx, client)
}

// watchFlags are of commands that look at the driver again and again.
type watchFlags struct {
	socketFlag
	Every time.Duration `help:"Between two looks." default:"200ms"`
	Times int           `help:"End after so many looks; 0: never." default:"0"`
}

// look looks until interrupted, as often as is said at most.
func (f *watchFlags) look(at func(context.Context, *control.Client) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	client := control.NewClient(f.Socket, "")
	defer client.Close()
	for n := 0; f.Times == 0 || n < f.Times; n++ {
		if err := at(ctx, client); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(f.Every):
		}
	}
	return nil
}

func printJSON(out io.Writer, x any) error {
	e := json.NewEncoder(out)
	return e.Encode(x)
}

func span(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Millisecond)
}

// line is a driver's own part of its view.
func line(s *membership.Status) string {
	text := fmt.Sprintf("self=%s standing=%s", s.Self, s.Partition)
	if s.Reason != "" {
		text += " reason=" + s.Reason
	}
	text += fmt.Sprintf(" for=%s count=%d health=%d", span(s.For), s.Count, s.Health)
	if s.Roster != nil {
		text += fmt.Sprintf(" roster=%d of=%d", s.Roster.Version, len(s.Roster.Names))
	}
	if s.Refused > 0 {
		text += fmt.Sprintf(" frames_refused=%d", s.Refused)
	}
	return text
}

// fellowLine is its part on one fellow.
func fellowLine(v *membership.View) string {
	text := fmt.Sprintf("name=%s state=%s heard=%v listed=%v address=%s zone=%s for=%s", v.Name, v.State, v.Reachable,
		v.OnRoster, v.Address, v.Zone, span(v.For))
	if len(v.Unreachable) > 0 {
		text += " does_not_hear=" + strings.Join(v.Unreachable, ",")
	}
	return text
}

type fellowsCommand struct {
	socketFlag
	JSON bool `help:"As JSON." name:"json"`
}

// Run prints a line on the driver and one on each fellow.
func (c *fellowsCommand) Run(out io.Writer) error {
	return c.with(func(ctx context.Context, client *control.Client) error {
		s, err := client.Membership(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(out, s)
		}
		fmt.Fprintln(out, line(&s))
		for i := range s.Drivers {
			fmt.Fprintln(out, fellowLine(&s.Drivers[i]))
		}
		return nil
	})
}

type watchCommand struct {
	watchFlags
	JSON bool `help:"As JSON, a view a line." name:"json"`
}

// Run prints what has changed from look to look.
func (c *watchCommand) Run(out io.Writer) error {
	said := map[string]string{}
	return c.look(func(ctx context.Context, client *control.Client) error {
		s, err := client.Membership(ctx)
		if err != nil {
			return err
		}
		changed := false
		say := func(key, value, text string) {
			if said[key] != value {
				said[key], changed = value, true
				if !c.JSON {
					fmt.Fprintln(out, time.Now().Format("15:04:05.000"), text)
				}
			}
		}
		say("", fmt.Sprint(s.Partition, s.Reason, s.Count, s.Roster), line(&s))
		for i := range s.Drivers {
			v := &s.Drivers[i]
			say(v.Name, fmt.Sprint(v.State, v.Reachable, v.OnRoster, v.Run, v.Unreachable), fellowLine(v))
		}
		if c.JSON && changed {
			return printJSON(out, s)
		}
		return nil
	})
}

type leaveCommand struct{ socketFlag }

// Run has the driver leave.
func (c *leaveCommand) Run() error {
	return c.with(func(ctx context.Context, client *control.Client) error { return client.Leave(ctx) })
}

type forgetFellowCommand struct {
	socketFlag
	Name    string `arg:"" help:"The driver."`
	Certain bool   `help:"You made sure that it does not run: take it off though this driver is not with the larger part."`
}

// Run has a driver forgotten.
func (c *forgetFellowCommand) Run() error {
	return c.with(func(ctx context.Context, client *control.Client) error {
		return client.Forget(ctx, control.ForgetRequest{Name: c.Name, Certain: c.Certain})
	})
}

type compareCommand struct {
	socketFlag
	JSON bool `help:"All views as JSON." name:"json"`
}

// Run prints where views differ.
func (c *compareCommand) Run(out io.Writer) error {
	return c.with(func(ctx context.Context, client *control.Client) error {
		all, err := client.Compare(ctx)
		if err != nil {
			return err
		}
		lines := mesh.Differences(all)
		if c.JSON {
			err = printJSON(out, all)
		} else {
			for i := range all {
				if s := all[i].Status; s != nil {
					fmt.Fprintln(out, line(s))
				}
			}
			for _, l := range lines {
				fmt.Fprintln(out, l)
			}
		}
		if err == nil && len(lines) > 0 {
			err = errors.New("views differ")
		}
		return err
	})
}
