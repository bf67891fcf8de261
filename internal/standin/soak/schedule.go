package soak

// This file owns schedules and their drawing from a seed.

import (
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
	KindRestart Kind = "restart" // SIGTERM, SIGKILL after the grace period, a pause, and a new start
	KindHangup  Kind = "hangup"  // a series of SIGHUP
	KindChange  Kind = "change"  // of the configuration
	KindRelease Kind = "release" // a new member joins, and an old one drains and leaves
	KindKill    Kind = "kill"    // SIGKILL, a pause, and a new start
	KindFreeze  Kind = "freeze"  // SIGSTOP, and SIGCONT after a while
	KindCrash   Kind = "crash"   // a member crashes, and returns with its log
	KindLag     Kind = "lag"     // a replica receives nothing for a while
	KindSilence Kind = "silence" // answers to some of the next writes are lost
)

// IsFault says whether events of this kind are not planned.
func (k Kind) IsFault() bool {
	return k == KindKill || k == KindFreeze || k == KindCrash || k == KindLag || k == KindSilence
}

// Change is how an operator's change of the configuration is made.
type Change string

// Changes of the configuration.
const (
	ChangeReplace  Change = "replace"
	ChangeAmend    Change = "amend"
	ChangeRivals   Change = "rivals" // two operators send different changes on one base
	ChangeUnknown  Change = "invalid: unknown service"
	ChangeTimeout  Change = "invalid: no time-out"
	ChangeTwice    Change = "invalid: a route twice"
	ChangeOld      Change = "invalid: version is not higher"
	ChangeUnending Change = "invalid: cut short"
)

// IsInvalid says whether the change must never be taken.
func (c Change) IsInvalid() bool { return strings.HasPrefix(string(c), "invalid") }

var (
	validChanges   = []Change{ChangeReplace, ChangeAmend, ChangeAmend, ChangeRivals}
	invalidChanges = []Change{ChangeUnknown, ChangeTimeout, ChangeTwice, ChangeOld, ChangeUnending}
)

// Event is one of a schedule.
type Event struct {
	At      time.Duration // from the schedule's begin
	Kind    Kind
	Targets []string      // processes; for members "primary" or "replica", which is looked up when the event comes
	Apart   time.Duration // between two targets' turns; 0: all at once
	Lasts   time.Duration // the pause before a new start, or the fault
	Times   int           // signals of a series
	Change  Change
}

// String is a line of a printed schedule.
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
	if e.Apart > 0 {
		text += fmt.Sprintf(" each %v apart", e.Apart)
	}
	if e.Lasts > 0 {
		text += fmt.Sprintf(" for %v", e.Lasts)
	}
	return text
}

// Shape is the size of a soak.
type Shape struct {
	Cores, Fronts int
	Clients       int           // sessions that are open at a time
	Horizon       time.Duration // in which events begin
	MeanGap       time.Duration // between two events
	Tenants       []config.Tenant
}

// memberConns is how many connections each member takes: some for each proxy.
func (s Shape) memberConns() int { return max(80, 4*s.Fronts) }

// Schedule is what is played in a soak.
type Schedule struct {
	Seed    uint64
	Shape   Shape
	Planned bool // there is planned work alone
	Events  []Event
}

// String prints the schedule.
func (s Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d cores, %d fronts, %d clients, planned work alone: %v\n",
		s.Seed, s.Shape.Cores, s.Shape.Fronts, s.Shape.Clients, s.Planned)
	for _, e := range s.Events {
		fmt.Fprintln(&b, e)
	}
	return b.String()
}

// Times of events.
const (
	catchupTime     = 4 * time.Second // in which a core machine that is back counts as lost
	maxRestart      = 2 * time.Second // of a process that gets SIGTERM
	drainTime       = 8 * time.Second // from a member's drain until it leaves: drainMs and a little longer
	memberRest      = 3 * time.Second // between two faults of members
	shortestFault   = 100 * time.Millisecond
	longestFreeze   = 3 * time.Second
	longestPause    = 1500 * time.Millisecond
	longestMember   = 4 * time.Second
	longestHangGap  = 150 * time.Millisecond
	mostHangups     = 6
	mostLostAnswers = 5
	plannedPart     = 0.5 // of the seeds
	invalidPart     = 0.35
	corePart        = 0.2 // of the signals that go to core machines
	rollingPart     = 0.25
	allCoresPart    = 0.25             // of the kills of core machines
	rollCoresOver   = 40 * time.Second // horizons that have the time for a core's roll
	mostAtOnceParts = 2                // at most one in so many fronts at once, but two at least
)

// drawer draws a schedule.
type drawer struct {
	random     *rand.Rand
	schedule   *Schedule
	coreFree   time.Duration // when no core machine is disturbed any more
	memberFree time.Duration // when no member crashes or is replaced any more
	lagFree    time.Duration // when all replicas receive
}

// Draw draws the schedule of a seed.
func Draw(seed uint64, shape Shape) Schedule {
	d := &drawer{random: rand.New(rand.NewPCG(seed, 0)), schedule: &Schedule{Seed: seed, Shape: shape}}
	d.schedule.Planned = d.random.Float64() < plannedPart
	for at := d.gap(); at < shape.Horizon; at += d.gap() {
		if e, ok := d.event(at); ok {
			d.schedule.Events = append(d.schedule.Events, e)
		}
	}
	return *d.schedule
}

// gap draws the time to the next event: many are close to each other.
func (d *drawer) gap() time.Duration {
	return (time.Duration(d.random.ExpFloat64() * float64(d.schedule.Shape.MeanGap))).Round(10 * time.Millisecond)
}

func (d *drawer) between(low, high time.Duration) time.Duration {
	return (low + time.Duration(d.random.Int64N(int64(high-low)))).Round(10 * time.Millisecond)
}

// event draws an event; ok is false where what it would disturb is disturbed by another one.
func (d *drawer) event(at time.Duration) (e Event, ok bool) {
	kinds := []Kind{KindRestart, KindRestart, KindRestart, KindHangup, KindHangup, KindChange, KindChange, KindChange,
		KindRelease}
	if !d.schedule.Planned {
		kinds = append(kinds, KindKill, KindKill, KindFreeze, KindFreeze, KindCrash, KindCrash, KindLag, KindSilence)
	}
	e = Event{At: at, Kind: kinds[d.random.IntN(len(kinds))]}
	switch e.Kind {
	case KindChange:
		e.Change = d.change()
		return e, true
	case KindHangup:
		e.Targets, e.Times = d.anyProcesses(), 1+d.random.IntN(mostHangups)
		e.Apart = d.between(10*time.Millisecond, longestHangGap)
		return e, true
	case KindSilence:
		e.Times = 1 + d.random.IntN(mostLostAnswers)
		return e, true
	case KindCrash, KindLag, KindRelease:
		return d.memberEvent(e)
	}
	return d.processEvent(e)
}

func (d *drawer) change() Change {
	if d.random.Float64() < invalidPart {
		return invalidChanges[d.random.IntN(len(invalidChanges))]
	}
	return validChanges[d.random.IntN(len(validChanges))]
}

// memberEvent completes an event of members. One at a time crashes or is replaced; a replica may lag meanwhile.
func (d *drawer) memberEvent(e Event) (Event, bool) {
	free := &d.memberFree
	if e.Kind == KindLag {
		free = &d.lagFree
	}
	if e.At < *free {
		return e, false
	}
	e.Targets, e.Lasts = []string{targetReplica}, d.between(shortestFault, longestMember)
	if e.Kind != KindLag && d.random.IntN(2) == 0 {
		e.Targets = []string{targetPrimary}
	}
	if e.Kind == KindRelease {
		e.Lasts = drainTime
	}
	*free = e.At + e.Lasts + memberRest
	return e, true
}

// processEvent completes a restart, a kill or a freeze.
func (d *drawer) processEvent(e Event) (Event, bool) {
	e.Lasts = d.between(shortestFault, longestPause)
	if e.Kind == KindFreeze {
		e.Lasts = d.between(shortestFault, longestFreeze)
	}
	if d.random.Float64() < corePart {
		return d.coreEvent(e)
	}
	e.Targets = d.fronts()
	if len(e.Targets) > 1 && e.Kind == KindRestart && d.random.Float64() < rollingPart {
		e.Apart = d.between(shortestFault, longestPause)
	}
	return e, true
}

// coreEvent completes an event of core machines: one at a time, all of them in turn, or a kill of all at once.
func (d *drawer) coreEvent(e Event) (Event, bool) {
	if e.At < d.coreFree {
		return e, false
	}
	shape := d.schedule.Shape
	turn := e.Lasts + maxRestart + catchupTime
	if e.Kind == KindKill && d.random.Float64() < allCoresPart {
		for n := range shape.Cores {
			e.Targets = append(e.Targets, fmt.Sprint(prefixCore, n))
		}
		d.coreFree = e.At + turn
		return e, true
	}
	if e.Kind == KindRestart && shape.Horizon > rollCoresOver && d.random.Float64() < rollingPart {
		for _, n := range d.random.Perm(shape.Cores) {
			e.Targets = append(e.Targets, fmt.Sprint(prefixCore, n))
		}
		e.Apart = turn
	} else {
		e.Targets = []string{fmt.Sprint(prefixCore, d.random.IntN(shape.Cores))}
	}
	d.coreFree = e.At + time.Duration(len(e.Targets))*turn
	return e, true
}

// fronts draws a proxy, an agent, or some machines with both.
func (d *drawer) fronts() []string {
	shape := d.schedule.Shape
	n := d.random.IntN(shape.Fronts)
	switch d.random.IntN(5) {
	case 0, 1:
		return []string{fmt.Sprint(prefixProxy, n)}
	case 2:
		return []string{fmt.Sprint(prefixAgent, n)}
	}
	count := 1
	if most := min(max(2, shape.Fronts/mostAtOnceParts), shape.Fronts); most > 1 {
		count += d.random.IntN(most)
	}
	var names []string
	for _, n := range d.random.Perm(shape.Fronts)[:count] {
		names = append(names, fmt.Sprint(prefixAgent, n), fmt.Sprint(prefixProxy, n))
	}
	return names
}

// anyProcesses draws processes of any kind.
func (d *drawer) anyProcesses() []string {
	names := d.fronts()
	if d.random.Float64() < corePart {
		names = append(names, fmt.Sprint(prefixCore, d.random.IntN(d.schedule.Shape.Cores)))
	}
	slices.Sort(names)
	return names
}
