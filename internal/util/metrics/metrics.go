// Package metrics serves a process's own metrics in Prometheus' exposition format.
//
// Metrics are collected at each scrape: a Source queries the owners of the process's state, and writes their values
// into a Set. This package keeps no values, and adds no counting to the path of a statement beyond the owners' own.
// Names follow Prometheus' conventions: weirwind_ROLE_THING_UNIT, counters end in _total. Labels are services,
// members, purposes, events and outcomes: nothing that identifies a client, so that cardinality does not grow with
// clients.
package metrics

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/oops"
)

const (
	maxConcurrentScrapes = 2               // concurrent scrapes; further ones are answered 503
	scrapeTimeout        = 2 * time.Second // for collecting the metrics
	// OwnerTimeout bounds a source's wait for an owner of state; after it the owner's metrics are left out.
	OwnerTimeout  = time.Second
	readTimeout   = 2 * time.Second // for reading a request
	writeTimeout  = 5 * time.Second // a client that doesn't read the response is disconnected after it
	idleTimeout   = 30 * time.Second
	maxHeaderSize = 8 << 10
)

// Source writes a process's metrics into a set. It may be called from any goroutine.
type Source func(set Set)

// Set receives metrics. Labels are pairs of names and values.
type Set struct{ metrics chan<- prometheus.Metric }

// Gauge adds a value that can rise and fall.
func (s Set) Gauge(name, help string, value float64, labels ...string) {
	s.add(name, help, prometheus.GaugeValue, value, labels)
}

// Flag adds a gauge that is 1 while state is true, else 0.
func (s Set) Flag(name, help string, state bool, labels ...string) {
	value := 0.0
	if state {
		value = 1
	}
	s.Gauge(name, help, value, labels...)
}

// Counter adds a value that only rises during the life of the process.
func (s Set) Counter(name, help string, value float64, labels ...string) {
	s.add(name, help, prometheus.CounterValue, value, labels)
}

func (s Set) add(name, help string, kind prometheus.ValueType, value float64, labels []string) {
	names, values := split(labels)
	metric, err := prometheus.NewConstMetric(prometheus.NewDesc(name, help, names, nil), kind, value, values...)
	if err != nil {
		metric = prometheus.NewInvalidMetric(prometheus.NewDesc(name, help, nil, nil), err)
	}
	s.metrics <- metric
}

// Histogram adds a distribution that an owner has observed.
func (s Set) Histogram(name, help string, observed Histogram, labels ...string) {
	names, values := split(labels)
	buckets, cumulative := map[float64]uint64{}, uint64(0)
	for i, bound := range bucketBounds {
		cumulative += observed.counts[i]
		buckets[bound] = cumulative
	}
	desc := prometheus.NewDesc(name, help, names, nil)
	metric, err := prometheus.NewConstHistogram(desc, observed.total, observed.sum, buckets, values...)
	if err != nil {
		metric = prometheus.NewInvalidMetric(desc, err)
	}
	s.metrics <- metric
}

// split separates pairs of names and values.
func split(labels []string) (names, values []string) {
	for i := 0; i+1 < len(labels); i += 2 {
		names, values = append(names, labels[i]), append(values, labels[i+1])
	}
	return names, values
}

// collector adapts a source to the Prometheus registry. It describes no metrics in advance, as services and members
// come and go.
type collector struct{ source Source }

// Describe implements prometheus.Collector.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(metrics chan<- prometheus.Metric) { c.source(Set{metrics}) }

// Handler returns a handler that serves the metrics of the given sources.
func Handler(sources ...Source) http.Handler {
	registry := prometheus.NewRegistry()
	for _, source := range sources {
		registry.MustRegister(collector{source})
	}
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		ErrorHandling:       promhttp.ContinueOnError,
		MaxRequestsInFlight: maxConcurrentScrapes,
		Timeout:             scrapeTimeout,
	})
}

// Serve serves metrics at an address and a path until the context is done. It returns once it listens.
func Serve(ctx context.Context, addr, path string, sources ...Source) error {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return oops.In("metrics").With("addr", addr).Wrap(err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /"+path, Handler(sources...))
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout, ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderSize}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }() // until Close
	return nil
}
