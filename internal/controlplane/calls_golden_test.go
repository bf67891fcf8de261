package controlplane

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Request bodies.
const (
	twoServices = `{"gen":1,"routes":[{"name":"r","host":"db","type":"primary","timeoutMs":3000,"svc":"s"}],` +
		`"svcs":[{"name":"s","maxConns":50,"syncN":1},{"name":"n1","maxConns":5}]}`
	unknownService = `{"gen":1,"routes":[{"name":"a","host":"h","type":"primary","timeoutMs":9,"svc":"none"}],"svcs":[]}`
	twoShards      = `{"kind":"found","shards":{"x":"n1","y":"n2"},"nodes":{"n1":{"zone":"z1"},"n2":{"zone":"z2"}}}`
	siteRenewal    = `{"addr":"10.0.2.1:1","http":"10.0.2.1:2","zone":"z1","region":"r","life":5}`
)

type httpCall struct {
	method, path, baseVersion, body string
}

// Every HTTP call of members, operators and sites, with its status, headers and body byte for byte, at the leader. It
// is the only machine of the core, so all times are deterministic.
func TestHTTPResponses(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		record := newTranscript()
		srv := startServer(t, "10.0.0.1:7000", []string{"10.0.0.1:7000"}, "", newTranscript())
		time.Sleep(8011 * time.Millisecond) // not at the time of a tick
		heartbeat := `{"svc":"s","addr":"10.0.1.1:1","zone":"z","gen":"g","slots":3,"state":"ok","dbRole":"primary","seq":1}`
		for _, c := range []httpCall{
			{"GET", "/status", "", ""},
			{"GET", "/status?brief=1", "", ""},
			{"GET", "/config/show", "", ""},
			{"GET", "/config/log", "", ""},
			{"GET", "/shards", "", ""},
			{"GET", "/sites", "", ""},
			{"GET", "/none", "", ""},
			{"GET", "/config/replace", "", ""},
			{"POST", "/members/a/heartbeat", "", heartbeat},
			{"POST", "/members/b/heartbeat", "", strings.ReplaceAll(heartbeat, "primary", "replica")},
			{"POST", "/members/c/heartbeat", "", `{"svc":"s","addr":"10.0.1.3:1","state":"draining","seq":7}`},
			{"POST", "/members/d/heartbeat", "", `{"svc":"s"}`},
			{"POST", "/members/d/heartbeat", "", `no`},
			{"POST", "/members/d/heartbeat", "", strings.Repeat(" ", 5000)},
			{"POST", "/members/c/leave", "", ""},
			{"POST", "/members/unknown/leave", "", ""},
			{"POST", "/config/replace", "", twoServices},
			{"POST", "/config/replace", "x", twoServices},
			{"POST", "/config/replace", "0", `{`},
			{"POST", "/config/replace", "0", unknownService},
			{"POST", "/config/replace", "0", twoServices},
			{"POST", "/config/replace", "0", twoServices},
			{"POST", "/config/replace", "0", strings.ReplaceAll(twoServices, "3000", "4000")},
			{"POST", "/config/amend", "1", `{"gen":2,"upsert":{"svcs":[{"name":"n2"}]}}`},
			{"POST", "/config/amend", "1", `{"gen":2,"upsert":{"svcs":[{"name":"n3"}]}}`},
			{"POST", "/config/amend", "7", `{"gen":8,"upsert":{"svcs":[{"name":"n3"}]}}`},
			{"POST", "/config/replace", "2", strings.Repeat(" ", 4<<20+1)},
			{"GET", "/config/show", "", ""},
			{"GET", "/config/log", "", ""},
			{"POST", "/members/a/forget", "", ""},
			{"POST", "/members/unknown/forget", "", ""},
			{"POST", "/shards", "", `{`},
			{"POST", "/shards", "", `{"other":1}`},
			{"POST", "/shards", "", `{"kind":"hand"}`},
			{"POST", "/shards", "", `{"kind":"back"}`},
			{"POST", "/shards", "", `{"kind":"end"}`},
			{"POST", "/shards", "", `{"kind":"pause"}`},
			{"POST", "/shards", "", twoShards},
			{"POST", "/shards", "", `{"kind":"plan","base":9}`},
			{"POST", "/shards", "", `{"kind":"pause","base":1}`},
			{"GET", "/shards", "", ""},
			{"POST", "/sites/one/renew", "", `{}`},
			{"POST", "/sites/one/renew", "", `no`},
			{"POST", "/sites/one/renew", "", siteRenewal},
			{"POST", "/sites/one/renew", "", siteRenewal},
			{"POST", "/sites/one/drain?epoch=1&pace=0", "", ""},
			{"POST", "/sites/one/drain?epoch=1&pace=x", "", ""},
			{"POST", "/sites/one/drain?epoch=1&pace=3", "", ""},
			{"POST", "/sites/one/undrain?epoch=1", "", ""},
			{"POST", "/sites/none/drain", "", ""},
			{"GET", "/sites", "", ""},
			{"POST", "/sites/one/leave?epoch=1", "", ""},
			{"GET", "/sites", "", ""},
			{"GET", "/status", "", ""},
			{"GET", "/events?about=E402", "", ""},
		} {
			var header map[string]string
			if c.baseVersion != "" {
				header = map[string]string{"Weirwind-Base-Version": c.baseVersion}
			}
			call(record, srv, c.method, c.path, header, c.body)
			time.Sleep(100 * time.Millisecond)
		}
		compareGolden(t, "calls.txt", record.String())
	})
}

// The same calls at a machine without contact with a majority, at one with contact but without a known leader, and at
// one that is stopping.
func TestHTTPErrorResponses(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		record := newTranscript()
		srv := startServer(t, "10.0.0.1:7000", []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}, "",
			newTranscript())
		time.Sleep(111 * time.Millisecond)
		callAll := func() {
			for _, c := range []httpCall{
				{"POST", "/members/a/heartbeat", "", `{"svc":"s","addr":"10.0.1.1:1"}`},
				{"POST", "/members/a/leave", "", ""},
				{"POST", "/members/a/forget", "", ""},
				{"POST", "/config/replace", "0", twoServices},
				{"POST", "/config/amend", "0", `{"gen":2}`},
				{"GET", "/config/show", "", ""},
				{"GET", "/config/log", "", ""},
				{"POST", "/shards", "", `{"kind":"pause"}`},
				{"GET", "/shards", "", ""},
				{"POST", "/sites/one/renew", "", `{"addr":"10.0.2.1:1","life":5}`},
				{"POST", "/sites/one/leave?epoch=1", "", ""},
				{"GET", "/sites", "", ""},
			} {
				call(record, srv, c.method, c.path, map[string]string{"Weirwind-Base-Version": c.baseVersion}, c.body)
			}
		}
		record.step("no contact")
		callAll()
		record.step("contact, but no leader")
		srv.contact.set(srv.now() + 100_000)
		callAll()
		record.step("stopping")
		srv.cancel(nil)
		synctest.Wait()
		for _, c := range []httpCall{
			{"POST", "/config/replace", "0", twoServices},
			{"GET", "/config/show", "", ""},
			{"POST", "/sites/one/drain", "", ""},
		} {
			call(record, srv, c.method, c.path, map[string]string{"Weirwind-Base-Version": c.baseVersion}, c.body)
		}
		compareGolden(t, "refusals.txt", record.String())
	})
}

// A body that arrives too slowly, is too long or is truncated is answered with a status of its own.
func TestBodyErrorStatuses(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int
	}{
		{&http.MaxBytesError{Limit: 1}, http.StatusRequestEntityTooLarge},
		{timeoutError{}, http.StatusRequestTimeout},
		{http.ErrBodyReadAfterClose, http.StatusBadRequest},
	} {
		if got := statusOf(&bodyError{c.err}); got != c.want {
			t.Errorf("%v: status %d, want %d", c.err, got, c.want)
		}
	}
}

type timeoutError struct{}

func (timeoutError) Error() string   { return "slow" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }
