package controlplane

import (
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/events"
)

// A machine without contact with a quorum continues to accept heartbeats and renewals, as it may be the only one that
// its members and agents reach. But it answers calls 503 and notifies agents at once, so that they look for another
// machine.

// contactClock publishes the time of the newest contact with a quorum, in ms, from the consensus loop to other
// goroutines. While the loop hangs, for example on its disk, the contact is not renewed and ages. Any goroutine may use
// it.
type contactClock struct{ bits atomic.Uint64 }

func (c *contactClock) set(at float64) { c.bits.Store(math.Float64bits(at)) }

func (c *contactClock) at() float64 { return math.Float64frombits(c.bits.Load()) }

// contactAge returns the age of this machine's newest contact with a quorum, in ms; +Inf if there was none.
func (srv *Server) contactAge() float64 { return srv.now() - srv.contact.at() }

func (srv *Server) inContact() bool { return srv.contactAge() <= consensus.ContactLease }

const (
	// leaveContactTimeout limits the wait for contact before a member's drain or leave is acknowledged. The member calls
	// the next machine after a second.
	leaveContactTimeout = 700 * time.Millisecond
	contactPollInterval = 20 * time.Millisecond
)

// awaitContact waits until the newest contact is not older than since, in ms, and reports whether that happened within
// the timeout. Messages to a machine arrive in order, so a majority that includes the leader then has everything that
// this machine sent before since.
func (srv *Server) awaitContact(since float64, timeout time.Duration) bool {
	tick := time.NewTicker(contactPollInterval)
	defer tick.Stop()
	for deadline := since + ms(timeout); srv.contact.at() < since; {
		select {
		case <-tick.C:
		case <-srv.ctx.Done():
			return false
		}
		if srv.now() > deadline {
			return false
		}
	}
	return true
}

// rejectWithoutContact answers with an error if there is no contact, so that the caller turns to another machine at
// once. It reports whether it did.
func (srv *Server) rejectWithoutContact(w http.ResponseWriter) bool {
	if srv.inContact() {
		return false
	}
	writeError(w, errNoContact)
	return true
}

// setContactHeader adds the age of the contact to an answer that this machine gives from its local state.
func (srv *Server) setContactHeader(w http.ResponseWriter) {
	w.Header().Set(headerContactAgeMs, strconv.FormatFloat(math.Ceil(srv.contactAge()), 'f', 0, 64))
}

// contactState is the contact as of the soft state's last tick.
type contactState struct {
	inContact bool
	since     float64 // when inContact last changed, in ms
}

// updateContact notifies agents when contact is lost or regained.
func (s *softState) updateContact(now float64) {
	inContact := s.server.inContact()
	if inContact == s.contact.inContact {
		return
	}
	s.contact = contactState{inContact: inContact, since: now}
	age := s.server.contactAge()
	event := events.ContactLost
	if inContact {
		event = events.ContactRegained
	}
	s.server.log.Event(event, "ageMs", math.Round(age))
	s.agents.notify(&controlmsg.StateUpdate{QuorumContactAgeMs: &age, WriterLeases: s.writerLeaseSupport()})
}

// directoryComplete reports whether contact has lasted for a full driver lease and the leases of all machines arrive
// here, so that this machine knows what other core machines know. Until then silence proves nothing: neither members
// nor drivers expire, and no list of drivers is sent as complete.
func (s *softState) directoryComplete(now float64) bool {
	return s.contact.inContact && now-s.contact.since >= ms(driverLeaseDuration) && s.leasesKnown(now)
}
