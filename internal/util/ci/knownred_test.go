// Package ci tests the scripts that check the repository.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// sample is a module with a test that passes, one that fails, one that panics and one of the same name elsewhere.
var sample = map[string]string{
	"go.mod": "module sample\n\ngo 1.26.0\n",
	"a/a_test.go": `package a

import "testing"

func TestGood(t *testing.T)  {}
func TestRed(t *testing.T)   { t.Run("part", func(t *testing.T) { t.Error("a known fault") }) }
func TestPanic(t *testing.T) { panic("a known panic") }
`,
	"b/b_test.go": "package b\n\nimport \"testing\"\n\nfunc TestGood(t *testing.T) {}\n",
}

const (
	redLine   = "sample/a.TestRed, the store forgets, issue 7\n"
	panicLine = "sample/a.TestPanic, the index is off by one, issue 8\n"
	goodLine  = "sample/a.TestGood, it was flaky, issue 9\n"
	otherRed  = "package b\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Error(\"nobody listed this one\") }\n"
	noBuild   = "package b\n\nfunc broken( {\n"
)

// Only listed tests may fail: any other failure, and any list that isn't exact, is an error.
func TestKnownRed(t *testing.T) {
	for name, c := range map[string]struct {
		list, b string // b replaces package b's file
		pass    bool
		says    string
	}{
		"no list":                       {says: "TestRed"},
		"all that fail are listed":      {list: redLine + panicLine, pass: true, says: "a known panic"},
		"a panic is not":                {list: redLine, says: "a known panic"},
		"a failure beside it is not":    {list: panicLine, says: "a known fault"},
		"its name in another package":   {list: redLine + panicLine, b: otherRed, says: "nobody listed this one"},
		"a package that does not build": {list: redLine + panicLine, b: noBuild, says: "sample/b"},
		"one that passes is told":       {list: redLine + panicLine + goodLine, pass: true, says: "sample/a.TestGood passed"},
		"four lines":                    {list: redLine + panicLine + goodLine + goodLine, says: "more than 3 lines"},
		"no such test":                  {list: redLine + strings.Replace(panicLine, "TestPanic", "TestPan", 1), says: "no test TestPan"},
		"no such package":               {list: strings.Replace(redLine, "/a", "/c", 1), says: "no package sample/c"},
		"no issue":                      {list: "sample/a.TestRed, the store forgets\n", says: "line 1 is not"},
		"a pattern":                     {list: "sample/a.Test.*, all of them, issue 7\n", says: "line 1 is not"},
		"an empty list":                 {list: " \n", says: "line 1 is not"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, err := runTests(t, c.list, c.b)
			if (err == nil) != c.pass || !strings.Contains(out, c.says) {
				t.Errorf("passes: %v, want %v; output lacks %q or not:\n%s", err == nil, c.pass, c.says, out)
			}
		})
	}
}

// runTests runs .ci/test on the sample module with this list of known failures.
func runTests(t *testing.T, list, b string) (string, error) {
	t.Helper()
	script, err := filepath.Abs("../../../.ci/test")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	write := func(name, text string) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	for name, text := range sample {
		write(name, text)
	}
	if b != "" {
		write("b/b_test.go", b)
	}
	if list != "" {
		write("KNOWN-RED.txt", list)
	}
	run := exec.Command("bash", script)
	run.Dir = dir
	out, err := run.CombinedOutput()
	return string(out), err
}
