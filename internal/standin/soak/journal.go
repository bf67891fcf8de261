package soak

// This file owns the journal: when which machines were disturbed, and by what.

import (
	"slices"
	"sync"
	"time"
)

// disturbance is an event's effect on a machine, from its begin until its end; a zero end: it lasts.
type disturbance struct {
	machine  string // "" for members
	process  string
	kind     Kind
	from, to time.Time
}

// journal is the disturbances so far.
type journal struct {
	mu  sync.Mutex
	all []*disturbance
}

// begin notes a disturbance; the caller calls end when it is over.
func (j *journal) begin(process string, kind Kind) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := &disturbance{process: process, kind: kind, from: time.Now()}
	if kind != KindCrash && kind != KindLag && kind != KindRelease && kind != KindLostAnswers {
		d.machine = machine(process)
	}
	j.all = append(j.all, d)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		d.to = time.Now()
	}
}

// any says whether a disturbance that fits overlaps a span of time.
func (j *journal) overlaps(from, to time.Time, matches func(*disturbance) bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.ContainsFunc(j.all, func(d *disturbance) bool {
		return d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) && matches(d)
	})
}

// inTouch says whether neither a machine nor the core was disturbed for contactTime before a span, nor in it. Signals
// that have a process read its settings again disturb nothing.
func (j *journal) inContact(machine string, from, to time.Time) bool {
	return !j.overlaps(from.Add(-contactTime), to, func(d *disturbance) bool {
		return d.kind != KindHangup && d.machine != "" &&
			(d.machine == machine || d.process[:min(len(d.process), len(prefixCore))] == prefixCore)
	})
}

// faultFree says whether no fault came for contactTime before a span, nor in it.
func (j *journal) faultFree(from, to time.Time) bool {
	return !j.overlaps(from.Add(-contactTime), to, func(d *disturbance) bool { return d.kind.IsFault() })
}

// disturbed says whether a process had an event of one of the kinds in a span.
func (j *journal) disturbed(process string, from, to time.Time, kinds ...Kind) bool {
	return j.overlaps(from, to, func(d *disturbance) bool { return d.process == process && slices.Contains(kinds, d.kind) })
}
