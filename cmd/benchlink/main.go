// Command benchlink hosts the decision module on the simulator's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"weirwind/internal/benchwire"
)

func main() {
	if err := benchwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}
