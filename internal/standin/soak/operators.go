package soak

// This file has operators' changes of the configuration, and the check of which took effect.

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	changeTimeout     = 25 * time.Second // how long a change without a definite answer is retried
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = time.Second
	maxVersionStep    = 3 // maximum difference between successive versions
)

// change is a configuration change that was sent.
type change struct {
	base, version uint64
	marker        string // host of a route that it adds, by which it is identified
	kind          Change
	sent          time.Time
	acked         time.Time // zero if it was not acknowledged
	refused       bool      // rejected by its first definite answer, with no earlier attempt of unknown outcome
	answer        string
}

func (c *change) String() string {
	return fmt.Sprintf("%s of version %d on %d (%s)", c.kind, c.version, c.base, c.marker)
}

// operators sends configuration changes to a deployment and records them.
type operators struct {
	run     *run
	mu      sync.Mutex
	random  *rand.Rand
	count   int
	changes []*change
}

// document has the fields of a configuration that operators read.
type document struct {
	Version uint64           `json:"gen"`
	Routes  []map[string]any `json:"routes"`
}

// markers returns the hosts that identify changes.
func (d *document) markers() (hosts []string) {
	for _, r := range d.Routes {
		if host, _ := r["host"].(string); strings.HasPrefix(host, "mark") {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// readConfig reads the configuration from the first core machine that answers.
func (o *operators) readConfig(ctx context.Context) (document, bool) {
	for wait := initialRetryDelay; ctx.Err() == nil; wait = min(2*wait, maxRetryDelay) {
		for _, n := range o.shuffledCores() {
			required := o.ackedBefore(time.Now().Add(-applyTime))
			status, body := o.run.deployment.Call("GET", o.run.deployment.Cores[n], "/config/show", "", nil)
			var d document
			if status != http.StatusOK || json.Unmarshal([]byte(body), &d) != nil {
				continue
			}
			if d.Version < required {
				o.run.ledger.violate("configuration", "core%d shows version %d %v after %d was acknowledged",
					n, d.Version, applyTime, required)
			}
			return d, true
		}
		pause(ctx, wait)
	}
	return document{}, false
}

// shuffledCores returns the core machines' indexes in random order.
func (o *operators) shuffledCores() []int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.random.Perm(o.run.shape.Cores)
}

// makeChange makes a change, or two conflicting ones, based on the current configuration.
func (o *operators) makeChange(ctx context.Context, kind Change) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	current, ok := o.readConfig(ctx)
	if !ok {
		o.run.logf("change %s: no configuration could be read", kind)
		return
	}
	if kind != ChangeConflicting {
		o.send(ctx, o.newChange(current.Version, kind), current.markers())
		return
	}
	var both sync.WaitGroup
	for range 2 {
		c := o.newChange(current.Version, kind)
		both.Go(func() { o.send(ctx, c, current.markers()) })
	}
	both.Wait()
}

// newChange returns a random change of a kind, based on a version.
func (o *operators) newChange(base uint64, kind Change) *change {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count++
	c := &change{base: base, version: base + 1 + o.random.Uint64N(maxVersionStep), marker: fmt.Sprint("mark", o.count),
		kind: kind, sent: time.Now()}
	if kind == ChangeStaleVersion {
		c.version = base
	}
	o.changes = append(o.changes, c)
	return c
}

// send sends a change until it has a definite answer.
func (o *operators) send(ctx context.Context, c *change, oldMarkers []string) {
	path, body := o.body(c, oldMarkers)
	ambiguous := false
	for wait := initialRetryDelay; ctx.Err() == nil; wait = min(2*wait, maxRetryDelay) {
		for _, n := range o.shuffledCores() {
			addr := o.run.deployment.Cores[n]
			status, answer := o.run.deployment.Call("POST", addr, path, strconv.FormatUint(c.base, 10), body)
			if status == http.StatusOK || status >= 400 && status < 500 {
				o.recordAnswer(c, status, ambiguous, answer)
				if status == http.StatusOK {
					o.resend(c, path, body)
				}
				return
			}
			ambiguous = true
		}
		pause(ctx, wait)
	}
	o.run.logf("%s: no definite answer", c)
}

// resend sends an acknowledged change again, as an operator does whose answer was lost. It must not be refused unless
// another change was sent since.
func (o *operators) resend(c *change, path string, body []byte) {
	addr := o.run.deployment.Cores[o.shuffledCores()[0]]
	status, answer := o.run.deployment.Call("POST", addr, path, strconv.FormatUint(c.base, 10), body)
	o.mu.Lock()
	defer o.mu.Unlock()
	if status >= 400 && status < 500 && o.changes[len(o.changes)-1] == c {
		o.run.ledger.violate("configuration", "%s was acknowledged, and refused when it was sent again: %d %s",
			c, status, answer)
	}
}

// recordAnswer records a definite answer. A refusal does not tell whether an earlier attempt of unknown outcome took
// effect.
func (o *operators) recordAnswer(c *change, status int, ambiguous bool, answer string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	c.answer = fmt.Sprintf("%d %.80s", status, strings.TrimSpace(answer))
	o.run.logf("%s: %s", c, c.answer)
	if status != http.StatusOK {
		c.refused = !ambiguous
		return
	}
	c.acked = time.Now()
	if c.kind.IsInvalid() {
		o.run.ledger.violate("configuration", "%s was acknowledged", c)
	}
	for _, other := range o.changes {
		if other != c && !other.acked.IsZero() && other.base == c.base {
			o.run.ledger.violate("configuration", "%s and %s were both acknowledged", c, other)
		}
	}
}

// body returns the path and the body of a change's call.
func (o *operators) body(c *change, oldMarkers []string) (path string, body []byte) {
	marker := markerRoute(c.marker, "svc")
	if c.kind == ChangeAmend {
		return "/config/amend", encode(map[string]any{"gen": c.version,
			"upsert": map[string]any{"routes": []any{marker}}, "del": map[string]any{"routes": oldMarkers}})
	}
	routeList := append(baseRoutes(), marker)
	switch c.kind {
	case ChangeUnknown:
		routeList = append(routeList, markerRoute(c.marker+"b", "none"))
	case ChangeTimeout:
		marker["timeoutMs"] = 0
	case ChangeDuplicateRoute:
		twin := markerRoute(c.marker, "svc")
		twin["name"] = c.marker + "b"
		routeList = append(routeList, twin)
	}
	body = configuration(c.version, routeList, o.run.shape)
	if c.kind == ChangeTruncated {
		body = body[:len(body)/2]
	}
	return "/config/replace", body
}

// configuration returns a complete configuration as JSON.
func configuration(version uint64, routeList []any, shape Shape) []byte {
	config := map[string]any{"gen": version, "routes": routeList,
		"svcs":   []any{map[string]any{"name": "svc", "maxConns": shape.memberConns(), "syncN": 1}},
		"limits": map[string]any{"txIdleMs": idleInTransactionTimeout.Milliseconds()}}
	if len(shape.Tenants) > 0 {
		config["tenants"] = shape.Tenants
	}
	return encode(config)
}

func baseRoutes() (all []any) {
	for _, r := range routes {
		all = append(all, map[string]any{"name": r.name, "host": r.name, "prefix": "/", "type": r.kind, "svc": "svc",
			"timeoutMs": routeTimeout.Milliseconds(), "maxStaleMs": r.maxStale.Milliseconds(), "public": true})
	}
	return all
}

func markerRoute(name, service string) map[string]any {
	return map[string]any{"name": name, "host": name, "prefix": "/", "type": "primary", "svc": service,
		"timeoutMs": routeTimeout.Milliseconds(), "public": true}
}

func encode(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // the value has only maps, strings and numbers
	}
	return text
}

// ackedBefore returns the highest version that was acknowledged before a time.
func (o *operators) ackedBefore(at time.Time) (version uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.changes {
		if !c.acked.IsZero() && c.acked.Before(at) {
			version = max(version, c.version)
		}
	}
	return version
}

// audit compares the final configuration with the changes that were sent and acknowledged.
func (o *operators) audit(last document) {
	newest := o.ackedBefore(time.Now())
	o.mu.Lock()
	defer o.mu.Unlock()
	if last.Version < newest {
		o.run.ledger.violate("configuration", "version %d was acknowledged, and %d is read back", newest, last.Version)
	}
	inForce := map[string]bool{}
	for _, marker := range last.markers() {
		inForce[marker] = true
	}
	known := last.Version == 1 && len(inForce) == 0
	for _, c := range o.changes {
		if inForce[c.marker] && (c.refused || c.kind.IsInvalid()) {
			o.run.ledger.violate("configuration", "%s was answered %s and is in force", c, c.answer)
		}
		known = known || inForce[c.marker] && c.version == last.Version
		if !c.acked.IsZero() && c.version == last.Version && !inForce[c.marker] {
			o.run.ledger.violate("configuration", "%s was acknowledged, and its version is in force with other content", c)
		}
	}
	if !known {
		o.run.ledger.violate("configuration", "version %d with %v is read back, and no operator sent it",
			last.Version, last.markers())
	}
}
