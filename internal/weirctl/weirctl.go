package weirctl

// This file owns the program's frame: finding the command, and the exit code.

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

// errUsage says that the command line is wrong; the usage is printed instead of it.
var errUsage = errors.New("wrong command line")

// Main runs a command and returns the exit code: 0, 1 for a failure, 2 for a wrong command line.
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

// run finds the command that the arguments begin with, and runs it with the others.
func run(args []string, out io.Writer) error {
	for _, c := range commands() {
		rest, ok := c.match(args)
		if ok {
			return c.run(rest, out)
		}
	}
	return errUsage
}
