package soak

// This file has the journal, which records the disturbances of machines.

import (
	"slices"
	"sync"
	"time"
)

// disturbance is the time span of an event on a machine; its end is zero while it lasts.
type disturbance struct {
	machine  string // "" for members
	process  string
	kind     Kind
	from, to time.Time
}

// journal has the disturbances so far.
type journal struct {
	mu  sync.Mutex
	all []*disturbance
}

// begin records the start of a disturbance; the caller calls end when it is over.
func (j *journal) begin(process string, kind Kind) (end func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := &disturbance{process: process, kind: kind, from: time.Now()}
	if !kind.isMemberFault() && kind != KindRelease && kind != KindLostAnswers {
		d.machine = machine(process)
	}
	j.all = append(j.all, d)
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		d.to = time.Now()
	}
}

// overlaps reports whether a matching disturbance overlaps a time span.
func (j *journal) overlaps(from, to time.Time, matches func(*disturbance) bool) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.ContainsFunc(j.all, func(d *disturbance) bool {
		return d.from.Before(to) && (d.to.IsZero() || d.to.After(from)) && matches(d)
	})
}

// inContact reports whether neither the machine nor the core was disturbed during a time span and contactTime before
// it. SIGHUP, on which a process only rereads its settings, does not count.
func (j *journal) inContact(machine string, from, to time.Time) bool {
	return !j.overlaps(from.Add(-contactTime), to, func(d *disturbance) bool {
		return d.kind != KindHangup && d.machine != "" &&
			(d.machine == machine || d.process[:min(len(d.process), len(prefixCore))] == prefixCore)
	})
}

// faultFree reports whether there was no fault during a time span and contactTime before it.
func (j *journal) faultFree(from, to time.Time) bool {
	return !j.overlaps(from.Add(-contactTime), to, func(d *disturbance) bool { return d.kind.IsFault() })
}

// disturbed reports whether a process had an event of one of the kinds during a time span.
func (j *journal) disturbed(process string, from, to time.Time, kinds ...Kind) bool {
	return j.overlaps(from, to, func(d *disturbance) bool {
		return d.process == process && slices.Contains(kinds, d.kind)
	})
}
