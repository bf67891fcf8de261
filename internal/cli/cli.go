// Package cli carries out a call of one of the programs. It owns the exit codes: 0 for good, 1 for bad input or
// whatever the command found to be wrong, 2 for a call that is wrong. It must never do a command's work.
package cli

import (
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Run parses the arguments into commands, a pointer to a struct as kong takes it, and runs the one that is named.
// Commands get the input and the output as io.Reader and io.Writer. It gives the exit code.
func Run(name, description string, commands any, args []string, in io.Reader, out, problems io.Writer) int {
	left := -1 // the code with which the help leaves
	parser, err := kong.New(commands, kong.Name(name), kong.Description(description), kong.Writers(out, problems),
		kong.Exit(func(code int) { left = max(left, code) }), kong.BindTo(in, (*io.Reader)(nil)),
		kong.BindTo(out, (*io.Writer)(nil)))
	if err != nil {
		panic(err) // the commands are constants
	}
	call, err := parser.Parse(args)
	if left >= 0 {
		return left
	}
	if err != nil {
		fmt.Fprintf(problems, "%s: %v\n", name, err)
		return 2
	}
	if err := call.Run(); err != nil {
		fmt.Fprintf(problems, "%s: %v\n", name, err)
		return 1
	}
	return 0
}
