package registry

import (
	"testing"

	"weirwind/internal/standin/fixedseed"
)

// Few checks, as each starts servers.
func TestMain(m *testing.M) { fixedseed.Main(m, "5") }
