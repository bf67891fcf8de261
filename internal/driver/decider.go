package driver

import (
	"sync"
	"time"

	"weirwind/internal/opening"
	"weirwind/logic"
)

// decider owns the decision module: it makes all calls of Step, under one lock, and dispatches the resulting actions in
// the order in which they were decided. It makes no decisions itself, and nothing blocks under its lock.
type decider struct {
	clock        clock
	opTypes      map[string]int // index by name
	boundedReads []bool         // by op type: whether the staleness of its reads is bounded
	performer    performer

	mu          sync.Mutex // guards what follows
	module      logic.Driver
	ops         map[string]*op  // open ops by the driver's own IDs
	openIDs     map[string]bool // the IDs that clients assigned to open ops, one for each of ops
	lastSerial  uint64          // serial number of the last op
	groups      map[int64]bool  // all groups that have ever been listed
	members     map[string]logic.ListEntry
	drains      map[string]drainReasons // by member; no entry is 0
	zones       *zoneAgent              // nil if decisions about zones are not enabled
	localGroups map[int64]bool          // groups with a member that is up in the driver's own zone; used if zones is set
	closed      bool
}

// performer carries out the module's actions that don't belong to an op. Its methods must not block.
type performer interface {
	checkHealth(member string)
	sendToPeers(data []byte)
	requestList()
	logDecision(text string)
}

func newDecider(clock clock, settings opening.Settings, performer performer) *decider {
	settings.Opening.PositionZero = 0
	d := &decider{
		clock:     clock,
		opTypes:   settings.OpTypes,
		performer: performer,
		ops:       map[string]*op{},
		openIDs:   map[string]bool{},
		groups:    map[int64]bool{},
		members:   map[string]logic.ListEntry{},
		drains:    map[string]drainReasons{},
	}
	for _, opType := range settings.Opening.OpTypes {
		d.boundedReads = append(d.boundedReads, opType.Need == logic.Bounded)
	}
	d.step(logic.Event{Kind: logic.EvOpen, Opening: settings.Opening})
	return d
}

// close ends decisions: later events and timers have no effect.
func (d *decider) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
}

func (d *decider) step(ev logic.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(ev)
}

// stepLocked passes one event to the module and dispatches the resulting actions. The caller holds the lock.
func (d *decider) stepLocked(ev logic.Event) {
	if d.closed {
		return
	}
	actions := d.module.Step(d.clock.now(), []logic.Event{ev})
	for i := range actions {
		action := &actions[i]
		switch action.Kind {
		case logic.ActSend, logic.ActCancel, logic.ActRefuse, logic.ActFail:
			if op := d.ops[action.Op]; op != nil {
				d.pushAction(op, action)
			}
		case logic.ActTimer:
			time.AfterFunc(duration(action.Wait), func() { d.step(logic.Event{Kind: logic.EvTimer}) })
		case logic.ActProbe:
			d.performer.checkHealth(action.Member)
		case logic.ActMessage:
			d.performer.sendToPeers(action.Data)
		case logic.ActWatch:
			d.performer.requestList()
		case logic.ActLog:
			d.performer.logDecision(action.Text)
		}
	}
}

// pushAction passes an action for an op to the goroutine that executes the op. The caller holds the lock.
func (d *decider) pushAction(op *op, action *logic.Action) {
	op.push(*action)
	if d.zones != nil && action.Kind == logic.ActSend {
		op.zoneAttempts = append(op.zoneAttempts, zoneAttempt{action.Member, d.clock.now()})
		d.zones.countSend(op, d.members[action.Member].Zone, len(op.zoneAttempts) > 1, d.localGroups[op.statement.Group])
	}
	if action.Kind == logic.ActRefuse || action.Kind == logic.ActFail {
		op.finished = true
	}
}

// primaries returns the members in the writer slots, by group.
func (d *decider) primaries() map[int64]string {
	var memory logic.Memory
	d.step(logic.Event{Kind: logic.EvRemember, Memory: &memory})
	byGroup := map[int64]string{}
	for _, g := range memory.Groups {
		if g.InSlot {
			byGroup[g.Group] = g.Primary
		}
	}
	return byGroup
}
