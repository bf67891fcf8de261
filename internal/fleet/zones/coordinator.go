package zones

// This file owns one driver's part in all of it: calls of its owner, and what is to be done after each. It must never
// go by a plan that was not decided.

import (
	"maps"
	"math"
	"slices"
)

// Region is a group of zones that are nearer to each other than to others.
type Region struct {
	Name  string
	Zones []string
}

// Options are set by operators, but for Persistent and Saved. Times are milliseconds.
type Options struct {
	Heartbeat float64 // between two steps of the leader, two confirmations and two reports of a driver
	Lease     float64 // for which a plan is in force after it was certainly the newest
	Voters    int     // at most
	Regions   []Region
	Timing    Timing
	Limits    Limits
	// BaselineUtilization is the share of what all members can do that reads take while nothing is wrong.
	BaselineUtilization float64
	// MaxShiftRate is the most of a zone's reads by which a planned share rises or falls within a second.
	MaxShiftRate float64
	Persistent   bool        // the owner saves Output.Save
	Saved        *SavedState // what an earlier process saved last; nil: nothing
}

// Coordinator is one driver's part in deciding on plans. It is not safe for concurrent use.
type Coordinator struct {
	consensus
	leader
	options  Options
	self     Peer
	run      uint64 // of the process: a later one has a higher one
	regionOf map[string]string

	fleet        Fleet             // as of the last Tick
	observations []Observation     // as of the last Observe, by zone
	primaries    []PrimaryLocation // as of the last Observe

	reports        map[string]*receivedReport // by driver
	reportSequence uint64                     // of the last own report
	nextReportAt   float64

	penalties        penaltyController
	appliedPenalties map[string]float64 // that the module was given last; nil: none
}

// Output is what is to be done after a call.
type Output struct {
	Messages         []Envelope
	Events           []Event     // for the log
	Save             *SavedState // to be durable before Messages are sent, then Saved is called; nil: nothing to save
	PlanChanged      bool        // the plan is to be gossiped at once
	PenaltiesChanged bool        // the routing module is to be given Tolls
}

// New makes the part of a driver that starts. run is higher than that of an earlier process of its name.
func New(now float64, options Options, self Peer, run uint64) *Coordinator {
	z := &Coordinator{
		consensus: consensus{
			name:       self.Name,
			heartbeat:  options.Heartbeat,
			lease:      options.Lease,
			persistent: options.Persistent,
		},
		leader: leader{
			evacuations:     map[string]float64{},
			appliedCommands: map[uint64]bool{},
		},
		options:   options,
		self:      self,
		run:       run,
		regionOf:  map[string]string{},
		reports:   map[string]*receivedReport{},
		penalties: penaltyController{zone: self.Zone, updatedAt: now},
	}
	z.confirmation.at = math.Inf(-1)
	for _, region := range options.Regions {
		for _, zone := range region.Zones {
			z.regionOf[zone] = region.Name
		}
	}
	z.restore(options.Saved)
	return z
}

// zoneNames are all zones that are known: of regions, of drivers, of members and of the plan. Sorted.
func (z *Coordinator) zoneNames() []string {
	names := slices.Clone(z.fleet.Zones)
	for name := range z.regionOf {
		names = append(names, name)
	}
	for i := range z.observations {
		names = append(names, z.observations[i].Zone)
	}
	if z.plan != nil {
		for i := range z.plan.Zones {
			names = append(names, z.plan.Zones[i].Name)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	return names[:min(len(names), maxZones)]
}

// Observe takes what the own driver observes of each zone, and how many of its reads went to each since the last call;
// nil while that was not counted. A changed verdict is reported at once.
func (z *Coordinator) Observe(
	now float64,
	observations []Observation,
	primaries []PrimaryLocation,
	sent map[string]float64,
) Output {
	unchanged := slices.EqualFunc(observations, z.observations, func(a, b Observation) bool {
		return a.Zone == b.Zone && a.verdict() == b.verdict()
	})
	if !unchanged {
		z.nextReportAt = now
	}
	z.observations, z.primaries = observations, primaries
	if z.plan != nil {
		z.penalties.update(now, z.plan, z.zoneNames(), sent)
	}
	return z.output(now)
}

// Tick lets time pass, with the fleet as it is seen now.
func (z *Coordinator) Tick(now float64, fleet Fleet) Output {
	z.fleet = fleet
	z.finishBootstrap(now, &z.fleet)
	z.consensus.tick(now, &z.fleet, z.firstPlan)
	z.report(now)
	if z.plan != nil && z.leading && z.mayVote(now) {
		if z.trackers == nil {
			z.startLeading(now)
		}
		z.lead(now)
	} else {
		z.trackers = nil
	}
	return z.output(now)
}

// Receive takes a message of a peer. requestedAt is when the peer was asked for it, on the own clock; -Inf where it
// came unasked.
func (z *Coordinator) Receive(now, requestedAt float64, from string, msg Message) Output {
	if msg.Kind == ReportReply {
		return z.ReceiveSummary(now, requestedAt, msg.Summary)
	}
	if from == z.self.Name || from == "" || len(from) > maxNameBytes {
		return z.output(now)
	}
	epoch := z.epoch()
	switch msg.Kind {
	case ReportState:
		z.receiveReport(now, from, msg.Report)
	case ForwardCommand:
		if msg.Command != nil && z.plan != nil {
			z.apply(now, *msg.Command)
		}
	default:
		z.consensus.receive(now, from, &msg, &z.fleet)
	}
	out := z.output(now)
	out.PlanChanged = z.epoch() != epoch
	return out
}

// Summary is this driver's; nil while it holds no plan.
func (z *Coordinator) Summary(now float64) *Summary {
	if z.plan == nil {
		return nil
	}
	s := &Summary{Epoch: z.plan.Epoch, Sum: z.planSum, Age: -1, Plan: z.plan}
	if age := z.age(now); !math.IsInf(age, 1) {
		s.Age = age
	}
	return s
}

// ReceiveSummary takes a peer's summary; nil for none. requestedAt is when the peer was asked for it, on the own clock,
// and -Inf where it was not: then only its plan counts, its age says nothing of now. Where Output.PlanChanged is set
// after that the peer should be asked, so that the plan comes in force here.
func (z *Coordinator) ReceiveSummary(now, requestedAt float64, summary *Summary) Output {
	if summary == nil {
		return Output{}
	}
	received := *summary
	if math.IsInf(requestedAt, -1) {
		received.Age = -1
	}
	wasInForce := z.inForce(now)
	learned := z.observeSummary(now, requestedAt, &received)
	out := z.output(now)
	out.PlanChanged = learned
	out.PenaltiesChanged = out.PenaltiesChanged || wasInForce != z.inForce(now)
	return out
}

// Saved takes the outcome of Output.Save.
func (z *Coordinator) Saved(now float64, ok bool) { z.saved(now, ok) }

// output collects what is to be done after a call.
func (z *Coordinator) output(now float64) (out Output) {
	out = Output{Messages: z.outbox, Events: z.events, Save: z.save(now)}
	z.outbox, z.events = nil, nil
	tolls := z.penalties.effective(z.plan, z.zoneNames(), z.inForce(now))
	if !samePenalties(tolls, z.appliedPenalties) {
		z.appliedPenalties, out.PenaltiesChanged = tolls, true
	}
	return out
}

// sameTolls compares tolls; none, nil, differ from an empty map.
func samePenalties(a, b map[string]float64) bool {
	return (a == nil) == (b == nil) && maps.Equal(a, b)
}

// Tolls are those for the routing module, by zone; nil for none: it goes by its defaults.
func (z *Coordinator) ZonePenalties() map[string]float64 { return z.appliedPenalties }

// PlannedZones are the zones that the plan has a share of this driver's reads for.
func (z *Coordinator) PlannedZones() map[string]bool {
	planned := map[string]bool{}
	if z.plan != nil {
		for _, f := range z.plan.Flows {
			planned[f.To] = planned[f.To] || f.From == z.self.Zone
		}
	}
	return planned
}
