package learned

import (
	"testing"

	"weirwind/internal/standin/draws"
)

func TestMain(m *testing.M) { draws.Main(m, "") }
