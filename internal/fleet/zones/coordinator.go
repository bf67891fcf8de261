package zones

// This file implements the calls of a driver's Coordinator and collects the output of each. It must never apply a plan
// that was not decided.

import (
	"maps"
	"math"
	"slices"
)

// Region is a group of zones that are closer to each other than to other zones.
type Region struct {
	Name  string
	Zones []string
}

// Options are set by operators, except Persistent and Saved. Times are milliseconds.
type Options struct {
	Heartbeat float64 // interval of the leader's steps, of confirmations and of each driver's reports
	Lease     float64 // how long a plan is in force after its confirmation
	Voters    int     // maximum number of voters
	Regions   []Region
	Timing    Timing
	Limits    Limits
	// BaselineUtilization is the share of all members' capacity that reads use in normal operation.
	BaselineUtilization float64
	// MaxShiftRate is the maximum change of a planned share per second, as a fraction of the zone's reads.
	MaxShiftRate float64
	Persistent   bool        // the owner saves Output.Save
	Saved        *SavedState // last state saved by an earlier process; nil: none
}

// Coordinator is one driver's state in deciding on and applying plans. It is not safe for concurrent use.
type Coordinator struct {
	consensus
	leader
	options  Options
	self     Peer
	run      uint64 // of the process; a later process of the same name has a higher one
	regionOf map[string]string

	fleet        Fleet             // as of the last Tick
	observations []Observation     // as of the last Observe, by zone
	primaries    []PrimaryLocation // as of the last Observe

	reports        map[string]*receivedReport // by name of the driver
	reportSequence uint64                     // of this driver's last report
	nextReportAt   float64

	penalties        penaltyController
	appliedPenalties map[string]float64 // last output to the routing module; nil: none
}

// Output is what the caller must do after a call.
type Output struct {
	Messages         []Envelope
	Events           []Event     // for the log
	Save             *SavedState // must be durable before Messages are sent, then call Saved; nil: nothing to save
	PlanChanged      bool        // gossip the plan immediately
	PenaltiesChanged bool        // pass ZonePenalties to the routing module
}

// New returns the coordinator of a driver that starts. run must be higher than that of earlier processes of its name.
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
	z.confirmation.confirmedAt = math.Inf(-1)
	for _, region := range options.Regions {
		for _, zone := range region.Zones {
			z.regionOf[zone] = region.Name
		}
	}
	z.restore(options.Saved)
	return z
}

// zoneNames returns all known zones, sorted: those of regions, drivers, members and the plan.
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

// Observe records this driver's observations of each zone, and how many of its reads were sent to each since the last
// call; sent is nil if reads were not counted. A changed verdict is reported to the voters immediately.
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

// Tick advances the time and runs what is due, with the current view of the fleet.
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

// Receive handles a message from a peer. requestedAt is when this driver requested it, on its own clock; -Inf if it was
// unsolicited.
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

// Summary returns this driver's summary, or nil if it has no plan.
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

// ReceiveSummary handles a peer's summary, which may be nil. requestedAt is when this driver requested it, on its own
// clock, or -Inf if it was unsolicited. The age of an unsolicited summary is ignored, because it may have been delayed;
// only its plan is used. If Output.PlanChanged is set after that, the caller should request the peer's summary, so that
// the plan comes into force here.
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

// Saved reports the result of Output.Save.
func (z *Coordinator) Saved(now float64, ok bool) { z.saved(now, ok) }

// output collects the output of a call.
func (z *Coordinator) output(now float64) (out Output) {
	out = Output{Messages: z.outbox, Events: z.events, Save: z.save(now)}
	z.outbox, z.events = nil, nil
	tolls := z.penalties.effective(z.plan, z.zoneNames(), z.inForce(now))
	if !samePenalties(tolls, z.appliedPenalties) {
		z.appliedPenalties, out.PenaltiesChanged = tolls, true
	}
	return out
}

// samePenalties reports whether two sets of penalties are equal. A nil map differs from an empty one.
func samePenalties(a, b map[string]float64) bool {
	return (a == nil) == (b == nil) && maps.Equal(a, b)
}

// ZonePenalties returns the penalties for the routing module, by zone; nil if the module's defaults apply.
func (z *Coordinator) ZonePenalties() map[string]float64 { return z.appliedPenalties }

// PlannedZones returns the zones to which the plan assigns a share of this driver's reads.
func (z *Coordinator) PlannedZones() map[string]bool {
	planned := map[string]bool{}
	if z.plan != nil {
		for _, f := range z.plan.Flows {
			planned[f.To] = planned[f.To] || f.From == z.self.Zone
		}
	}
	return planned
}
