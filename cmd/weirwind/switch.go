package main

// This file owns the commands that hooks of a topology manager call. It must never wait for longer than a hook may, or
// say that a word was taken when it was not.

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

type socketFlag struct {
	Socket string `help:"The driver's control socket, or host:port with --token-file." env:"WEIRWIND_CONTROL" default:"/run/weirwind/control.sock" placeholder:"PATH"`
}

type wordFlags struct {
	socketFlag
	Group int64  `help:"The group." required:""`
	From  string `help:"The old primary; the driver's own view without it."`
	To    string `help:"The primary to come, where that is known."`
	Epoch uint64 `help:"The change that is meant; the one that is open without it."`
}

func (c *wordFlags) say(out io.Writer, stage switchover.Stage, lease time.Duration) error {
	ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	client := control.NewClient(c.Socket, "")
	defer client.Close()
	w, err := client.NotifyHook(ctx, switchover.Notification{Group: c.Group, From: c.From, To: c.To, Epoch: c.Epoch,
		Stage: stage,
		Lease: float64(lease) / float64(time.Millisecond)})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "group=%d epoch=%d stage=%s from=%s to=%s", w.Group, w.Epoch, w.Stage, w.From, w.To)
	if stage == switchover.StageHeld {
		fmt.Fprintf(out, " lease=%s", time.Duration(w.Lease*float64(time.Millisecond)))
	}
	fmt.Fprintln(out)
	return nil
}

type announceCommand struct{ wordFlags }
type releaseCommand struct{ wordFlags }
type abortCommand struct{ wordFlags }
type holdCommand struct {
	wordFlags
	Lease time.Duration `help:"Writes are held for so long at most, unless the hold is renewed; the operators' file's without it."`
}

// Run says the word of each.
func (c *announceCommand) Run(out io.Writer) error { return c.say(out, switchover.StageAnnounced, 0) }
func (c *holdCommand) Run(out io.Writer) error     { return c.say(out, switchover.StageHeld, c.Lease) }
func (c *releaseCommand) Run(out io.Writer) error  { return c.say(out, switchover.StageReleased, 0) }
func (c *abortCommand) Run(out io.Writer) error    { return c.say(out, switchover.StageAborted, 0) }

type statusCommand struct{ socketFlag }

// Run prints a line a change.
func (c *statusCommand) Run(out io.Writer) error {
	ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	client := control.NewClient(c.Socket, "")
	defer client.Close()
	all, err := client.Status(ctx)
	if err != nil {
		return err
	}
	for _, s := range all {
		fmt.Fprintf(out, "group=%d epoch=%d stage=%s from=%s to=%s marked=%s primary=%s left=%s lapsed=%v over=%v\n", s.Group,
			s.Epoch, s.Stage, s.From, s.To, s.Draining, s.Primary,
			time.Duration(s.Remaining*float64(time.Millisecond)).Round(time.Millisecond), s.Expired, s.Finished)
	}
	return nil
}
