package proxy

import (
	"sync"
	"sync/atomic"

	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
)

// This file counts and logs requests of clients whose key belongs to no tenant. Keys are never logged.

const denialLogInterval = 1000.0 // minimum time between two log lines on denials, in milliseconds

// denialKind is the kind of request that was denied.
type denialKind uint8

const (
	deniedAttach      denialKind = iota // ATTACH of a new session
	deniedOperation                     // operation of an open session whose key had been revoked
	deniedTransaction                   // statement in a transaction that is rolled back as the key was revoked
	denialKinds
)

var denialNames = [denialKinds]string{
	deniedAttach:      "attach",
	deniedOperation:   "operation",
	deniedTransaction: "transaction",
}

// denials counts denied requests. It is safe for concurrent use by sessions.
type denials struct {
	counts [denialKinds]atomic.Uint64
	proxy  *Proxy

	mu       sync.Mutex
	logged   bool
	loggedAt float64 // milliseconds
}

// record counts a denial, and logs the counts if the last log line is at least denialLogInterval old.
func (d *denials) record(kind denialKind) {
	d.counts[kind].Add(1)
	if !d.claimLogLine(d.proxy.now()) {
		return
	}
	pairs := []any{"gen", d.proxy.configVersion()}
	for kind, name := range denialNames {
		pairs = append(pairs, name, d.counts[kind].Load())
	}
	d.proxy.log.Event(events.ClientsDenied, pairs...)
}

// claimLogLine reports whether a log line may be written now, and if so records now as the time of the last one.
func (d *denials) claimLogLine(now float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.logged && now < d.loggedAt+denialLogInterval {
		return false
	}
	d.logged, d.loggedAt = true, now
	return true
}

// writeMetrics writes the number of denials of each kind.
func (d *denials) writeMetrics(set metrics.Set) {
	for kind, name := range denialNames {
		set.Counter("weirwind_proxy_denied_total", "Requests of clients whose key is no tenant's, by what was denied.",
			float64(d.counts[kind].Load()), "what", name)
	}
}
