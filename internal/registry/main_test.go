package registry

import (
	"testing"

	"weirwind/internal/standin/draws"
)

// Few checks, as each starts servers.
func TestMain(m *testing.M) { draws.Main(m, "5") }
