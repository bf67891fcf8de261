package controlplane

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"weirwind/internal/util/events"
)

// This file tracks whether the disk blocks the consensus loop, because it stalls or has no space left.
//
// A blocked loop sends nothing: it grants no vote and acknowledges nothing, its contact ages, and calls are answered
// 503. The soft state continues: it accepts heartbeats and renewals, and passes records on.

const (
	// Delays between two attempts to write to a full disk.
	initialSpaceRetryDelay = 50 * time.Millisecond
	maxSpaceRetryDelay     = time.Second
	// diskFullLogIntervalMs is the time between two log lines about a disk that stays full.
	diskFullLogIntervalMs = 10_000.0
)

// diskWait tracks how long the current write has taken, and whether the disk rejects it for lack of space. Any
// goroutine may use it, as pebble writes from goroutines of its own.
type diskWait struct {
	ctx context.Context // of the process; ends the wait for space
	log events.Log
	now func() float64 // ms

	writeStartedAt atomic.Uint64 // float64 bits of the start of the loop's current write, in ms; 0 if there is none
	fullSince      atomic.Uint64 // float64 bits of the time of the first rejection, in ms; 0 if the disk has space
	loggedAt       atomic.Uint64 // float64 bits of the time of the last log line, in ms; 0 if there was none
}

// beginWrite and endWrite enclose each write of the loop.
func (d *diskWait) beginWrite(now float64) { d.writeStartedAt.Store(math.Float64bits(now)) }

func (d *diskWait) endWrite() {
	d.writeStartedAt.Store(0)
	d.fullSince.Store(0)
}

// waitForSpace is called each time the disk rejects a write for lack of space. It waits longer the longer the disk has
// been full, and reports whether to retry: false means that the process is stopping.
func (d *diskWait) waitForSpace(err error) (retry bool) {
	now := d.now()
	d.fullSince.CompareAndSwap(0, math.Float64bits(now))
	if last := d.loggedAt.Load(); last == 0 || now-math.Float64frombits(last) > diskFullLogIntervalMs {
		if d.loggedAt.CompareAndSwap(last, math.Float64bits(now)) {
			d.log.Error(events.DiskFull, err)
		}
	}
	fullFor := time.Duration((now - math.Float64frombits(d.fullSince.Load())) * float64(time.Millisecond))
	timer := time.NewTimer(min(max(fullFor/2, initialSpaceRetryDelay), maxSpaceRetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// currentWriteMs returns how long the loop's current write has taken, in ms; 0 if there is none.
func (d *diskWait) currentWriteMs(now float64) float64 {
	since := d.writeStartedAt.Load()
	if since == 0 {
		return 0
	}
	return now - math.Float64frombits(since)
}

// isFull reports whether the disk rejects the current write for lack of space.
func (d *diskWait) isFull() bool { return d.fullSince.Load() != 0 }
