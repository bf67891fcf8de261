package controlplane

import (
	"weirwind/internal/controlplane/controlmsg"
)

// This file synchronizes driver leases by way of the leader, for followers that can't reach each other.
//
// Each core machine reports the leases that are renewed at it to all others. If the link between two followers fails,
// both still have contact through the leader, but each lacks the leases of the other's drivers, which would expire here
// while they are renewed there. Such a machine asks the leader, which has both. Until the leader has answered, the list
// of drivers may be incomplete: it is not sent as complete, and no member or driver expires.

const (
	// coreSilenceTimeoutMs is how long another core machine may send no digest before it counts as silent. Two digests
	// may be lost.
	coreSilenceTimeoutMs = 2500.0
	// minSyncRemainingMs is the minimum remaining time of the shortest lease for which the leader confirms all leases by
	// their digest, with that one time for all.
	minSyncRemainingMs = 1500.0
)

// leaseSync records when this machine last received the digests of the others, and when the leader last confirmed its
// leases. It belongs to softState.
type leaseSync struct {
	lastDigestAt map[string]float64 // time of a core machine's last digest, by control address
	confirmedAt  float64            // when the leader's leases were last merged here; 0 if never
}

func newLeaseSync() leaseSync { return leaseSync{lastDigestAt: map[string]float64{}} }

// observe records a digest from another core machine. An empty address is ignored.
func (l *leaseSync) observe(controlAddr string, now float64) {
	if controlAddr != "" {
		l.lastDigestAt[controlAddr] = now
	}
}

// retain drops all machines but the given voters.
func (l *leaseSync) retain(voters []string) {
	lastDigestAt := make(map[string]float64, len(voters))
	for _, addr := range voters {
		if at, ok := l.lastDigestAt[addr]; ok {
			lastDigestAt[addr] = at
		}
	}
	l.lastDigestAt = lastDigestAt
}

// lacksLeases reports whether the leases of some voter do not arrive here. A leader lacks none: a machine from which it
// receives nothing has no contact, so that machine's agents leave it.
func (s *softState) lacksLeases(now float64) bool {
	if s.leadership.active {
		return false
	}
	for _, addr := range s.coreAddrs {
		if addr != s.server.settings.ControlAddr && now-s.leaseSync.lastDigestAt[addr] > coreSilenceTimeoutMs {
			return true
		}
	}
	return false
}

// leasesKnown reports whether all leases that are renewed anywhere arrive here, directly or through the leader.
func (s *softState) leasesKnown(now float64) bool {
	confirmed := s.leaseSync.confirmedAt > 0 && now-s.leaseSync.confirmedAt <= coreSilenceTimeoutMs
	return confirmed || !s.lacksLeases(now)
}

// requestLeases asks the leader for all leases if those of some voter do not arrive here.
func (s *softState) requestLeases(now float64) {
	if !s.contact.inContact || !s.lacksLeases(now) {
		return
	}
	request := &controlmsg.LeaseSync{Request: true, DriversHash: s.drivers.table.Digest()}
	s.sendToLeader(&controlmsg.Frame{LeaseSync: request}) // repeated with the next digest
}

// handleLeaseSync answers another machine's request, or applies the leader's answer. A machine that does not lead, or
// that may itself lack leases, sends no answer.
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

// syncAnswer returns the leader's answer to a machine whose list of drivers has the given hash. If the lists are equal
// it confirms the hash with the time that all leases still last; otherwise it holds the leases.
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

// renewAll renews the leases of all drivers in the table.
func (d *driverLeases) renewAll(remainingMs, now float64) {
	for _, driver := range d.table.Drivers() {
		d.table.Renew(driver, now+min(remainingMs, ms(driverLeaseDuration)))
	}
}
