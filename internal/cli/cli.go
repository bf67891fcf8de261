// Package cli runs the command line of one of the programs. It defines the exit codes: 0 for success, 1 for bad input
// or any other failure of the command, 2 for a wrong command line. It has no code of the commands themselves.
package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Run parses the arguments into commands, a pointer to a struct for kong, runs the selected command, and returns the
// exit code. Commands get the input and the output as io.Reader and io.Writer.
func Run(name, description string, commands any, args []string, in io.Reader, out, errOut io.Writer) int {
	exitCode := -1 // set when kong wants to exit, as after printing the help
	parser, err := kong.New(commands, kong.Name(name), kong.Description(description), kong.Writers(out, errOut),
		kong.Exit(func(code int) { exitCode = max(exitCode, code) }), kong.BindTo(in, (*io.Reader)(nil)),
		kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		panic(err) // a programming error: the commands are fixed at compile time
	}
	call, err := parser.Parse(args)
	if exitCode >= 0 {
		return exitCode
	}
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", name, err)
		return 2
	}
	if err := call.Run(); err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", name, err)
		return 1
	}
	return 0
}
