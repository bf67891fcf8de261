package emulator

// This file owns a run from its setup to its result. Two runs share nothing.

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"weirwind/logic"
)

// ErrStopped is the error of a run that its progress function ended.
var ErrStopped = errors.New("stopped")

// maxFirstViolations is the maximum number of violations that a result describes.
const maxFirstViolations = 50

// startTime is the virtual time at which a run begins, in milliseconds. It is large enough for positions and start
// times of members before it to stay above zero.
const startTime = 1e6

// simulation is the state of a run.
type simulation struct {
	setup         Setup
	scheduler     *scheduler
	groups        []*group
	members       []*member
	membersByID   map[string]*member
	drivers       []*driver
	types         []logic.OpType // op types of the setup's mix
	totalShare    float64        // sum of the shares of all op types
	networkFaults []networkFault
	started       float64
}

// Run simulates a setup on a number of workers, which affects only the time that the run takes. progress, if not nil,
// is called periodically with the share of the run that is done, and reports whether to continue. Run returns an error
// if the setup is invalid or names an unknown fault or target, and ErrStopped if progress ended the run.
func Run(setup Setup, workers int, progress func(done float64) bool) (*Result, error) {
	if err := setup.Check(); err != nil {
		return nil, err
	}
	setup.applyDefaults()
	sim, err := newSimulation(setup, workers)
	if err != nil {
		return nil, err
	}
	longest := 0.0
	for _, t := range sim.types {
		longest = max(longest, t.OpTimeout)
	}
	end := sim.started + setup.Duration + longest + 2*drainGrace
	stopped := false
	sim.scheduler.run(end, func(now float64) bool {
		stopped = progress != nil && !progress((now-sim.started)/(end-sim.started))
		return !stopped
	})
	if stopped {
		return nil, ErrStopped
	}
	return sim.result(), nil
}

// newSimulation creates all processes with their first events and faults.
func newSimulation(setup Setup, workers int) (*simulation, error) {
	sim := &simulation{setup: setup, membersByID: map[string]*member{}, started: startTime}
	for _, k := range setup.Mix {
		sim.types = append(sim.types, k.OpType)
		sim.totalShare += k.Share
	}
	// Every latency is at least half of its mean.
	sim.scheduler = newScheduler(workers, 0.5*min(setup.ZoneLatency, setup.CrossZoneLatency))
	for _, w := range sim.scheduler.workers {
		w.counters = newCounters(&setup)
	}
	sim.addGroups()
	sim.addDrivers()
	for _, d := range sim.drivers {
		d.start()
	}
	for _, f := range setup.Faults {
		if err := sim.scheduleFault(f); err != nil {
			return nil, err
		}
	}
	return sim, nil
}

// result sums the statistics of processes and workers.
func (sim *simulation) result() *Result {
	r := &Result{Setup: sim.setup, Violations: map[string]int{}}
	total := newCounters(&sim.setup)
	for _, w := range sim.scheduler.workers {
		total.add(w.counters)
		r.Events += w.executed
	}
	r.counters = *total
	for _, g := range sim.groups {
		for _, p := range g.promotions {
			r.Promotions = append(r.Promotions, *p)
		}
	}
	sim.collectViolations(r)
	for _, m := range sim.members {
		r.Members = append(r.Members, MemberStats{
			Member:      m.id,
			Served:      m.served,
			MeanWait:    m.queueTime / float64(max(m.served, 1)),
			Utilization: m.serviceTime / (sim.setup.Duration * float64(sim.setup.Cores)),
			PeakConns:   m.peakConns,
		})
	}
	submitted, served := 0.0, 0.0
	for i := range r.Seconds {
		for k := range sim.setup.Mix {
			submitted += float64(r.Seconds[i].Arrivals[k]) * sim.types[k].Value
			served += float64(r.Seconds[i].WithinTarget[k]) * sim.types[k].Value
			r.Ops += r.Seconds[i].Arrivals[k]
		}
	}
	r.ValueShare = served / max(submitted, 1)
	for _, g := range slices.Sorted(maps.Keys(r.ackedSlots)) {
		r.WriteGaps = append(r.WriteGaps, longestGap(r.ackedSlots[g]))
	}
	return r
}

// collectViolations counts the violations of all auditors, and describes the first ones.
func (sim *simulation) collectViolations(r *Result) {
	found := sim.auditWrites()
	for _, v := range found {
		r.Violations[v.rule()]++
	}
	var auditors []*auditor
	for _, g := range sim.groups {
		auditors = append(auditors, g.audit)
	}
	for _, d := range sim.drivers {
		auditors = append(auditors, d.audit)
	}
	for _, a := range auditors {
		for rule, n := range a.violations {
			r.Violations[rule] += n
		}
		found = append(found, a.first...)
	}
	slices.SortFunc(found, func(a, b violation) int {
		return cmp.Or(cmp.Compare(a.time, b.time), cmp.Compare(a.text, b.text))
	})
	for _, v := range found[:min(len(found), maxFirstViolations)] {
		r.FirstViolations = append(r.FirstViolations, fmt.Sprintf("at %.1f ms: %s", v.time-sim.started, v.text))
	}
}
