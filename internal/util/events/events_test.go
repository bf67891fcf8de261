package events

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
)

const docsHeader = "" +
	"# Events\n" +
	"\n" +
	"Each line of the log is: milliseconds since the process began, the process, the event's number, its keys and\n" +
	"values. Numbers by concern: 1xx the process, 2xx consensus, 3xx configuration, 4xx members and drivers, 5xx\n" +
	"writer slots, 6xx failovers, 7xx clients' sessions, 8xx links, 9xx shards, 10xx sites of open sessions. `GET\n" +
	"/events` at a `ctl` or ready address gives the newest lines, `?about=TEXT` those that contain a text. An\n" +
	"error has the step and the peer at which it arose.\n" +
	"\n" +
	"| event | meaning |\n" +
	"| --- | --- |\n"

// docs/events.md agrees with the catalogue; EVENTS=write regenerates it.
func TestCatalogueInDocs(t *testing.T) {
	var b strings.Builder
	b.WriteString(docsHeader)
	for _, e := range slices.Sorted(maps.Keys(Catalogue)) {
		fmt.Fprintf(&b, "| E%d | %s |\n", int(e), Catalogue[e])
	}
	const file = "../../../docs/events.md"
	if os.Getenv("EVENTS") == "write" {
		if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if got, _ := os.ReadFile(file); string(got) != b.String() {
		t.Error("docs/events.md differs from the catalogue; regenerate it with EVENTS=write go test ./internal/util/events")
	}
}

func TestLines(t *testing.T) {
	var b strings.Builder
	l := New(&b, "core1")
	l.Event(SlotFilled, "svc", "s", "held", 3)
	line := strings.TrimSpace(b.String())
	if !strings.HasSuffix(line, `core1 "E501" "svc"="s" "held"=3`) {
		t.Error(line)
	}
	if n := l.Recent(); len(n) != 1 || n[0] != line {
		t.Error(n)
	}
	for range 2 * maxRecent {
		l.Event(SlotFilled)
	}
	if n := len(l.Recent()); n > maxRecent {
		t.Error(n)
	}
}
