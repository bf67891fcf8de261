package metrics

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func scrape(t *testing.T, sources ...Source) string {
	t.Helper()
	w := httptest.NewRecorder()
	Handler(sources...).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if w.Code != http.StatusOK {
		t.Fatal(w.Code, w.Body)
	}
	return w.Body.String()
}

// Metrics are served in Prometheus' text format, with help and type, and with their current value at each scrape.
func TestMetricsAreCollectedAtEachScrape(t *testing.T) {
	scrapes := 0.0
	var waits Histogram
	source := func(set Set) {
		scrapes++
		waits.Observe(0.03)
		waits.Observe(60)
		set.Counter("weirwind_fetches_total", "Fetches.", scrapes)
		set.Gauge("weirwind_slot_filled", "Slots.", 1, "service", "orders \"a\"")
		set.Histogram("weirwind_wait_seconds", "Waits.", waits, "service", "s")
	}
	handler := Handler(source)
	for _, want := range [][]string{
		{"# HELP weirwind_fetches_total Fetches.", "# TYPE weirwind_fetches_total counter", "weirwind_fetches_total 1",
			`weirwind_slot_filled{service="orders \"a\""} 1`, `weirwind_wait_seconds_bucket{service="s",le="0.025"} 0`,
			`weirwind_wait_seconds_bucket{service="s",le="0.05"} 1`, `weirwind_wait_seconds_bucket{service="s",le="5"} 1`,
			`weirwind_wait_seconds_bucket{service="s",le="+Inf"} 2`, `weirwind_wait_seconds_sum{service="s"} 60.03`},
		{"weirwind_fetches_total 2", `weirwind_wait_seconds_count{service="s"} 4`},
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		for _, line := range want {
			if !strings.Contains(w.Body.String(), line+"\n") {
				t.Errorf("%q is not in\n%s", line, w.Body)
			}
		}
	}
}

// A metric that is written twice, or with an invalid label, does not affect the others.
func TestInvalidMetricsDoNotAffectOthers(t *testing.T) {
	text := scrape(t, func(set Set) {
		set.Gauge("weirwind_good", "Good.", 1)
		set.Gauge("weirwind_twice", "Twice.", 1, "service", "s")
		set.Gauge("weirwind_twice", "Twice.", 2, "service", "s")
		set.Gauge("weirwind_bad", "Bad.", 1, "service", "\xff")
	})
	if !strings.Contains(text, "weirwind_good 1\n") {
		t.Error(text)
	}
}

// Serve returns an error for an address in use, and answers 404 for other paths.
func TestServe(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	taken, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := taken.Addr().String()
	source := func(set Set) { set.Gauge("weirwind_good", "Good.", 1) }
	if err := Serve(ctx, addr, "metrics", source); err == nil {
		t.Error("Serve returned no error for an address in use")
	}
	taken.Close()
	if err := Serve(ctx, addr, "metrics", source); err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]int{"/metrics": 200, "/": 404, "/other": 404} {
		response, err := http.Get("http://" + addr + path)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("%s: %d", path, response.StatusCode)
		}
	}
	stop()
}
