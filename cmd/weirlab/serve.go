package main

// This file owns the command that serves a cluster and reads faults from standard input.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"weirwind/internal/lab"
)

// serveCommand runs a cluster.
type serveCommand struct {
	Groups  int           `help:"Groups." default:"1"`
	Members int           `help:"Members a group." default:"5"`
	Work    time.Duration `help:"Mean time of an op." default:"3ms"`
	Lag     time.Duration `help:"Of replicas." default:"20ms"`
	Elect   time.Duration `help:"From a primary's end to the next one." default:"2s"`
	Config  string        `help:"Write a driver's configuration to this file." placeholder:"FILE"`
	Listen  string        `help:"The address in that configuration." default:"127.0.0.1:6432"`
}

// Run serves the cluster until its input ends or it is interrupted.
func (c *serveCommand) Run(in io.Reader, out io.Writer) error {
	if c.Groups < 1 || c.Members < 1 || c.Groups*c.Members > 500 {
		return fmt.Errorf("a cluster has up to 500 members")
	}
	cluster, err := lab.Start(lab.Options{
		Groups:         c.Groups,
		Members:        c.Members,
		ServiceTime:    c.Work,
		ReplicationLag: c.Lag,
		ElectionTime:   c.Elect,
	})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	if c.Config != "" {
		if err := os.WriteFile(c.Config, cluster.Configuration("n0", c.Listen, 1, 0), 0o600); err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "discovery at %s; kill, heal, hang, free, slow, drain or undrain a member\n", cluster.Discovery())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	lines := make(chan string)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(in); s.Scan(); {
			lines <- s.Text()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case text, ok := <-lines:
			if !ok {
				return nil
			}
			fault, id, _ := strings.Cut(strings.TrimSpace(text), " ")
			result := "not known"
			if cluster.Inject(fault, id) {
				result = "done"
			}
			fmt.Fprintf(out, "%s %s: %s\n", fault, id, result)
		}
	}
}
