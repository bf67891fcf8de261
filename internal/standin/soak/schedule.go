package soak

// This file generates schedules from seeds.

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"weirwind/internal/controlplane/config"
)

// Kind is a kind of event.
type Kind string

// Kinds of events. The first four are planned work, the others are faults.
const (
	KindRestart     Kind = "restart" // SIGTERM, SIGKILL after the grace period, a pause, and a new start
	KindHangup      Kind = "hangup"  // a series of SIGHUP
	KindChange      Kind = "change"  // of the configuration
	KindRelease     Kind = "release" // a new member joins, and an existing one drains and leaves
	KindKill        Kind = "kill"    // SIGKILL, a pause, and a new start
	KindFreeze      Kind = "freeze"  // SIGSTOP, and SIGCONT after a while
	KindCrash       Kind = "crash"   // a member crashes, and returns with its log
	KindLag         Kind = "lag"     // a replica receives nothing for a while
	KindPartition   Kind = "cut off" // the primary reaches no other member for a while, but clients and the core reach it
	KindLostAnswers Kind = "silence" // answers to some of the next writes are lost
	// KindCoreCut cuts the primary off from the core alone, and after Interval the member that is the primary then.
	KindCoreCut Kind = "core cut"
	// KindReturn crashes the primary, which is back under another ID after a moment.
	KindReturn Kind = "return"
	// KindMemberFreeze freezes the primary's process for a while.
	KindMemberFreeze Kind = "member freeze"
)

// IsFault reports whether events of this kind are faults, not planned work.
func (k Kind) IsFault() bool {
	return k == KindKill || k == KindFreeze || k == KindLostAnswers || k.isMemberFault()
}

// isMemberFault reports whether events of this kind are faults of one member.
func (k Kind) isMemberFault() bool {
	return k == KindCrash || k == KindLag || k == KindPartition || k == KindCoreCut || k == KindReturn ||
		k == KindMemberFreeze
}

// Change is a kind of configuration change by an operator.
type Change string

// Changes of the configuration.
const (
	ChangeReplace        Change = "replace"
	ChangeAmend          Change = "amend"
	ChangeConflicting    Change = "rivals" // two operators send different changes on the same base
	ChangeUnknown        Change = "invalid: unknown service"
	ChangeTimeout        Change = "invalid: no time-out"
	ChangeDuplicateRoute Change = "invalid: a route twice"
	ChangeStaleVersion   Change = "invalid: version is not higher"
	ChangeTruncated      Change = "invalid: cut short"
)

// IsInvalid reports whether the change must be rejected.
func (c Change) IsInvalid() bool { return strings.HasPrefix(string(c), "invalid") }

var (
	validChanges   = []Change{ChangeReplace, ChangeAmend, ChangeAmend, ChangeConflicting}
	invalidChanges = []Change{ChangeUnknown, ChangeTimeout, ChangeDuplicateRoute, ChangeStaleVersion, ChangeTruncated}
)

// Event is an event of a schedule.
type Event struct {
	At       time.Duration // since the schedule's start
	Kind     Kind
	Targets  []string      // process names; for members "primary" or "replica", determined when the event is executed
	Interval time.Duration // between the starts at two targets; 0: all at once
	Duration time.Duration // of the pause before a restart, or of the fault
	Times    int           // number of signals or lost answers
	Change   Change
}

// String returns the event's line in a printed schedule.
func (e Event) String() string {
	text := fmt.Sprintf("%6.2fs %-7s", e.At.Seconds(), e.Kind)
	if len(e.Targets) > 0 {
		text += " " + strings.Join(e.Targets, ",")
	}
	if e.Change != "" {
		text += " " + string(e.Change)
	}
	if e.Times > 0 {
		text += fmt.Sprintf(" %d times", e.Times)
	}
	if e.Interval > 0 {
		text += fmt.Sprintf(" each %v apart", e.Interval)
	}
	if e.Duration > 0 {
		text += fmt.Sprintf(" for %v", e.Duration)
	}
	return text
}

// Shape is the size of a soak.
type Shape struct {
	Cores, Fronts int
	Clients       int           // number of concurrent sessions
	Horizon       time.Duration // time in which events start
	MeanGap       time.Duration // mean time between two events
	Tenants       []config.Tenant
	// CoreCuts makes the schedule one of pairs of core cuts, with a change of the core's leader between some of them,
	// beside events of processes. Heartbeats are late, and promotes take a while.
	CoreCuts bool
	// Restarts adds a replica that restarts between the cuts of some pairs. It needs CoreCuts.
	Restarts bool
	// LateEffects makes promotes take effect up to maxLateEffect late, and adds a member that joins, in place of a replica
	// that leaves, and lost answers between the cuts of some pairs. It needs CoreCuts.
	LateEffects bool
	// AgentLoss is the share of agents' statements that don't reach a member that is cut off from the core. Where it is
	// above 0, a quarter of the others' answers are lost, primaries also freeze or come back under another ID, and fronts
	// freeze between. It needs CoreCuts.
	AgentLoss float64
}

// memberConns returns the maximum number of connections of each member, which allows some for each proxy.
func (s Shape) memberConns() int { return max(80, 4*s.Fronts) }

// Schedule has the events of a soak.
type Schedule struct {
	Seed        uint64
	Shape       Shape
	PlannedOnly bool // planned work only, no faults
	Events      []Event
}

// String returns the printed schedule.
func (s Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d cores, %d fronts, %d clients, planned work alone: %v\n",
		s.Seed, s.Shape.Cores, s.Shape.Fronts, s.Shape.Clients, s.PlannedOnly)
	for _, e := range s.Events {
		fmt.Fprintln(&b, e)
	}
	return b.String()
}

// Parameters of generated events.
const (
	catchupTime         = 4 * time.Second // for which a restarted core machine still counts as lost
	maxRestartTime      = 2 * time.Second // time in which a process exits after SIGTERM
	drainTime           = 8 * time.Second // from a member's drain until it leaves: drainMs and a little longer
	memberFaultGap      = 3 * time.Second // minimum time between two faults of members
	minFault            = 100 * time.Millisecond
	maxFreeze           = 3 * time.Second
	maxPause            = 1500 * time.Millisecond
	maxMemberFault      = 4 * time.Second
	maxPartition        = 6 * time.Second // another member is promoted, and commits acknowledged there grow old
	maxHangupInterval   = 150 * time.Millisecond
	maxHangups          = 6
	maxLostAnswers      = 5
	plannedProbability  = 0.5 // of seeds with planned work only
	invalidProbability  = 0.35
	coreProbability     = 0.2 // of process events that target core machines
	rollingProbability  = 0.25
	allCoresProbability = 0.25             // of kills of core machines that target all of them
	minRollingHorizon   = 40 * time.Second // minimum horizon for rolling restarts of the core
	frontsDivisor       = 2                // at most Fronts/frontsDivisor fronts at once, but at least two
)

// generator generates a schedule.
type generator struct {
	random       *rand.Rand
	schedule     *Schedule
	coreFreeAt   time.Duration // time from which no core machine is disturbed
	memberFreeAt time.Duration // time from which no member is crashed or being replaced
	lagFreeAt    time.Duration // time from which all replicas receive
}

// Generate returns the schedule of a seed.
func Generate(seed uint64, shape Shape) Schedule {
	d := &generator{random: rand.New(rand.NewPCG(seed, 0)), schedule: &Schedule{Seed: seed, Shape: shape}}
	d.schedule.PlannedOnly = d.random.Float64() < plannedProbability && !shape.CoreCuts
	for at := d.gap(); at < shape.Horizon; at += d.gap() {
		if shape.CoreCuts {
			d.schedule.Events = append(d.schedule.Events, d.coreCutEvents(at)...)
		} else if e, ok := d.event(at); ok {
			d.schedule.Events = append(d.schedule.Events, e)
		}
	}
	slices.SortStableFunc(d.schedule.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return *d.schedule
}

// gap returns a random time to the next event, exponentially distributed, so that many events overlap.
func (d *generator) gap() time.Duration {
	return (time.Duration(d.random.ExpFloat64() * float64(d.schedule.Shape.MeanGap))).Round(10 * time.Millisecond)
}

func (d *generator) randomDuration(low, high time.Duration) time.Duration {
	return (low + time.Duration(d.random.Int64N(int64(high-low)))).Round(10 * time.Millisecond)
}

// event returns a random event; ok is false if its target is still disturbed by another event.
func (d *generator) event(at time.Duration) (e Event, ok bool) {
	kinds := []Kind{KindRestart, KindRestart, KindRestart, KindHangup, KindHangup, KindChange, KindChange, KindChange,
		KindRelease}
	if !d.schedule.PlannedOnly {
		kinds = append(kinds, KindKill, KindKill, KindFreeze, KindFreeze, KindCrash, KindCrash, KindLag, KindLostAnswers,
			KindPartition, KindPartition)
	}
	e = Event{At: at, Kind: kinds[d.random.IntN(len(kinds))]}
	switch e.Kind {
	case KindChange:
		e.Change = d.change()
		return e, true
	case KindHangup:
		d.setHangups(&e)
		return e, true
	case KindLostAnswers:
		e.Times = 1 + d.random.IntN(maxLostAnswers)
		return e, true
	case KindCrash, KindLag, KindPartition, KindRelease:
		return d.memberEvent(e)
	}
	return d.processEvent(e)
}

// setHangups completes a series of SIGHUP.
func (d *generator) setHangups(e *Event) {
	e.Targets, e.Times = d.anyProcesses(), 1+d.random.IntN(maxHangups)
	e.Interval = d.randomDuration(10*time.Millisecond, maxHangupInterval)
}

func (d *generator) change() Change {
	if d.random.Float64() < invalidProbability {
		return invalidChanges[d.random.IntN(len(invalidChanges))]
	}
	return validChanges[d.random.IntN(len(validChanges))]
}

// memberEvent completes an event on members. One member at a time crashes, is cut off or is replaced; a replica may lag
// meanwhile.
func (d *generator) memberEvent(e Event) (Event, bool) {
	freeAt := &d.memberFreeAt
	if e.Kind == KindLag {
		freeAt = &d.lagFreeAt
	}
	if e.At < *freeAt {
		return e, false
	}
	e.Targets, e.Duration = []string{targetReplica}, d.randomDuration(minFault, maxMemberFault)
	if e.Kind != KindLag && d.random.IntN(2) == 0 {
		e.Targets = []string{targetPrimary}
	}
	switch e.Kind {
	case KindRelease:
		e.Duration = drainTime
	case KindPartition:
		e.Targets, e.Duration = []string{targetPrimary}, d.randomDuration(minFault, maxPartition)
	}
	*freeAt = e.At + e.Duration + memberFaultGap
	return e, true
}

// processEvent completes a restart, a kill or a freeze.
func (d *generator) processEvent(e Event) (Event, bool) {
	e.Duration = d.randomDuration(minFault, maxPause)
	if e.Kind == KindFreeze {
		e.Duration = d.randomDuration(minFault, maxFreeze)
	}
	if d.random.Float64() < coreProbability {
		return d.coreEvent(e)
	}
	e.Targets = d.fronts()
	if len(e.Targets) > 1 && e.Kind == KindRestart && d.random.Float64() < rollingProbability {
		e.Interval = d.randomDuration(minFault, maxPause)
	}
	return e, true
}

// coreEvent completes an event on core machines: on one of them, on all of them in turn, or a kill of all at once.
func (d *generator) coreEvent(e Event) (Event, bool) {
	if e.At < d.coreFreeAt {
		return e, false
	}
	shape := d.schedule.Shape
	recovery := e.Duration + maxRestartTime + catchupTime
	if e.Kind == KindKill && d.random.Float64() < allCoresProbability {
		for n := range shape.Cores {
			e.Targets = append(e.Targets, fmt.Sprint(prefixCore, n))
		}
		d.coreFreeAt = e.At + recovery
		return e, true
	}
	if e.Kind == KindRestart && shape.Horizon > minRollingHorizon && d.random.Float64() < rollingProbability {
		for _, n := range d.random.Perm(shape.Cores) {
			e.Targets = append(e.Targets, fmt.Sprint(prefixCore, n))
		}
		e.Interval = recovery
	} else {
		e.Targets = []string{fmt.Sprint(prefixCore, d.random.IntN(shape.Cores))}
	}
	d.coreFreeAt = e.At + time.Duration(len(e.Targets))*recovery
	return e, true
}

// fronts returns the names of a random proxy, a random agent, or both processes of some random machines.
func (d *generator) fronts() []string {
	shape := d.schedule.Shape
	n := d.random.IntN(shape.Fronts)
	switch d.random.IntN(5) {
	case 0, 1:
		return []string{fmt.Sprint(prefixProxy, n)}
	case 2:
		return []string{fmt.Sprint(prefixAgent, n)}
	}
	count := 1
	if limit := min(max(2, shape.Fronts/frontsDivisor), shape.Fronts); limit > 1 {
		count += d.random.IntN(limit)
	}
	var names []string
	for _, n := range d.random.Perm(shape.Fronts)[:count] {
		names = append(names, fmt.Sprint(prefixAgent, n), fmt.Sprint(prefixProxy, n))
	}
	return names
}

// anyProcesses returns the names of random processes of any kind.
func (d *generator) anyProcesses() []string {
	names := d.fronts()
	if d.random.Float64() < coreProbability {
		names = append(names, fmt.Sprint(prefixCore, d.random.IntN(d.schedule.Shape.Cores)))
	}
	slices.Sort(names)
	return names
}
