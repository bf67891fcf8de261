package controlplane

import (
	"weirwind/internal/controlplane/controlmsg"
)

// This file owns what a follower knows of drivers that renew at a machine from which nothing arrives here.
//
// Each core machine reports the leases that are renewed at it to all others. Where the link between two followers is
// cut, both still have contact by the leader, but each lacks the leases of the other's drivers: they would expire
// here while they are renewed there. Such a machine asks the leader, which has both. Until the leader has answered,
// its list of drivers may lack some: it is not given out as complete, and nobody expires.

const (
	// coreSilentMs is after how long without a digest another core machine counts as silent: two digests may be lost.
	coreSilentMs = 2500.0
	// minSyncRemainingMs is what the shortest lease must still hold for all of them to be confirmed in one figure.
	minSyncRemainingMs = 1500.0
)

// leaseSync is when this machine heard from the others, and when the leader last confirmed its leases. It belongs to
// softState.
type leaseSync struct {
	heardAt     map[string]float64 // by control address: the last digest of a core machine
	confirmedAt float64            // when the leader's leases were merged here last; 0: never
}

func newLeaseSync() leaseSync { return leaseSync{heardAt: map[string]float64{}} }

// observe notes a digest of another core machine. An address that names none is ignored.
func (l *leaseSync) observe(controlAddr string, now float64) {
	if controlAddr != "" {
		l.heardAt[controlAddr] = now
	}
}

// retain forgets machines that vote no longer.
func (l *leaseSync) retain(voters []string) {
	heardAt := make(map[string]float64, len(voters))
	for _, addr := range voters {
		if at, ok := l.heardAt[addr]; ok {
			heardAt[addr] = at
		}
	}
	l.heardAt = heardAt
}

// lacksLeases reports whether some voter's leases don't arrive here. A machine that leads lacks none: whoever is
// silent to it has no contact, and its agents leave it.
func (s *softState) lacksLeases(now float64) bool {
	if s.leadership.active {
		return false
	}
	for _, addr := range s.coreAddrs {
		if addr != s.server.settings.ControlAddr && now-s.leaseSync.heardAt[addr] > coreSilentMs {
			return true
		}
	}
	return false
}

// leasesKnown reports whether all leases that are renewed anywhere arrive here, directly or by the leader.
func (s *softState) leasesKnown(now float64) bool {
	confirmed := s.leaseSync.confirmedAt > 0 && now-s.leaseSync.confirmedAt <= coreSilentMs
	return confirmed || !s.lacksLeases(now)
}

// requestLeases asks the leader for the leases, where some don't arrive here.
func (s *softState) requestLeases(now float64) {
	if !s.contact.established || !s.lacksLeases(now) {
		return
	}
	request := &controlmsg.LeaseSync{Request: true, DriversHash: s.drivers.table.Digest()}
	s.sendToLeader(&controlmsg.Frame{LeaseSync: request}) // repeated with the next digest
}

// handleLeaseSync answers another machine's request, or takes the leader's answer. A machine that doesn't lead, or
// that may itself lack leases, gives no answer.
func (s *softState) handleLeaseSync(from *link, frame *controlmsg.Frame, now float64) {
	sync := frame.LeaseSync
	if sync.Request {
		if s.leadership.active && s.directoryComplete(now) {
			from.Send(s.drivers.syncAnswer(sync.DriversHash, now))
		}
		return
	}
	if sync.DriversHash != 0 && sync.DriversHash == s.drivers.table.Digest() {
		s.drivers.renewAll(sync.RemainingMs, now)
	}
	s.drivers.merge(frame.Leases, now)
	s.leaseSync.confirmedAt = now
}

// syncAnswer is the leader's answer to a machine whose list of drivers has the hash: that it is the same and how long
// all leases hold, or the leases.
func (d *driverLeases) syncAnswer(hash uint64, now float64) *controlmsg.Frame {
	drivers := d.table.Drivers()
	shortest := ms(driverLeaseDuration)
	for _, driver := range drivers {
		shortest = min(shortest, d.table.Expiry(driver.Name)-now)
	}
	if hash == d.table.Digest() && shortest >= minSyncRemainingMs {
		return &controlmsg.Frame{LeaseSync: &controlmsg.LeaseSync{DriversHash: hash, RemainingMs: shortest}}
	}
	return &controlmsg.Frame{LeaseSync: &controlmsg.LeaseSync{}, Leases: d.leases(drivers, now)}
}

// renewAll prolongs the leases of all drivers in the table.
func (d *driverLeases) renewAll(remainingMs, now float64) {
	for _, driver := range d.table.Drivers() {
		d.table.Renew(driver, now+min(remainingMs, ms(driverLeaseDuration)))
	}
}
