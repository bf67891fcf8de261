package main

// This file implements the commands that hooks of a topology manager call. They never wait longer than a hook may, and
// report success only if the driver accepted the notification.

import (
	"context"
	"fmt"
	"io"
	"time"

	"weirwind/internal/control"
	"weirwind/internal/switchover"
)

type switchCommands struct {
	Announce announceCommand `cmd:"" help:"A change is coming; nothing is held yet."`
	Hold     holdCommand     `cmd:"" help:"The old primary is about to be taken out: hold the group's writes. Again: renew the lease."`
	Release  releaseCommand  `cmd:"" help:"The change is made: writes go to whoever is primary now, the old one aside."`
	Abort    abortCommand    `cmd:"" help:"There is no change: the old primary goes on."`
	Status   statusCommand   `cmd:"" help:"What the driver knows of changes."`
	Plan     planCommand     `cmd:"" help:"Order and pace planned changes and replacements over groups."`
}

// notificationFlags are the flags of commands that notify the driver.
type notificationFlags struct {
	socketFlag
	Group int64  `help:"The group." required:""`
	From  string `help:"The old primary; the driver's own view without it."`
	To    string `help:"The primary to come, where that is known."`
	Epoch uint64 `help:"The change that is meant; the one that is open without it."`
}

// notify sends a notification and prints it with the fields that the driver filled in.
func (f *notificationFlags) notify(out io.Writer, stage switchover.Stage, lease time.Duration) error {
	return f.call(switchTimeout, func(ctx context.Context, client *control.Client) error {
		n, err := client.NotifyHook(ctx, switchover.Notification{
			Group: f.Group,
			From:  f.From,
			To:    f.To,
			Epoch: f.Epoch,
			Stage: stage,
			Lease: float64(lease) / float64(time.Millisecond),
		})
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "group=%d epoch=%d stage=%s from=%s to=%s", n.Group, n.Epoch, n.Stage, n.From, n.To)
		if stage == switchover.StageHeld {
			fmt.Fprintf(out, " lease=%s", time.Duration(n.Lease*float64(time.Millisecond)))
		}
		fmt.Fprintln(out)
		return nil
	})
}

type announceCommand struct{ notificationFlags }

// Run announces a change.
func (c *announceCommand) Run(out io.Writer) error {
	return c.notify(out, switchover.StageAnnounced, 0)
}

type holdCommand struct {
	notificationFlags
	Lease time.Duration `help:"Writes are held for so long at most, unless the hold is renewed; the operators' file's without it."`
}

// Run holds a group's writes, or renews the hold.
func (c *holdCommand) Run(out io.Writer) error {
	return c.notify(out, switchover.StageHeld, c.Lease)
}

type releaseCommand struct{ notificationFlags }

// Run releases a group's writes to the new primary.
func (c *releaseCommand) Run(out io.Writer) error {
	return c.notify(out, switchover.StageReleased, 0)
}

type abortCommand struct{ notificationFlags }

// Run aborts a change.
func (c *abortCommand) Run(out io.Writer) error {
	return c.notify(out, switchover.StageAborted, 0)
}

type statusCommand struct{ socketFlag }

// Run prints a line for each change.
func (c *statusCommand) Run(out io.Writer) error {
	return c.call(switchTimeout, func(ctx context.Context, client *control.Client) error {
		changes, err := client.Status(ctx)
		if err != nil {
			return err
		}
		for _, s := range changes {
			remaining := time.Duration(s.Remaining * float64(time.Millisecond)).Round(time.Millisecond)
			fmt.Fprintf(out, "group=%d epoch=%d stage=%s from=%s to=%s marked=%s primary=%s left=%s lapsed=%v over=%v\n",
				s.Group, s.Epoch, s.Stage, s.From, s.To, s.Draining, s.Primary, remaining, s.Expired, s.Finished)
		}
		return nil
	})
}
