package group

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
)

// Distance is the distance of a member's zone from the proxy's.
type Distance uint8

// Distances, nearest first.
const (
	SameZone Distance = iota
	SameRegion
	OtherRegion
)

// Ejections and latencies, in milliseconds.
const (
	minEjection      = 250.0 // first ejection of a member whose connections fail; each further one lasts twice as long
	maxEjection      = 2000.0
	initialLatency   = 20.0 // assumed for a member that has not answered yet
	latencySmoothing = 0.1  // weight of one answer in the moving average
)

// Member is a member of the group as this proxy sees it. Times are in milliseconds on the caller's clock.
type Member struct {
	directory.Member

	// Position is the furthest log position that the member is known to have. It never decreases.
	Position wire.Position
	// KnownSince is when the member was added, or when its latest restart became known.
	KnownSince float64
	// InFlight is the number of this proxy's connections with an open request or transaction. The caller maintains it.
	InFlight int
	// Suspected is set if the member, as primary, answered nothing for too long while requests were pending. Any answer
	// clears it.
	Suspected bool

	lastResponse   float64   // when it last answered any request of this proxy, or was added
	pendingSends   []float64 // send times of the unanswered requests, oldest first
	pendingCommits []float64 // those of them whose answer waits for replicas too
	latency        float64   // moving average of the time from a send to its answer

	replicaSeenAt float64 // time of the newest evidence that it is a replica
	laggedAt      float64 // when it last refused a read because its log did not reach the position
	ejectedUntil  float64 // routing excludes it until then; 0: it is not ejected
	ejection      float64 // duration of the last ejection; 0 after an answer

	distance Distance
	probing  bool // a health check is pending
}

// Nearer reports whether m is nearer than other. It chooses at random between equally near members, so that proxies
// differ.
func (m *Member) Nearer(other *Member) bool {
	return m.distance < other.distance || m.distance == other.distance && rand.IntN(2) == 0
}

// CompareDistance orders members by their distance, nearest first.
func CompareDistance(a, b *Member) int { return cmp.Compare(a.distance, b.distance) }

// Ejected reports whether routing excludes the member at now.
func (m *Member) Ejected(now float64) bool { return m.ejectedUntil > now }

// responded records an answer: the member is no longer suspected or ejected.
func (m *Member) responded(now float64) {
	m.lastResponse, m.Suspected, m.ejectedUntil, m.ejection = now, false, 0, 0
}

// eject excludes the member from routing, for twice as long as the last time.
func (m *Member) eject(now float64) {
	m.ejection = min(max(minEjection, 2*m.ejection), maxEjection)
	m.ejectedUntil = now + m.ejection
}

// unresponsiveFor returns how long the oldest request has been pending without any other answer since; 0 if none is
// pending.
func (m *Member) unresponsiveFor(now float64) float64 {
	if len(m.pendingSends) == 0 {
		return 0
	}
	return now - max(m.pendingSends[0], m.lastResponse)
}

// removeTime removes one send time from a list, if it is there.
func removeTime(times []float64, sentAt float64) []float64 {
	if i := slices.Index(times, sentAt); i >= 0 {
		return slices.Delete(times, i, i+1)
	}
	return times
}
