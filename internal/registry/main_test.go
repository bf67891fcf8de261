package registry

import (
	"testing"

	"weirwind/internal/standin/fixedseed"
)

// The number of checks is low, as each starts servers.
func TestMain(m *testing.M) { fixedseed.Main(m, "5") }
