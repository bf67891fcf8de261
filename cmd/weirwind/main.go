// Command weirwind is the driver on sockets. It reads its configuration from the file that PROXY_CONFIG names,
// serves until SIGTERM, reads its configuration again on SIGHUP, and puts its counters into the log on SIGUSR1 and
// at its end.
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
	asked := make(chan os.Signal, 8) // from the first moment on: by default SIGHUP and SIGUSR1 end a process
	signal.Notify(asked, syscall.SIGHUP, syscall.SIGUSR1)
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
	go func() {
		for s := range asked {
			if s == syscall.SIGUSR1 {
				service.Report()
			} else {
				service.Reload(os.ReadFile(path))
			}
		}
	}()
	return service.Run(ctx, os.Stderr)
}
