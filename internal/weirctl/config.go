package weirctl

// This file has the commands about the operator's configuration.

import (
	"fmt"
	"io"
	"os"
	"time"

	"weirwind/internal/controlplane/config"
)

var configCommands = []command{
	{"config check", exactly(1), configCheck, `  weirctl config check FILE                 ` +
		`reads a configuration as the core would
`},
	{"config log", exactly(1), configLog, `  weirctl config log ADDR                   ` +
		`which versions were taken, when, on which base, at which machine
`},
	{"config diff", exactly(2), configDiff, `  weirctl config diff ADDR FILE             ` +
		`what FILE would change of what is in place
`},
}

func configCheck(args []string, out io.Writer) error {
	raw, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	configuration, err := config.Parse(raw)
	if err == nil {
		fmt.Fprintf(out, "version %d can be served: %d routes, %d services\n", configuration.Version,
			len(configuration.Routes), len(configuration.Services))
	}
	return err
}

func configLog(args []string, out io.Writer) error {
	var changes []config.AppliedChange
	if err := getJSON(args[0], "/config/log", &changes); err != nil {
		return err
	}
	for _, change := range changes {
		fmt.Fprintf(out, "%s version %d on %d, taken at %s, digest %x\n",
			time.UnixMilli(change.AppliedAt).UTC().Format(time.RFC3339), change.Version, change.BaseVersion,
			change.Origin, change.Digest[:6])
	}
	return nil
}

func configDiff(args []string, out io.Writer) error {
	current, err := get(args[0], "/config/show")
	if err != nil {
		return err
	}
	proposed, err := os.ReadFile(args[1])
	if err != nil {
		return err
	}
	lines, err := config.Diff(current, proposed)
	for _, line := range lines {
		fmt.Fprintln(out, line)
	}
	return err
}
