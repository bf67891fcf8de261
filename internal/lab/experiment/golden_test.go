package experiment

import (
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"strings"
	"testing"

	"github.com/parquet-go/parquet-go"

	"weirwind/internal/standin/golden"
)

// allArguments is a file with every argument that a file may have.
const allArguments = `
scenario "all" {
  drivers = 2
  groups  = 2
  members = 3
  cores   = 2
  work    = "20ms"
  load    = 0.5
  lag     = "10ms"
  for     = "3s"
  retries = 2
  zones   = 3
  hop     = "1ms"
  far_hop = "3ms"
  handshake   = "4ms"
  connections = 50
  elect       = "700ms"
  op "keyed" {
    share   = 1
    need    = "session"
    effect  = "tokened"
    window  = "5s"
    target  = "100ms"
    timeout = "1s"
  }
  fault "slow" {
    at  = "1s"
    for = "500ms"
    on  = "g1m1"
    by  = 3
  }
}
experiment "x" {
  scenario = "all"
  variant "one" {
    policy   = "least"
    retries  = 1
    advice   = true
    probes   = false
    messages = 20
  }
}
`

// A file's plans, the results of its runs, and the comparison and page on them are as recorded.
func TestRecordedPlansAndResults(t *testing.T) {
	plans, err := ParseFile("s.hcl", []byte(smallFile))
	if err != nil {
		t.Fatal(err)
	}
	more, err := ParseFile("every.hcl", []byte(allArguments))
	if err != nil {
		t.Fatal(err)
	}
	var cases []golden.Case[string]
	record := func(name, value string) { cases = append(cases, golden.Of(name, value)) }
	for i, p := range append(plans, more...) {
		form, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		record(fmt.Sprint("plan ", i), string(form)+" "+p.fileName("b"))
	}
	record("columns", parquet.SchemaOf(Run{}).String())
	rows, err := Runner{Folder: t.TempDir(), Build: "b", Cores: 4, Out: io.Discard}.Run(t.Context(), plans)
	if err != nil {
		t.Fatal(err)
	}
	for i, r := range rows {
		record(fmt.Sprint("run ", i), rowText(t, r))
	}
	var out bytes.Buffer
	for _, across := range []bool{false, true} {
		if err := WriteComparison(
			&out,
			"A",
			"B",
			Compare(SelectVariant(rows, "module"), SelectVariant(rows, "plain"), across),
		); err != nil {
			t.Fatal(err)
		}
	}
	record("comparison", out.String())
	out.Reset()
	if err := WritePage(&out, "T", []string{"note"}, rows, "text", ""); err != nil {
		t.Fatal(err)
	}
	record("page", digest(out.String()))
	record("page's texts", strings.Join(strings.Split(out.String(), "<svg")[:1], ""))
	golden.Text(t, "testdata/experiment.golden", cases)
}

// rowText returns a row as text, with a digest of the decoded latencies, as their compressed form depends on the
// compressor.
func rowText(t *testing.T, r Run) string {
	t.Helper()
	r = clone(r)
	var latencies strings.Builder
	for i := range r.Types {
		h, err := r.Types[i].histogram()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintln(&latencies, h.Distribution())
		r.Types[i].Latency = nil
	}
	return fmt.Sprintf("worth %v, %d ops, %d events, latencies %s, row %s", r.ValueShare, r.Ops, r.Events,
		digest(latencies.String()), digest(fmt.Sprint(r)))
}

func digest(text string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, text)
	return fmt.Sprintf("%016x", h.Sum64())
}
