package weirctl

// This file has the entry point: it selects the command, and maps its error to an exit code.

import (
	"errors"
	"fmt"
	"io"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2 // the command line is wrong
)

// errUsage is the error of a wrong command line. The usage text is printed in its place.
var errUsage = errors.New("wrong command line")

// Main runs the command of a command line and returns the exit code: 0 for success, 1 for a failure, 2 for a wrong
// command line.
func Main(args []string, out, errs io.Writer) int {
	if len(args) == 1 && isHelp(args[0]) {
		printUsage(out)
		return exitOK
	}
	err := run(args, out)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage):
		printUsage(errs)
		return exitUsage
	default:
		fmt.Fprintln(errs, "weirctl:", err)
		return exitFailure
	}
}

func isHelp(arg string) bool {
	return arg == "-h" || arg == "-help" || arg == "--help" || arg == "help"
}

// run runs the command that the arguments begin with on the remaining arguments.
func run(args []string, out io.Writer) error {
	for _, c := range commands() {
		rest, ok := c.match(args)
		if ok {
			return c.run(rest, out)
		}
	}
	return errUsage
}
