package learned

import (
	"flag"
	"os"
	"testing"

	_ "pgregory.net/rapid"
)

// Properties are tested with the same draws every time, unless a seed is named.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("20261201")
	}
	os.Exit(m.Run())
}
