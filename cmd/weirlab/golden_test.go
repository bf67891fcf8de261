package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"weirwind/internal/standin/golden"
)

// Every command's name, flags, defaults and help, and the output of the commands in virtual time, are as recorded.
func TestRecordedCommandLine(t *testing.T) {
	var cases []golden.Case[string]
	record := func(args ...string) {
		var out bytes.Buffer
		code := command(args, strings.NewReader(""), &out, &out)
		cases = append(cases, golden.Of(strings.Join(args, " "), fmt.Sprintf("%d\n%s", code, &out)))
	}
	record("--help")
	for _, name := range []string{"demo", "serve", "emulate", "experiment", "compare", "report", "trust", "switch",
		"storm", "flock", "fleet", "sessions", "hollow", "load"} {
		record(name, "--help")
	}
	record("emulate", "--for=6s", "--fault=kill@1s+3s:g1m1", "--fault=drain@4s:g1m3", "--policy=module", "--policy=least",
		"--policy=random", "--on=2", "--seed=7")
	record("emulate", "--fault=kill@1s")
	record("emulate", "--drivers=0")
	record("demo", "--for=1ms")
	record("trust", "--for=1s")
	record("sessions", "--for=1s")
	record("hollow", "--drivers=1")
	record("hollow", "--cores=0")
	record("storm", "--clients=0")
	record("serve", "--groups=0")
	record("load", "--target=127.0.0.1:1", "--rate=0")
	record("switch", "--for=1s")
	record("compare", "missing")
	record("experiment", "missing.hcl")
	record("fleet", "missing.hcl")
	golden.Text(t, "testdata/commands.golden", cases)
}
