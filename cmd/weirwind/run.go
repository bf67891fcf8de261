package main

// This file owns a run of the driver as a process: signals, and both files read again. It must never lose a signal
// that comes before the driver is ready.

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"weirwind/internal/driver"
)

type runCommand struct {
	files
}

// Run serves until SIGTERM.
func (c *runCommand) Run() error {
	asked := make(chan os.Signal, 8) // from the first moment on: by default SIGHUP and SIGUSR1 end a process
	signal.Notify(asked, syscall.SIGHUP, syscall.SIGUSR1)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	text, o, err := c.read()
	if err != nil {
		return err
	}
	service, err := driver.New(text, o)
	if err != nil {
		return err
	}
	go func() {
		for s := range asked {
			if s == syscall.SIGUSR1 {
				service.Report()
			} else {
				text, o, err := c.read()
				service.Reload(text, err, o)
			}
		}
	}()
	return service.Run(ctx, os.Stderr)
}
