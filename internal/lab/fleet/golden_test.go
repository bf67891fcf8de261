package fleet

import (
	"fmt"
	"testing"

	"weirwind/internal/standin/golden"
)

const script = `
drivers = 3
spare   = 1
period  = "200ms"
end     = "9s"
seed    = 4
step "start" {
  at      = "3s"
  drivers = [3]
}
step "kill" {
  at      = "1s"
  drivers = [0, 1]
}
step "cut" {
  at    = "4s"
  parts = [[0, 1], [2]]
}
step "way" {
  at     = "2s"
  from   = 1
  to     = 2
  cut    = true
  loss   = 0.5
  double = 0.25
  delay  = "5ms"
  jitter = "2ms"
  rate   = 1000
}
step "heal" {
  at = "5s"
}
`

// The steps of a script in execution order, the errors of invalid scripts, and the page are as recorded.
func TestRecordedScriptAndPage(t *testing.T) {
	var cases []golden.Case[string]
	record := func(name, value string) { cases = append(cases, golden.Of(name, value)) }
	s, err := ParseScript("s.hcl", []byte(script))
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.Steps {
		record(fmt.Sprint("step ", i), fmt.Sprint(s.Steps[i].at, " ", s.Steps[i].String()))
	}
	for i, text := range []string{
		`drivers = 0`,
		"drivers = 1\nend = \"soon\"",
		"drivers = 1\nend = \"1s\"\nstep \"eat\" {\nat = \"1s\"\n}",
		"drivers = 1\nend = \"1s\"\nstep \"kill\" {\nat = \"1s\"\ndrivers = [2]\n}"} {
		_, err := ParseScript("s.hcl", []byte(text))
		record(fmt.Sprint("error ", i), fmt.Sprint(err))
	}
	driverReports := []reports{{}, {}}
	for i, status := range []string{"unsure", "unsure", "whole", "smaller", "silent", "whole"} {
		driverReports[0].record(float64(i), "", status)
		driverReports[1].record(float64(i)+0.5, "n10", map[bool]string{true: "alive", false: "unheard"}[i < 3])
		driverReports[1].record(float64(i)+0.5, "n0", "alive")
	}
	f := &Fleet{Drivers: []*Driver{{Name: "n0"}, {Name: "n1"}}}
	page, err := renderPage(f, driverReports, []interval{{1, 0, s.Steps[0].String()}}, 6)
	if err != nil {
		t.Fatal(err)
	}
	record("page", string(page))
	golden.Text(t, "testdata/script.golden", cases)
}
