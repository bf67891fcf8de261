package emulator

// This file owns the schedule of faults: their kinds, their targets, and when they begin and end. Each part of a fault
// is scheduled in the process that it strikes before the run begins; memberfaults.go and driverfaults.go inject them.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"weirwind/logic"
)

// Fault is one event of the schedule. Times are milliseconds.
type Fault struct {
	At       float64
	Duration float64 `json:"For"` // after which it is undone; 0: it lasts, or until a heal
	// Kind is one of the names below, such as kill.
	Kind string `json:"What"`
	// Target is a member g1m1, a group g1, a zone a, a driver n0, the first 1/4 of drivers, or all; of a cut a>b or a-b.
	Target string `json:"On"`
	// Factor is how many times slower, further behind, or more ops; of loss the share of packets. 0: the kind's default.
	Factor float64 `json:"By"`
}

// The kinds of faults, by what they strike.
const (
	faultKill   = "kill"   // the process ends, its connections are reset, and so are further ones
	faultVanish = "vanish" // the machine can't be reached
	faultHang   = "hang"   // the process answers nothing
	faultFail   = "fail"   // every op is answered with an error
	faultSlow   = "slow"   // service times are longer, of a member or of all at once
	faultLag    = "lag"    // a replica is further behind
	faultAge    = "age"    // service times grow with the time since the start
	faultDrain  = "drain"
	faultWrong  = "wrong"  // discovery says that the member is gone
	faultDemote = "demote" // a planned change of the primary without notice to drivers
	faultSwitch = "switch" // a planned change with hooks
	faultHeal   = "heal"   // ends the other ones

	faultDeploy = "deploy" // all members of a group restart, one after the other

	faultRestart = "restart" // a driver restarts, with its learned state
	faultLose    = "lose"    // and without
	faultPause   = "pause"   // a driver stands still
	faultLate    = "late"    // its list of members does
	faultBurst   = "burst"   // its clients arrive faster
	faultHot     = "hot"     // and all ask for group 1
	faultEnd     = "end"     // a driver ends for good, and its clients go to the others
	faultCount   = "count"   // a driver learns another number of drivers

	faultToll = "toll" // drivers, all or those of zone a in a>b, learn that zone b costs more

	faultCut  = "cut"  // a partition between two zones, in one direction or both
	faultLoss = "loss" // packets are lost
)

var (
	memberFaults = []string{faultKill, faultVanish, faultHang, faultFail, faultSlow, faultLag, faultAge, faultDrain,
		faultWrong, faultDemote, faultSwitch, faultHeal}
	groupFaults  = []string{faultDeploy}
	driverFaults = []string{faultRestart, faultLose, faultPause, faultLate, faultBurst, faultHot, faultEnd, faultCount}
	tollFaults   = []string{faultToll}
	linkFaults   = []string{faultCut, faultLoss}
)

// Default factors.
const (
	defaultSlowdown  = 4.0
	defaultLagFactor = 30.0
	defaultAging     = 1.0 // a minute
	defaultBurst     = 3.0
	defaultToll      = 60.0
	defaultLoss      = 0.05
)

// scheduleFault schedules a fault in the processes that it strikes. An error: its kind or target is not known.
func (sim *simulation) scheduleFault(f Fault) error {
	switch {
	case slices.Contains(memberFaults, f.Kind):
		return sim.scheduleMemberFault(f)
	case slices.Contains(groupFaults, f.Kind):
		return sim.scheduleDeploy(f)
	case slices.Contains(driverFaults, f.Kind):
		return sim.scheduleDriverFault(f)
	case slices.Contains(tollFaults, f.Kind):
		return sim.scheduleToll(f)
	case slices.Contains(linkFaults, f.Kind):
		return sim.scheduleNetworkFault(f)
	}
	return fmt.Errorf("fault %q; it may be %s", f.Kind, strings.Join(slices.Concat(memberFaults, groupFaults,
		driverFaults, tollFaults, linkFaults), ", "))
}

func (sim *simulation) scheduleMemberFault(f Fault) error {
	if f.Kind == faultSlow && f.Target == "all" { // a shared slowdown is no member's own
		sim.scheduleSlowdown(f)
		return nil
	}
	targets := sim.memberTargets(f.Target)
	if len(targets) == 0 {
		return fmt.Errorf("fault %q: no member, group or zone %q", f.Kind, f.Target)
	}
	for _, m := range targets {
		m.group.schedule(f.At, func() { m.inject(f) })
		if f.Duration > 0 {
			m.group.schedule(f.At+f.Duration, m.heal)
		}
	}
	return nil
}

func (sim *simulation) scheduleSlowdown(f Fault) {
	for _, g := range sim.groups {
		g.schedule(f.At, func() { g.slowdown = f.factorOr(defaultSlowdown) })
		if f.Duration > 0 {
			g.schedule(f.At+f.Duration, func() { g.slowdown = 1 })
		}
	}
}

func (sim *simulation) scheduleDeploy(f Fault) error {
	n := 0
	for _, g := range sim.groups {
		if f.Target == "all" || f.Target == fmt.Sprintf("g%d", g.id) {
			g.schedule(f.At, func() { g.deploy(max(f.Duration, minDeployPause)) })
			n++
		}
	}
	if n == 0 {
		return fmt.Errorf("fault %q: no group %q", f.Kind, f.Target)
	}
	return nil
}

func (sim *simulation) scheduleDriverFault(f Fault) error {
	n := 0
	for _, d := range sim.drivers {
		if sim.isTarget(d, f.Target) {
			d.schedule(f.At, func() { d.inject(f) })
			n++
		}
	}
	if n == 0 || f.Kind == faultEnd && n == len(sim.drivers) {
		return fmt.Errorf("fault %q: no driver %q, or none is left", f.Kind, f.Target)
	}
	for _, d := range sim.drivers { // the clients of those that end come to the rest
		if f.Kind == faultEnd && !sim.isTarget(d, f.Target) {
			d.schedule(f.At, func() { d.rateFactor *= float64(len(sim.drivers)) / float64(len(sim.drivers)-n) })
		}
	}
	return nil
}

func (sim *simulation) scheduleToll(f Fault) error {
	from, zone, some := strings.Cut(f.Target, ">")
	if !some {
		from, zone = "all", f.Target
	}
	if len(sim.memberTargets(zone)) == 0 {
		return fmt.Errorf("fault toll: no zone %q", zone)
	}
	for _, d := range sim.drivers {
		if !sim.isTarget(d, from) {
			continue
		}
		d.schedule(f.At, func() {
			d.step(logic.Event{Kind: logic.EvTolls, Tolls: map[string]float64{zone: f.factorOr(defaultToll)}})
		})
		if f.Duration > 0 {
			d.schedule(f.At+f.Duration, func() { d.step(logic.Event{Kind: logic.EvTolls}) })
		}
	}
	return nil
}

func (sim *simulation) scheduleNetworkFault(f Fault) error {
	fault := networkFault{from: sim.started + f.At, until: sim.started + f.At + f.Duration}
	if f.Duration <= 0 {
		fault.until = sim.started + sim.setup.Duration
	}
	if f.Kind == faultLoss {
		fault.loss = f.factorOr(defaultLoss)
		sim.networkFaults = append(sim.networkFaults, fault)
		return nil
	}
	a, b, oneWay := strings.Cut(f.Target, ">")
	if !oneWay {
		a, b, _ = strings.Cut(f.Target, "-")
	}
	if len(a) != 1 || len(b) != 1 || a == b || int(a[0]-'a') >= sim.setup.Zones || int(b[0]-'a') >= sim.setup.Zones {
		return fmt.Errorf("fault cut: %q is not of the form a>b or a-b with two zones", f.Target)
	}
	fault.fromZone, fault.toZone = int(a[0]-'a'), int(b[0]-'a')
	if sim.networkFaults = append(sim.networkFaults, fault); !oneWay {
		fault.fromZone, fault.toZone = fault.toZone, fault.fromZone
		sim.networkFaults = append(sim.networkFaults, fault)
	}
	return nil
}

// factorOr is the fault's factor, or a default where it has none.
func (f *Fault) factorOr(usual float64) float64 {
	if f.Factor > 0 {
		return f.Factor
	}
	return usual
}

// memberTargets is the members that a target names.
func (sim *simulation) memberTargets(target string) (all []*member) {
	for _, m := range sim.members {
		if target == "all" || target == m.id || target == fmt.Sprintf("g%d", m.group.id) || target == zoneName(m.zone) {
			all = append(all, m)
		}
	}
	return all
}

// isTarget says whether a target names a driver.
func (sim *simulation) isTarget(d *driver, target string) bool {
	if a, b, ok := strings.Cut(target, "/"); ok {
		part, err := strconv.Atoi(a)
		of, err2 := strconv.Atoi(b)
		return err == nil && err2 == nil && of > 0 && d.index*of < part*len(sim.drivers)
	}
	return target == "all" || target == d.name() || target == zoneName(d.zone)
}
