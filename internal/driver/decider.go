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

const aheadMost = 100 // ms that a position may lead the clock: one that leads by more is spoilt

func newClock(read func() time.Time) clock {
	now := read()
	return clock{read, now, float64(now.UnixMicro()) / 1000}
}

func (c clock) now() float64 { return c.at(c.read()) }

func (c clock) at(t time.Time) float64 { return c.unixMs + float64(t.Sub(c.start).Microseconds())/1000 }

// sight turns what a member wrote of itself into the module's words. What can't be true is left out.
func (c clock) sight(role logic.Role, position float64) logic.Sight {
	if !(position > 0) || position > c.now()+aheadMost {
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
	do      performer

	mu     sync.Mutex
	module logic.Driver
	ops    map[string]*op
	ids    map[string]bool // of open ops, as their clients wrote them
	groups map[int64]bool
	lines  map[string]logic.ListEntry // of the list, as it was told
	marked map[string]restrictions    // members that count as draining whatever the list says, and why
	serial uint64
	closed bool
	zoning *zoneAgent     // nil where zones are not decided on
	near   map[int64]bool // groups with a member in the own zone; while zoning
}

// restrictions are reasons for which a member counts as draining whatever the list says.
type restrictions uint8

const (
	markSwitch restrictions = 1 << iota // its role is on its way elsewhere
	markFellow                          // a peer was told so
)

// performer carries out what is not one op's business. None of it may block.
type performer interface {
	probe(member string)
	tellPeers(data []byte)
	askList()
	note(text string)
}

func newDecider(c clock, told opening.Settings, do performer) *decider {
	told.Opening.PositionZero = 0
	d := &decider{clock: c, opTypes: told.OpTypes, do: do, ops: map[string]*op{}, ids: map[string]bool{},
		groups: map[int64]bool{}, lines: map[string]logic.ListEntry{}, marked: map[string]restrictions{}}
	for _, t := range told.Opening.OpTypes {
		d.bounded = append(d.bounded, t.Need == logic.Bounded)
	}
	d.step(logic.Event{Kind: logic.EvOpen, Opening: told.Opening})
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
				if d.zoning != nil && a.Kind == logic.ActSend {
					o.to = append(o.to, sentTo{a.Member, d.clock.now()})
					d.zoning.counted(o, d.lines[a.Member].Zone, len(o.to) > 1, d.near[o.statement.Group])
				}
				if a.Kind == logic.ActRefuse || a.Kind == logic.ActFail {
					o.final = true
				}
			}
		case logic.ActTimer:
			time.AfterFunc(duration(a.Wait), func() { d.step(logic.Event{Kind: logic.EvTimer}) })
		case logic.ActProbe:
			d.do.probe(a.Member)
		case logic.ActMessage:
			d.do.tellPeers(a.Data)
		case logic.ActWatch:
			d.do.askList()
		case logic.ActLog:
			d.do.note(a.Text)
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
func (d *decider) list(kind logic.ListKind, entries []discovery.Entry) {
	ev := logic.Event{Kind: logic.EvMembers, List: kind}
	for _, e := range entries {
		ev.Members = append(ev.Members, logic.ListEntry{Member: e.ID, Phase: phases[e.Phase], Zone: e.Locality,
			Started: e.Started, Group: e.Cell, Primary: e.Access == discovery.AccessWriter})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, e := range entries {
		d.groups[e.Cell] = true
		if l := &ev.Members[i]; l.Phase == logic.Gone {
			delete(d.lines, l.Member)
		} else if d.lines[l.Member] = *l; d.marked[l.Member] != 0 {
			l.Phase = logic.Draining
		}
	}
	d.look()
	d.stepLocked(ev)
}

// zoned has sends counted by zone from here on.
func (d *decider) zoned(z *zoneAgent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zoning = z
	d.look()
}

// look finds the groups that have a member near. The caller holds the lock.
func (d *decider) look() {
	if d.zoning == nil {
		return
	}
	d.near = map[int64]bool{}
	for _, l := range d.lines {
		d.near[l.Group] = d.near[l.Group] || l.Zone == d.zoning.zone && l.Phase == logic.Ready
	}
}

// listed is the list as it was told.
func (d *decider) listed() map[string]logic.ListEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.lines)
}

// mark lets a member count as draining for a reason, or no longer for that one: without any it is as the list says
// again.
func (d *decider) mark(member string, why restrictions, draining bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.marked[member]
	after := before | why
	if !draining {
		after = before &^ why
	}
	if d.marked[member] = after; after == 0 {
		delete(d.marked, member)
	}
	if l, known := d.lines[member]; known && l.Phase == logic.Ready && (before != 0) != (after != 0) {
		if after != 0 {
			l.Phase = logic.Draining
		}
		d.stepLocked(logic.Event{Kind: logic.EvMembers, List: logic.ListChanges, Members: []logic.ListEntry{l}})
	}
}

// serves says whether the driver was told of a group.
func (d *decider) serves(group int64) bool {
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
func (d *decider) known(opType []byte, group int64) (int, bool) {
	i, ok := d.opTypes[string(opType)]
	d.mu.Lock()
	defer d.mu.Unlock()
	return i, ok && d.groups[group]
}

// ages says whether what an op's sends are decided on grows too old.
func (d *decider) ages(o *op) bool { return d.bounded[o.opType] }

// take puts a new op before the module, under an id of the driver's own; false where the id that its client wrote
// is that of an op still open, whose sends a member could not tell from its own.
func (d *decider) take(o *op) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := string(o.statement.ID)
	if d.ids[id] {
		return false
	}
	d.ids[id] = true
	d.serial++
	o.id = strconv.FormatUint(d.serial, 36)
	d.ops[o.id] = o
	d.stepLocked(logic.Event{Kind: logic.EvOp, Op: o.id, OpType: o.opType, Group: o.statement.Group,
		Left: o.statement.Timeout, WroteAgo: d.clock.wroteAgo(o.statement.After)})
	return true
}

// answered tells the module how a send ended. The first good answer is the op's, if nothing ended it before.
func (d *decider) answered(o *op, n int, r result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.outcome == logic.OK && !o.final {
		o.final, o.rows = true, r.rows
	}
	if d.zoning != nil && r.outcome == logic.OK && n < len(o.to) {
		d.zoning.timed(o.to[n].member, d.lines[o.to[n].member].Zone, d.clock.now()-o.to[n].at,
			d.clock.sight(r.role, r.position).Position)
	}
	opened := 0.0
	if r.outcome == logic.OK && !r.opened.IsZero() {
		opened = d.clock.at(r.opened)
	}
	ev := logic.Event{Kind: logic.EvAnswer, Opened: opened, Op: o.id, Send: n, Member: r.member, Outcome: r.outcome,
		Closed: o.final,
		Note:   d.clock.sight(r.role, r.position), Report: d.clock.sight(r.reportRole, r.reportPosition)}
	d.stepLocked(ev)
	if o.rows != nil {
		o.awake()
	}
}

// left tells the module that the client of an op has gone.
func (d *decider) left(o *op) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !o.final {
		o.final = true
		d.stepLocked(logic.Event{Kind: logic.EvGone, Op: o.id})
	}
}

func (d *decider) probed(member string, r result, took time.Duration) {
	d.step(logic.Event{Kind: logic.EvProbed, Member: member, Outcome: r.outcome,
		Took: float64(took.Microseconds()) / 1000, Report: d.clock.sight(r.reportRole, r.reportPosition)})
}

// next gives what has been decided for an op since the last call, and the answer if one has come.
func (d *decider) next(o *op) (orders []order, rows []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	orders, o.todo = o.todo, nil
	if o.final && d.ops[o.id] != nil {
		delete(d.ops, o.id)
		delete(d.ids, string(o.statement.ID))
	}
	return orders, o.rows
}
