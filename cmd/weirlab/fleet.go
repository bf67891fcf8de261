package main

// This file owns the command that runs a script on processes of the program.

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"

	"weirwind/internal/lab/fleet"
)

// fleetCommand runs a script on processes of the program.
type fleetCommand struct {
	File    string `arg:"" help:"The script."`
	Page    string `help:"The page that shows who saw whom when." default:"weirlab-fleet.html"`
	Program string `help:"The built program; built anew without it." placeholder:"PATH"`
}

// Run runs a script and writes the page.
func (c *fleetCommand) Run(out io.Writer) error {
	text, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	s, err := fleet.ParseScript(c.File, text)
	if err != nil {
		return err
	}
	if s.Program = c.Program; s.Program == "" {
		folder, err := os.MkdirTemp("", "wwbin")
		if err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(folder) }()
		if s.Program, err = fleet.Build(folder); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	page, err := s.Run(ctx, out)
	if err != nil {
		return err
	}
	if err := os.WriteFile(c.Page, page, 0o644); err != nil {
		return err
	}
	fmt.Fprintln(out, "page:", c.Page)
	return nil
}
