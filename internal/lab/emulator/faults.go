package emulator

// This file owns the schedule of faults: their kinds, their targets, and when they begin and end. Before the run
// begins, each fault is scheduled in the processes that it affects; memberfaults.go and driverfaults.go inject them.

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
	Duration float64 `json:"For"` // time after which the fault is undone; 0: it lasts until a heal or the end
	// Kind is one of the names below, such as kill.
	Kind string `json:"What"`
	// Target is a member (g1m1), a group (g1), a zone (a), a driver (n0), the first quarter of the drivers (1/4), or all;
	// for a cut it is a pair of zones, a>b for one direction or a-b for both.
	Target string `json:"On"`
	// Factor multiplies the service time, replication lag or arrival rate. For age it is the growth of service times per
	// minute, for loss the share of lost packets, for toll the cost of the zone, for count the number of drivers. 0: the
	// kind's default.
	Factor float64 `json:"By"`
}

// The kinds of faults, by what they affect.
const (
	faultKill   = "kill"   // the member's process ends; its connections are reset and new ones refused
	faultVanish = "vanish" // the member's machine is unreachable
	faultHang   = "hang"   // the member's process answers nothing
	faultFail   = "fail"   // the member answers every op with an error
	faultSlow   = "slow"   // service times are longer, of one member or of all members at once
	faultLag    = "lag"    // a replica's replication lag is higher
	faultAge    = "age"    // service times grow with the time since the member's start
	faultDrain  = "drain"  // the member is announced as draining
	faultWrong  = "wrong"  // discovery wrongly announces that the member is gone
	faultDemote = "demote" // a planned switchover without notice to drivers
	faultSwitch = "switch" // a planned switchover with hooks
	faultHeal   = "heal"   // ends all other faults of the member

	faultDeploy = "deploy" // all members of a group restart, one after the other

	faultRestart = "restart" // a driver restarts and keeps its learned state
	faultLose    = "lose"    // a driver restarts and loses its learned state
	faultPause   = "pause"   // a driver's process is suspended
	faultLate    = "late"    // a driver gets no updates of its list of members
	faultBurst   = "burst"   // a driver's clients arrive at a higher rate
	faultHot     = "hot"     // as burst, and all ops are for group 1
	faultEnd     = "end"     // a driver ends permanently, and its clients move to the others
	faultCount   = "count"   // a driver learns another number of drivers

	faultZoneCost = "toll" // drivers, all or those of zone a in a>b, learn a higher cost of zone b

	faultCut  = "cut"  // a network partition between two zones, in one direction or both
	faultLoss = "loss" // packets are lost
)

var (
	memberFaults = []string{faultKill, faultVanish, faultHang, faultFail, faultSlow, faultLag, faultAge, faultDrain,
		faultWrong, faultDemote, faultSwitch, faultHeal}
	groupFaults    = []string{faultDeploy}
	driverFaults   = []string{faultRestart, faultLose, faultPause, faultLate, faultBurst, faultHot, faultEnd, faultCount}
	zoneCostFaults = []string{faultZoneCost}
	linkFaults     = []string{faultCut, faultLoss}
)

// Default factors.
const (
	defaultSlowdown  = 4.0
	defaultLagFactor = 30.0
	defaultAging     = 1.0 // growth of service times per minute
	defaultBurst     = 3.0
	defaultZoneCost  = 60.0
	defaultLoss      = 0.05
)

// scheduleFault schedules a fault in the processes that it affects. It returns an error if the fault's kind or target
// is unknown.
func (sim *simulation) scheduleFault(fault Fault) error {
	switch {
	case slices.Contains(memberFaults, fault.Kind):
		return sim.scheduleMemberFault(fault)
	case slices.Contains(groupFaults, fault.Kind):
		return sim.scheduleDeploy(fault)
	case slices.Contains(driverFaults, fault.Kind):
		return sim.scheduleDriverFault(fault)
	case slices.Contains(zoneCostFaults, fault.Kind):
		return sim.scheduleZoneCost(fault)
	case slices.Contains(linkFaults, fault.Kind):
		return sim.scheduleNetworkFault(fault)
	}
	return fmt.Errorf("fault %q; it may be %s", fault.Kind, strings.Join(slices.Concat(memberFaults, groupFaults,
		driverFaults, zoneCostFaults, linkFaults), ", "))
}

func (sim *simulation) scheduleMemberFault(fault Fault) error {
	if fault.Kind == faultSlow && fault.Target == "all" { // slows whole groups down, not individual members
		sim.scheduleSlowdown(fault)
		return nil
	}
	targets := sim.memberTargets(fault.Target)
	if len(targets) == 0 {
		return fmt.Errorf("fault %q: no member, group or zone %q", fault.Kind, fault.Target)
	}
	for _, m := range targets {
		m.group.schedule(fault.At, func() { m.inject(fault) })
		if fault.Duration > 0 {
			m.group.schedule(fault.At+fault.Duration, m.heal)
		}
	}
	return nil
}

func (sim *simulation) scheduleSlowdown(fault Fault) {
	for _, g := range sim.groups {
		g.schedule(fault.At, func() { g.slowdown = fault.factorOr(defaultSlowdown) })
		if fault.Duration > 0 {
			g.schedule(fault.At+fault.Duration, func() { g.slowdown = 1 })
		}
	}
}

func (sim *simulation) scheduleDeploy(fault Fault) error {
	n := 0
	for _, g := range sim.groups {
		if fault.Target == "all" || fault.Target == fmt.Sprintf("g%d", g.id) {
			g.schedule(fault.At, func() { g.deploy(max(fault.Duration, minDeployPause)) })
			n++
		}
	}
	if n == 0 {
		return fmt.Errorf("fault %q: no group %q", fault.Kind, fault.Target)
	}
	return nil
}

func (sim *simulation) scheduleDriverFault(fault Fault) error {
	n := 0
	for _, d := range sim.drivers {
		if sim.isTarget(d, fault.Target) {
			d.schedule(fault.At, func() { d.inject(fault) })
			n++
		}
	}
	if n == 0 || fault.Kind == faultEnd && n == len(sim.drivers) {
		return fmt.Errorf("fault %q: no driver %q, or none is left", fault.Kind, fault.Target)
	}
	for _, d := range sim.drivers { // the remaining drivers take over the clients
		if fault.Kind == faultEnd && !sim.isTarget(d, fault.Target) {
			d.schedule(fault.At, func() { d.rateFactor *= float64(len(sim.drivers)) / float64(len(sim.drivers)-n) })
		}
	}
	return nil
}

func (sim *simulation) scheduleZoneCost(fault Fault) error {
	from, zone, hasFrom := strings.Cut(fault.Target, ">")
	if !hasFrom {
		from, zone = "all", fault.Target
	}
	if len(sim.memberTargets(zone)) == 0 {
		return fmt.Errorf("fault toll: no zone %q", zone)
	}
	for _, d := range sim.drivers {
		if !sim.isTarget(d, from) {
			continue
		}
		d.schedule(fault.At, func() {
			d.step(logic.Event{Kind: logic.EvTolls, Tolls: map[string]float64{zone: fault.factorOr(defaultZoneCost)}})
		})
		if fault.Duration > 0 {
			d.schedule(fault.At+fault.Duration, func() { d.step(logic.Event{Kind: logic.EvTolls}) })
		}
	}
	return nil
}

func (sim *simulation) scheduleNetworkFault(fault Fault) error {
	added := networkFault{from: sim.started + fault.At, until: sim.started + fault.At + fault.Duration}
	if fault.Duration <= 0 {
		added.until = sim.started + sim.setup.Duration
	}
	if fault.Kind == faultLoss {
		added.loss = fault.factorOr(defaultLoss)
		sim.networkFaults = append(sim.networkFaults, added)
		return nil
	}
	a, b, oneWay := strings.Cut(fault.Target, ">")
	if !oneWay {
		a, b, _ = strings.Cut(fault.Target, "-")
	}
	if len(a) != 1 || len(b) != 1 || a == b || int(a[0]-'a') >= sim.setup.Zones || int(b[0]-'a') >= sim.setup.Zones {
		return fmt.Errorf("fault cut: %q is not of the form a>b or a-b with two zones", fault.Target)
	}
	added.fromZone, added.toZone = int(a[0]-'a'), int(b[0]-'a')
	if sim.networkFaults = append(sim.networkFaults, added); !oneWay {
		added.fromZone, added.toZone = added.toZone, added.fromZone
		sim.networkFaults = append(sim.networkFaults, added)
	}
	return nil
}

// factorOr returns the fault's factor, or a default if it has none.
func (f *Fault) factorOr(defaultFactor float64) float64 {
	if f.Factor > 0 {
		return f.Factor
	}
	return defaultFactor
}

// memberTargets returns the members that a target names.
func (sim *simulation) memberTargets(target string) (all []*member) {
	for _, m := range sim.members {
		if target == "all" || target == m.id || target == fmt.Sprintf("g%d", m.group.id) || target == zoneName(m.zone) {
			all = append(all, m)
		}
	}
	return all
}

// isTarget reports whether a target includes a driver.
func (sim *simulation) isTarget(d *driver, target string) bool {
	if a, b, ok := strings.Cut(target, "/"); ok {
		numerator, err := strconv.Atoi(a)
		denominator, err2 := strconv.Atoi(b)
		return err == nil && err2 == nil && denominator > 0 && d.index*denominator < numerator*len(sim.drivers)
	}
	return target == "all" || target == d.name() || target == zoneName(d.zone)
}
