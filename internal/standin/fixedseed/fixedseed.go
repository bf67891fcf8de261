// Package fixedseed makes property tests draw the same every time. It must never weaken a seed or a number of checks
// that is named on the command line.
package fixedseed

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid" // whose flags these are
)

// Main runs a package's tests with a fixed seed, and with so many checks a property; "" for the usual number.
func Main(m *testing.M, checks string) {
	flag.Parse()
	setDefault := func(name, flagDefault, value string) {
		if f := flag.Lookup(name); f.Value.String() == flagDefault {
			if err := f.Value.Set(value); err != nil {
				panic(err) // a flag of rapid's has another type now
			}
		}
	}
	setDefault("rapid.seed", "0", "20261201")
	if checks != "" {
		setDefault("rapid.checks", "100", checks)
	}
	os.Exit(m.Run())
}
