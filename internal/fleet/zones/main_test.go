package zones

import (
	"flag"
	"os"
	"testing"
)

// The drawn faults are the same at each run, so that a run's verdict is the code's; -rapid.seed draws others.
// docs/zones.md tells of a case that others found and that is open.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "7"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
