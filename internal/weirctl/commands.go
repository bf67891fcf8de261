package weirctl

// This file owns the table of commands, and the usage, which is printed from it.

import (
	"io"
	"slices"
	"strings"
)

// command is one of the program's commands.
type command struct {
	name      string // the words that the command line begins with
	arguments count  // how many must follow; a command with flags of its own checks more
	run       func(args []string, out io.Writer) error
	usage     string // its lines of the usage; "": another command's lines tell of it too
}

// count is a range of numbers of arguments.
type count struct{ min, max int }

// unbounded is the maximum of a command that takes any number of arguments.
const unbounded = 1 << 30

func exactly(n int) count { return count{n, n} }
func minimum(n int) count { return count{n, unbounded} }

// match reports whether a command line is this command's, and returns the arguments behind its name.
func (c *command) match(args []string) (rest []string, ok bool) {
	name := strings.Fields(c.name)
	if len(args) < len(name) || !slices.Equal(args[:len(name)], name) {
		return nil, false
	}
	rest = args[len(name):]
	return rest, len(rest) >= c.arguments.min && len(rest) <= c.arguments.max
}

// commands returns the table, in the order of the usage.
func commands() []command {
	return slices.Concat(statusCommands, configCommands, memberCommands, shardCommands, sessionCommands, stateCommands)
}

// continuation begins a further line about a command, below the text of its first one.
const continuation = "                                             "

func printUsage(out io.Writer) {
	var b strings.Builder
	b.WriteString("weirctl asks and tends the system.\n\n")
	for _, c := range commands() {
		b.WriteString(c.usage)
	}
	_, _ = io.WriteString(out, b.String()) // nobody is left to be told
}
