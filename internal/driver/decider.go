package driver

// This file owns the decision module: the one lock around it, the only calls of Step, the clock, and the list
// and op books that go with it. It hands each action to who carries it out, in order. It must never block
// under the lock, and never choose anything itself.

import (
	"maps"
	"strconv"
	"sync"
	"time"

	"weirwind/internal/discovery"
	"weirwind/internal/opening"
	"weirwind/logic"
)

// clock counts Unix milliseconds at the start and monotonic time from there on, so that it never steps. This
// is where the positions of sockets meet the module's: position_zero is 0 on sockets, as every position is a
// Unix time, and so is the clock.
type clock struct {
	read   func() time.Time
	start  time.Time
	unixMs float64
}

const maxPositionLead = 100 // ms that a position may lead the clock: one that leads by more is spoilt

func newClock(read func() time.Time) clock {
	now := read()
	return clock{read, now, float64(now.UnixMicro()) / 1000}
}

func (c clock) now() float64 { return c.at(c.read()) }

func (c clock) at(t time.Time) float64 { return c.unixMs + float64(t.Sub(c.start).Microseconds())/1000 }

// sight turns what a member wrote of itself into the module's words. What can't be true is left out.
func (c clock) observation(role logic.Role, position float64) logic.Sight {
	if !(position > 0) || position > c.now()+maxPositionLead {
		position = 0
	}
	return logic.Sight{Role: role, Position: position}
}

// wroteAgo turns the position that a session read must see into the time since that write.
func (c clock) wroteAgo(after float64) float64 {
	if after <= 0 {
		return 0
	}
	return max(c.now()-after, 0.001)
}

type decider struct {
	clock   clock
	opTypes map[string]int
	bounded []bool // by op type: the age of its data is bounded
	actions performer

	mu         sync.Mutex
	module     logic.Driver
	ops        map[string]*op
	openIDs    map[string]bool // of open ops, as their clients wrote them
	groups     map[int64]bool
	members    map[string]logic.ListEntry // of the list, as it was told
	drains     map[string]drainReasons    // members that count as draining whatever the list says, and why
	serial     uint64
	closed     bool
	zones      *zoneAgent     // nil where zones are not decided on
	nearGroups map[int64]bool // groups with a member in the own zone; while zoning
}

// restrictions are reasons for which a member counts as draining whatever the list says.
type drainReasons uint8

const (
	drainSwitchover drainReasons = 1 << iota // its role is on its way elsewhere
	drainPeer                                // a peer was told so
)

// performer carries out what is not one op's business. None of it may block.
type performer interface {
	checkHealth(member string)
	sendToPeers(data []byte)
	requestList()
	logDecision(text string)
}

func newDecider(c clock, settings opening.Settings, actions performer) *decider {
	settings.Opening.PositionZero = 0
	d := &decider{clock: c, opTypes: settings.OpTypes, actions: actions, ops: map[string]*op{}, openIDs: map[string]bool{},
		groups: map[int64]bool{}, members: map[string]logic.ListEntry{}, drains: map[string]drainReasons{}}
	for _, t := range settings.Opening.OpTypes {
		d.bounded = append(d.bounded, t.Need == logic.Bounded)
	}
	d.step(logic.Event{Kind: logic.EvOpen, Opening: settings.Opening})
	return d
}

func (d *decider) step(ev logic.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stepLocked(ev)
}

// stepLocked lets the module decide on one event and hands out its actions.
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
				o.push(*a)
				if d.zones != nil && a.Kind == logic.ActSend {
					o.sentTo = append(o.sentTo, zoneAttempt{a.Member, d.clock.now()})
					d.zones.countSend(o, d.members[a.Member].Zone, len(o.sentTo) > 1, d.nearGroups[o.statement.Group])
				}
				if a.Kind == logic.ActRefuse || a.Kind == logic.ActFail {
					o.settled = true
				}
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

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// close ends all deciding: later events and timers do nothing.
func (d *decider) close() {
	d.mu.Lock()
	d.closed = true
	d.mu.Unlock()
}

// list tells the module of the list, of changes in it, or that a call for it failed.
func (d *decider) updateMembership(kind logic.ListKind, entries []discovery.Entry) {
	ev := logic.Event{Kind: logic.EvMembers, List: kind}
	for _, e := range entries {
		ev.Members = append(ev.Members, logic.ListEntry{Member: e.ID, Phase: phases[e.Phase], Zone: e.Zone,
			Started: e.StartedAt, Group: e.Group, Primary: e.Access == discovery.AccessWriter})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, e := range entries {
		d.groups[e.Group] = true
		if l := &ev.Members[i]; l.Phase == logic.Gone {
			delete(d.members, l.Member)
		} else if d.members[l.Member] = *l; d.drains[l.Member] != 0 {
			l.Phase = logic.Draining
		}
	}
	d.findNearGroups()
	d.stepLocked(ev)
}

// zoned has sends counted by zone from here on.
func (d *decider) countByZone(z *zoneAgent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zones = z
	d.findNearGroups()
}

// look finds the groups that have a member near. The caller holds the lock.
func (d *decider) findNearGroups() {
	if d.zones == nil {
		return
	}
	d.nearGroups = map[int64]bool{}
	for _, l := range d.members {
		d.nearGroups[l.Group] = d.nearGroups[l.Group] || l.Zone == d.zones.zone && l.Phase == logic.Ready
	}
}

// listed is the list as it was told.
func (d *decider) listedMembers() map[string]logic.ListEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.members)
}

// mark lets a member count as draining for a reason, or no longer for that one: without any it is as the list says
// again.
func (d *decider) setDraining(member string, reason drainReasons, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.drains[member]
	after := before | reason
	if !on {
		after = before &^ reason
	}
	if d.drains[member] = after; after == 0 {
		delete(d.drains, member)
	}
	if l, known := d.members[member]; known && l.Phase == logic.Ready && (before != 0) != (after != 0) {
		if after != 0 {
			l.Phase = logic.Draining
		}
		d.stepLocked(logic.Event{Kind: logic.EvMembers, List: logic.ListChanges, Members: []logic.ListEntry{l}})
	}
}

// serves says whether the driver was told of a group.
func (d *decider) servesGroup(group int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.groups[group]
}

// primaries are the members in the writer slots, by group.
func (d *decider) primaries() map[int64]string {
	var memory logic.Memory
	d.step(logic.Event{Kind: logic.EvRemember, Memory: &memory})
	all := map[int64]string{}
	for _, g := range memory.Groups {
		if g.Held {
			all[g.Group] = g.Slot
		}
	}
	return all
}

var phases = map[string]logic.Phase{discovery.PhaseUp: logic.Ready, discovery.PhaseDraining: logic.Draining,
	discovery.PhaseRemoved: logic.Gone}

// known says whether an op's type and group are ones that the driver was told of.
func (d *decider) knows(opType []byte, group int64) (int, bool) {
	i, ok := d.opTypes[string(opType)]
	d.mu.Lock()
	defer d.mu.Unlock()
	return i, ok && d.groups[group]
}

// ages says whether what an op's sends are decided on grows too old.
func (d *decider) staleDataMatters(o *op) bool { return d.bounded[o.opType] }

// take puts a new op before the module, under an id of the driver's own; false where the id that its client wrote
// is that of an op still open, whose sends a member could not tell from its own.
func (d *decider) submit(o *op) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := string(o.statement.ID)
	if d.openIDs[id] {
		return false
	}
	d.openIDs[id] = true
	d.serial++
	o.id = strconv.FormatUint(d.serial, 36)
	d.ops[o.id] = o
	d.stepLocked(logic.Event{Kind: logic.EvOp, Op: o.id, OpType: o.opType, Group: o.statement.Group,
		Left: o.statement.Timeout, WroteAgo: d.clock.wroteAgo(o.statement.MinPosition)})
	return true
}

// answered tells the module how a send ended. The first good answer is the op's, if nothing ended it before.
func (d *decider) attemptEnded(o *op, index int, r result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.outcome == logic.OK && !o.settled {
		o.settled, o.rows = true, r.rows
	}
	if d.zones != nil && r.outcome == logic.OK && index < len(o.sentTo) {
		d.zones.recordAnswer(o.sentTo[index].member, d.members[o.sentTo[index].member].Zone, d.clock.now()-o.sentTo[index].at,
			d.clock.observation(r.role, r.position).Position)
	}
	opened := 0.0
	if r.outcome == logic.OK && !r.connOpenedAt.IsZero() {
		opened = d.clock.at(r.connOpenedAt)
	}
	ev := logic.Event{Kind: logic.EvAnswer, Opened: opened, Op: o.id, Send: index, Member: r.member, Outcome: r.outcome,
		Closed: o.settled,
		Note:   d.clock.observation(r.role, r.position), Report: d.clock.observation(r.reportRole, r.reportPosition)}
	d.stepLocked(ev)
	if o.rows != nil {
		o.signal()
	}
}

// left tells the module that the client of an op has gone.
func (d *decider) clientLeft(o *op) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !o.settled {
		o.settled = true
		d.stepLocked(logic.Event{Kind: logic.EvGone, Op: o.id})
	}
}

func (d *decider) healthChecked(member string, r result, took time.Duration) {
	d.step(logic.Event{Kind: logic.EvProbed, Member: member, Outcome: r.outcome,
		Took: float64(took.Microseconds()) / 1000, Report: d.clock.observation(r.reportRole, r.reportPosition)})
}

// next gives what has been decided for an op since the last call, and the answer if one has come.
func (d *decider) takeActions(o *op) (actions []decidedAction, rows []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	actions, o.pending = o.pending, nil
	if o.settled && d.ops[o.id] != nil {
		delete(d.ops, o.id)
		delete(d.openIDs, string(o.statement.ID))
	}
	return actions, o.rows
}
