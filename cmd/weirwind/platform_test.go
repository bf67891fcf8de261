package main

// This file implements the platform: discovery on a free port, and the configuration that names it and the members.

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// platform is the environment of the program: members, discovery, and its configuration.
type platform struct {
	members      []*member
	settings     map[string]any
	limits       map[string]any
	config       map[string]any
	changes      chan string // responses to watches, in order
	requests     chan string // requests to discovery
	watches      sync.WaitGroup
	discovery    *httptest.Server
	unresponsive atomic.Bool // discovery doesn't end watches that find nothing new
	operator     string      // content of the operators' file, empty for none
}

// waitIdle waits until no watch of a killed process is pending, as it would consume the next change.
func (s *platform) waitIdle() {
	s.discovery.CloseClientConnections()
	s.watches.Wait()
}

func newPlatform(t *testing.T, members ...*member) *platform {
	s := &platform{members: members, changes: make(chan string, 10), requests: make(chan string, 1000)}
	s.discovery = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.watches.Add(1)
		defer s.watches.Done()
		s.requests <- r.URL.String()
		select {
		case text := <-s.changes:
			if text == "" {
				w.WriteHeader(503)
				return
			}
			io.WriteString(w, text)
		case <-r.Context().Done():
		case <-s.waitLimit(r):
			fmt.Fprintf(w, `{"revision":%s,"complete":false,"members":[]}`, r.URL.Query().Get("since"))
		}
	}))
	t.Cleanup(s.discovery.Close)
	s.settings = map[string]any{"tick": 5000, "siblings": 1, "index": 0, "registry_mode": "on_request", "zone": "a",
		"family_info": map[string]any{"checks": "silent", "needs_by_class": []string{"eventual", "mutate", "lag_bound"},
			"oldest_data": []int{0, 0, 200000}, "position_zero": 77, "shows_role": "static", "stamps": true},
		"policy_limits": map[string]any{"send_cap": 4, "cancel": true, "parallel_tries": true, "retry_after": true,
			"max_retry_after": 1000000, "connect_timeout": 100000, "conn_idle": 15000000},
		"profiles": []any{
			map[string]any{"name": "read", "aim": 300000, "deadline": 1e6, "effect": "repeatable", "points": 1},
			map[string]any{"name": "write", "aim": 300000, "deadline": 1e6, "effect": "once", "points": 1},
			map[string]any{"name": "recent", "aim": 300000, "deadline": 1e6, "effect": "repeatable", "points": 1}}}
	s.limits = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}
	s.config = map[string]any{"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
		"discovery": s.discovery.Listener.Addr().String(), "settings": s.settings, "limits": s.limits,
		"known": json.RawMessage(s.list(41, true, ""))}
	return s
}

// waitLimit returns a channel that fires when a watch has waited for its timeout; never if discovery is unresponsive.
func (s *platform) waitLimit(r *http.Request) <-chan time.Time {
	if ms, err := strconv.Atoi(r.URL.Query().Get("timeout_ms")); err == nil && !s.unresponsive.Load() {
		return time.After(time.Duration(ms) * time.Millisecond)
	}
	return nil
}

// expectRequest waits for a request to discovery; a watch that found nothing new is repeated.
func (s *platform) expectRequest(t *testing.T, want string) {
	t.Helper()
	for got := next(t, s.requests); got != want; got = next(t, s.requests) {
		if !strings.Contains(got, "since=") {
			t.Fatalf("got request %q, want %q", got, want)
		}
	}
}

// list returns the list in discovery's format; phases holds id=phase for members that are not up.
func (s *platform) list(revision int, complete bool, phases string) string {
	var entries []string
	for i, m := range s.members {
		phase, access := "up", "reader"
		if _, p, ok := strings.Cut(phases, m.id+"="); ok {
			phase, _, _ = strings.Cut(p, ",")
		}
		if i == 0 {
			access = "writer"
		}
		entries = append(entries, fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"a","cell":3,"phase":%q,"access":%q}`,
			m.id, m.ln.Addr(), phase, access))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, complete, strings.Join(entries, ","))
}
