package registry

// This file owns Consul's HTTP API: blocking queries on a prefix of keys, or on a service's instances and their health.
// Every answer is a whole list, so a watch is a row of reads that wait for an index to pass. It must never take an
// index for more than it is: one that goes back says nothing but that it is to be asked anew.

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"weirwind/internal/roster"
)

type consul struct {
	*caller
}

// Read gives the list as the leader holds it where exact, else as any server does.
func (x *consul) List(ctx context.Context, endpoint int, exact bool, tell func(roster.Update)) error {
	mode := "stale"
	if exact {
		mode = "consistent"
	}
	u, err := x.ask(ctx, endpoint, url.Values{mode: {""}})
	if err != nil {
		return err
	}
	u.Linearizable = exact
	tell(u)
	return nil
}

// Follow reads again and again, each time when the index has passed the one before, or half the silence is over. A
// server adds up to a sixteenth of the wait; ours is drawn, so that many drivers don't ask at the same moments.
func (x *consul) Watch(ctx context.Context, endpoint int, from int64, sign func(), tell func(roster.Update)) error {
	for held := from - 1; ; {
		wait := time.Duration(float64(x.o.WatchTimeout) / 2 * (0.8 + 0.2*rand.Float64()))
		watched, _, stop := watchdog(ctx, x.o.WatchTimeout)
		u, err := x.ask(watched, endpoint, url.Values{"index": {fmt.Sprint(held)},
			"wait": {fmt.Sprintf("%dms", wait.Milliseconds())}})
		err = ended(watched, err)
		if stop(); err != nil {
			return err
		}
		sign()
		if u.Revision < held {
			return fmt.Errorf("%w: index %d, not %d", errLagging, u.Revision, held)
		}
		if u.Revision > held {
			tell(u)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		held = u.Revision
	}
}

// ask makes one query, blocking or not.
func (x *consul) ask(ctx context.Context, endpoint int, query url.Values) (u roster.Update, err error) {
	path := "/v1/kv/" + x.o.Prefix
	if x.o.Service != "" {
		path = "/v1/health/service/" + url.PathEscape(x.o.Service)
	} else {
		query.Set("recurse", "")
	}
	header := map[string]string{}
	token, err := x.credentials()
	if err != nil {
		return u, err
	}
	if token != "" {
		header["X-Consul-Token"] = token
	}
	answer, err := x.call(ctx, http.MethodGet, endpoint, path+"?"+query.Encode(), header, nil)
	if err != nil {
		return u, err
	}
	defer answer.Body.Close()
	text, err := bounded(answer.Body)
	if err != nil {
		return u, err
	}
	switch {
	case answer.StatusCode == http.StatusForbidden || answer.StatusCode == http.StatusUnauthorized:
		return u, fmt.Errorf("%w: status %d: %.80q", errRefused, answer.StatusCode, text)
	case answer.StatusCode != http.StatusOK && (answer.StatusCode != http.StatusNotFound || x.o.Service != ""):
		return u, fmt.Errorf("status %d: %.80q", answer.StatusCode, text)
	case answer.Header.Get("X-Consul-KnownLeader") == "false":
		return u, fmt.Errorf("%w: the server knows no leader", errLagging)
	}
	u = roster.Update{Source: roster.SourceRegistry, Snapshot: true}
	if u.Revision, err = strconv.ParseInt(answer.Header.Get("X-Consul-Index"), 10, 64); err != nil || u.Revision < 1 {
		return u, fmt.Errorf("index %.20q", answer.Header.Get("X-Consul-Index"))
	}
	if answer.StatusCode == http.StatusNotFound {
		return u, nil // no key has the prefix
	}
	if x.o.Service != "" {
		return u, x.instances(&u, text)
	}
	var keys []struct {
		Key         string
		Value       []byte
		ModifyIndex int64
	}
	if err := json.Unmarshal(text, &keys); err != nil {
		return u, err
	}
	for _, k := range keys {
		if k.Key != x.o.Prefix {
			add(&u, x.o.Prefix, k.Key, k.Value, k.ModifyIndex, false)
		}
	}
	return u, nil
}

// instances reads a service's: meta tells cell, locality, access and up_since_ms. One in maintenance or with a critical
// check drains: Consul's own readers leave it out.
func (x *consul) instances(u *roster.Update, text []byte) error {
	var all []struct {
		Node    struct{ Address string }
		Service struct {
			ID, Address string
			Port        int
			Meta        map[string]string
			ModifyIndex int64
		}
		Checks []struct{ Status string }
	}
	if err := json.Unmarshal(text, &all); err != nil {
		return err
	}
	for _, a := range all {
		s := &a.Service
		host := s.Address
		if host == "" {
			host = a.Node.Address
		}
		phase := "up"
		for _, c := range a.Checks {
			if c.Status == "critical" || c.Status == "maintenance" {
				phase = "draining"
			}
		}
		fields := map[string]any{"host_port": net.JoinHostPort(host, strconv.Itoa(s.Port)), "phase": phase,
			"locality": s.Meta["locality"], "access": s.Meta["access"]}
		for _, name := range []string{"cell", "up_since_ms"} {
			if word := strings.TrimSpace(s.Meta[name]); word != "" {
				fields[name] = json.Number(word)
			}
		}
		value, err := json.Marshal(fields)
		if err != nil { // a number that is none
			u.Invalid = append(u.Invalid, roster.InvalidEntry{ID: s.ID, Reason: err.Error(), Phase: phases[phase]})
			continue
		}
		add(u, "", s.ID, value, 0, false) // an instance's own index does not move with its checks
	}
	return nil
}
