package durable_test

import (
	"testing"

	"weirwind/internal/standin/draws"
)

func TestMain(m *testing.M) { draws.Main(m, "") }
