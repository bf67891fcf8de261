package events

import (
	"errors"
	"fmt"
	"maps"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/samber/oops"
)

// Operators and tools identify events by number, so no number may change or disappear.
func TestNumbersAreStable(t *testing.T) {
	want := "[101 102 103 104 105 106 201 202 203 204 205 206 207 208 209 210 211 212 301 302 303 401 402 403 404 405 406 407 " +
		"501 502 503 504 505 601 602 603 604 605 606 701 702 703 704 705 801 802 803 901 902 903 1001 1002 1003 1004]"
	if got := fmt.Sprint(slices.Sorted(maps.Keys(Catalogue))); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

// Log lines, apart from the milliseconds at their start, have a fixed form, and GET /events filters them.
func TestLineFormat(t *testing.T) {
	var b strings.Builder
	l := New(&b, "core1")
	l.Event(Stopping)
	l.Event(CoreFailover, "from", "10.0.0.1:7440", "to", "10.0.0.2:7440", "apart", true, "silentMs", 2600)
	l.Event(SlotFilled, "svc", "a \"b\"", "list", []string{"x", "y"}, "share", 0.5, "table", map[string]int{"a": 1})
	l.Error(LinkDown, oops.In("link").With("peer", "10.0.0.1:7440").Wrapf(errors.New("refused"), "dial"), "core", "c")
	l.Error(DiskFailed, errors.New("full"))
	got := regexp.MustCompile(`(?m)^\d+ `).ReplaceAllString(b.String(), "")
	want := `core1 "E102"
core1 "E803" "from"="10.0.0.1:7440" "to"="10.0.0.2:7440" "apart"=true "silentMs"=2600
core1 "E501" "svc"="a \"b\"" "list"=["x" "y"] "share"=0.5 "table"={"a"=1}
core1 "E802" "core"="c" "step"="link" "peer"="10.0.0.1:7440" "error"="dial: refused"
core1 "E205" "error"="full"
`
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	for query, lines := range map[string]int{"": 5, "?about=E803": 1, "?about=10.0.0.1": 2, "?about=nothing": 0} {
		w := httptest.NewRecorder()
		l.ServeHTTP(w, httptest.NewRequest("GET", "/events"+query, nil))
		if n := strings.Count(w.Body.String(), "\n"); n != lines {
			t.Errorf("%q gives %d lines, want %d", query, n, lines)
		}
	}
	Discard().Event(Started, "nowhere", true)
}
