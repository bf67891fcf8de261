package main

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCommands(t *testing.T) {
	run := func(code int, want string, in io.Reader, args ...string) {
		t.Helper()
		var out bytes.Buffer
		if got := command(args, in, &out, &out); got != code || !strings.Contains(out.String(), want) {
			t.Errorf("%q: exit code %d, want %d with %q\n%s", args, got, code, want, &out)
		}
	}
	dir := t.TempDir()
	config, mix := filepath.Join(dir, "c.json"), filepath.Join(dir, "m.json")
	run(
		0,
		"audit: every op got one whole answer",
		nil,
		"demo",
		"--for",
		"2s",
		"--rate",
		"100",
		"--slack",
		"2s",
		"--report",
		filepath.Join(dir, "demo.html"),
	)
	run(
		0,
		"kill g1m1: done\nkill nobody: not known",
		strings.NewReader("kill g1m1\nkill nobody\n"),
		"serve",
		"--config",
		config,
	)
	if text, err := os.ReadFile(config); err != nil || !bytes.Contains(text, []byte(`"stop_sending_within"`)) {
		t.Error(err)
	}
	os.WriteFile(mix, []byte(`[{"name":""}]`), 0o600)
	run(1, "needs a name", nil, "load", "--target", "127.0.0.1:1", "--mix", mix)
	run(0, "any", nil, "load", "--target", "127.0.0.1:1", "--for", "200ms")
	run(0, "naive", nil, "storm", "--clients", "20", "--members", "10", "--away", "200ms")
	run(
		0,
		"module: ",
		nil,
		"emulate",
		"--for",
		"3s",
		"--fault",
		"kill@1s:g1m1",
		"--policy",
		"module",
		"--policy",
		"random",
	)
	file, found := filepath.Join(dir, "e.hcl"), filepath.Join(dir, "found")
	os.WriteFile(
		file,
		[]byte(experimentFile),
		0o600,
	)
	run(0, "report: ", nil, "experiment", file, "--out", found, "--png")
	run(0, "4 of them are there already", nil, "experiment", file, "--out", found)
	run(0, "worth served in time", nil, "compare", found, "--variant-a", "a", "--variant-b", "b")
	run(1, "no two runs", nil, "compare", found, "--variant-a", "a", "--variant-b", "c")
	run(0, "report: ", nil, "report", found, "--out", filepath.Join(dir, "r.html"))
	run(1, "nothing to play", nil, "experiment", file, "--only", "x")
	run(1, "lasts 3s at least", nil, "trust", "--for", "1s")
	for _, page := range []string{"demo.html", "r.html", "found/report.html"} {
		if text, err := os.ReadFile(filepath.Join(dir, page)); err != nil || bytes.Count(text, []byte("<svg")) < 5 {
			t.Errorf("%s: %v, the page has too few charts", page, err)
		}
	}
	run(1, "is not of the form", nil, "emulate", "--fault", "kill")
	run(1, "at least", nil, "demo", "--for", "1ms")
	run(2, "", nil, "load")
	run(2, "", nil, "dance")
	run(0, "demo", nil, "--help")
}

// experimentFile describes an experiment with two variants and two seeds.
const experimentFile = `scenario "s" {
  for = "2s"
}
experiment "e" {
  scenario = "s"
  seeds    = 2
  variant "a" {}
  variant "b" {
    policy = "least"
  }
}
`
