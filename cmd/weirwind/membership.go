package main

// This file implements the membership commands.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/mesh"
)

type membershipCommands struct {
	Status  membershipStatusCommand `cmd:"" help:"Whom the driver sees, and its standing."`
	Watch   membershipWatchCommand  `cmd:"" help:"Print what changes of that, until interrupted."`
	Leave   leaveCommand            `cmd:"" help:"Have the driver leave its fellows on purpose; it goes on serving clients."`
	Forget  forgetDriverCommand     `cmd:"" help:"Take a failed driver off the roster that majorities are counted in."`
	Compare compareCommand          `cmd:"" help:"Ask all drivers for their views; exit code 1 where they differ."`
}

// driverLine formats a driver's own status in its view of the fleet.
func driverLine(status *membership.Status) string {
	text := fmt.Sprintf("self=%s standing=%s", status.Self, status.Partition)
	if status.Reason != "" {
		text += " reason=" + status.Reason
	}
	text += fmt.Sprintf(" for=%s count=%d health=%d", roundedDuration(status.PartitionDuration), status.DriverCount,
		status.Health)
	if status.Roster != nil {
		text += fmt.Sprintf(" roster=%d of=%d", status.Roster.Version, len(status.Roster.Names))
	}
	if status.RejectedFrames > 0 {
		text += fmt.Sprintf(" frames_refused=%d", status.RejectedFrames)
	}
	return text
}

// peerLine formats a driver's view of one peer.
func peerLine(view *membership.View) string {
	text := fmt.Sprintf("name=%s state=%s heard=%v listed=%v address=%s zone=%s for=%s", view.Name, view.State,
		view.Reachable, view.OnRoster, view.Address, view.Zone, roundedDuration(view.StateDuration))
	if len(view.Unreachable) > 0 {
		text += " does_not_hear=" + strings.Join(view.Unreachable, ",")
	}
	return text
}

type membershipStatusCommand struct {
	socketFlag
	JSON bool `help:"As JSON." name:"json"`
}

// Run prints a line for the driver and one for each peer.
func (c *membershipStatusCommand) Run(out io.Writer) error {
	return c.call(callTimeout, func(ctx context.Context, client *control.Client) error {
		s, err := client.Membership(ctx)
		if err != nil {
			return err
		}
		if c.JSON {
			return printJSON(out, s)
		}
		fmt.Fprintln(out, driverLine(&s))
		for i := range s.Drivers {
			fmt.Fprintln(out, peerLine(&s.Drivers[i]))
		}
		return nil
	})
}

type membershipWatchCommand struct {
	watchFlags
	JSON bool `help:"As JSON, a view a line." name:"json"`
}

// Run prints the changes since the last poll.
func (c *membershipWatchCommand) Run(out io.Writer) error {
	printed := map[string]string{}
	return c.poll(func(ctx context.Context, client *control.Client) error {
		s, err := client.Membership(ctx)
		if err != nil {
			return err
		}
		changed := false
		printChange := func(key, value, text string) {
			if printed[key] != value {
				printed[key], changed = value, true
				if !c.JSON {
					fmt.Fprintln(out, time.Now().Format("15:04:05.000"), text)
				}
			}
		}
		printChange("", fmt.Sprint(s.Partition, s.Reason, s.DriverCount, s.Roster), driverLine(&s))
		for i := range s.Drivers {
			v := &s.Drivers[i]
			printChange(v.Name, fmt.Sprint(v.State, v.Reachable, v.OnRoster, v.Run, v.Unreachable), peerLine(v))
		}
		if c.JSON && changed {
			return printJSON(out, s)
		}
		return nil
	})
}

type leaveCommand struct{ socketFlag }

// Run makes the driver leave the fleet.
func (c *leaveCommand) Run() error {
	return c.call(callTimeout, func(ctx context.Context, client *control.Client) error {
		return client.Leave(ctx)
	})
}

type forgetDriverCommand struct {
	socketFlag
	Name    string `arg:"" help:"The driver."`
	Certain bool   `help:"You made sure that it does not run: take it off though this driver is not with the larger part."`
}

// Run removes a failed driver from the roster.
func (c *forgetDriverCommand) Run() error {
	return c.call(callTimeout, func(ctx context.Context, client *control.Client) error {
		return client.Forget(ctx, control.ForgetRequest{Name: c.Name, Certain: c.Certain})
	})
}

type compareCommand struct {
	socketFlag
	JSON bool `help:"All views as JSON." name:"json"`
}

// Run prints the differences between the drivers' views.
func (c *compareCommand) Run(out io.Writer) error {
	return c.call(callTimeout, func(ctx context.Context, client *control.Client) error {
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
					fmt.Fprintln(out, driverLine(s))
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
