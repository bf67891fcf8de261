package emulator

// This file owns a play from its setup to its result. It must never let two plays share anything.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"weirwind/logic"
)

// End is what came of a try.
type Outcome uint8

// What may come of an attempt.
const (
	Acked Outcome = iota
	Refused
	Failed
	OutcomeCount // how many there are
)

// Kind is an op type of a play and its share of what clients ask, in parts of the sum.
type OpKind struct {
	Name  string
	Share float64
	logic.OpType
}

// Usual is the mix where a setup names none.
var DefaultMix = []OpKind{
	{"recent", 4.5, logic.OpType{Need: logic.Bounded, MaxAge: 200, LatencyTarget: 250, OpTimeout: 1000, Value: 3}},
	{"own", 0.5, logic.OpType{Need: logic.Session, LatencyTarget: 250, OpTimeout: 1000, Value: 3}},
	{"any", 3.8, logic.OpType{Need: logic.Any, LatencyTarget: 300, OpTimeout: 1200, Value: 1}},
	{
		"write",
		1.2,
		logic.OpType{Need: logic.Write, Effect: logic.NonRetryable, LatencyTarget: 500, OpTimeout: 2000, Value: 3},
	},
}

// Setup describes a run. Times are milliseconds; a zero value takes the default that its field names. The JSON form is
// kept beside results and names their files, so its keys are the ones that files have from the beginning.
type Setup struct {
	Drivers, Groups int
	Members         int     // per group
	Cores           int     // per member
	ServiceTime     float64 `json:"Work"` // mean time of an op on one core
	Load            float64 // share of all members' cores that ops would take if each were served once
	ReplicationLag  float64 `json:"Lag"`
	Duration        float64 `json:"For"` // for which clients arrive
	Retries         int     // by a client whose op was refused, before its deadline
	Policy          string  // PolicyModule, or one of the baselines
	Seed            uint64
	Faults          []Fault

	Zones            int      // 0: two
	ZoneLatency      float64  `json:"Hop"`    // mean one-way latency within a zone; 0: 0.4, as in a data centre
	CrossZoneLatency float64  `json:"FarHop"` // between zones; 0: 1.2, as in one city
	Handshake        float64  // of a new connection, beside its latency; 0: 2
	MaxConnections   int      `json:"Connections"` // per member; 0: no limit
	ElectionTime     float64  `json:"Elect"`       // from the detection of a primary's failure to the next one; 0: 2000
	NoProbes         bool     // the module learns roles from answers alone
	MessageRate      float64  `json:"Messages"` // messages of peers that a driver takes a second, about; 0: the module's limit
	NoAdvice         bool     // busy replies don't say when to retry
	Mix              []OpKind // nil: DefaultMix
}

// fill puts in what is left out.
func (s *Setup) applyDefaults() {
	s.Zones, s.ZoneLatency, s.CrossZoneLatency = cmp.Or(s.Zones, 2), cmp.Or(s.ZoneLatency, 0.4), cmp.Or(s.CrossZoneLatency, 1.2)
	s.Handshake, s.ElectionTime = cmp.Or(s.Handshake, 2), cmp.Or(s.ElectionTime, 2000)
	if s.Mix == nil {
		s.Mix = DefaultMix
	}
}

// Check says what is wrong with a setup.
func (s *Setup) Check() error {
	switch {
	case s.Drivers < 1 || s.Drivers > 2000, s.Groups < 1 || s.Members < 1 || s.Groups*s.Members > 5000:
		return fmt.Errorf("a play has up to 2000 drivers and 5000 members")
	case s.Cores < 1 || s.ServiceTime <= 0 || s.Load <= 0 || s.Load > 20 || s.ReplicationLag < 0 || s.Duration <= 0 || s.Duration > 3.6e6:
		return fmt.Errorf("a play wants cores, work, load, lag and a time of an hour at most")
	case s.Zones < 0 || s.Zones > 26 || s.ZoneLatency < 0 || s.CrossZoneLatency < 0 || s.Retries < 0 || s.MaxConnections < 0:
		return fmt.Errorf("a play has up to 26 zones, and nothing of it is below zero")
	}
	for _, k := range s.Mix {
		if k.Name == "" || k.Share < 0 || k.OpTimeout <= 0 || k.LatencyTarget <= 0 {
			return fmt.Errorf("op type %q wants a name, a share, a target and a timeout", k.Name)
		}
	}
	switch s.Policy {
	case "module", "primary", "random", "round-robin", "least":
		return nil
	}
	return fmt.Errorf("policy %q; it may be module, primary, random, round-robin, least", s.Policy)
}

// Play plays a setup on so many cores; each, where it is not nil, hears of the share that is done. An error: it makes
// no sense, or names a fault or member that is not known. The cores change nothing but the time it takes.
func Run(s Setup, cores int, each func(done float64) bool) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	s.applyDefaults()
	w := &simulation{setup: s, membersByID: map[string]*member{}, started: 1e6} // positions and starts lie behind zero
	for _, k := range s.Mix {
		w.types = append(w.types, k.OpType)
		w.totalShare += k.Share
	}
	w.scheduler = newScheduler(cores, 0.5*min(s.ZoneLatency, s.CrossZoneLatency))
	for _, k := range w.scheduler.workers {
		k.counters = newCounters(&s)
	}
	w.addMembers()
	w.addDrivers()
	for _, h := range w.drivers {
		h.start()
	}
	for _, f := range s.Faults {
		if err := w.schedule(f); err != nil {
			return nil, err
		}
	}
	last := 0.0
	for _, t := range w.types {
		last = max(last, t.OpTimeout)
	}
	until := w.started + s.Duration + last + 2*drainGrace
	stopped := false
	w.scheduler.run(until, func(now float64) bool {
		stopped = each != nil && !each((now-w.started)/(until-w.started))
		return !stopped
	})
	if stopped {
		return nil, fmt.Errorf("stopped")
	}
	return w.collectResult(), nil
}

// addHosts makes the drivers, which all know the same list of members.
func (w *simulation) addDrivers() {
	s := &w.setup
	var list []logic.ListEntry
	place := map[string]int{}
	for i, m := range w.members {
		e := m.entry()
		e.Primary = m.isPrimary()
		place[m.id] = i
		list = append(list, e)
	}
	capacity := float64(s.Groups*s.Members*s.Cores) / s.ServiceTime // ops a millisecond
	for i := range s.Drivers {
		h := &driver{
			process:       w.scheduler.newProcess(len(w.groups)+i, s.Seed, w.started),
			sim:           w,
			index:         i,
			zone:          i % s.Zones,
			ops:           map[string]*op{},
			idleConns:     map[*member][]idleConn{},
			sessions:      make([]session, sessionsPerDriver),
			writeOutcomes: map[string]Outcome{},
			list:          slices.Clone(list),
			listIndex:     place,
			rate:          capacity * s.Load / float64(s.Drivers),
			rateFactor:    1,
		}
		h.audit = newAuditor(h.process)
		w.drivers = append(w.drivers, h)
	}
}

// start opens the host's policy within the first tick, and lets its clients come.
func (h *driver) start() {
	s := &h.sim.setup
	h.opening = logic.Opening{
		Seed:            (s.Seed + 1) * 0x9E3779B97F4A7C15 * uint64(h.index+1),
		Drivers:         s.Drivers,
		Zone:            zoneName(h.zone),
		OpTypes:         h.sim.types,
		Tick:            5,
		ListRole:        logic.RoleAtStart,
		SessionCarried:  true,
		Positions:       true,
		ReportsByProbe:  !s.NoProbes,
		MayProbe:        !s.NoProbes,
		MayCancel:       true,
		MayMessage:      true,
		MayOverlap:      true,
		MaxRetryAfter:   1000,
		SendCap:         6,
		ColdFrom:        coldCapacity,
		ColdFor:         warmupTime,
		FallMultiple:    overloadFactor,
		FallSpan:        overloadSpan,
		MaxMessageBytes: 256,
		MaxMessages:     s.MessageRate,
	}
	if s.NoAdvice {
		h.opening.MaxRetryAfter = 0
	}
	h.policy = h.newPolicy()
	h.schedule(5*h.draw.Float64(), func() { // clocks of machines do not tick together
		h.step(
			logic.Event{Kind: logic.EvOpen, Opening: &h.opening},
			logic.Event{Kind: logic.EvMembers, List: logic.ListCached, Members: h.list},
		)
		h.scheduleArrivals()
		h.scheduleSample()
	})
}

func (h *driver) newPolicy() policy {
	if h.sim.setup.Policy == "module" {
		return &logic.Driver{}
	}
	return newBaseline(h.sim.setup.Policy, h.sim.types, h.opening.Seed)
}

// memory is what the module holds, as a look from outside; false for plain policies.
func (h *driver) moduleMemory() (m logic.Memory, module bool) {
	if _, module = h.policy.(*logic.Driver); module {
		h.policy.Step(h.now, []logic.Event{{Kind: logic.EvRemember, Memory: &m}})
	}
	return m, module
}

// result adds up what lanes and cores have counted.
func (w *simulation) collectResult() *Result {
	r := &Result{Setup: w.setup, Violations: map[string]int{}, Members: make([]MemberStats, len(w.members))}
	t := newCounters(&w.setup)
	for _, k := range w.scheduler.workers {
		t.add(k.counters)
		r.Events += k.executed
	}
	r.counters = *t
	found := w.auditWrites()
	for _, f := range found {
		r.Violations[f.text[:6]]++
	}
	lenses := []*auditor{}
	for _, g := range w.groups {
		lenses = append(lenses, g.audit)
		for _, o := range g.promotions {
			r.Promotions = append(r.Promotions, *o)
		}
	}
	for _, h := range w.drivers {
		lenses = append(lenses, h.audit)
	}
	for _, a := range lenses {
		for rule, n := range a.violations {
			r.Violations[rule] += n
		}
		found = append(found, a.first...)
	}
	slices.SortFunc(found, func(a, b violation) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.text, b.text)) })
	for _, f := range found[:min(len(found), 50)] {
		r.FirstViolations = append(r.FirstViolations, fmt.Sprintf("at %.1f ms: %s", f.at-w.started, f.text))
	}
	for i, m := range w.members {
		r.Members[i] = MemberStats{m.id, m.served, m.queueTime / float64(max(m.served, 1)),
			m.serviceTime / (w.setup.Duration * float64(w.setup.Cores)), m.peakConns}
	}
	asked, served := 0.0, 0.0
	for i := range r.Seconds {
		for k := range w.setup.Mix {
			asked += float64(r.Seconds[i].Arrivals[k]) * w.types[k].Value
			served += float64(r.Seconds[i].WithinTarget[k]) * w.types[k].Value
			r.Ops += r.Seconds[i].Arrivals[k]
		}
	}
	r.ValueShare = served / max(asked, 1)
	for _, g := range slices.Sorted(maps.Keys(r.ackedSlots)) {
		r.WriteGaps = append(r.WriteGaps, longestGap(r.ackedSlots[g]))
	}
	return r
}

// longest is the longest time without an acked write, in milliseconds, between the first and the last.
func longestGap(acked []bool) float64 {
	most, last := 0, -1
	for i, is := range acked {
		if is {
			if last >= 0 {
				most = max(most, i-last)
			}
			last = i
		}
	}
	return float64(most) * gapStep
}

// Quantile is of the latency of acked ops, in milliseconds from the client's first asking.
func (f *OpStats) Quantile(q float64) float64 { return float64(f.Latency.ValueAtQuantile(q)) / 1000 }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60e6, 3) }
