// Command weirctl is the operators' command line tool: status and its reasons, configurations, shards, sessions, and
// the disks of core machines.
package main

import (
	"os"

	"weirwind/internal/weirctl"
)

func main() { os.Exit(weirctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
