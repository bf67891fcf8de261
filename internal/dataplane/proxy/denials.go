package proxy

import (
	"sync"
	"sync/atomic"

	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
)

// This file owns the figures on clients whose key is no tenant's. No key is ever told.

const denialInterval = 1000.0 // milliseconds between two log lines on denials

// denialKind is what was denied.
type denialKind uint8

const (
	deniedAttach      denialKind = iota // a session was not opened
	deniedOperation                     // the key of an open session had been taken away
	deniedTransaction                   // the same while a transaction was open: it was rolled back
	denialKinds
)

var denialNames = [denialKinds]string{
	deniedAttach:      "attach",
	deniedOperation:   "operation",
	deniedTransaction: "transaction",
}

// denials counts what was denied. Sessions use it from their own goroutines.
type denials struct {
	counts [denialKinds]atomic.Uint64
	proxy  *Proxy

	mu       sync.Mutex
	logged   bool
	loggedAt float64 // milliseconds
}

// record counts a denial, and logs the counts at most once in denialInterval.
func (d *denials) record(kind denialKind) {
	d.counts[kind].Add(1)
	if !d.isLogDue(d.proxy.now()) {
		return
	}
	pairs := []any{"gen", d.proxy.configVersion()}
	for kind, name := range denialNames {
		pairs = append(pairs, name, d.counts[kind].Load())
	}
	d.proxy.log.Event(events.ClientsDenied, pairs...)
}

func (d *denials) isLogDue(now float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.logged && now < d.loggedAt+denialInterval {
		return false
	}
	d.logged, d.loggedAt = true, now
	return true
}

// figures writes the counts.
func (d *denials) figures(set metrics.Set) {
	for kind, name := range denialNames {
		set.Counter("weirwind_proxy_denied_total", "Requests of clients whose key is no tenant's, by what was denied.",
			float64(d.counts[kind].Load()), "what", name)
	}
}
