package group

import (
	"math/rand/v2"
	"slices"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
)

// Distance is how far a member's zone is from the proxy's.
type Distance uint8

// Distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Ejections and latencies, in milliseconds.
const (
	minEjection      = 250.0 // the first ejection of a member whose connections fail; each further one doubles
	maxEjection      = 2000.0
	initialLatency   = 20.0 // assumed of a member that has answered nothing yet
	latencySmoothing = 0.1  // weight of one answer in the moving average
)

// Member is a member of the group as this proxy sees it. Times are milliseconds on the caller's clock.
type Member struct {
	directory.Member

	// Position is the furthest log position that the member is known to have. It never decreases.
	Position wire.Position
	// InFlight counts the connections of this proxy on which a request or a transaction is open. The caller keeps it.
	InFlight int
	// Suspected says that the member, as primary, answered nothing for too long while requests were pending. Any
	// answer ends it.
	Suspected bool

	lastResponse   float64   // when it last answered anything here, or when it became known
	pendingSends   []float64 // send times of the unanswered requests, oldest first
	pendingCommits []float64 // those of them whose answer waits for replicas too
	latency        float64   // moving average of the time from a send to its answer

	replicaSeenAt float64 // newest evidence that it is a replica
	laggedAt      float64 // when it last refused a read because its log lacked the position
	ejectedUntil  float64 // routing leaves it out until then; 0: it is not ejected
	ejection      float64 // duration of the last ejection; 0 since its last answer

	distance Distance
	probing  bool // a health check is under way
}

// Nearer says whether m is nearer than o. It draws lots between equally near ones, so that proxies differ.
func (m *Member) Nearer(other *Member) bool {
	return m.distance < other.distance || m.distance == other.distance && rand.IntN(2) == 0
}

// Ejected says whether routing leaves the member out at now.
func (m *Member) Ejected(now float64) bool { return m.ejectedUntil > now }

// responded notes that the member answered: it is neither suspected nor ejected any more.
func (m *Member) responded(now float64) {
	m.lastResponse, m.Suspected, m.ejectedUntil, m.ejection = now, false, 0, 0
}

// eject leaves the member out of routing, for twice as long as the last time.
func (m *Member) eject(now float64) {
	m.ejection = min(max(minEjection, 2*m.ejection), maxEjection)
	m.ejectedUntil = now + m.ejection
}

// unresponsiveFor is how long the oldest pending request has been waiting with no other answer since; 0 if none is
// pending.
func (m *Member) unresponsiveFor(now float64) float64 {
	if len(m.pendingSends) == 0 {
		return 0
	}
	return now - max(m.pendingSends[0], m.lastResponse)
}

// remove takes one send time out of a list, if it is there.
func remove(times []float64, at float64) []float64 {
	if i := slices.Index(times, at); i >= 0 {
		return slices.Delete(times, i, i+1)
	}
	return times
}
