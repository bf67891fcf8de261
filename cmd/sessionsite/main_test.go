package main

import (
	"testing"

	"weirwind/internal/util/process/processtest"
)

func TestCommandLine(t *testing.T) {
	processtest.Check(t, role, "peers=10.0.0.2:1\nlisten.readyAddr=10.0.0.1:3\n",
		"a site needs peers and listen.readyAddr")
}
