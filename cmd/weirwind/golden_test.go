package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"weirwind/internal/standin/golden"
)

const planText = `member "p" {
  group    = 1
  zone     = "a"
  capacity = 100
  primary  = true
}
member "q" {
  group    = 1
  zone     = "b"
  capacity = 100
}
member "r" {
  group    = 1
  capacity = 100
}
replace = ["q", "p"]
limits {
  away       = "10s"
  warm       = "20s"
  cold_share = 0.5
  gap        = "2s"
  lost       = "10s"
  pause      = "5s"
  within     = "1h"
  group "1" {
    capacity = 150
  }
  zone "a" {
    capacity = 0
  }
}
`

// The help of each command, plans and error messages must match the recorded output.
func TestRecordedOutput(t *testing.T) {
	folder := t.TempDir()
	for _, name := range []string{"PROXY_CONFIG", "WEIRWIND_OPERATOR", "WEIRWIND_CONTROL"} {
		t.Setenv(name, "")
	}
	file := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	r := strings.NewReplacer
	plan := file("plan.hcl", planText)
	var cases []golden.Case[string]
	for _, args := range [][]string{{"--help"}, {"run", "--help"}, {"check", "--help"}, {"state", "--help"},
		{"state", "show", "--help"}, {"state", "verify", "--help"}, {"state", "forget", "--help"},
		{"registry", "watch", "--help"}, {"registry", "check", "--help"}, {"switch", "--help"},
		{"switch", "announce", "--help"}, {"switch", "hold", "--help"}, {"switch", "release", "--help"},
		{"switch", "abort", "--help"}, {"switch", "status", "--help"}, {"switch", "plan", "--help"},
		{"zones", "status", "--help"}, {"zones", "plan", "--help"}, {"zones", "evacuate", "--help"},
		{"zones", "return", "--help"}, {"zones", "freeze", "--help"}, {"zones", "watch", "--help"},
		{"membership", "status", "--help"}, {"membership", "watch", "--help"}, {"membership", "leave", "--help"},
		{"membership", "forget", "--help"}, {"membership", "compare", "--help"}, {"migrate", "--help"}, {"odd"},
		{"run"}, {"check"}, {"check", "--operator", folder + "/none"}, {"registry", "check"}, {"state", "show", folder + "/none"},
		{"switch", "plan", plan}, {"switch", "plan", plan, "--tries", "1"}, {"switch", "plan", folder + "/none"},
		{"switch", "plan", file("bad.hcl", "limits {")},
		{"switch", "plan", file("time.hcl", r(`"5s"`, `"soon"`).Replace(planText))},
		{"switch", "plan", file("group.hcl", r(`group "1"`, `group "one"`).Replace(planText))},
		{"switch", "plan", file("none.hcl", r(`["q", "p"]`, `[]`).Replace(planText))},
		{"switch", "plan", file("odd.hcl", r(`zone     = "a"`, "zone = \"a\"\n odd = 1").Replace(planText))},
		{"switch", "plan", file("full.hcl", r("= 150", "= 350").Replace(planText))},
		{"membership", "status", "--socket", folder + "/none"}, {"zones", "freeze", "--socket", folder + "/none"},
	} {
		var out, problems bytes.Buffer
		code := run(args, &out, &problems)
		text := strings.ReplaceAll(fmt.Sprintf("%d %s | %s", code, &out, &problems), folder, "FOLDER")
		cases = append(cases, golden.Of(strings.ReplaceAll(strings.Join(args, " "), folder, "FOLDER"), text))
	}
	golden.Text(t, "testdata/output.txt", cases)
}
