package main

import (
	"fmt"
	"os"
	"runtime/pprof"

	"weirwind/internal/benchwire"
)

func main() {
	if p := os.Getenv("BENCHLINK_CPUPROFILE"); p != "" {
		f, _ := os.Create(fmt.Sprintf("%s.%d", p, os.Getpid()))
		_ = pprof.StartCPUProfile(f) // without a file there is no profile
		defer pprof.StopCPUProfile()
	}
	if err := benchwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
