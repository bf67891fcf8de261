package weirctl

// This file has the table of commands, and the usage text, which is generated from the table.

import (
	"io"
	"slices"
	"strings"
)

// command is one of the program's commands.
type command struct {
	name      string        // the words that the command line begins with
	arguments argumentCount // how many must follow; a command with flags of its own checks more
	run       func(args []string, out io.Writer) error
	usage     string // its lines in the usage text; "": included in another command's lines
}

// count is a range of numbers of arguments.
type argumentCount struct{ min, max int }

// unbounded is the maximum of a command that takes any number of arguments.
const unbounded = 1 << 30

func exactly(n int) argumentCount { return argumentCount{n, n} }
func atLeast(n int) argumentCount { return argumentCount{n, unbounded} }

// match reports whether a command line selects this command and has a valid number of arguments, and returns the
// arguments after the command's name.
func (c *command) match(args []string) (rest []string, ok bool) {
	name := strings.Fields(c.name)
	if len(args) < len(name) || !slices.Equal(args[:len(name)], name) {
		return nil, false
	}
	rest = args[len(name):]
	return rest, len(rest) >= c.arguments.min && len(rest) <= c.arguments.max
}

// commands returns the table in the order of the usage text.
func commands() []command {
	return slices.Concat(statusCommands, configCommands, memberCommands, shardCommands, sessionCommands, stateCommands)
}

// continuation indents further lines about a command to the text of its first line.
const continuationIndent = "                                             "

func printUsage(out io.Writer) {
	var b strings.Builder
	b.WriteString("weirctl asks and tends the system.\n\n")
	for _, c := range commands() {
		b.WriteString(c.usage)
	}
	_, _ = io.WriteString(out, b.String()) // there is no other output to report a write error to
}
