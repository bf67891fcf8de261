package main

// This file implements the commands' calls to a driver's control socket: one call, and polling.

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/signal"
	"time"

	"weirwind/internal/control"
)

const (
	callTimeout   = 25 * time.Second // the driver may itself call all its peers meanwhile
	switchTimeout = 3 * time.Second  // hooks must not wait longer
)

// socketFlag selects the driver.
type socketFlag struct {
	Socket string `help:"The driver's control socket, or host:port with --token-file." env:"WEIRWIND_CONTROL" default:"/run/weirwind/control.sock" placeholder:"PATH"`
}

// call makes one call to the driver.
func (f *socketFlag) call(timeout time.Duration, do func(context.Context, *control.Client) error) error {
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	client := control.NewClient(f.Socket, "")
	defer client.Close()
	return do(ctx, client)
}

// watchFlags are the flags of commands that poll the driver.
type watchFlags struct {
	socketFlag
	Every time.Duration `help:"Between two looks." default:"200ms"`
	Times int           `help:"End after so many looks; 0: never." default:"0"`
}

// poll calls the driver until it is interrupted, or as often as the flags say.
func (f *watchFlags) poll(do func(context.Context, *control.Client) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	client := control.NewClient(f.Socket, "")
	defer client.Close()
	for n := 0; f.Times == 0 || n < f.Times; n++ {
		if err := do(ctx, client); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(f.Every):
		}
	}
	return nil
}

func printJSON(out io.Writer, value any) error { return json.NewEncoder(out).Encode(value) }

// roundedDuration converts milliseconds to a duration that is rounded for printing.
func roundedDuration(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond)).Round(100 * time.Millisecond)
}
