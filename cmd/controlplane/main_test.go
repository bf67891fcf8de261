package main

import (
	"testing"

	"weirwind/internal/util/process/processtest"
)

func TestCommandLine(t *testing.T) {
	processtest.Check(t, role, "listen.ctl=10.0.0.1:2\ndatadir=/d\n", "a machine of the core needs listen.ctl and datadir")
}
