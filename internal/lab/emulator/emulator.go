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
type End uint8

// What may come of an attempt.
const (
	Acked End = iota
	Refused
	Failed
	Ends // how many there are
)

// Kind is an op type of a play and its share of what clients ask, in parts of the sum.
type Kind struct {
	Name  string
	Share float64
	logic.OpType
}

// Usual is the mix where a setup names none.
var Usual = []Kind{
	{"recent", 4.5, logic.OpType{Need: logic.Bounded, MaxAge: 200, LatencyTarget: 250, OpTimeout: 1000, Value: 3}},
	{"own", 0.5, logic.OpType{Need: logic.Session, LatencyTarget: 250, OpTimeout: 1000, Value: 3}},
	{"any", 3.8, logic.OpType{Need: logic.Any, LatencyTarget: 300, OpTimeout: 1200, Value: 1}},
	{
		"write",
		1.2,
		logic.OpType{Need: logic.Write, Effect: logic.NonRetryable, LatencyTarget: 500, OpTimeout: 2000, Value: 3},
	},
}

// Setup is what is to be played. Times are milliseconds. Zero values of what is marked so are filled in.
type Setup struct {
	Drivers, Groups, Members int // members a group
	Cores                    int
	Work                     float64 // mean time of an op on one core
	Load                     float64 // share of all members' cores that ops would take if all were served once
	Lag                      float64 // of replicas
	For                      float64
	Retries                  int    // further tries of a client whose op was refused, while its patience lasts
	Policy                   string // "module", "primary", "random", "round-robin", "least"
	Seed                     uint64
	Faults                   []Fault

	Zones       int     // 0: two
	Hop, FarHop float64 // mean of one way within a zone and to another; 0: 0.4 as in a data centre, 1.2 as in one city
	Handshake   float64 // of a new connection beside its ways; 0: 2
	Connections int     // a member takes at most; 0: any number
	Elect       float64 // from the moment a primary is seen to be gone to the next one; 0: 2000
	NoProbes    bool    // roles are seen in answers alone
	Messages    float64 // of fellow drivers that one takes a second, about; 0: the module's own limit
	NoAdvice    bool    // busy replies can't say when to come back
	Mix         []Kind  // nil: Usual
}

// fill puts in what is left out.
func (s *Setup) fill() {
	s.Zones, s.Hop, s.FarHop = cmp.Or(s.Zones, 2), cmp.Or(s.Hop, 0.4), cmp.Or(s.FarHop, 1.2)
	s.Handshake, s.Elect = cmp.Or(s.Handshake, 2), cmp.Or(s.Elect, 2000)
	if s.Mix == nil {
		s.Mix = Usual
	}
}

// Check says what is wrong with a setup.
func (s *Setup) Check() error {
	switch {
	case s.Drivers < 1 || s.Drivers > 2000, s.Groups < 1 || s.Members < 1 || s.Groups*s.Members > 5000:
		return fmt.Errorf("a play has up to 2000 drivers and 5000 members")
	case s.Cores < 1 || s.Work <= 0 || s.Load <= 0 || s.Load > 20 || s.Lag < 0 || s.For <= 0 || s.For > 3.6e6:
		return fmt.Errorf("a play wants cores, work, load, lag and a time of an hour at most")
	case s.Zones < 0 || s.Zones > 26 || s.Hop < 0 || s.FarHop < 0 || s.Retries < 0 || s.Connections < 0:
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
func Play(s Setup, cores int, each func(done float64) bool) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	s.fill()
	w := &world{setup: s, byID: map[string]*server{}, begin: 1e6} // positions and starts lie behind zero
	for _, k := range s.Mix {
		w.types = append(w.types, k.OpType)
		w.shares += k.Share
	}
	w.clock = newClock(cores, 0.5*min(s.Hop, s.FarHop))
	for _, k := range w.clock.cores {
		k.tally = newTally(&s)
	}
	w.build()
	w.addHosts()
	for _, h := range w.hosts {
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
	until := w.begin + s.For + last + 2*grace
	stopped := false
	w.clock.run(until, func(now float64) bool {
		stopped = each != nil && !each((now-w.begin)/(until-w.begin))
		return !stopped
	})
	if stopped {
		return nil, fmt.Errorf("stopped")
	}
	return w.result(), nil
}

// addHosts makes the drivers, which all know the same list of members.
func (w *world) addHosts() {
	s := &w.setup
	var list []logic.ListEntry
	place := map[string]int{}
	for i, m := range w.members {
		e := m.entry()
		e.Primary = m.primary()
		place[m.id] = i
		list = append(list, e)
	}
	capacity := float64(s.Groups*s.Members*s.Cores) / s.Work // ops a millisecond
	for i := range s.Drivers {
		h := &host{
			lane:     w.clock.lane(len(w.groups)+i, s.Seed, w.begin),
			w:        w,
			index:    i,
			zone:     i % s.Zones,
			ops:      map[string]*op{},
			links:    map[*server][]link{},
			sessions: make([]session, sessionsEach),
			writes:   map[string]End{},
			list:     slices.Clone(list),
			place:    place,
			rate:     capacity * s.Load / float64(s.Drivers),
			surge:    1,
		}
		h.audit = newLens(h.lane)
		w.hosts = append(w.hosts, h)
	}
}

// start opens the host's policy within the first tick, and lets its clients come.
func (h *host) start() {
	s := &h.w.setup
	h.opening = logic.Opening{
		Seed:            (s.Seed + 1) * 0x9E3779B97F4A7C15 * uint64(h.index+1),
		Drivers:         s.Drivers,
		Zone:            zoneName(h.zone),
		OpTypes:         h.w.types,
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
		ColdFrom:        coldFrom,
		ColdFor:         coldFor,
		FallMultiple:    tipMost,
		FallSpan:        tipSpan,
		MaxMessageBytes: 256,
		MaxMessages:     s.Messages,
	}
	if s.NoAdvice {
		h.opening.MaxRetryAfter = 0
	}
	h.policy = h.newPolicy()
	h.after(5*h.draw.Float64(), func() { // clocks of machines do not tick together
		h.step(
			logic.Event{Kind: logic.EvOpen, Opening: &h.opening},
			logic.Event{Kind: logic.EvMembers, List: logic.ListCached, Members: h.list},
		)
		h.arrivals()
		h.sample()
	})
}

func (h *host) newPolicy() policy {
	if h.w.setup.Policy == "module" {
		return &logic.Driver{}
	}
	return newBaseline(h.w.setup.Policy, h.w.types, h.opening.Seed)
}

// memory is what the module holds, as a look from outside; false for plain policies.
func (h *host) memory() (m logic.Memory, module bool) {
	if _, module = h.policy.(*logic.Driver); module {
		h.policy.Step(h.now, []logic.Event{{Kind: logic.EvRemember, Memory: &m}})
	}
	return m, module
}

// result adds up what lanes and cores have counted.
func (w *world) result() *Result {
	r := &Result{Setup: w.setup, Broken: map[string]int{}, Served: make([]MemberFigures, len(w.members))}
	t := newTally(&w.setup)
	for _, k := range w.clock.cores {
		t.add(k.tally)
		r.Events += k.ran
	}
	r.tally = *t
	found := w.writes()
	for _, f := range found {
		r.Broken[f.text[:6]]++
	}
	lenses := []*lens{}
	for _, g := range w.groups {
		lenses = append(lenses, g.audit)
		for _, o := range g.openings {
			r.Openings = append(r.Openings, *o)
		}
	}
	for _, h := range w.hosts {
		lenses = append(lenses, h.audit)
	}
	for _, a := range lenses {
		for rule, n := range a.rules {
			r.Broken[rule] += n
		}
		found = append(found, a.first...)
	}
	slices.SortFunc(found, func(a, b finding) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.text, b.text)) })
	for _, f := range found[:min(len(found), 50)] {
		r.First = append(r.First, fmt.Sprintf("at %.1f ms: %s", f.at-w.begin, f.text))
	}
	for i, m := range w.members {
		r.Served[i] = MemberFigures{m.id, m.served, m.waited / float64(max(m.served, 1)),
			m.worked / (w.setup.For * float64(w.setup.Cores)), m.conned}
	}
	asked, served := 0.0, 0.0
	for i := range r.Seconds {
		for k := range w.setup.Mix {
			asked += float64(r.Seconds[i].Asked[k]) * w.types[k].Value
			served += float64(r.Seconds[i].InTime[k]) * w.types[k].Value
			r.Asked += r.Seconds[i].Asked[k]
		}
	}
	r.Worth = served / max(asked, 1)
	for _, g := range slices.Sorted(maps.Keys(r.acks)) {
		r.Gaps = append(r.Gaps, longest(r.acks[g]))
	}
	return r
}

// longest is the longest time without an acked write, in milliseconds, between the first and the last.
func longest(acked []bool) float64 {
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
func (f *Figures) Quantile(q float64) float64 { return float64(f.Latency.ValueAtQuantile(q)) / 1000 }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60e6, 3) }
