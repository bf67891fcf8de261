// Command adlerweg is the operators' command: status, reasons, configurations, and core machines' disks.
package main

import (
	"os"

	"weirwind/internal/adlerweg"
)

func main() { os.Exit(adlerweg.Main(os.Args[1:], os.Stdout, os.Stderr)) }
