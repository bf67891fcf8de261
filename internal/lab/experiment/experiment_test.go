package experiment

import (
	"bytes"
	"context"
	"io"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"weirwind/logic"
)

const smallFile = `
scenario "s" {
  drivers = 4
  load    = 0.4
  for     = "4s"
  retries = 1
  elect   = "300ms"
  op "read" {
    share   = 3
    need    = "bounded"
    max_age = "200ms"
    target  = "250ms"
    timeout = "1s"
    value   = 2
  }
  op "write" {
    share   = 1
    need    = "write"
    effect  = "non-retryable"
    target  = "500ms"
    timeout = "2s"
  }
  fault "kill" {
    at  = "1s"
    for = "1s"
    on  = "g1m1"
  }
}
experiment "e" {
  scenario = "s"
  seeds    = 3
  drivers  = [2, 4]
  loads    = [0.3]
  variant "module" {}
  variant "plain" {
    policy  = "random"
    retries = 0
    advice  = false
    fault "slow" {
      at = "2s"
      by = 2
    }
  }
}
`

func TestParseFile(t *testing.T) {
	plans, err := ParseFile("s.hcl", []byte(smallFile))
	if err != nil || len(plans) != 12 {
		t.Fatal(err, len(plans))
	}
	a, b := plans[0].Setup, plans[1].Setup
	if a.Policy != "module" || a.Drivers != 2 || a.Load != 0.3 || a.Seed != 1 || a.ElectionTime != 300 || a.Retries != 1 ||
		len(a.Faults) != 1 ||
		a.Mix[0].MaxAge != 200 || a.Mix[1].Need != logic.Write ||
		a.Mix[1].Effect != logic.NonRetryable ||
		a.Mix[1].Value != 1 {
		t.Errorf("%+v", a)
	}
	if b.Policy != "random" || b.Retries != 0 || !b.NoAdvice || len(b.Faults) != 2 || b.Faults[1].Target != "all" ||
		b.Faults[1].Factor != 2 {
		t.Errorf("%+v", b)
	}
	for want, change := range map[string][2]string{
		`Unsupported argument`: {`drivers = 4`, `divers = 4`},
		`need "tight"`:         {`"bounded"`, `"tight"`},
		`invalid duration`:     {`"200ms"`, `"soon"`},
		`is negative`:          {`"200ms"`, `"-2s"`},
		`policy "hope"`:        {`"random"`, `"hope"`},
		`a variant`:            {`scenario = "s"`, `scenario = "x"`},
		`s.hcl:3`:              {`drivers = 4`, `drivers = "many"`},
	} {
		if _, err := ParseFile(
			"s.hcl",
			[]byte(strings.Replace(smallFile, change[0], change[1], 1)),
		); err == nil ||
			!strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// Plans are run once; a second call, also after an interruption, runs only the plans without a result and returns the
// same rows.
func TestRunAndResume(t *testing.T) {
	plans, err := ParseFile("s.hcl", []byte(smallFile))
	if err != nil {
		t.Fatal(err)
	}
	r := Runner{Folder: t.TempDir(), Build: "b", Cores: 4, Out: io.Discard}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if _, err := r.Run(ctx, plans); err == nil {
		t.Error("a run that was stopped reports success")
	}
	first, err := r.Run(context.Background(), plans)
	if err != nil {
		t.Fatal(err)
	}
	for _, i := range []int{3, 7} {
		os.Remove(filepath.Join(r.Folder, "runs", plans[i].fileName("b")))
	}
	os.WriteFile(filepath.Join(r.Folder, "runs", plans[5].fileName("b")), []byte("damaged"), 0o600)
	var out bytes.Buffer
	r.Out, r.Cores = &out, 1
	second, err := r.Run(context.Background(), plans)
	if err != nil || !strings.Contains(out.String(), "12 runs, 9 of them are there already") {
		t.Fatal(err, out.String())
	}
	kept, err := Load(r.Folder)
	if err != nil {
		t.Fatal(err)
	}
	for i := range first {
		same := func(x, y Run) bool {
			if len(x.Violations)+len(y.Violations) == 0 {
				x.Violations, y.Violations = nil, nil // a file does not distinguish nil from an empty list
			}
			for k := range x.Types { // histograms are compared decoded, as their compressed forms may differ
				a, err := x.Types[k].histogram()
				b, err2 := y.Types[k].histogram()
				if err != nil || err2 != nil || !a.Equals(b) {
					return false
				}
				x.Types[k].Latency, y.Types[k].Latency = nil, nil
			}
			return reflect.DeepEqual(x, y)
		}
		a, b, c := clone(first[i]), clone(second[i]), clone(kept[i])
		if !same(clone(a), b) || !same(a, c) {
			t.Errorf("run %d differs between the calls or from the stored row", i)
		}
		if p := &plans[i].Setup; p.Policy == "module" &&
			(len(first[i].Violations) > 0 || len(first[i].Promotions) != 1 || first[i].Quantile(50) < 5) {
			t.Errorf(
				"run %d: violations %v, promotions %v, median %v",
				i,
				first[i].Violations,
				first[i].Promotions,
				first[i].Quantile(50),
			)
		}
	}
	if other := plans[0].fileName("c"); other == plans[0].fileName("b") {
		t.Error("two builds have the same file name")
	}
	var page bytes.Buffer
	pictures := t.TempDir()
	if err := WritePage(&page, "T", []string{"<note>"}, first, "text", pictures); err != nil {
		t.Fatal(err)
	}
	all, _ := filepath.Glob(filepath.Join(pictures, "*.png"))
	if n := strings.Count(
		page.String(),
		"<svg",
	); n != 2*8 || len(all) != n ||
		!strings.Contains(page.String(), "&lt;note&gt;") {
		t.Errorf("%d charts on the page, %d PNG files", n, len(all))
	}
	if WritePage(&page, "T", nil, nil, "", "") == nil {
		t.Error("a page without rows is written without an error")
	}
}

func clone(r Run) Run {
	r.Types = append([]Type(nil), r.Types...)
	return r
}

// A difference is significant only if its confidence interval by Student's t excludes zero.
func TestCompare(t *testing.T) {
	rows := func(variant string, valueShares ...float64) (all []Run) {
		for i, x := range valueShares {
			all = append(
				all,
				Run{
					Experiment: "e",
					Variant:    variant,
					Drivers:    3,
					Seed:       uint64(i),
					ValueShare: x,
					Seconds:    []Second{{Arrivals: 10, Retries: 5}},
				},
			)
		}
		return all
	}
	a := rows("a", 0.90, 0.92, 0.91, 0.93)
	b := rows("b", 0.94, 0.96, 0.96, 0.96) // differences 0.04, 0.04, 0.05, 0.03
	d := Compare(a, b, true)
	if len(d) != len(Measures) || d[0].Pairs != 4 || math.Abs(d[0].Mean-0.04) > 1e-9 ||
		math.Abs(d[0].HalfWidth-3.18245*0.00816497/2) > 1e-5 ||
		!d[0].Significant() {
		t.Errorf("%+v", d[0])
	}
	noise := Compare(a, rows("b", 0.95, 0.88, 0.95, 0.90), true)
	if noise[0].Significant() || d[2].Significant() {
		t.Errorf("random differences are significant: %+v %+v", noise[0], d[2])
	}
	if single := Compare(a[:1], b[:1], true); single[0].Significant() || single[0].Pairs != 1 {
		t.Errorf("the difference of a single pair is significant: %+v", single[0])
	}
	if empty := Compare(a, nil, true); empty != nil {
		t.Error(empty)
	}
	if own := Compare(
		append(a, b...),
		append(b, a...),
		false,
	); len(own) != 2*len(Measures) || own[0].Mean != 0 ||
		own[0].Experiment != "e a" {
		t.Errorf("variants are not compared with those of the same name: %+v", own)
	}
	var out bytes.Buffer
	if err := WriteComparison(
		&out,
		"A",
		"B",
		append(d, noise...),
	); err != nil || !strings.Contains(out.String(), "better") ||
		!strings.Contains(out.String(), "not beyond chance") {
		t.Error(err, out.String())
	}
	if x := a[0].AttemptsPerOp(); x != 1.5 {
		t.Error(x)
	}
}
