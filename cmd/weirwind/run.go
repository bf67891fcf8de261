package main

// This file runs the driver as a process, and handles its signals, including the reload of both files. It loses no
// signal that arrives before the driver is ready.

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
	signals := make(chan os.Signal, 8) // registered first, as SIGHUP and SIGUSR1 end a process by default
	signal.Notify(signals, syscall.SIGHUP, syscall.SIGUSR1)
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
	go func() { // runs until the process ends
		for s := range signals {
			if s == syscall.SIGUSR1 {
				service.LogCounters()
				continue
			}
			text, o, err := c.read()
			service.Reload(text, err, o)
		}
	}()
	return service.Run(ctx, os.Stderr)
}
