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

// A machine without contact with a quorum goes on accepting what it is sent, as it may be the only one that its
// members and agents reach. It gives nobody a reason to stay with it: calls are answered 503, and agents are notified
// at once, so that they look for another.

// contactClock passes the moment of the newest contact with a quorum, in ms, from the consensus loop to all others. A
// loop that hangs, as on its disk, renews nothing, and the contact ages. Any goroutine may use it.
type contactClock struct{ bits atomic.Uint64 }

func (c *contactClock) set(at float64) { c.bits.Store(math.Float64bits(at)) }

func (c *contactClock) at() float64 { return math.Float64frombits(c.bits.Load()) }

// contactAge is the age of this machine's newest contact with a quorum, in ms; +Inf: there was none.
func (h *Server) contactAge() float64 { return h.now() - h.contact.at() }

func (h *Server) inContact() bool { return h.contactAge() <= consensus.ContactLease }

const (
	// leavingTimeout bounds the wait for contact before a member's drain or leave is acknowledged. The member calls the
	// next machine after a second.
	leavingTimeout = 700 * time.Millisecond
	contactPoll    = 20 * time.Millisecond
)

// awaitContact waits until contact is newer than a moment, in ms; false where it is not in time. Messages to a machine
// are in order: by then a majority, the leader among it, has what this machine had sent before.
func (h *Server) awaitContact(since float64, timeout time.Duration) bool {
	tick := time.NewTicker(contactPoll)
	defer tick.Stop()
	for end := since + ms(timeout); h.contact.at() < since; {
		select {
		case <-tick.C:
		case <-h.ctx.Done():
			return false
		}
		if h.now() > end {
			return false
		}
	}
	return true
}

// rejectWithoutContact answers with an error where there is no contact, so that the caller turns to another machine
// at once.
func (h *Server) rejectWithoutContact(w http.ResponseWriter) bool {
	if h.inContact() {
		return false
	}
	writeError(w, errNoContact)
	return true
}

// setContactHeader adds the age of the contact to an answer that this machine gives from its own knowledge.
func (h *Server) setContactHeader(w http.ResponseWriter) {
	w.Header().Set(headerContactAgeMs, strconv.FormatFloat(math.Ceil(h.contactAge()), 'f', 0, 64))
}

// contactState is the soft state's view of the contact, as of its last tick.
type contactState struct {
	established bool
	since       float64 // when established changed last, in ms
}

// updateContact notifies agents when contact is lost or regained.
func (s *softState) updateContact(now float64) {
	established := s.server.inContact()
	if established == s.contact.established {
		return
	}
	s.contact = contactState{established: established, since: now}
	age := s.server.contactAge()
	event := events.ContactLost
	if established {
		event = events.ContactRegained
	}
	s.server.log.Event(event, "ageMs", math.Round(age))
	s.agents.notify(&controlmsg.StateUpdate{QuorumContactAgeMs: &age})
}

// directoryComplete reports whether contact has lasted for a full driver lease, and the leases of all machines arrive
// here, so that what other core machines know has arrived. Before that silence proves nothing: neither a member nor a
// driver expires, and a list of drivers is not given out as complete.
func (s *softState) directoryComplete(now float64) bool {
	return s.contact.established && now-s.contact.since >= ms(driverLeaseDuration) && s.leasesKnown(now)
}
