package emulator

// This file owns the effects of faults on drivers.

import "weirwind/logic"

const (
	// resumeSlack is the time in milliseconds that a resumed driver needs to answer the ops that are due.
	resumeSlack  = 20.0
	minPause     = 100.0
	minListPause = 1000.0
)

// inject begins a fault of a driver.
func (d *driver) inject(fault Fault) {
	switch fault.Kind {
	case faultRestart, faultLose:
		d.restart(fault.Kind == faultRestart)
	case faultEnd:
		d.removed = true
		d.restart(false)
	case faultCount:
		d.step(logic.Event{Kind: logic.EvDrivers, Drivers: int(fault.factorOr(float64(len(d.sim.drivers))))})
	case faultPause:
		d.pause(max(fault.Duration, minPause))
	case faultLate:
		d.pauseList(max(fault.Duration, minListPause))
	case faultBurst, faultHot:
		d.rateFactor, d.hotGroup = fault.factorOr(defaultBurst), fault.Kind == faultHot
		if fault.Duration > 0 {
			d.schedule(fault.Duration, func() { d.rateFactor, d.hotGroup = 1, false })
		}
	}
}

// pause suspends a driver; actions that arrive meanwhile run when it resumes.
func (d *driver) pause(duration float64) {
	d.pausedUntil = d.now + duration
	for _, o := range d.ops {
		o.driverPaused = o.deadline < d.pausedUntil+resumeSlack
	}
	d.schedule(d.pausedUntil-d.now, func() {
		deferred := d.deferred
		d.deferred = nil
		for _, action := range deferred {
			action()
		}
	})
}

// pauseList delays the list's entries; the policy gets them at the end of the pause.
func (d *driver) pauseList(duration float64) {
	d.listPausedUntil = d.now + duration
	d.schedule(d.listPausedUntil-d.now, func() {
		missed := d.missedEntries
		d.missedEntries = nil
		for _, e := range missed {
			d.updateEntry(e)
		}
	})
}
