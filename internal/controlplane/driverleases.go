package controlplane

import (
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/util/events"
)

const (
	// driverLeaseDuration is for how long a driver's lease holds from its renewal.
	driverLeaseDuration = 4 * time.Second
	// driverUpdateIntervalMs is the time between two updates of the list of drivers: each costs every agent a pass over
	// its list.
	driverUpdateIntervalMs = 500.0
)

// driverLeases is the table of drivers, and what agents were notified of it. It belongs to softState.
type driverLeases struct {
	table *directory.Leases

	// notified is the list as agents were notified of it last, and notifiedDigest its digest. An agent that has followed
	// all updates has this very list, however much table has changed since.
	notified       []directory.Driver
	notifiedDigest uint64
	changed        bool    // table may differ from notified
	nextUpdateAt   float64 // agents are not notified before

	log    events.Log
	agents *agentLinks
}

func newDriverLeases(log events.Log, agents *agentLinks) driverLeases {
	return driverLeases{table: directory.NewLeases(), notifiedDigest: directory.DriversDigest(nil),
		log: log, agents: agents}
}

// renew grants or prolongs a driver's lease. It reports whether the list of drivers changed.
func (d *driverLeases) renew(driver directory.Driver, now float64) bool {
	if !d.table.Renew(driver, now+ms(driverLeaseDuration)) {
		return false
	}
	d.log.Event(events.DriverLeaseGranted, "driver", driver.Name)
	d.changed = true
	return true
}

// release ends a lease that its driver gives back.
func (d *driverLeases) release(driver directory.Driver) {
	if d.table.Release(driver.Name, driver.Incarnation) {
		d.changed = true
	}
}

// merge takes leases that were renewed at another core machine.
func (d *driverLeases) merge(leases []controlmsg.DriverLease, now float64) {
	for _, lease := range leases {
		if d.table.Renew(lease.Driver, now+min(lease.RemainingMs, ms(driverLeaseDuration))) {
			d.changed = true
		}
	}
}

// expire drops the leases that ran out.
func (d *driverLeases) expire(now float64) {
	for _, driver := range d.table.Expire(now) {
		d.log.Event(events.DriverLeaseExpired, "driver", driver.Name)
		d.changed = true
	}
}

// notifyAgents notifies agents of the drivers that joined and departed since the last time, all together: a list of
// all, at each change, would cost the square of the size of a fleet that starts together. An agent that missed an
// update is found by its digest.
func (d *driverLeases) notifyAgents(now float64) {
	if !d.changed || now < d.nextUpdateAt {
		return
	}
	d.changed, d.nextUpdateAt = false, now+driverUpdateIntervalMs
	joined, departed := directory.Diff(d.notified, d.table.Drivers())
	d.notified, d.notifiedDigest = d.table.Drivers(), d.table.Digest()
	if joined != nil || departed != nil {
		d.agents.notify(&controlmsg.StateUpdate{DriversAdded: joined, DriversRemoved: departed})
	}
}

// leasesOf gives the leases of drivers by name, with what remains of them.
func (d *driverLeases) leasesOf(names map[string]bool, now float64) []controlmsg.DriverLease {
	var drivers []directory.Driver
	for _, driver := range d.table.Drivers() {
		if names[driver.Name] {
			drivers = append(drivers, driver)
		}
	}
	return d.leases(drivers, now)
}

// leases gives the leases of some drivers, with what remains of them; nil for none.
func (d *driverLeases) leases(drivers []directory.Driver, now float64) (out []controlmsg.DriverLease) {
	for _, driver := range drivers {
		out = append(out, controlmsg.DriverLease{Driver: driver, RemainingMs: d.table.Expiry(driver.Name) - now})
	}
	return out
}
