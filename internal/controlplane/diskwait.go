package controlplane

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"weirwind/internal/util/events"
)

// This file owns what is known of a disk that keeps the consensus loop waiting: as it stalls, or as it has no room.
//
// The loop says nothing meanwhile: it grants no vote and acknowledges nothing, its contact ages, and calls are answered
// 503. The soft state goes on: it takes heartbeats and renewals, and passes records on.

const (
	// Pauses between two attempts to write to a disk without room.
	initialRoomPause = 50 * time.Millisecond
	maxRoomPause     = time.Second
	// roomLogIntervalMs is the time between two lines about a disk that stays full.
	roomLogIntervalMs = 10_000.0
)

// diskWait is for how long a write has been under way, and whether the disk refuses it for want of room. Any goroutine
// may use it: pebble writes from goroutines of its own.
type diskWait struct {
	ctx context.Context // of the process: who is stopped waits no longer
	log events.Log
	now func() float64 // ms

	writingSince atomic.Uint64 // bits of the moment at which the loop's write began, in ms; 0: none is under way
	fullSince    atomic.Uint64 // bits of the moment of the first refusal; 0: the disk has room
	loggedAt     atomic.Uint64 // bits of the moment at which it was logged last
}

// begin and end enclose a write of the loop.
func (d *diskWait) begin(now float64) { d.writingSince.Store(math.Float64bits(now)) }

func (d *diskWait) end() {
	d.writingSince.Store(0)
	d.fullSince.Store(0)
}

// waitForRoom is called with each refusal for want of room. It waits a little, and longer the longer the disk has been
// full; false: the process ends.
func (d *diskWait) waitForRoom(err error) (retry bool) {
	now := d.now()
	d.fullSince.CompareAndSwap(0, math.Float64bits(now))
	if last := d.loggedAt.Load(); last == 0 || now-math.Float64frombits(last) > roomLogIntervalMs {
		if d.loggedAt.CompareAndSwap(last, math.Float64bits(now)) {
			d.log.Error(events.DiskFull, err)
		}
	}
	fullFor := time.Duration((now - math.Float64frombits(d.fullSince.Load())) * float64(time.Millisecond))
	timer := time.NewTimer(min(max(fullFor/2, initialRoomPause), maxRoomPause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// writingFor is for how many ms the loop's present write has been under way; 0: none is.
func (d *diskWait) writingFor(now float64) float64 {
	since := d.writingSince.Load()
	if since == 0 {
		return 0
	}
	return now - math.Float64frombits(since)
}

// isFull reports whether the disk refuses the present write for want of room.
func (d *diskWait) isFull() bool { return d.fullSince.Load() != 0 }
