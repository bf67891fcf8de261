// Command weirlab is weirwind's test bed: it runs the decision module in virtual time, drivers and clusters on sockets,
// and deployments as processes, under load and faults, and audits the outcome of every op. It prints only measured
// figures, and fails if an audit finds a violation.
package main

import (
	"io"
	"os"

	"weirwind/internal/cli"
	"weirwind/internal/lab/hollow"
	"weirwind/internal/lab/sessionrun"
)

// commands are the subcommands; kong derives their names from the fields' names.
type commands struct {
	Demo       demoCommand            `cmd:"" help:"Start a cluster, two drivers and a load, kill the primary, drain a replica, show what happens, and end with an audit."`
	Serve      serveCommand           `cmd:"" help:"Start a cluster and its list of members; faults come as lines on standard input, such as 'kill g1m1'."`
	Emulate    emulateCommand         `cmd:"" help:"Play drivers before members in virtual time, the module and baselines side by side."`
	Experiment experimentCommand      `cmd:"" help:"Play the experiments of a file, side by side, and draw what came of them."`
	Compare    compareCommand         `cmd:"" help:"Compare two sets of results, or two variants of one, with 95 % intervals."`
	Report     reportCommand          `cmd:"" help:"Draw a page of results."`
	Trust      trustCommand           `cmd:"" help:"Play the same scenarios on sockets and in virtual time, and compare."`
	Switch     switchCommand          `cmd:"" help:"Change the primary again and again under load, with hooks, without, and by killing it; count gaps and effects."`
	Storm      registryRestartCommand `cmd:"" help:"Restart a stand-in registry under many clients that follow it, ours and naive ones."`
	Flock      membershipCommand      `cmd:"" help:"Measure how drivers find out about each other, in virtual time."`
	Fleet      fleetCommand           `cmd:"" help:"Play a script with processes of the program that know each other, and draw who saw whom when."`
	Sessions   sessionsCommand        `cmd:"" help:"Play an evening of open websocket sessions with processes: a site is pulled, another drained, every message audited."`
	Hollow     hollowCommand          `cmd:"" help:"Measure what core machines and agents cost by size: real processes, hollow drivers and members, counted by purpose."`
	Load       loadCommand            `cmd:"" help:"Ask drivers at a rate that does not wait for them."`
}

func main() {
	if code, ok := sessionrun.Role(); ok { // a process of the command sessions
		os.Exit(code)
	}
	if code, ok := hollow.Role(); ok { // a process of the command hollow
		os.Exit(code)
	}
	os.Exit(command(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}

// command runs a command line and returns the exit code, which is 1 for a violation of a rule.
func command(args []string, in io.Reader, out, errOut io.Writer) int {
	return cli.Run("weirlab", "The laboratory of weirwind.", &commands{}, args, in, out, errOut)
}

// logTo creates the file for processes' logs, and returns a writer and a function that closes the file. Without a name
// logs are discarded.
func logTo(file string) (io.Writer, func(), error) {
	if file == "" {
		return io.Discard, func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, nil, err
	}
	return f, func() { _ = f.Close() }, nil
}
