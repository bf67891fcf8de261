// Command weirwind is the driver on sockets. It reads its configuration from the file that PROXY_CONFIG names,
// serves until SIGTERM, and puts its counters into the log on SIGUSR1 and at its end.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"weirwind/internal/driver"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "weirwind:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	path := os.Getenv("PROXY_CONFIG")
	if path == "" {
		return errors.New("PROXY_CONFIG names no file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("PROXY_CONFIG: %v", err)
	}
	service, err := driver.New(text)
	if err != nil {
		return err
	}
	report := make(chan os.Signal, 1)
	signal.Notify(report, syscall.SIGUSR1)
	go func() {
		for range report {
			service.Report()
		}
	}()
	return service.Run(ctx, os.Stderr)
}
