package controlplane

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"weirwind/internal/util/metrics"
)

// fetchMetrics returns a machine's metrics as Prometheus scrapes them.
func fetchMetrics(t *testing.T, srv *Server) string {
	t.Helper()
	w := httptest.NewRecorder()
	metrics.Handler(srv.writeMetrics).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if w.Code != http.StatusOK {
		t.Fatal(w.Code, w.Body)
	}
	return w.Body.String()
}

// The metrics of a machine match its state, and show the loss of contact.
func TestServerMetrics(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		machines := newTestCluster(t, newTranscript())
		time.Sleep(6 * time.Second)
		leader := machines.leaderFirst(t, "")[0]
		body := `{"gen":4,"routes":[{"name":"r","host":"db","type":"primary","timeoutMs":9,"svc":"s"}],` +
			`"svcs":[{"name":"s","syncN":1}]}`
		if w := call(nil, leader, http.MethodPost, "/config/replace", map[string]string{headerBaseVersion: "0"},
			body); w.Code != 200 {
			t.Fatal(w.Code, w.Body)
		}
		for _, id := range []string{"a", "b"} {
			sendHeartbeat(leader, id, "s", "10.0.9.1:"+map[string]string{"a": "1", "b": "2"}[id], "replica", "up", 1)
		}
		time.Sleep(2 * time.Second)
		expect := func(srv *Server, lines ...string) {
			t.Helper()
			text := fetchMetrics(t, srv)
			for _, line := range lines {
				if !strings.Contains(text, "\n"+line) {
					t.Errorf("%q is not in\n%s", line, text)
				}
			}
		}
		expect(leader, "weirwind_controlplane_leads 1", "weirwind_controlplane_in_contact 1",
			"weirwind_controlplane_config_version 4", "weirwind_controlplane_members 2",
			"weirwind_controlplane_roster_members 2", "weirwind_controlplane_voters 3",
			"weirwind_controlplane_silent_voters 0", "weirwind_controlplane_disk_full 0",
			`weirwind_controlplane_failover_phase{phase="watching",service="s"} 1`,
			`weirwind_events_total{event="E201"} 1`)
		for _, srv := range machines.servers {
			if srv != leader {
				srv.cancel(nil)
			}
		}
		time.Sleep(2 * time.Second)
		expect(leader, "weirwind_controlplane_in_contact 0")
	})
}
