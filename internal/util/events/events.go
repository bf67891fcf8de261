// Package events implements the system's log: numbered events with keys and values.
//
// Operators and their tools search for an event's number and keys, so these never change. Its meaning is in the
// catalogue (catalogue.go), from which docs/events.md is generated; a test checks that the two agree.
//
// A line of the log is: milliseconds since the process began, the process's name, the number, and pairs of key and
// value:
//
//	60008 core1 "E803" "from"="10.0.0.1:7440" "to"="10.0.0.2:7440" "apart"=true "silentMs"=2600
package events

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/samber/oops"
)

// maxRecent is the maximum number of lines kept in memory.
const maxRecent = 256

// Log writes numbered events and keeps the newest lines for operators' queries. It is safe for concurrent use.
type Log struct {
	logger logr.Logger
	recent *recentLines
	counts *counts
}

// counts has the number of times that each event was logged, by event number.
type counts [maxEvent + 1]atomic.Uint64

// maxEvent is the highest event number; events beyond it are counted as event 0.
const maxEvent = 1099

func (c *counts) add(event Event) {
	if event < 0 || event > maxEvent {
		event = 0
	}
	c[event].Add(1)
}

// recentLines keeps the newest lines: at most maxRecent, and at least three quarters of that once as many were logged.
type recentLines struct {
	mu    sync.Mutex
	lines []string // oldest first
}

func (r *recentLines) add(line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.lines) >= maxRecent {
		r.lines = append(r.lines[:0], r.lines[maxRecent/4:]...)
	}
	r.lines = append(r.lines, line)
}

func (r *recentLines) snapshot() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.lines...)
}

// redundantArgs removes from funcr's output what every line would repeat: the level, and the key of the event's number.
var redundantArgs = strings.NewReplacer(`"level"=0 `, "", `"msg"=`, "")

// New returns a log that writes to w, one line per event. name is the name of the process.
func New(w io.Writer, name string) Log {
	var mu sync.Mutex
	recent := &recentLines{}
	start := time.Now()
	logger := funcr.New(func(prefix, args string) {
		line := fmt.Sprintf("%d %s %s", time.Since(start).Milliseconds(), prefix, redundantArgs.Replace(args))
		recent.add(line)
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.WriteString(w, line+"\n") // a failure to write the log must not stop the process
	}, funcr.Options{})
	return Log{logger.WithName(name), recent, &counts{}}
}

// Discard returns a log that neither keeps nor writes events.
func Discard() Log { return Log{logr.Discard(), &recentLines{}, &counts{}} }

// Event logs an event with pairs of keys and values.
func (l Log) Event(event Event, pairs ...any) {
	l.counts.add(event)
	l.logger.Info(message(event), pairs...)
}

// Count returns how often this process has logged an event.
func (l Log) Count(event Event) uint64 { return l.counts[event].Load() }

// Error logs an event with an error. An error made by package oops adds its domain as the step, and its context, such
// as the peer.
func (l Log) Error(event Event, err error, pairs ...any) {
	if o, ok := oops.AsOops(err); ok {
		pairs = append(pairs, "step", o.Domain())
		for k, v := range o.Context() {
			pairs = append(pairs, k, v)
		}
	}
	l.counts.add(event)
	l.logger.Info(message(event), append(pairs, "error", err.Error())...)
}

func message(event Event) string { return fmt.Sprintf("E%d", int(event)) }

// Recent returns the recent lines, oldest first.
func (l Log) Recent() []string { return l.recent.snapshot() }

// ServeHTTP writes the recent lines; ?about=TEXT selects those that contain the text.
func (l Log) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	about := r.URL.Query().Get("about")
	for _, line := range l.Recent() {
		if strings.Contains(line, about) {
			_, _ = io.WriteString(w, line+"\n") // the client may have disconnected
		}
	}
}
