// Command benchlink serves the line protocol of the operators' simulator on standard input and output, and answers with
// the decisions of package logic.
package main

import (
	"fmt"
	"os"
	"runtime/pprof"

	"weirwind/internal/benchwire"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

func run() error {
	if p := os.Getenv("BENCHLINK_CPUPROFILE"); p != "" {
		f, _ := os.Create(fmt.Sprintf("%s.%d", p, os.Getpid()))
		_ = pprof.StartCPUProfile(f) // without a file there is no profile
		defer pprof.StopCPUProfile()
	}
	return benchwire.Serve(os.Stdin, os.Stdout)
}
