package driver

import (
	"sync"
	"time"

	"weirwind/internal/opening"
	"weirwind/logic"
)

// decider owns the decision module: it makes all calls of Step, under one lock, and hands each action to who carries it
// out, in the order in which they were decided. It chooses nothing itself, and nothing blocks under its lock.
type decider struct {
	clock   clock
	opTypes map[string]int // index by name
	bounded []bool         // by op type: the staleness of its reads is bounded
	actions performer

	mu         sync.Mutex // guards what follows
	module     logic.Driver
	ops        map[string]*op  // open, by the driver's own ids
	openIDs    map[string]bool // of open ops, as their clients wrote them; as many as ops
	serial     uint64          // of the last op
	groups     map[int64]bool  // every group that was ever listed
	members    map[string]logic.ListEntry
	drains     map[string]drainReasons // none is 0
	zones      *zoneAgent              // nil where zones are not decided on
	nearGroups map[int64]bool          // groups with a member that is up in the own zone; while zones is set
	closed     bool
}

// performer carries out what the module decides beside ops. None of it may block.
type performer interface {
	checkHealth(member string)
	sendToPeers(data []byte)
	requestList()
	logDecision(text string)
}

func newDecider(clock clock, settings opening.Settings, actions performer) *decider {
	settings.Opening.PositionZero = 0
	d := &decider{
		clock:   clock,
		opTypes: settings.OpTypes,
		actions: actions,
		ops:     map[string]*op{},
		openIDs: map[string]bool{},
		groups:  map[int64]bool{},
		members: map[string]logic.ListEntry{},
		drains:  map[string]drainReasons{},
	}
	for _, t := range settings.Opening.OpTypes {
		d.bounded = append(d.bounded, t.Need == logic.Bounded)
	}
	d.step(logic.Event{Kind: logic.EvOpen, Opening: settings.Opening})
	return d
}

// close ends all decisions: later events and timers do nothing.
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

// stepLocked lets the module decide on one event and hands out its actions. The caller holds the lock.
func (d *decider) stepLocked(ev logic.Event) {
	if d.closed {
		return
	}
	actions := d.module.Step(d.clock.now(), []logic.Event{ev})
	for i := range actions {
		a := &actions[i]
		switch a.Kind {
		case logic.ActSend, logic.ActCancel, logic.ActRefuse, logic.ActFail:
			if o := d.ops[a.Op]; o != nil {
				d.pushAction(o, a)
			}
		case logic.ActTimer:
			time.AfterFunc(duration(a.Wait), func() { d.step(logic.Event{Kind: logic.EvTimer}) })
		case logic.ActProbe:
			d.actions.checkHealth(a.Member)
		case logic.ActMessage:
			d.actions.sendToPeers(a.Data)
		case logic.ActWatch:
			d.actions.requestList()
		case logic.ActLog:
			d.actions.logDecision(a.Text)
		}
	}
}

// pushAction hands an action on an op to the goroutine that carries the op through. The caller holds the lock.
func (d *decider) pushAction(op *op, action *logic.Action) {
	op.push(*action)
	if d.zones != nil && action.Kind == logic.ActSend {
		op.sentTo = append(op.sentTo, zoneAttempt{action.Member, d.clock.now()})
		d.zones.countSend(op, d.members[action.Member].Zone, len(op.sentTo) > 1, d.nearGroups[op.statement.Group])
	}
	if action.Kind == logic.ActRefuse || action.Kind == logic.ActFail {
		op.finished = true
	}
}

// primaries are the members in the writer slots, by group.
func (d *decider) primaries() map[int64]string {
	var memory logic.Memory
	d.step(logic.Event{Kind: logic.EvRemember, Memory: &memory})
	all := map[int64]string{}
	for _, g := range memory.Groups {
		if g.InSlot {
			all[g.Group] = g.Primary
		}
	}
	return all
}
