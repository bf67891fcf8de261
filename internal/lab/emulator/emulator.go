package emulator

// This file owns a play from its setup to its result. It must never let two plays share anything.

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"weirwind/logic"
)

// End is what came of a try.
type End uint8

const (
	Acked End = iota
	Refused
	Failed
	ends
)

// coldFor and coldFrom: a member that has started does this share of its work at first, and all after so long.
const coldFor, coldFrom = 8000.0, 0.3

// The op types of a play and their shares of what clients ask.
var (
	faults = []string{"kill", "heal", "hang", "vanish", "slow", "lag", "drain", "restart", "lose"}
	Types  = []logic.OpType{
		{Need: logic.Bounded, MaxAge: 200, LatencyTarget: 250, OpTimeout: 1000, Value: 3},
		{Need: logic.Any, LatencyTarget: 300, OpTimeout: 1200, Value: 1},
		{Need: logic.Write, Effect: logic.NonRetryable, LatencyTarget: 500, OpTimeout: 2000, Value: 3}}
	Names  = []string{"recent", "any", "write"}
	shares = []float64{0.5, 0.38, 0.12}
)

// Figures are of one op type.
type Figures struct {
	Ends    [ends]int
	InTime  int                     // acked within the latency target, from the first try on
	Latency *hdrhistogram.Histogram // of acked ops, microseconds from the first try on
}

// Result is what came of a play.
type Result struct {
	Setup  Setup
	Types  []Figures
	Asked  int     // ops, without further tries
	Lost   int     // tries whose driver was restarted under them
	Worth  float64 // value served in time, as a share of all that was asked
	Broken map[string]int
	First  []string // the first of what broke a rule
	asked  float64
	served float64
}

func (r *Result) ended(w *world, o *op, end End) {
	f := &r.Types[o.kind]
	f.Ends[end]++
	if end == Acked {
		took := w.now - o.asked
		f.Latency.RecordValue(max(int64(took*1000), 1))
		if took <= w.types[o.kind].LatencyTarget {
			f.InTime++
			r.served += w.types[o.kind].Value
		}
	}
}

// Check says what is wrong with a setup.
func (s *Setup) Check() error {
	switch {
	case s.Drivers < 1 || s.Drivers > 2000, s.Groups < 1 || s.Members < 1 || s.Groups*s.Members > 5000:
		return fmt.Errorf("a play has up to 2000 drivers and 5000 members")
	case s.Cores < 1 || s.Work <= 0 || s.Load <= 0 || s.Load > 5 || s.Lag < 0 || s.For <= 0:
		return fmt.Errorf("a play wants cores, work, load, lag and a time")
	}
	switch s.Policy {
	case "module", "primary", "random", "round-robin", "least":
		return nil
	}
	return fmt.Errorf("policy %q; it may be module, primary, random, round-robin, least", s.Policy)
}

// Play plays a setup. An error: it makes no sense, or names a fault or member that is not known.
func Play(s Setup) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	w := &world{setup: s, draw: rand.New(rand.NewPCG(s.Seed, 11)), byID: map[string]*server{}, types: Types}
	w.audit = newAuditor(w)
	w.result = &Result{Setup: s, Types: make([]Figures, len(Types))}
	for i := range w.result.Types {
		w.result.Types[i].Latency = hdrhistogram.New(1, 60e6, 3)
	}
	w.now = 1e6 // positions and starts lie behind zero
	w.setup.For += w.now
	w.build()
	var list []logic.ListEntry
	for _, m := range w.members {
		e := m.entry()
		e.Primary = m.group.primary == m
		list = append(list, e)
	}
	capacity := float64(s.Groups*s.Members*s.Cores) / s.Work // ops a millisecond
	for i := range s.Drivers {
		h := &host{w: w, index: i, zone: string(rune('a' + i%2)), ops: map[string]*op{}}
		seed := (s.Seed + 1) * 0x9E3779B97F4A7C15 * uint64(i+1)
		if s.Policy == "module" {
			h.policy = &logic.Driver{}
		} else {
			h.policy = newBaseline(s.Policy, Types, seed)
		}
		w.hosts = append(w.hosts, h)
		h.opening = logic.Opening{Seed: seed, Drivers: s.Drivers, Zone: h.zone, OpTypes: Types, Tick: 5,
			ListRole: logic.RoleAtStart, SessionCarried: true, Positions: true, ReportsByProbe: true, MayProbe: true, MayCancel: true,
			MayMessage: true, MayOverlap: true, MaxRetryAfter: 1000, SendCap: 6, ColdFrom: coldFrom, ColdFor: coldFor, FallMultiple: tipLeast,
			FallSpan: tipSpan, MaxMessageBytes: 256}
		h.first = list
		h.step(logic.Event{Kind: logic.EvOpen, Opening: &h.opening}, logic.Event{Kind: logic.EvMembers, List: logic.ListCached, Members: list})
		h.arrivals(capacity * s.Load / float64(s.Drivers))
	}
	for _, f := range s.Faults {
		restarts := f.What == "restart" || f.What == "lose"
		if w.byID[f.Member] == nil && !restarts || restarts && f.Member != "all" && !w.named(f.Member) {
			return nil, fmt.Errorf("no member or driver %q", f.Member)
		}
		if !slices.Contains(faults, f.What) {
			return nil, fmt.Errorf("fault %q; it may be %s", f.What, strings.Join(faults, ", "))
		}
		w.after(f.At, func() { w.strike(f) })
	}
	w.run(w.setup.For + 2*Types[len(Types)-1].OpTimeout + 2*grace)
	r := w.result
	r.Worth = r.served / max(r.asked, 1)
	r.Broken, r.First = w.audit.Broken, w.audit.First
	return r, nil
}

// named says whether a driver has the name.
func (w *world) named(name string) bool {
	return slices.ContainsFunc(w.hosts, func(h *host) bool { return h.name() == name })
}
