package main

// This file owns the command that runs sessions under faults.

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"weirwind/internal/lab/sessionrun"
)

// sessionsCommand runs open sessions against a deployment of processes.
type sessionsCommand struct {
	For     time.Duration `help:"How long it lasts; a third in a site is pulled, at two thirds another is drained." default:"30s"`
	Sites   int           `help:"Sites." default:"4"`
	Clients int           `help:"Open sessions." default:"50"`
	Every   time.Duration `help:"Between two messages to a client." default:"50ms"`
	Log     string        `help:"A file for the processes' logs." placeholder:"FILE"`
	Report  string        `help:"The page that ends it." default:"weirlab-sessions.html"`
}

// Run runs the sessions and audits every message.
func (c *sessionsCommand) Run(out io.Writer) error {
	if c.For < 6*time.Second || c.Sites < 3 || c.Sites > 9 || c.Clients < 1 || c.Clients > 2000 ||
		c.Every < time.Millisecond {
		return fmt.Errorf("an evening lasts 6s at least, with 3 to 9 sites and 1 to 2000 clients")
	}
	log, closeLog, err := logTo(c.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	fmt.Fprintf(out, "three machines of the core, %d sites, two edges, %d open sessions\n"+
		"second  queued    came  longest silence\n", c.Sites, c.Clients)
	r, err := sessionrun.Run(ctx, c.options(), log, func(n int, second sessionrun.Second) {
		if second.Event != "" {
			fmt.Fprintln(out, "      --", second.Event)
		}
		fmt.Fprintf(out, "%6d %7d %7d %16s\n", n, second.Queued, second.Delivered, second.LongestGap.Round(time.Millisecond))
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Report, []byte(r.HTML("An evening of open sessions")), 0o644); err != nil {
		return err
	}
	return c.verdict(out, r)
}

// options returns the options of the run.
func (c *sessionsCommand) options() sessionrun.Options {
	return sessionrun.Options{
		Duration:        c.For,
		Sites:           c.Sites,
		Clients:         c.Clients,
		MessageInterval: c.Every,
	}
}

// verdict prints the result; it returns an error if there is a violation.
func (c *sessionsCommand) verdict(out io.Writer, r sessionrun.Result) error {
	gaps := r.LongestGaps
	fmt.Fprintf(out, "%d messages queued, %d came; %d of %d sockets stayed open; "+
		"longest silence of a client %s at the median, %s at most; page %s\n", r.Queued, r.Delivered, r.StayedOpen,
		r.Opened, gaps[len(gaps)/2].Round(time.Millisecond), gaps[len(gaps)-1].Round(time.Millisecond), c.Report)
	if r.Lost+r.Duplicated+r.OutOfOrder > 0 || r.StayedOpen < r.Opened {
		return fmt.Errorf("audit: %d lost, %d doubled, %d out of order, %d sockets closed", r.Lost, r.Duplicated,
			r.OutOfOrder, r.Opened-r.StayedOpen)
	}
	fmt.Fprintln(out, "audit: every queued message came once and in order, on sessions that stayed open")
	return nil
}
