// Command weirwind is the driver, a read/write splitter for database clusters, and the tool for its state, its registry
// and its control socket. Each file holds one family of commands; the packages under internal/ implement them.
package main

// This file defines the command line: the commands, and the files that they read.

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"weirwind/internal/cli"
	"weirwind/internal/driver"
	"weirwind/internal/operator"
)

type commands struct {
	Run        runCommand         `cmd:"" default:"1" help:"Serve until SIGTERM (the default). SIGHUP reads both files again, SIGUSR1 logs the counters."`
	Check      checkCommand       `cmd:"" help:"Say what is wrong with the files, or what is in force."`
	State      stateCommands      `cmd:"" help:"Look at learned state, verify it, forget parts of it."`
	Registry   registryCommands   `cmd:"" help:"Look at the members in a key-value registry."`
	Switch     switchCommands     `cmd:"" help:"Words on planned changes of a primary, for hooks of the topology manager."`
	Zones      zonesCommands      `cmd:"" help:"Zones and regions: which serve whose reads, as the drivers agreed."`
	Membership membershipCommands `cmd:"" help:"Fellow drivers: who is there, who has failed, who may do what."`
	Migrate    migrateCommand     `cmd:"" help:"Write an operators' file's counterpart for drivers that share nothing."`
	Version    versionCommand     `cmd:"" help:"Print the version."`
}

// files are the flags that name the configuration files.
type files struct {
	Config   string `help:"The platform's configuration." env:"PROXY_CONFIG" placeholder:"FILE"`
	Operator string `help:"The operators' file." env:"WEIRWIND_OPERATOR" placeholder:"FILE"`
}

const examples = `A read and write splitter for database clusters.

Examples:

  PROXY_CONFIG=config.json weirwind
  weirwind run --config config.json --operator operator.hcl
  weirwind check --operator operator.hcl
  weirwind state show --json /var/lib/weirwind
  weirwind state forget --member m7 /var/lib/weirwind
  weirwind registry watch --operator operator.hcl
  weirwind switch hold --group 3 --lease 10s
  weirwind switch plan changes.hcl
  weirwind membership status --json
  weirwind membership compare
  weirwind migrate --dry-run operator.hcl`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes a command line and returns the exit code.
func run(args []string, out, problems io.Writer) int {
	return cli.Run("weirwind", examples, &commands{}, args, os.Stdin, out, problems)
}

// read returns the content of the platform's configuration, and the operators' file, which is optional.
func (f *files) read() (text []byte, operators operator.File, err error) {
	if f.Config == "" {
		return nil, operators, errors.New("PROXY_CONFIG names no file")
	}
	if text, err = os.ReadFile(f.Config); err != nil {
		return nil, operators, fmt.Errorf("PROXY_CONFIG: %w", err)
	}
	operators, err = f.operators()
	return text, operators, err
}

// operators returns the operators' file, or its default if none is named.
func (f *files) operators() (operator.File, error) {
	if f.Operator == "" {
		return operator.Default(), nil
	}
	text, err := os.ReadFile(f.Operator)
	if err != nil {
		return operator.Default(), fmt.Errorf("operators' file: %w", err)
	}
	return operator.Parse(f.Operator, text)
}

type checkCommand struct {
	files
}

// Run prints the settings in force, or returns the first error.
func (c *checkCommand) Run(out io.Writer) error {
	if c.Config == "" && c.Operator == "" {
		return errors.New("nothing to check: name --config, --operator or both")
	}
	if c.Config != "" {
		text, err := os.ReadFile(c.Config)
		if err == nil {
			err = driver.Check(text)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", c.Config, err)
		}
		fmt.Fprintf(out, "%s: good\n", c.Config)
	}
	operators, err := c.operators()
	if err != nil {
		return err
	}
	if c.Operator != "" {
		fmt.Fprintf(out, "%s: good; in force:\n%s", c.Operator, operators)
	}
	return nil
}

type versionCommand struct{}

// Run prints the version.
func (versionCommand) Run(out io.Writer) error {
	version, revision := "devel", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
		fmt.Fprintf(out, "weirwind %s%s %s\n", version, revision, info.GoVersion)
		return nil
	}
	fmt.Fprintf(out, "weirwind %s\n", version)
	return nil
}
