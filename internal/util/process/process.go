// Package process is what every process of the system starts and ends with: its command line, its settings, its
// signals.
//
// This file owns the frame round a role; what the role does is its own.
package process

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/samber/oops"

	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// Role is what a program does with its settings until the context ends.
type Role struct {
	Name  string
	Summary string
	Check func(*settings.Settings) error
	Run   func(context.Context, *settings.Settings, events.Log) error
}

// Main runs a role's program and gives its exit code: 0 for an end in order, 1 for a failure, 2 for a wrong call.
func Main(r Role, args []string, out io.Writer) int {
	flags := flag.NewFlagSet(r.Name, flag.ContinueOnError)
	flags.SetOutput(out)
	file := flags.String("settings", os.Getenv(settings.EnvVariable), "settings `file`; else the variable "+settings.EnvVariable+" names it")
	check := flags.Bool("check", false, "read and check the settings, and end")
	flags.Usage = func() {
		fmt.Fprintf(out, "%s: %s\n\nUsage: %s [-settings FILE] [-check]\n\n", r.Name, r.Summary, r.Name)
		flags.PrintDefaults()
		fmt.Fprintln(out, "\nSIGHUP reads the settings again, SIGTERM ends in order. The log, on standard error, has numbered events: docs/events.md.")
	}
	if err := flags.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return 0
		}
		return 2
	}
	if flags.NArg() > 0 || *file == "" {
		flags.Usage()
		return 2
	}
	log := events.New(os.Stderr, r.Name)
	s, err := load(*file, r)
	if err != nil {
		log.Error(events.BadSettings, err)
		return 1
	}
	if *check {
		fmt.Fprintln(out, "the settings can be served with")
		return 0
	}
	debug.SetGCPercent(60)
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * 7 / 10)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	go func() {
		for range hup {
			if now, err := load(*file, r); err != nil {
				log.Error(events.BadSettings, err)
			} else {
				log.Event(events.Reloaded, "peers", now.Peers)
			}
		}
	}()
	if err := r.Run(ctx, s, log); err != nil {
		log.Error(events.Stopped, err)
		return 1
	}
	return 0
}

func load(file string, r Role) (*settings.Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, oops.In("settings").Wrap(err)
	}
	s, err := settings.Read(text)
	if err == nil && r.Check != nil {
		err = r.Check(s)
	}
	return s, err
}
