// Command weirctl is the operators' command: status, reasons, configurations, and core machines' disks.
package main

import (
	"os"

	"weirwind/internal/weirctl"
)

func main() { os.Exit(weirctl.Main(os.Args[1:], os.Stdout, os.Stderr)) }
