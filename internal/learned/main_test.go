package learned

import (
	"testing"

	"weirwind/internal/standin/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m, "") }
