package main

// This file owns the command that measures the cost of the control plane at several sizes.

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"weirwind/internal/lab/experiment"
	"weirwind/internal/lab/hollow"
)

// hollowCommand measures the cost of the control plane.
type hollowCommand struct {
	Drivers   []int         `help:"How many agents; may stand several times." default:"10,30,100"`
	Databases int           `help:"Databases of three members each; 0: 1.45 a driver, as at the operators' size."`
	Cores     int           `help:"Core machines." default:"5"`
	Renewals  int           `help:"Of each driver's lease in a phase: about as many seconds." default:"10"`
	Limit     time.Duration `help:"Until all is known, at most." default:"3m"`
	Net       int           `help:"127.NET and those that follow are used." default:"60"`
	Port      int           `help:"The first of four ports." default:"21400"`
	Log       string        `help:"A file for the processes' logs." placeholder:"FILE"`
	Out       string        `help:"A folder for results and picture." default:"."`
}

// Run measures each size and stores the rows, including those of a size that failed.
func (c *hollowCommand) Run(out io.Writer) error {
	if c.Cores < 1 || c.Cores > 100 || c.Net < 1 || c.Net+c.Cores > 250 || c.Port < 1024 || c.Port > 60000 ||
		c.Renewals < 1 || c.Databases < 0 || c.Databases > 5800 {
		return fmt.Errorf("a play has up to 100 core machines and 5800 databases, within 127/8 and the ports above 1024")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log, closeLog, err := logTo(c.Log)
	if err != nil {
		return err
	}
	defer closeLog()
	var rows []hollow.Row
	var failed error
	for _, n := range c.Drivers {
		if n < 2 || n > 4000 {
			return fmt.Errorf("2 to 4000 drivers are played")
		}
		databases := c.Databases
		if databases == 0 {
			databases = n * 145 / 100
		}
		o := hollow.Options{
			Drivers:   n,
			Databases: databases,
			Cores:     c.Cores,
			Renewals:  c.Renewals,
			Timeout:   c.Limit,
			Net:       c.Net,
			Port:      c.Port,
			Log:       log,
		}
		more, err := hollow.Run(ctx, o, out)
		rows = append(rows, more...)
		if failed = err; err != nil {
			break
		}
	}
	if len(rows) > 0 {
		if err := experiment.Save(filepath.Join(c.Out, "hollow.parquet"), rows); err != nil {
			return err
		}
		if err := hollow.Draw(filepath.Join(c.Out, "hollow.png"), "steady", rows); err != nil {
			return err
		}
	}
	return failed
}
