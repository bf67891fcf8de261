package writerlease

import (
	"cmp"
	"maps"
	"slices"

	"weirwind/internal/controlplane/controlmsg"
)

const (
	// LeaseDuration is how long a lease lasts, in milliseconds from the leader's contact with a majority.
	LeaseDuration = 3000.0
	// clockMargin is the ratio by which the leader counts a lease as longer: clocks may run at different rates.
	clockMargin = 1.02
	// maxVersions is the number of latest versions of the assignments by which requests are recognized.
	maxVersions = 64
)

// Granter assigns writers and grants leases at the leader, for one term.
type Granter struct {
	term        uint64
	startedAt   float64
	assignments Assignments
	version     uint64            // number of the newest assignment
	versions    map[uint64]uint64 // latest versions, by their digest
	holders     map[HolderID]*lease
	confirmed   map[string]uint64 // number of the newest confirmed assignment, by service
}

// HolderID identifies a process of a proxy.
type HolderID struct {
	Driver string
	Proxy  uint64
}

// lease is the leader's state of a holder.
type lease struct {
	expiry    float64 // 0 if none was granted
	confirmed uint64  // newest version that the holder knows
}

// NewGranter returns the granter of a leader that was elected by now.
func NewGranter(term uint64, now float64) *Granter {
	g := &Granter{term: term, startedAt: now, assignments: Assignments{}, versions: map[uint64]uint64{},
		holders: map[HolderID]*lease{}, confirmed: map[string]uint64{}}
	g.recordVersion()
	return g
}

// Assign makes a member the one that proxies may send a service's writes to, "" for none. It reports whether that is
// new.
func (g *Granter) Assign(service, member string) (assignment controlmsg.WriterAssignment, changed bool) {
	if known, found := g.assignments[service]; found && known.Member == member {
		return known, false
	}
	g.version++
	assignment = controlmsg.WriterAssignment{Service: service, Term: g.term, Number: g.version, Member: member}
	g.assignments[service] = assignment
	g.recordVersion()
	return assignment, true
}

func (g *Granter) recordVersion() {
	g.versions[g.assignments.digest(g.term)] = g.version
	maps.DeleteFunc(g.versions, func(_, version uint64) bool { return version+maxVersions <= g.version })
}

// Assignment returns the assignment of a service that was made in this term.
func (g *Granter) Assignment(service string) (assignment controlmsg.WriterAssignment, found bool) {
	assignment, found = g.assignments[service]
	return assignment, found
}

// Handle processes a holder's request, and returns the answer, nil for none. contactAge is the age of the leader's
// newest contact with a majority.
func (g *Granter) Handle(request *controlmsg.WriterLeaseRequest, contactAge, now float64) *controlmsg.WriterLeaseGrant {
	if request.Term > g.term {
		return nil // a later leader has been elected
	}
	digest := request.Digest
	if request.Term < g.term { // it knows no assignment of this term
		digest = Assignments{}.digest(g.term)
	}
	version, known := g.versions[digest]
	if known {
		g.confirm(request, version)
	}
	answer := &controlmsg.WriterLeaseGrant{Driver: request.Driver, Proxy: request.Proxy, Stamp: request.Stamp}
	switch {
	case request.Relayed:
		return nil
	case !known || version != g.version:
		answer.Assignments = g.assignmentsAfter(version)
	case contactAge >= LeaseDuration:
		return nil
	default:
		answer.DurationMs = LeaseDuration - contactAge
		g.holder(request).expiry = now + LeaseDuration*clockMargin
	}
	return answer
}

// assignmentsAfter returns the assignments that a holder of a version lacks; version 0 has none.
func (g *Granter) assignmentsAfter(version uint64) []controlmsg.WriterAssignment {
	return slices.DeleteFunc(g.assignments.List(), func(assignment controlmsg.WriterAssignment) bool {
		return assignment.Number <= version
	})
}

func (g *Granter) holder(request *controlmsg.WriterLeaseRequest) *lease {
	id := HolderID{request.Driver, request.Proxy}
	if g.holders[id] == nil {
		g.holders[id] = &lease{}
	}
	return g.holders[id]
}

func (g *Granter) confirm(request *controlmsg.WriterLeaseRequest, version uint64) {
	holder := g.holder(request)
	holder.confirmed = max(holder.confirmed, version)
}

// Unconfirmed returns the holders that may still act by an earlier assignment of a service, sorted, and the time at
// which the last of their leases, and of those of an earlier leader, is over; 0 if none is left.
func (g *Granter) Unconfirmed(service string, now float64) (holders []HolderID, until float64) {
	assignment := g.assignments[service]
	if g.confirmed[service] == assignment.Number && assignment.Number > 0 {
		return nil, 0
	}
	for id, holder := range g.holders {
		if holder.expiry > now && holder.confirmed < assignment.Number {
			holders = append(holders, id)
			until = max(until, holder.expiry)
		}
	}
	slices.SortFunc(holders, func(a, b HolderID) int {
		return cmp.Or(cmp.Compare(a.Driver, b.Driver), cmp.Compare(a.Proxy, b.Proxy))
	})
	if earlier := g.startedAt + LeaseDuration*clockMargin; earlier > now {
		until = max(until, earlier)
	}
	return holders, until
}

// Confirmed reports whether no holder acts by an earlier assignment of a service any more. That stays so, as later
// leases are granted only to holders that know the assignment.
func (g *Granter) Confirmed(service string, now float64) bool {
	assignment, assigned := g.assignments[service]
	_, until := g.Unconfirmed(service, now)
	if !assigned || until > 0 {
		return false
	}
	g.confirmed[service] = assignment.Number
	return true
}

// Expire forgets the holders whose lease is over, and returns the number of the others.
func (g *Granter) Expire(now float64) (live int) {
	maps.DeleteFunc(g.holders, func(_ HolderID, holder *lease) bool { return holder.expiry <= now })
	return len(g.holders)
}
