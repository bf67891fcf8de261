package main

import (
	"testing"

	"weirwind/internal/util/process/processtest"
)

func TestCommandLine(t *testing.T) {
	processtest.Check(t, role, "listen.front=10.0.0.1:2\nlisten.readyAddr=10.0.0.1:3\n",
		"a proxy needs listen.front and listen.readyAddr")
}
