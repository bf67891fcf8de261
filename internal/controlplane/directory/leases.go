package directory

import (
	"cmp"
	"slices"
)

// Driver is a machine that serves clients, as its agent describes it. It is encoded as CBOR on the wire, with the keys
// in its tags.
type Driver struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint"` // address for other agents
	Zone        string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"` // of the agent's process; a later process has a higher one
}

func byName(a, b Driver) int { return cmp.Compare(a.Name, b.Name) }

// Leases is the control plane's table of drivers: a driver is listed while it renews its lease.
type Leases struct {
	byName  map[string]*lease
	drivers []Driver // sorted by name; nil if out of date. A slice that was returned is never modified.
	digest  uint64   // of drivers
}

type lease struct {
	driver Driver
	expiry float64
}

// NewLeases returns an empty table.
func NewLeases() *Leases { return &Leases{byName: map[string]*lease{}} }

// Renew grants or extends a driver's lease, and reports whether the list of drivers changed. A renewal of an earlier
// incarnation is ignored.
func (l *Leases) Renew(driver Driver, expiry float64) (changed bool) {
	old := l.byName[driver.Name]
	if old != nil && old.driver.Incarnation > driver.Incarnation {
		return false
	}
	if old == nil || old.driver != driver {
		l.byName[driver.Name] = &lease{driver: driver, expiry: expiry}
		l.drivers = nil
		return true
	}
	old.expiry = max(old.expiry, expiry)
	return false
}

// Release ends a driver's lease if it belongs to the given incarnation, and reports whether the list of drivers
// changed.
func (l *Leases) Release(name string, incarnation uint64) bool {
	if old := l.byName[name]; old == nil || old.driver.Incarnation != incarnation {
		return false
	}
	delete(l.byName, name)
	l.drivers = nil
	return true
}

// Expire removes the expired leases, and returns their drivers in no particular order.
func (l *Leases) Expire(now float64) (expired []Driver) {
	for name, entry := range l.byName {
		if now >= entry.expiry {
			delete(l.byName, name)
			l.drivers = nil
			expired = append(expired, entry.driver)
		}
	}
	return expired
}

// Expiry returns when a driver's lease expires, 0 for a driver without a lease.
func (l *Leases) Expiry(name string) float64 {
	if entry := l.byName[name]; entry != nil {
		return entry.expiry
	}
	return 0
}

// Drivers returns the drivers that hold a lease, sorted by name. The slice is shared: callers must not modify it.
func (l *Leases) Drivers() []Driver {
	if l.drivers == nil {
		l.drivers = make([]Driver, 0, len(l.byName))
		for _, entry := range l.byName {
			l.drivers = append(l.drivers, entry.driver)
		}
		slices.SortFunc(l.drivers, byName)
		l.digest = DriversDigest(l.drivers)
	}
	return l.drivers
}

// Digest returns the DriversDigest of Drivers. It is cached until the list changes, as every renewal compares it.
func (l *Leases) Digest() uint64 {
	l.Drivers()
	return l.digest
}
