package zones

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/standin/virtualclock"
)

// simulation is a set of drivers in virtual time with a simulated network and simulated observations of members.
type simulation struct {
	virtualclock.Scheduler
	nodes      []*node
	random     *rand.Rand
	persistent bool             // votes survive a restart of a node
	primaries  map[int64]string // zone by group

	blocked func(from, to int) bool           // whether messages between two nodes are lost; nil: none are
	loss    float64                           // share of lost and of duplicated messages; half as many are up to 20 s late
	latency float64                           // mean, milliseconds
	observe func(from, of string) Observation // observation by drivers of one zone of another zone
	tamper  func(n *node, sent []Observation) // changes a node's observations; may be nil
	watch   func(n *node, out Output)         // called with each output; may be nil

	sums         map[uint64]uint64  // checksums by epoch of all plans that were ever in force
	inForceSince map[uint64]float64 // by epoch: when its plan first came into force at any node
	violations   []string           // violated invariants
}

// node is a driver with a process that can be stopped, started and paused.
type node struct {
	index       int
	name        string
	zone        string
	coordinator *Coordinator // nil while no process runs
	incarnation int          // of the process
	pausedUntil float64
	queued      []func()    // messages that arrived during a pause
	saved       *SavedState // survives a restart
	lastHeard   []float64   // by index of the other node
}

func testOptions() Options {
	return Options{
		Heartbeat:           500,
		Lease:               5000,
		Voters:              5,
		Regions:             []Region{{"r", []string{"a", "b", "c"}}},
		BaselineUtilization: 0.6,
		MaxShiftRate:        0.5,
		Timing: Timing{
			SuspectFor:   1000,
			DegradedFor:  3000,
			BaseEjection: 3000,
			MaxEjection:  60000,
			SlowStart:    2000,
			ForgiveAfter: 60000,
		},
		Limits: Limits{Headroom: 0.2, CrossZoneBudget: 1},
	}
}

// observeHealthy returns an observation of a zone without fault.
func observeHealthy(_, of string) Observation { return Observation{Zone: of, Members: 4, Reads: 100} }

// newSimulation returns a simulation with a started node in each of the given zones.
func newSimulation(seed uint64, zones ...string) *simulation {
	s := &simulation{
		Scheduler:    virtualclock.Scheduler{Now: 1000},
		random:       rand.New(rand.NewPCG(seed, 9)),
		persistent:   true,
		primaries:    map[int64]string{1: "a"},
		latency:      5,
		observe:      observeHealthy,
		sums:         map[uint64]uint64{},
		inForceSince: map[uint64]float64{},
	}
	for i, zone := range zones {
		n := &node{index: i, name: fmt.Sprintf("n%d", i), zone: zone, lastHeard: make([]float64, len(zones))}
		for k := range n.lastHeard {
			n.lastHeard[k] = -1e9
		}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	return s
}

func (s *simulation) zones() (zones []string) {
	for _, n := range s.nodes {
		zones = append(zones, n.zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

func (s *simulation) node(name string) *node {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.name == name })]
}

// start starts a process with the saved state of an earlier one.
func (s *simulation) start(n *node) {
	options := testOptions()
	options.Persistent, options.Saved = s.persistent, n.saved
	n.incarnation++
	n.coordinator = New(s.Now, options, Peer{n.name, n.zone}, uint64(s.Now))
	n.pausedUntil, n.queued = 0, nil
	if !s.persistent && n.incarnation > 1 {
		n.coordinator.voteAfter = s.Now + abstainHeartbeats*n.coordinator.heartbeat
	}
	incarnation := n.incarnation
	var tick, gossip func()
	tick = func() {
		switch {
		case n.incarnation != incarnation:
		case s.Now < n.pausedUntil:
			s.After(n.pausedUntil-s.Now, tick)
		default:
			for _, do := range n.queued {
				do()
			}
			n.queued = nil
			s.tick(n)
			s.After(100, tick)
		}
	}
	gossip = func() {
		if n.incarnation != incarnation {
			return
		}
		if s.Now >= n.pausedUntil {
			s.exchange(n, s.nodes[s.random.IntN(len(s.nodes))])
		}
		s.After(500*(0.5+s.random.Float64()), gossip)
	}
	s.After(100*s.random.Float64(), tick)
	s.After(100*s.random.Float64(), gossip)
}

func (s *simulation) stop(n *node) { n.incarnation++; n.coordinator = nil }

// deliver runs do at another node after a delay, unless the message is lost.
func (s *simulation) deliver(from, to *node, do func()) {
	if from == to || s.blocked != nil && s.blocked(from.index, to.index) || s.random.Float64() < s.loss {
		return
	}
	incarnation := to.incarnation
	delay := s.latency * (0.5 + s.random.ExpFloat64())
	if s.random.Float64() < s.loss/2 { // long delay
		delay += 20000 * s.random.Float64()
	}
	arrive := func() {
		if to.coordinator == nil || to.incarnation != incarnation {
			return
		}
		if s.Now < to.pausedUntil {
			to.queued = append(to.queued, do)
			return
		}
		do()
	}
	s.After(delay, arrive)
	if s.random.Float64() < s.loss {
		s.After(2*delay, arrive)
	}
}

// exchange lets one node request another node's Summary.
func (s *simulation) exchange(from, to *node) {
	askedAt, incarnation := s.Now, from.incarnation
	s.deliver(from, to, func() {
		summary := to.coordinator.Summary(s.Now)
		s.deliver(to, from, func() {
			if from.incarnation == incarnation {
				s.handle(from, from.coordinator.ReceiveSummary(s.Now, askedAt, summary))
			}
		})
	})
}

// handle carries out a driver's output.
func (s *simulation) handle(n *node, out Output) {
	if s.watch != nil {
		s.watch(n, out)
	}
	if out.Save != nil {
		saved := *out.Save
		n.saved = &saved
		n.coordinator.Saved(s.Now, true)
	}
	for _, envelope := range out.Messages {
		s.send(n, envelope)
	}
	if out.PlanChanged {
		s.gossipPlan(n)
	}
	s.checkInvariants(n)
}

// send delivers a message. Answers to a report are returned as the answer to the same call.
func (s *simulation) send(from *node, envelope Envelope) {
	to := s.node(envelope.To)
	askedAt, incarnation := s.Now, from.incarnation
	s.deliver(from, to, func() {
		out := to.coordinator.Receive(s.Now, math.Inf(-1), from.name, envelope.Message)
		if envelope.Message.Kind == ReportState {
			out.Messages = slices.DeleteFunc(out.Messages, func(answer Envelope) bool {
				if answer.To != from.name {
					return false
				}
				s.deliver(to, from, func() {
					if from.incarnation == incarnation {
						s.handle(from, from.coordinator.Receive(s.Now, askedAt, to.name, answer.Message))
					}
				})
				return true
			})
		}
		s.handle(to, out)
	})
}

// gossipPlan sends a new plan to some nodes. Those that did not know it request its age.
func (s *simulation) gossipPlan(from *node) {
	for range 3 {
		to := s.nodes[s.random.IntN(len(s.nodes))]
		summary := from.coordinator.Summary(s.Now)
		s.deliver(from, to, func() {
			out := to.coordinator.ReceiveSummary(s.Now, math.Inf(-1), summary)
			if s.handle(to, out); out.PlanChanged {
				s.exchange(to, from)
			}
		})
	}
}

// checkInvariants records violations of invariants by a node: two plans of one epoch in force, or a plan in force for
// longer than its lease alongside a later one.
func (s *simulation) checkInvariants(n *node) {
	c := n.coordinator
	if c == nil || !c.inForce(s.Now) {
		return
	}
	epoch := c.plan.Epoch
	if sum, ok := s.sums[epoch]; ok && sum != c.planSum {
		s.violations = append(s.violations, fmt.Sprintf("%.0f: two plans of epoch %d", s.Now, epoch))
	}
	s.sums[epoch] = c.planSum
	if _, ok := s.inForceSince[epoch]; !ok {
		s.inForceSince[epoch] = s.Now
	}
	for later, since := range s.inForceSince {
		if later > epoch && s.Now-since > testOptions().Lease {
			s.violations = append(s.violations, fmt.Sprintf("%.0f: %s follows epoch %d, %.0f after %d came in force",
				s.Now, n.name, epoch, s.Now-since, later))
		}
	}
}

// tick passes a node its observations and its view of the fleet.
func (s *simulation) tick(n *node) {
	var observations []Observation
	for _, zone := range s.zones() {
		if o := s.observe(n.zone, zone); o.Members > 0 {
			if zone != n.zone {
				o.Reads = 0
			}
			observations = append(observations, o)
		}
	}
	if s.tamper != nil {
		s.tamper(n, observations)
	}
	primaries := []PrimaryLocation{}
	for group, zone := range s.primaries {
		primaries = append(primaries, PrimaryLocation{group, zone})
	}
	fleet := s.fleetOf(n)
	s.handle(n, n.coordinator.Observe(s.Now, observations, primaries, nil))
	s.handle(n, n.coordinator.Tick(s.Now, fleet))
}

// reachable reports whether two nodes reach each other.
func (s *simulation) reachable(a, b *node) bool {
	return s.blocked == nil || !s.blocked(a.index, b.index) && !s.blocked(b.index, a.index)
}

// fleetOf returns the view that a node's membership provides.
func (s *simulation) fleetOf(n *node) Fleet {
	f := Fleet{RosterVersion: 1, Zones: s.zones()}
	for _, other := range s.nodes {
		f.Roster = append(f.Roster, other.name)
		running := other.coordinator != nil && s.Now >= other.pausedUntil
		if other == n || running && s.reachable(n, other) {
			n.lastHeard[other.index] = s.Now
		}
		if s.Now-n.lastHeard[other.index] < 1500 {
			f.Alive = append(f.Alive, Peer{other.name, other.zone})
		}
	}
	slices.Sort(f.Roster)
	slices.SortFunc(f.Alive, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	switch alive := len(f.Alive); {
	case alive == len(f.Roster):
		f.Partition = membership.Complete
	case 2*alive > len(f.Roster):
		f.Partition = membership.Majority
	default:
		f.Partition = membership.Minority
	}
	return f
}

func (s *simulation) run(duration float64) { s.RunUntil(s.Now + duration) }

// runUntil runs until a condition holds, and returns how long that took, or -1 after the timeout.
func (s *simulation) runUntil(timeout float64, condition func() bool) float64 {
	for start := s.Now; s.Now-start < timeout; s.run(50) {
		if condition() {
			return s.Now - start
		}
	}
	return -1
}

// converged reports whether all running drivers follow one plan in force that satisfies a condition.
func (s *simulation) converged(condition func(p *Plan) bool) bool {
	var sum uint64
	for _, n := range s.nodes {
		c := n.coordinator
		if c == nil {
			continue
		}
		if !c.inForce(s.Now) || sum != 0 && c.planSum != sum || !condition(c.plan) {
			return false
		}
		sum = c.planSum
	}
	return true
}

// runUntilConverged runs until converged, and returns how long that took, or -1 after the timeout.
func (s *simulation) runUntilConverged(timeout float64, condition func(p *Plan) bool) float64 {
	return s.runUntil(timeout, func() bool { return s.converged(condition) })
}

func anyPlan(*Plan) bool { return true }

// allServingLocally reports whether all zones serve their own reads with full capacity.
func allServingLocally(p *Plan) bool { return allServing(p) && len(p.Flows) == 0 }

// allServing reports whether all zones serve; one with more drivers may still spill reads to others.
func allServing(p *Plan) bool {
	for _, zone := range p.Zones {
		if zone.State != Serving || zone.Capacity < 1 {
			return false
		}
	}
	return len(p.Partitions) == 0
}

func zoneIs(name string, state State, cause Cause) func(p *Plan) bool {
	return func(p *Plan) bool { zone := p.zone(name); return zone.State == state && zone.Cause == cause }
}

// dump logs each driver's status, and the violations.
func (s *simulation) dump(t testing.TB) {
	t.Helper()
	for _, n := range s.nodes {
		if c := n.coordinator; c != nil {
			t.Logf("%.0f %s/%s: %+v assessed %+v", s.Now, n.name, n.zone, c.Status(s.Now), c.assessment)
			if c.plan != nil {
				t.Logf("  %s", describe(c.plan))
			}
		}
	}
	for _, violation := range s.violations {
		t.Log(violation)
	}
}
