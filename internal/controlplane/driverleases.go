package controlplane

import (
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/util/events"
)

const (
	// driverLeaseDuration is how long a driver's lease lasts from its renewal.
	driverLeaseDuration = 4 * time.Second
	// driverUpdateIntervalMs is the minimum time between two updates of the list of drivers, as each makes every agent
	// traverse its list.
	driverUpdateIntervalMs = 500.0
)

// driverLeases holds the table of drivers and the version of it that agents were last notified of. It belongs to
// softState.
type driverLeases struct {
	table *directory.Leases

	// notifiedDrivers is the list that agents were last notified of, and notifiedDigest its digest. An agent that has
	// received all updates has exactly this list, even if table has changed since.
	notifiedDrivers []directory.Driver
	notifiedDigest  uint64
	changed         bool    // table may differ from notifiedDrivers
	nextUpdateAt    float64 // earliest time of the next update, in ms

	log    events.Log
	agents *agentLinks
}

func newDriverLeases(log events.Log, agents *agentLinks) driverLeases {
	return driverLeases{table: directory.NewLeases(), notifiedDigest: directory.DriversDigest(nil),
		log: log, agents: agents}
}

// renew grants or renews a driver's lease. It reports whether the list of drivers changed.
func (d *driverLeases) renew(driver directory.Driver, now float64) bool {
	if !d.table.Renew(driver, now+ms(driverLeaseDuration)) {
		return false
	}
	d.log.Event(events.DriverLeaseGranted, "driver", driver.Name)
	d.changed = true
	return true
}

// release ends a lease that its driver releases.
func (d *driverLeases) release(driver directory.Driver) {
	if d.table.Release(driver.Name, driver.Incarnation) {
		d.changed = true
	}
}

// merge merges leases that were renewed at another core machine.
func (d *driverLeases) merge(leases []controlmsg.DriverLease, now float64) {
	for _, lease := range leases {
		if d.table.Renew(lease.Driver, now+min(lease.RemainingMs, ms(driverLeaseDuration))) {
			d.changed = true
		}
	}
}

// expire removes the leases that have expired.
func (d *driverLeases) expire(now float64) {
	for _, driver := range d.table.Expire(now) {
		d.log.Event(events.DriverLeaseExpired, "driver", driver.Name)
		d.changed = true
	}
}

// notifyAgents notifies agents of the drivers that were added or removed since the last update. Sending the full list
// at each change would have quadratic cost when a whole fleet starts at once. An agent that missed an update is found
// by the digest in its renewal.
func (d *driverLeases) notifyAgents(now float64) {
	if !d.changed || now < d.nextUpdateAt {
		return
	}
	d.changed, d.nextUpdateAt = false, now+driverUpdateIntervalMs
	joined, departed := directory.Diff(d.notifiedDrivers, d.table.Drivers())
	d.notifiedDrivers, d.notifiedDigest = d.table.Drivers(), d.table.Digest()
	if joined != nil || departed != nil {
		d.agents.notify(&controlmsg.StateUpdate{DriversAdded: joined, DriversRemoved: departed})
	}
}

// leasesByName returns the leases of the drivers with the given names, with their remaining time.
func (d *driverLeases) leasesByName(names map[string]bool, now float64) []controlmsg.DriverLease {
	var drivers []directory.Driver
	for _, driver := range d.table.Drivers() {
		if names[driver.Name] {
			drivers = append(drivers, driver)
		}
	}
	return d.leases(drivers, now)
}

// leases returns the leases of the given drivers, with their remaining time; nil if there are none.
func (d *driverLeases) leases(drivers []directory.Driver, now float64) (out []controlmsg.DriverLease) {
	for _, driver := range drivers {
		out = append(out, controlmsg.DriverLease{Driver: driver, RemainingMs: d.table.Expiry(driver.Name) - now})
	}
	return out
}
