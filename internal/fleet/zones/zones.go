package zones

// This file owns one driver's part in all of it: what it reports and to whom, and, while it leads, which plan is due.
// It must never go by a plan that was not agreed on, or have a primary moved by what only its own zone sees.

import (
	"math"
	"slices"
)

// Region is one with its zones.
type Region struct {
	Name  string
	Zones []string
}

// Options are what operators say.
type Options struct {
	Heartbeat           float64 // between two looks of the leader, and two reports
	Lease               float64 // of a plan on each driver
	Voters              int     // at most
	Regions             []Region
	Timing              Timing
	Limits              Limits
	BaselineUtilization float64 // share of what all members can do that reads take usually
	MaxShiftRate        float64 // most of a zone's reads that go elsewhere more or less within a second
	Persistent          bool
	Saved               *SavedState
}

const (
	reportersPerZone   = 5 // a zone
	reportMaxAgeBeats  = 3.5
	goalBeats          = 5.0  // flows go for one goal at least so long
	flowsOff           = 0.15 // and unless it is off by so much of a zone's reads
	maxReports         = 512  // reports kept
	maxAppliedCommands = 32
)

type receivedReport struct {
	Report
	from string
	at   float64
}

// Coordinator is one driver's part. It is not safe for use by several goroutines at a time.
type Coordinator struct {
	consensus
	options        Options
	self         Peer
	fleet        Fleet
	run          uint64
	sequence     uint64
	observations []Observation
	primaries        []PrimaryLocation
	reportAt     float64
	reports      map[string]*receivedReport
	regionOf     map[string]string
	tolls     tollController
	appliedTolls        map[string]float64

	trackers      map[string]*tracker // while it leads
	readsPerMember         float64            // reads a second that a member does, as far as seen
	evacuations       map[string]float64 // until when, on the own clock
	applied      map[uint64]bool
	frozen       bool
	leadingSince float64 // it has led since
	assessment    Assessment
	flowsChangedAt      float64 // when flows changed last
	goalFlows         []Flow  // to which they move
	goalSetAt       float64
}

// Output is what is to be done.
type Output struct {
	Messages     []Envelope
	Events       []Event
	Save         *SavedState // to be safe before Sends go out
	PlanChanged  bool        // a plan that peers are to be told of at once
	TollsChanged bool        // they changed
}

// New makes the part of a driver that starts.
func New(now float64, r Options, self Peer, run uint64) *Coordinator {
	z := &Coordinator{options: r, self: self, run: run, reports: map[string]*receivedReport{}, regionOf: map[string]string{},
		evacuations: map[string]float64{}, applied: map[uint64]bool{}, tolls: tollController{zone: self.Zone, steeredAt: now}}
	z.consensus = consensus{self: self.Name, heartbeat: r.Heartbeat, lease: r.Lease, confirmedAt: math.Inf(-1),
		persistent: r.Persistent}
	for _, g := range r.Regions {
		for _, name := range g.Zones {
			z.regionOf[name] = g.Name
		}
	}
	z.restore(r.Saved)
	return z
}

// zoneNames are all zones that are known: of regions, of drivers and of members.
func (z *Coordinator) zoneNames() []string {
	all := slices.Clone(z.fleet.Zones)
	for n := range z.regionOf {
		all = append(all, n)
	}
	for _, s := range z.observations {
		all = append(all, s.Zone)
	}
	if z.plan != nil {
		for _, p := range z.plan.Zones {
			all = append(all, p.Name)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxZones)]
}

// Observe takes what the own driver sees; sent is where its reads went of late.
func (z *Coordinator) Observe(now float64, sights []Observation, homes []PrimaryLocation, sent map[string]float64) Output {
	changed := len(sights) != len(z.observations)
	for i := 0; !changed && i < len(sights); i++ {
		changed = sights[i].Zone != z.observations[i].Zone || sights[i].verdict() != z.observations[i].verdict()
	}
	z.observations, z.primaries = sights, homes
	if changed {
		z.reportAt = now
	}
	if z.plan != nil {
		z.tolls.steer(now, z.plan, z.zoneNames(), sent)
	}
	return z.output(now)
}

// Tick lets time pass.
func (z *Coordinator) Tick(now float64, f Fleet) Output {
	z.fleet = f
	z.finishBootstrap(now, &z.fleet)
	z.consensus.tick(now, &z.fleet, func() *Plan { return z.firstPlan() })
	if now >= z.reportAt && z.plan != nil && z.isReporter() {
		z.reportAt = now + z.heartbeat
		z.sequence++
		r := &Report{Zone: z.self.Zone, Sequence: z.sequence, Run: z.run, Observations: z.observations, Primaries: z.primaries}
		for _, v := range z.plan.Voters {
			if v == z.self.Name {
				z.storeReport(now, v, r)
			} else {
				z.send(v, Message{Kind: ReportState, Report: r})
			}
		}
	}
	if z.plan != nil && z.leading && z.mayVote(now) {
		if z.trackers == nil {
			z.startLeading(now)
		}
		z.proposeNext(now)
	} else {
		z.trackers = nil
	}
	return z.output(now)
}

// reporting says whether this driver is among those of its zone that report.
func (z *Coordinator) isReporter() bool {
	n := 0
	for _, f := range z.fleet.Alive {
		if f.Name == z.self.Name {
			return len(z.observations) > 0
		}
		if f.Zone == z.self.Zone {
			if n++; n >= reportersPerZone {
				return false
			}
		}
	}
	return false
}

// Receive takes a message of a peer. asked is when the peer was asked for it, on the own clock, and -Inf where it was
// not.
func (z *Coordinator) Receive(now, asked float64, from string, w Message) Output {
	switch {
	case w.Kind == ReportReply:
		return z.ReceiveSummary(now, asked, w.Summary)
	case from == z.self.Name || from == "" || len(from) > maxNameBytes:
	case w.Kind == ReportState:
		if w.Report.valid() && z.fleet.isAlive(from) {
			z.storeReport(now, from, w.Report)
			if s := z.Summary(now); s != nil {
				z.send(from, Message{Kind: ReportReply, Summary: s})
			}
		}
	case w.Kind == ForwardCommand:
		if w.Command != nil && z.plan != nil {
			z.apply(now, *w.Command)
		}
	default:
		epoch := z.epoch()
		z.consensus.receive(now, from, &w, &z.fleet)
		if z.epoch() != epoch {
			out := z.output(now)
			out.PlanChanged = true
			return out
		}
	}
	return z.output(now)
}

// storeReport takes a report.
func (z *Coordinator) storeReport(now float64, from string, r *Report) {
	if o := z.reports[from]; o != nil && o.Run == r.Run && o.Sequence >= r.Sequence || o != nil && o.Run > r.Run {
		return
	}
	if len(z.reports) >= maxReports && z.reports[from] == nil {
		return
	}
	z.reports[from] = &receivedReport{*r, from, now}
}

// Summary is what peers tell each other of plans with whatever else they say.
type Summary struct {
	Epoch uint64  `cbor:"1,keyasint"`
	Sum   uint64  `cbor:"2,keyasint"`
	Age   float64 `cbor:"3,keyasint"` // how long ago that was certainly the newest; negative: not known
	Plan  *Plan   `cbor:"4,keyasint,omitempty"`
}

// Summary is this driver's.
func (z *Coordinator) Summary(now float64) *Summary {
	if z.plan == nil {
		return nil
	}
	s := &Summary{Epoch: z.plan.Epoch, Sum: z.planSum, Age: -1, Plan: z.plan}
	if a := z.age(now); !math.IsInf(a, 1) {
		s.Age = a
	}
	return s
}

// ReceiveSummary takes a peer's summary. asked is when the peer was asked for it, on the own clock; what came unasked
// says nothing of now, and only its plan counts. It says in Out whether that was news, and wants to ask the peer then.
func (z *Coordinator) ReceiveSummary(now, asked float64, s *Summary) Output {
	if s == nil {
		return Output{}
	}
	age := s.Age
	if math.IsInf(asked, -1) {
		age = -1
	}
	before := z.inForce(now)
	news := z.observeSummary(now, asked, s.Plan, s.Epoch, s.Sum, age)
	out := z.output(now)
	out.PlanChanged = news
	out.TollsChanged = out.TollsChanged || before != z.inForce(now)
	return out
}

// Saved tells what became of Out.Save.
func (z *Coordinator) Saved(now float64, ok bool) { z.saved(now, ok) }

func (z *Coordinator) output(now float64) (out Output) {
	out = Output{Messages: z.outbox, Events: z.events, Save: z.save(now)}
	z.outbox, z.events = nil, nil
	if t := z.tolls.effective(z.plan, z.zoneNames(), z.inForce(now)); !sameTolls(t, z.appliedTolls) {
		z.appliedTolls, out.TollsChanged = t, true
	}
	return out
}

func sameTolls(a, b map[string]float64) bool {
	if len(a) != len(b) || (a == nil) != (b == nil) {
		return false
	}
	for k, v := range a {
		if w, ok := b[k]; !ok || w != v {
			return false
		}
	}
	return true
}

// Tolls are what the module is to be told; nil for nothing.
func (z *Coordinator) Tolls() map[string]float64 { return z.appliedTolls }

// PlannedZones are the zones that the plan has a share of this driver's reads for.
func (z *Coordinator) PlannedZones() map[string]bool {
	all := map[string]bool{}
	if z.plan != nil {
		for _, f := range z.plan.Flows {
			all[f.To] = all[f.To] || f.From == z.self.Zone
		}
	}
	return all
}
