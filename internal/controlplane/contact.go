package controlplane

// This file owns what a machine does about its contact with the core's majority: how old it is, and what is not said without one.
//
// A machine without contact goes on taking what it is told, as it may be the only one that its members and agents reach. It gives
// nobody a reason to stay with it: calls are answered 503, and agents are told at once, so that they look for another.

import (
	"math"
	"net/http"
	"strconv"
	"sync/atomic"

	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/events"
)

// contactClock passes the moment of the newest contact from the consensus loop to all others. A loop that hangs, say on its disk,
// renews nothing, and the contact ages.
type contactClock struct{ bits atomic.Uint64 }

func (c *contactClock) set(at float64) { c.bits.Store(math.Float64bits(at)) }

func (c *contactClock) at() float64 { return math.Float64frombits(c.bits.Load()) }

// contactAge is the age of this machine's newest contact with a majority, in milliseconds; +Inf: there was none.
func (h *Server) contactAge() float64 { return h.now() - h.contact.at() }

func (h *Server) inContact() bool { return h.contactAge() <= consensus.ContactLease }

const noContactText = "this machine is out of contact with the core's majority; ask another"

// refuseWithoutContact answers 503 where there is no contact, so that the caller asks another machine at once.
func (h *Server) refuseWithoutContact(w http.ResponseWriter) bool {
	if h.inContact() {
		return false
	}
	http.Error(w, noContactText, http.StatusServiceUnavailable)
	return true
}

// contactHeader bears the age in milliseconds of what a machine answers from its own knowledge.
const contactHeader = "Weirwind-Contact-Age-Ms"

func (h *Server) setContactHeader(w http.ResponseWriter) {
	w.Header().Set(contactHeader, strconv.FormatFloat(math.Ceil(h.contactAge()), 'f', 0, 64))
}

// contactEdge is the tables' view of the contact.
type contactEdge struct {
	held  bool
	since float64
}

// watchContact tells agents when contact is lost or regained.
func (t *tables) watchContact(now float64) {
	held := t.h.inContact()
	if held == t.contact.held {
		return
	}
	t.contact = contactEdge{held, now}
	age := t.h.contactAge()
	if held {
		t.h.log.Event(events.ContactHeld, "ageMs", math.Round(age))
	} else {
		t.h.log.Event(events.ContactLost, "ageMs", math.Round(age))
	}
	t.push(&controlmsg.StateUpdate{QuorumContactAgeMs: &age})
}

// tableComplete says that the others' words have come in for a whole lease of contact. Without that, silence proves nothing: neither a
// member nor a driver is taken for gone, and a list of drivers is not given out as if it were all of them.
func (t *tables) tableComplete(now float64) bool {
	return t.contact.held && now-t.contact.since >= ms(leaseFor)
}
