package directory

import (
	"cmp"
	"slices"
)

// Driver is a machine that takes clients, as its agent describes it. It goes over the wire as CBOR, by the keys of
// its tags.
type Driver struct {
	Name        string `cbor:"1,keyasint"`
	Addr        string `cbor:"2,keyasint"` // where other agents reach it
	Zone        string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"` // of the agent's process: a later one's is higher
}

func byName(a, b Driver) int { return cmp.Compare(a.Name, b.Name) }

// Leases is the control plane's table of drivers: a driver belongs to the fleet while it renews its lease.
type Leases struct {
	byName  map[string]*lease
	drivers []Driver // sorted by name; nil: out of date. A slice that was given out is never changed.
	digest  uint64   // of drivers
}

type lease struct {
	driver Driver
	expiry float64
}

// NewLeases gives an empty table.
func NewLeases() *Leases { return &Leases{byName: map[string]*lease{}} }

// Renew grants or prolongs a driver's lease; a renewal of an earlier incarnation is ignored. It says whether the list
// of drivers changed.
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

// Release ends a lease that its own incarnation gives back. It says whether the list of drivers changed.
func (l *Leases) Release(name string, incarnation uint64) bool {
	if old := l.byName[name]; old == nil || old.driver.Incarnation != incarnation {
		return false
	}
	delete(l.byName, name)
	l.drivers = nil
	return true
}

// Expire drops the leases that ran out, and gives their drivers, in no order.
func (l *Leases) Expire(now float64) (expired []Driver) {
	for name, e := range l.byName {
		if now >= e.expiry {
			delete(l.byName, name)
			l.drivers = nil
			expired = append(expired, e.driver)
		}
	}
	return expired
}

// Expiry is when a driver's lease ends, 0 for a driver without one.
func (l *Leases) Expiry(name string) float64 {
	if e := l.byName[name]; e != nil {
		return e.expiry
	}
	return 0
}

// Drivers gives the drivers that hold a lease, by name. The slice is shared: callers may not change it.
func (l *Leases) Drivers() []Driver {
	if l.drivers == nil {
		l.drivers = make([]Driver, 0, len(l.byName))
		for _, e := range l.byName {
			l.drivers = append(l.drivers, e.driver)
		}
		slices.SortFunc(l.drivers, byName)
		l.digest = DriversDigest(l.drivers)
	}
	return l.drivers
}

// Digest is that of Drivers. It is kept until the list changes, as every renewal compares it.
func (l *Leases) Digest() uint64 {
	l.Drivers()
	return l.digest
}
