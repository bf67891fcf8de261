// Package ci tests the scripts that check the repository.
package ci

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// sample is a module with a test that passes, one that fails, one that panics, and a second package with a test of the
// same name as the first's passing one.
var sample = map[string]string{
	"go.mod": "module sample\n\ngo 1.26.0\n",
	"a/a_test.go": `package a

import "testing"

func TestGood(t *testing.T)  {}
func TestRed(t *testing.T)   { t.Run("part", func(t *testing.T) { t.Error("a known fault") }) }
func TestPanic(t *testing.T) { panic("a known panic") }
func TestIdle(t *testing.T)  { t.Skip("not here") }
`,
	"b/b_test.go": "package b\n\nimport \"testing\"\n\nfunc TestGood(t *testing.T) {}\n",
}

// racePackage matches a package path in a script.
var racePackage = regexp.MustCompile(`\./(internal[\w/]*\w)`)

const (
	red = "test: sample/a.TestRed\ncommand: go test -run TestRed ./a -args -seed 3\n" +
		"seen: the store forgets\nissue: 7\n"
	panics = "\ntest: sample/a.TestPanic\ncommand: go test -run TestPanic ./a\nseed: 4\n" +
		"seen: the index is off by one\nissue: 8\n"
	good     = "\ntest: sample/a.TestGood\ncommand: go test ./a\nseen: it was flaky\nissue: 9\n"
	idle     = "\ntest: sample/a.TestIdle\ncommand: go test ./a\nseen: it is flaky\nissue: 10\n"
	goodOfB  = "\ntest: sample/b.TestGood\ncommand: go test ./b\nseen: it was flaky\nissue: 9"
	otherRed = "package b\n\nimport \"testing\"\n\nfunc TestRed(t *testing.T) { t.Error(\"nobody listed this one\") }\n"
	noBuild  = "package b\n\nfunc broken( {\n"
)

// Only listed tests may fail: any other failure, and any list that isn't exact, is an error.
func TestKnownRed(t *testing.T) {
	for name, c := range map[string]struct {
		list, b    string // replaces the content of package b's test file
		pass       bool
		wantOutput string
	}{
		"no list":                               {wantOutput: "TestRed"},
		"all that fail are listed":              {list: red + panics, pass: true, wantOutput: "a known panic"},
		"an unlisted panic":                     {list: red, wantOutput: "a known panic"},
		"an unlisted failure":                   {list: panics, wantOutput: "a known fault"},
		"a listed name in another package":      {list: red + panics, b: otherRed, wantOutput: "nobody listed this one"},
		"a package that does not build":         {list: red + panics, b: noBuild, wantOutput: "sample/b"},
		"a listed test that passes":             {list: red + panics + good, pass: true, wantOutput: "sample/a.TestGood passed"},
		"a listed test that is skipped":         {list: red + panics + idle, pass: true, wantOutput: "sample/a.TestIdle was skipped: it was not run"},
		"four entries, no newline at the end":   {list: red + panics + good + goodOfB, pass: true, wantOutput: "sample/b.TestGood passed"},
		"what was seen is printed":              {list: red + panics, pass: true, wantOutput: "seen: the index is off by one"},
		"a repeated test":                       {list: red + panics + good + good, wantOutput: "line 17: sample/a.TestGood is named twice"},
		"no such test":                          {list: red + strings.Replace(panics, "TestPanic", "TestPan", 1), wantOutput: "no test TestPan"},
		"no such package":                       {list: strings.Replace(red, "/a", "/c", 1), wantOutput: "no package sample/c"},
		"no command":                            {list: without(red, "command"), wantOutput: "line 2 is not 'command: ...'"},
		"nothing seen":                          {list: without(red, "seen"), wantOutput: "line 3 is not 'seen: ...'"},
		"an empty value":                        {list: strings.Replace(red, "the store forgets", " ", 1), wantOutput: "line 3 is not 'seen: ...'"},
		"no issue at the end":                   {list: without(red, "issue"), wantOutput: "line 3: the entry ends without 'issue: ...'"},
		"no issue before another":               {list: without(red, "issue") + panics, wantOutput: "the entry ends without 'issue: ...'"},
		"an issue without a number":             {list: strings.Replace(red, "7", "soon", 1), wantOutput: "line 4 is not 'issue: ...'"},
		"a seed that is no number":              {list: red + strings.Replace(panics, "4", "four", 1), wantOutput: "line 8 is not 'seed: ...'"},
		"entries without an empty line between": {list: red + strings.TrimSpace(panics), wantOutput: "line 5: more than an entry has"},
		"no test":                               {list: without(red, "test"), wantOutput: "line 1 is not 'test: ...'"},
		"a pattern":                             {list: strings.Replace(red, "TestRed", "Test.*", 1), wantOutput: "line 1 is not 'test: ...'"},
		"the older form":                        {list: "sample/a.TestRed, the store forgets, issue 7\n", wantOutput: "line 1 is not 'test: ...'"},
		"a list with a space only":              {list: " \n", wantOutput: "line 1 is not 'test: ...'"},
		"an empty list":                         {list: "\n", wantOutput: "is empty"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, err := runScript(t, "test", c.list, c.b)
			if (err == nil) != c.pass || !strings.Contains(out, c.wantOutput) {
				t.Errorf("passes: %v, want %v; want %q in the output:\n%s", err == nil, c.pass, c.wantOutput, out)
			}
		})
	}
}

// The race detector's run tolerates failures of the listed tests and of no others.
func TestRacePassesOverKnownRed(t *testing.T) {
	inRacePackage := strings.NewReplacer("sample/a", "sample/internal/controlplane/agent", "./a", "./internal/controlplane/agent")
	for name, c := range map[string]struct {
		list       string
		pass       bool
		wantOutput string
	}{
		"no list":                  {wantOutput: "a known fault"},
		"all that fail are listed": {list: red + panics, pass: true, wantOutput: "sample/internal/util"},
		"an unlisted failure":      {list: panics, wantOutput: "a known fault"},
		"a malformed list":         {list: without(red, "issue") + panics, wantOutput: "the entry ends without 'issue: ...'"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			out, err := runScript(t, "race", inRacePackage.Replace(c.list), "")
			if (err == nil) != c.pass || !strings.Contains(out, c.wantOutput) {
				t.Errorf("passes: %v, want %v; want %q in the output:\n%s", err == nil, c.pass, c.wantOutput, out)
			}
		})
	}
}

// without returns an entry without the line of a key.
func without(entry, key string) string {
	return regexp.MustCompile(`(?m)^`+key+`: .*\n`).ReplaceAllString(entry, "")
}

// runScript runs a copy of a script of .ci on the sample module with the given list of known failures. For the race
// script it creates each package that the script names, and puts package a's tests into one of them.
func runScript(t *testing.T, script, list, b string) (string, error) {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string, mode os.FileMode) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), mode); err != nil {
			t.Fatal(err)
		}
	}
	for name, text := range sample {
		write(name, text, 0o644)
	}
	if b != "" {
		write("b/b_test.go", b, 0o644)
	}
	for _, name := range []string{"test", "race", "strict", "known-red"} {
		text, err := os.ReadFile(filepath.Join(root, ".ci", name))
		if err != nil {
			t.Fatal(err)
		}
		write(filepath.Join(".ci", name), string(text), 0o755)
		for _, folder := range racePackage.FindAllStringSubmatch(string(text), -1) {
			if script == "race" {
				write(folder[1]+"/b_test.go", sample["b/b_test.go"], 0o644)
			}
		}
	}
	if script == "race" {
		write("internal/controlplane/agent/b_test.go", sample["a/a_test.go"], 0o644)
	}
	if list != "" {
		write("KNOWN-RED.txt", list, 0o644)
	}
	run := exec.Command("bash", filepath.Join(dir, ".ci", script))
	run.Dir = dir
	out, err := run.CombinedOutput()
	return string(out), err
}
