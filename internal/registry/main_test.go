package registry

import (
	"flag"
	"os"
	"testing"
)

// Properties are tested with the same draws every time, and few of them, as each starts servers.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string][2]string{"rapid.seed": {"0", "20261201"}, "rapid.checks": {"100", "5"}} {
		if f := flag.Lookup(name); f.Value.String() == value[0] {
			f.Value.Set(value[1])
		}
	}
	os.Exit(m.Run())
}
