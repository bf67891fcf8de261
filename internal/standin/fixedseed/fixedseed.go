// Package fixedseed makes property tests use the same random values in each run. A seed or a number of checks given on
// the command line takes precedence.
package fixedseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // registers the flags
)

// Main runs a package's tests with a fixed seed and the given number of checks per property; "" means the default
// number.
func Main(m *testing.M, checks string) {
	flag.Parse()
	setDefault := func(name, flagDefault, value string) {
		if f := flag.Lookup(name); f.Value.String() == flagDefault {
			if err := f.Value.Set(value); err != nil {
				panic(err) // the type of rapid's flag has changed
			}
		}
	}
	setDefault("rapid.seed", "0", "20261201")
	if checks != "" {
		setDefault("rapid.checks", "100", checks)
	}
	os.Exit(m.Run())
}
