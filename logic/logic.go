package logic

// A Driver is the decision module for one driver of a cluster. Give a zero Driver an EvOpen event first; then
// call Step with the clock (milliseconds) and what has happened since, in order, and carry out the actions it
// returns, in order. The types at its door are in api.go; docs/design.md tells what comes from the design.
//
// The ordinary path of an op is route. Five mechanisms stand beside the design:
//  1. setting aside: a member that is silent, fails or cuts connections, until a trial, an answer or a word;
//  2. further sends: where the op's effect allows, for sends that failed, and on a budget for stuck ones;
//  3. pace: a window on own sends or a share of ops at each member, a budget for cold ones, timely ops first;
//  4. turning away: under strain new reads are refused by chance, the cheaper for their work more often;
//  5. word to peers: positions, the primary seen, who answers and how fast, who is silent.

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"math/bits"
	"slices"

	"weirwind/internal/writerslot"
)

// Tuned values. Those that weigh time are multiples of what is observed or of the opening's own figures.
const (
	probeEvery, probeIdle   = 200.0, 1000.0 // design: probes of a group with an empty slot; with a full one
	probers, heldCap        = 8.0, 2000     // drivers that probe a member at a time, about; open ops of a group
	trialShare, unsentShare = 0.1, 0.45     // chance of a held write's trial a sweep; of its time, held unsent
	pauseLeast, tellBudget  = 20.0, 30000.0 // sweeps missed: a pause; words a second, by threes of drivers
	silentReads, silentSlot = 7.0, 9.0      // usual times owed that set a member aside; that empty the slot
	cutsLimit               = 3             // connections broken or refused in a row that set a member aside
	errorLimit, errorWeight = 0.5, 0.15     // share of errors that sets aside; weight of one answer in it
	trialFirst, trialMost   = 250.0, 2000.0 // pauses before a member set aside, or a failed call, is tried again
	holdShare               = 0.04          // of the latency target: a read waits so long for room
	copyShare, copyMost     = 0.03, 10.0    // sends beside one that is stuck: earned by a good answer; saved up
	startWindow, startLate  = 4.0, 2.0      // sends out at a new primary; times over the easy ones there
	shrink, floorShare      = 0.85, 0.7     // cut of a window; its floor, of what was out while times were easy
	easyShare               = 0.28          // of the latency target: a mean time so long is easy for a member
	easyLeast, easyMost     = 1.07, 0.6     // and so many times the best mean, up to this share of the target
	blurLoss, headroom      = 10.0, 0.5     // how own sends lessen chance; of a primary's window for other reads
	behindShare, behind     = 0.25, 1.2     // of the tightest bound: a replica is behind; times over easy for it
	coldShare, strainSlope  = 0.8, 2.0      // of a cold member's budget; chance of refusal for strain
	farPenalty, latePenalty = 0.3, 0.3      // in sends in flight: for another zone; times over the easy ones
	apartFresh              = 1.0           // sends more for a fresh replica, for reads of any age
	smooth, stuck           = 0.03, 6.0     // weight of an answer; usual times after which a send is lost
)

type opKind struct {
	index                                     int
	need                                      Need
	effect                                    Effect
	scope                                     Scope
	maxAge, window, target, value, took, best float64 // took: smoothed time of good answers; best: at its lowest
}

type group struct {
	id, serving int64 // serving: members not draining
	members     []*member
	writerslot.Slot[*member]

	filled, probeAt, swept, forgetAt float64 // when the slot was filled, the group last swept; when members long gone are let go

	live             []*op     // unfinished ops in order of arrival
	trial            *op       // a held write out at a member whose role is not known
	work, flow, rate float64   // own work answered: since the last sweep; usual ms a ms; the same by warm ones
	strain           []float64 // per op type: share of ops late or refused for want of room
	late, blur, cold float64   // times over the easy ones at replicas; how little own sends tell; least warmth
	commit           float64   // the last that own writes have seen, for sessions that do not carry theirs
}

type member struct {
	id, zone             string
	hash                 uint32
	group                *group
	draining, listed     bool    // listed: the list calls it primary
	toll                 float64 // of its zone, in sends in flight
	position, replicaAt  float64 // replicaAt: when it last said that it is a replica
	inFlight, cuts       int     // cuts: connections that broke since it was heard of
	heard, owed, quiet   float64 // last word; usual times unanswered since: of ended sends, with those out
	errors, late, proven float64 // smoothed: share of errors, times over the easy, sends out while so

	over, ease, toldAt, backAt, pause, trialAt float64 // over: late, at a replica half of all; ease: own
	started, asideAt, left                     float64 // left: the list, 0 while it is there
	window, cutAt, fullAt, credit, creditAt    float64 // window: sends that may be out; credit: of a cold one

	aside, news bool   // news: to tell peers
	doubted     bool   // the primary of an earlier run: no write before it has answered as primary
	say, cut    uint64 // the flags that go with it; set aside as connections broke or none came
}

type send struct {
	to           *member
	at           float64
	open, proved bool // proved: known never to have run
	counts       int  // as so many in flight: none once it is lost, as its connection fell silent
}

type op struct {
	id    string
	kind  *opKind
	group *group

	arrived, until, needPos, luck float64 // until: when it is due; luck: a member takes it up to such a share

	sends                                      []send
	out                                        int     // sends that are out
	failed                                     *member // that answered it with an error
	held, done, gone, written, stalled, missed bool    // stalled: not for want of room; missed: by one behind
}

type Driver struct {
	now, zero, bound, sweepGap, margin float64 // bound: the tightest bound on the age of data
	zone                               string
	tolls                              map[string]float64 // by zone, where a plan says them
	out                                []Action
	state                              uint64
	types                              []*opKind
	members                            map[string]*member
	byHash                             map[uint32]*member
	groups                             []*group
	groupOf                            map[int64]*group
	ops                                map[string]*op

	checks, roleLate, carried, reports, cancels, overlap, drainOnly, mute bool // mute: many that can't talk

	spare, advise, coldFrom, coldFor, coldPace, coldSpan float64 // spare: further sends; coldPace: a cold one's most

	sendCap, tellMost            int
	tellGap, tellLeast, tellRate float64 // all drivers tell of a member so often, 0: never; at the most often

	watchAt, watchWait, woke, words, crowd, ceiling float64 // woke: from its own pause; crowd: drivers by threes; ceiling: of earlier runs' commits
}

// Step takes what happened at now and returns what is to be done.
func (d *Driver) Step(now float64, events []Event) []Action {
	if now-d.now > pauseLeast*d.sweepGap {
		d.woke = now // it stood still itself: that is nobody's silence, and answers' times tell nothing
	}
	d.now, d.out = now, d.out[:0]
	due := false
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case EvOpen:
			d.open(ev.Opening)
		case EvMembers:
			d.list(ev)
		case EvOp:
			d.take(ev)
		case EvAnswer:
			d.answer(ev)
		case EvProbed:
			if m := d.members[ev.Member]; m != nil && ev.Outcome == OK {
				d.learn(m, ev.Report, now-ev.Took-probeEvery, "report")
			}
		case EvGone:
			if o := d.ops[ev.Op]; o != nil && !o.done {
				o.gone = true
				d.close(o)
			}
		case EvTimer:
			due = true
		case EvMessage:
			d.hear(ev.Data)
		case EvRecall:
			d.recall(ev.Memory)
		case EvRemember:
			d.remember(ev.Memory)
		case EvDrivers:
			d.fleet(float64(ev.Drivers))
		case EvTolls:
			d.tolls = ev.Tolls
			for _, m := range d.members {
				m.toll = d.toll(m.zone)
			}
		}
	}
	if due { // after the answers that came with the timer
		d.sweep()
		d.act(Action{Kind: ActTimer, Wait: d.sweepGap})
	}
	return d.out
}

func (d *Driver) act(a Action) { d.out = append(d.out, a) }

func (d *Driver) log(format string, args ...any) {
	d.act(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}

// open derives the figures that decisions use.
func (d *Driver) open(p *Opening) {
	*d = Driver{now: d.now, out: d.out, state: p.Seed, zone: p.Zone, zero: p.PositionZero,
		members: map[string]*member{}, byHash: map[uint32]*member{}, groupOf: map[int64]*group{},
		ops: map[string]*op{}, sweepGap: max(p.Tick, 4), spare: copyMost / 2, checks: p.Checks != ChecksNone,
		roleLate: p.ListRole == RoleLate, carried: p.SessionCarried, reports: p.ReportsByProbe && p.MayProbe,
		cancels: p.MayCancel, overlap: p.MayOverlap, sendCap: max(p.SendCap, 1), advise: p.MaxRetryAfter,
		coldFrom: p.ColdFrom, coldFor: p.ColdFor, coldPace: p.FallMultiple * coldShare, coldSpan: p.FallSpan,
		drainOnly: p.OnlyDrainBinds, tellMost: p.MaxMessageBytes / entryBytes, tellRate: p.MaxMessages}
	d.margin, d.bound = d.sweepGap+2*p.Tick, math.Inf(1)
	for i, t := range p.OpTypes {
		d.types = append(d.types, &opKind{index: i, need: t.Need, maxAge: t.MaxAge, effect: t.Effect,
			scope: t.Scope, window: t.Window, target: t.LatencyTarget,
			took: t.LatencyTarget / 3, best: t.LatencyTarget / 3, value: t.Value})
		if t.Need == Bounded {
			d.bound = min(d.bound, t.MaxAge)
		}
	}
	if p.Positions && !d.carried {
		d.ceiling = d.now - d.zero // an earlier run may have acknowledged writes up to now
	}
	d.mute = p.Drivers > 1 && !(p.MayMessage && d.tellMost > 0)
	d.fleet(float64(p.Drivers))
	if p.ListOnRequest {
		d.act(Action{Kind: ActWatch})
	}
	d.act(Action{Kind: ActTimer, Wait: d.sweepGap})
}

// fleet follows how many drivers there are: words where they may talk, and shares and what is spread out
// over them, where they may not as well.
func (d *Driver) fleet(drivers float64) {
	if d.crowd, d.tellGap = max(1, drivers/3), 0; drivers > 1 && !d.mute {
		d.tellLeast = min(max(d.bound/4, 5*(d.margin-d.sweepGap)), probeEvery) * min(d.crowd/3, 1)
		d.tellGap = d.tellLeast
	}
}

// chance draws from a permuted congruential generator (PCG-XSH-RR), in [0, 1).
func (d *Driver) chance() float64 {
	s := d.state
	d.state = s*6364136223846793005 + 1442695040888963407
	return float64(bits.RotateLeft32(uint32((s>>18^s)>>27), -int(s>>59))) / (1 << 32)
}

func (d *Driver) groupAt(id int64) *group {
	g := d.groupOf[id]
	if g == nil {
		g = &group{id: id, Slot: writerslot.NewSlot[*member](), commit: d.ceiling, swept: d.now,
			strain: make([]float64, len(d.types))}
		d.groupOf[id] = g
		d.groups = append(d.groups, g)
	}
	return g
}

// list keeps up with the member list. Its roles are late or of the day's start: they fill a slot first alone.
func (d *Driver) list(ev *Event) {
	if ev.List == ListFailed {
		d.watchWait = min(max(2*d.watchWait, trialFirst), 2*trialMost)
		d.watchAt = d.now + d.watchWait*(0.5+d.chance())
		return
	}
	d.watchWait = 0
	named := map[*member]bool{}
	for i := range ev.Members {
		e := &ev.Members[i]
		m := d.members[e.Member]
		if m == nil {
			h := fnv.New32a()
			h.Write([]byte(e.Member))
			m = &member{id: e.Member, hash: h.Sum32() >> 8, group: d.groupAt(e.Group), position: -1,
				heard: d.now, replicaAt: math.Inf(-1), backAt: math.Inf(-1), window: startWindow / 2,
				zone: e.Zone, toll: d.toll(e.Zone)}
			d.members[e.Member] = m
			m.group.members = append(m.group.members, m)
			_, taken := d.byHash[m.hash]
			if d.byHash[m.hash] = m; taken {
				d.byHash[m.hash] = nil // two members of one hash: peers cannot tell us of either
			}
		}
		named[m] = true
		g := m.group
		if e.Phase != Ready {
			d.leave(m, e.Phase)
			continue
		}
		m.draining, m.left = false, 0
		if e.Started > m.started {
			d.chill(m, e.Started)
			if g.Holder == m && e.Started > g.SeenAt {
				d.empty(m, false, "restarted") // it comes back as a replica
			}
		}
		if e.Primary && !m.listed && g.Holder == nil && m.replicaAt <= g.EmptiedAt &&
			(g.LastHolder == nil || d.roleLate && g.LastHolder != m) {
			d.fill(m, math.Inf(-1), "list")
		}
		m.listed = e.Primary
	}
	if ev.List != ListChanges {
		for _, g := range d.groups {
			for _, m := range g.members {
				if !named[m] {
					d.leave(m, Gone)
				}
			}
		}
	}
}

// recall takes what an earlier run knew as dated evidence: a primary seen within the time of a switch fills
// the slot; one seen before only orders the search, and yields to a list that follows roles.
func (d *Driver) recall(k *Memory) {
	d.ceiling = max(d.ceiling, k.Ceiling)
	for _, g := range d.groups {
		g.commit = max(g.commit, d.ceiling)
	}
	for i, t := range k.OpTypes[:min(len(k.OpTypes), len(d.types))] {
		if t.Typical > 0 && t.Best > 0 {
			d.types[i].took, d.types[i].best = t.Typical, min(t.Best, t.Typical)
		}
	}
	for _, r := range k.Members {
		m := d.members[r.Member]
		if m == nil || m.group.id != r.Group {
			continue
		}
		if m.position = max(m.position, r.Position); r.Window > 0 {
			m.window = r.Window
		}
		if r.StartedAt > 0 && r.StartedAt >= m.started { // what it may be sent while cold begins at nothing, not anew
			m.started, m.backAt, m.credit, m.creditAt = r.StartedAt, r.StartedAt, 0, d.now
		}
		if r.EjectedAt >= m.started && r.EjectedAt > 0 && !m.draining {
			m.aside, m.asideAt, m.pause, m.trialAt = true, r.EjectedAt, trialFirst, d.after(trialFirst)
			if r.Disconnected {
				m.cut = tellCut
			}
			if m.group.Holder == m {
				d.empty(m, true, "recalled as set aside")
			}
		}
	}
	for _, r := range k.Groups {
		g, m := d.groupOf[r.Group], d.members[r.Primary]
		if g != nil && r.WorkRate > 0 {
			g.rate, g.blur = r.WorkRate, min(d.crowd-1, 1) // alike in all drivers that start at once: chance decides
		}
		if g == nil || m == nil || m.group != g || r.SeenAt <= g.SeenAt || m.started > r.SeenAt {
			continue
		}
		if age := d.now - r.SeenAt; r.InSlot && age >= 0 && age < k.TrustWindow && !m.draining && !m.aside {
			d.fill(m, r.SeenAt, "recalled")
		} else if g.Holder == nil || !d.roleLate {
			g.Holder, g.LastHolder, g.SeenAt, g.EmptiedAt, g.probeAt, m.doubted = nil, m, r.SeenAt, r.SeenAt, d.now, true
			if d.log("group %d: %s was primary, to be asked", g.id, m.id); d.reports && !m.draining {
				d.act(Action{Kind: ActProbe, Member: m.id})
			}
			d.search(g)
		}
	}
}

func (d *Driver) remember(k *Memory) {
	k.OpTypes, k.Groups, k.Members = k.OpTypes[:0], k.Groups[:0], k.Members[:0]
	for _, t := range d.types {
		k.OpTypes = append(k.OpTypes, TypeMemory{Typical: t.took, Best: t.best})
	}
	for _, g := range d.groups {
		r := GroupMemory{Group: g.id, InSlot: g.Holder != nil, WorkRate: g.rate, LastCommit: g.commit}
		if p := cmp.Or(g.Holder, g.LastHolder); p != nil && !math.IsInf(g.SeenAt, -1) {
			r.Primary, r.SeenAt = p.id, g.SeenAt
		}
		k.Groups = append(k.Groups, r)
		for _, m := range g.members {
			r := MemberMemory{Member: m.id, Group: g.id, Position: m.position, StartedAt: m.started, Disconnected: m.cut != 0,
				Window: m.window}
			if m.aside {
				r.EjectedAt = m.asideAt
			}
			k.Members = append(k.Members, r)
		}
	}
}

// denied says whether no other member can be the primary, as all say that they are replicas or don't answer.
func (g *group) denied(p *member) bool {
	return !slices.ContainsFunc(g.members, func(m *member) bool {
		return m != p && !m.draining && !m.aside && math.IsInf(m.replicaAt, -1)
	})
}

// leave takes a member out of service: one that drains or is gone gets nothing new from now on.
func (d *Driver) leave(m *member, p Phase) {
	if p == Gone && m.left == 0 {
		m.left = d.now
	}
	if !m.draining && (p != Gone || !d.drainOnly) { // else the list does not establish which members are up
		if m.draining = true; m.group.Holder == m {
			d.empty(m, false, "drains")
		}
	}
}

// forgets lets go of a member that left the list so long ago that no late word of it comes, with nothing out.
// Where only draining binds, a list may name a drained member as gone much later, and it must not come back
// new: it is kept twenty times as long.
func (d *Driver) forgets(m *member) bool {
	keep := max(d.coldFor, 5*trialMost)
	if m.draining && d.drainOnly {
		keep *= 20
	}
	old := m.left > 0 && d.now-m.left > keep
	if old = old && m.inFlight == 0 && (m.draining || m.aside) && m.group.Holder != m; old {
		delete(d.members, m.id)
		delete(d.byHash, m.hash)
	}
	return old
}

func (d *Driver) take(ev *Event) {
	k, g := d.types[ev.OpType], d.groupAt(ev.Group)
	o := &op{id: ev.Op, kind: k, group: g, arrived: d.now, needPos: -1, luck: d.chance()}
	o.until = d.now + max(ev.Left-d.margin, 0)
	if k.need == Session && !d.carried {
		o.needPos = g.commit
	} else if k.need == Session && ev.WroteAgo > 0 {
		o.needPos = d.now - d.zero - ev.WroteAgo + 1
	}
	d.ops[o.id], g.live = o, append(g.live, o)
	if d.turnAway(o) {
		d.finish(o)
		return
	}
	d.route(o)
}

// turnAway refuses by chance under strain, types that earn little for their work more often. Guards against
// queues in which answers are late, whatever fills them. It could harm where the strain is of one member.
func (d *Driver) turnAway(o *op) bool {
	p := o.group.strain[o.kind.index] * strainSlope * (1 + 3*o.group.blur*o.group.blur)
	if p <= 0 || o.kind.need == Write {
		return false
	}
	k := slices.MaxFunc(d.types, func(a, b *opKind) int { return cmp.Compare(a.value/a.took, b.value/b.took) })
	return d.chance() < min(p*(1.5-o.kind.value/o.kind.took/(k.value/k.took)), 0.9)
}

// route is the ordinary path of an op: writes and fresh reads go to the writer slot's primary and wait while
// it is empty; other reads go to the replica that is fresh enough and least in use, else to the primary.
func (d *Driver) route(o *op) {
	g := o.group
	if d.now >= o.until || len(o.sends) >= d.sendCap && o.out == 0 {
		d.finish(o)
		return
	}
	var to *member
	if o.kind.need >= Fresh {
		to = g.Holder
	} else {
		var fresh bool
		if to, fresh = d.replica(o); to == nil && !fresh && d.checks && !o.missed {
			to = d.farthest(o, false)
		}
		old := d.reports && o.kind.need == Bounded && g.SeenAt > 0 && d.now-g.SeenAt > o.kind.maxAge // may be deposed
		if p := g.Holder; to == nil && p != nil && !p.aside && !old && (!fresh ||
			float64(p.inFlight) < p.window*headroom && (1-o.luck)*g.blur*g.blur*float64(g.serving) < headroom) {
			to = p // all drivers together spill to it no more than half of a replica's reads
		}
		if to == nil && !fresh && o.kind.need == Any {
			to = d.farthest(o, true)
		}
		o.stalled = o.stalled || to == nil && !fresh
	}
	if to != nil && d.allowed(o, to) && d.admits(to, o) {
		d.send(o, to)
	} else if !o.held && o.out == 0 {
		d.hold(o)
	}
}

func (d *Driver) hold(o *op) {
	o.held = true
	if len(o.group.live) > heldCap {
		d.finish(o)
	}
}

func (d *Driver) within(m *member, age float64) bool { return m.position >= d.now-d.zero-age }

// fresh says whether what is known of a member's position covers the op's need, were it sent now.
func (d *Driver) fresh(o *op, m *member) bool {
	k := o.kind
	return k.need == Any || k.need == Bounded && d.within(m, k.maxAge) ||
		k.need == Session && (o.needPos <= 0 || m.position >= o.needPos)
}

// replica is the companion rule: of the replicas fresh enough, that with fewest own sends in flight, a cold
// one counting as smaller. Distance only tips near ties. A member set aside gets one trial when its pause is
// over, by a read that may run again elsewhere. It also says whether any was fresh.
func (d *Driver) replica(o *op) (*member, bool) {
	var best *member
	least, fresh := math.Inf(1), false
	for _, m := range o.group.members {
		if m == o.group.Holder || m.draining || o.triedAt(m) {
			continue
		}
		if m.aside {
			if d.now >= m.trialAt && o.kind.effect == Retryable && o.out == 0 && d.admits(m, o) &&
				(d.checks || d.fresh(o, m)) {
				m.pause = min(2*m.pause, trialMost)
				m.trialAt = d.after(m.pause)
				return m, true
			}
			continue
		}
		if !d.fresh(o, m) {
			continue
		}
		fresh = true
		if l := d.load(m) + d.apart(o, m); l < least && d.admits(m, o) {
			best, least = m, l
		}
	}
	return best, fresh
}

// load is what the companion rule compares: own sends in flight. The fewer they are the more members are
// drawn by chance, in proportion: many drivers know the same of them and must not act as one.
func (d *Driver) load(m *member) float64 {
	l := float64(m.inFlight+1)/d.warmth(m) + latePenalty*(1+2*m.group.blur)*m.late + 0.05*d.chance()
	return (l + m.toll) * math.Pow(-math.Log(1-d.chance()), m.group.blur)
}

// toll is what a zone's members cost more: by the plan that holds, or for another zone.
func (d *Driver) toll(zone string) float64 {
	if t, planned := d.tolls[zone]; planned || zone == d.zone {
		return t
	}
	return farPenalty
}

// apart puts reads of any age rather where data is not fresh anyway, as fresh replicas are scarce for others.
func (d *Driver) apart(o *op, m *member) float64 {
	if o.kind.need == Any && d.within(m, d.bound) {
		return apartFresh
	}
	return 0
}

// farthest is the replica with the newest known position; as a last resort any member, even one set aside.
func (d *Driver) farthest(o *op, last bool) *member {
	var best *member
	for _, m := range o.group.members {
		if !m.draining && !o.triedAt(m) && (last || m != o.group.Holder && !m.aside) && d.admits(m, o) &&
			(best == nil || m.position > best.position) {
			best = m
		}
	}
	return best
}

func (d *Driver) allowed(o *op, m *member) bool {
	return !m.draining && !o.done && len(o.sends) < d.sendCap && (o.out == 0 || d.overlap) && d.mayRepeat(o, m)
}

// mayRepeat says whether what an op's earlier sends may have done allows another to m, or anywhere for nil.
func (d *Driver) mayRepeat(o *op, m *member) bool {
	for i := range o.sends {
		s := &o.sends[i]
		if !s.proved && o.kind.effect != Retryable && (o.kind.effect == NonRetryable ||
			d.now >= s.at+o.kind.window-d.margin || m != nil && (o.kind.scope == ScopeGroup && m.group != s.to.group ||
			o.kind.scope == ScopeZone && m.zone != s.to.zone)) {
			return false
		}
	}
	return true
}

func (d *Driver) warmth(m *member) float64 {
	if age := d.now - m.started; m.started > 0 && age < d.coldFor {
		return d.coldFrom + (1-d.coldFrom)*max(age, 0)/d.coldFor
	}
	return 1
}

// chill notes a member's start. Its first credit comes by chance, lest many drivers spend it at once.
func (d *Driver) chill(m *member, started float64) {
	m.started, m.credit, m.creditAt = started, d.chance()*d.types[0].took, d.now
}

// admits says whether a member has room: in its window, after its last full reply, and, while it is cold, in
// its budget: a share of the work that this driver has answered by a member on average, so that all stay
// under it.
func (d *Driver) admits(m *member, o *op) bool {
	k, limit, share := o.kind, m.window, 1.0
	if d.crowd > 2 { // hardly a send is out anywhere, no window binds: the mean times that all tell of do
		share = min(1/m.over, 1)
		if m == m.group.Holder && k.need < Fresh { // writes first, alone while what was held comes
			share *= share * share * math.Floor(min((d.now-m.group.filled)/probeEvery, 1))
		}
	}
	if k.need == Write {
		limit, share = 2*limit, 2*share // nowhere else to go; other reads make way first
	}
	if float64(m.inFlight) >= limit || o.luck >= share || d.now < m.fullAt {
		return false
	}
	w := d.warmth(m)
	if w == 1 {
		return true
	}
	pace := d.coldPace * w * m.group.rate / float64(max(m.group.serving, 1))
	m.credit = min(m.credit+pace*(d.now-m.creditAt), max(pace*d.coldSpan/4, k.took))
	m.creditAt = d.now
	return m.credit >= k.took
}

// easy is the mean time of answers above which a member has too much work.
func (d *Driver) easy(k *opKind) float64 {
	return max(easyShare*k.target, min(easyLeast*k.best, easyMost*k.target))
}

// pace learns from how long an answer took, an own one or a peer's, and moves the window. Guards against
// queues whatever fills them; it could harm where ops turn long by themselves: they then wait here instead of
// there.
func (d *Driver) pace(m *member, k *opKind, x float64, full, own bool) {
	g := m.group
	if d.woke == d.now {
		return
	}
	m.late += (min(x, 5) - m.late) * 2 * smooth
	if m.over = m.late; m != g.Holder {
		g.late += (min(x, 5) - g.late) * 2 * smooth
		m.over = (m.late + g.late) / 2
	}
	if !own {
		return
	}
	if m.ease, m.news = x, true; full {
		m.fullAt = d.now + k.took*d.chance()
	}
	if full || m.over > 1 {
		if d.now-m.cutAt > k.took {
			m.window, m.cutAt = max(m.window*shrink, 1, m.proven*floorShare), d.now
		}
		return
	}
	m.proven += (float64(m.inFlight+1) - m.proven) * smooth / 3
	if float64(m.inFlight+1) >= m.window*headroom {
		m.window += 1 / m.window
	}
}

func (d *Driver) send(o *op, m *member) {
	o.held = false
	o.sends = append(o.sends, send{to: m, at: d.now, open: true, counts: 1})
	m.inFlight++
	o.out++
	m.credit -= o.kind.took
	d.act(Action{Kind: ActSend, Op: o.id, Member: m.id, Wait: o.until + d.margin - d.now})
}

func (o *op) triedAt(m *member) bool {
	return slices.ContainsFunc(o.sends, func(s send) bool { return s.to == m })
}

// answer takes the end of a send.
func (d *Driver) answer(ev *Event) {
	o := d.ops[ev.Op]
	if o == nil || ev.Send < 0 || ev.Send >= len(o.sends) || !o.sends[ev.Send].open {
		return
	}
	s := &o.sends[ev.Send]
	m := s.to
	s.open = false
	m.inFlight -= s.counts
	o.out--
	unsent := ev.Outcome == ConnectFailed || ev.Outcome == Moot
	s.proved, o.written = unsent || ev.Outcome == Miss || ev.Outcome == Full, o.written || !unsent
	if note := ev.Note; ev.Outcome == OK || ev.Outcome == Miss || ev.Outcome == Full || ev.Outcome == Fault {
		m.heard, m.owed, m.cuts = d.now, 0, 0
		if o.kind.need == Write && note.Position > 0 {
			note.Position-- // commits are rounded up
		}
		d.learn(m, note, s.at, "answer")
		d.learn(m, ev.Report, s.at-probeEvery, "report")
	}
	switch ev.Outcome {
	case OK:
		d.good(o, m, s.at, ev)
	case TimedOut, Cancelled:
		if s.counts > 0 {
			d.pace(m, o.kind, (d.now-s.at)/d.easy(o.kind), false, true) // the member may still be at work on it
		}
		m.owed += (d.now - max(s.at, m.heard, d.woke)) / o.kind.took
	case ConnectFailed, Reset:
		recent := ev.Outcome == Reset || m.inFlight > 0 || d.now-m.heard < 2*max(d.tellGap, o.kind.took)
		if m.cuts++; s.at >= m.backAt && (!recent || m.inFlight == 0 && m.cuts >= cutsLimit) {
			d.setAside(m, tellSilent|tellCut, "connection") // the dead break and refuse all; some break alone
		} else if ev.Outcome == ConnectFailed {
			d.pace(m, o.kind, 1, true, true) // it serves on connections that it has; new ones are slow or few
		}
	case Fault:
		if o.failed != nil && !o.done && o.out == 0 {
			d.finish(o) // two members failed it: the fault follows the op
		}
		o.failed = m
	case Full:
		d.pace(m, o.kind, 1, true, true)
	case Miss:
		o.missed = true
		if o.kind.need == Write && m.group.Holder == m {
			d.empty(m, false, "miss")
		}
	}
	switch {
	case o.done:
		if o.out == 0 {
			delete(d.ops, o.id)
		}
	case ev.Closed:
		d.close(o)
	case ev.Outcome == TimedOut && d.now >= o.until:
		d.finish(o)
	case o.out > 0:
	case ev.Outcome == Full:
		d.hold(o) // the next sweep tries again, elsewhere if it can
	case d.mayRepeat(o, nil):
		d.route(o)
	default:
		d.finish(o) // what may have run and may not run again is given up at once
	}
}

func (d *Driver) good(o *op, m *member, at float64, ev *Event) {
	took := d.now - at
	m.errors -= m.errors * errorWeight
	if f := o.failed; f != nil { // an error is a member's only where another answers the op well
		if o.failed, f.errors = nil, f.errors+(1-f.errors)*errorWeight; f.errors > errorLimit {
			d.setAside(f, 0, "errors")
		}
	}
	if d.woke < d.now {
		o.kind.took += (took - o.kind.took) * smooth
	}
	m.news, m.say = true, tellGood
	d.spare = min(d.spare+copyShare, copyMost)
	o.group.work += o.kind.took
	rise := smooth / 20
	if m.window <= max(1, m.proven*floorShare) {
		rise = smooth // it can't be this driver's sends that make the member slow
	}
	o.kind.best = min(o.kind.best+(o.kind.took-o.kind.best)*rise, o.kind.took)
	x := took / d.easy(o.kind)
	if m != o.group.Holder && !d.within(m, d.bound*behindShare) {
		x = max(x, behind) // crowded: its log waits for the cores; it could harm where the log alone is slow
	}
	d.pace(m, o.kind, x, false, true)
	d.welcome(m, "answers")
	if ev.Opened > 0 && ev.Opened < m.started && m.started == m.backAt {
		m.started = 0 // its connection is older than the start that its return was taken for
	}
	d.feel(o, min(math.Floor((d.now-o.arrived)/o.kind.target), 1))
	if o.kind.need == Write {
		o.group.commit = max(o.group.commit, ev.Note.Position)
	}
}

func (d *Driver) feel(o *op, late float64) {
	if !o.done && !o.stalled && o.kind.need != Write {
		s := &o.group.strain[o.kind.index]
		*s += (late - *s) * 2 * smooth
	}
}

// learn takes role and position, as old as the position (a primary stands at the present) or else the asking.
func (d *Driver) learn(m *member, s Sight, asked float64, by string) {
	if s.Position > m.position {
		m.position, m.news = s.Position, true
	}
	when := asked
	if s.Position > 0 {
		when = d.zero + s.Position
	}
	if s.Role == Primary {
		d.primarySeen(m, when, by)
	} else if s.Role == Replica && (by != "report" || when >= m.group.SeenAt) {
		m.replicaAt = d.now
		if m.group.Holder == m {
			d.empty(m, false, "replica")
		}
	}
}

func (d *Driver) primarySeen(m *member, when float64, by string) {
	if g := m.group; g.Accepts(m, when, m.replicaAt, m.draining, m.heard == d.now) { // a silent one may speak again
		d.fill(m, when, by)
	}
}

func (d *Driver) fill(m *member, when float64, by string) {
	g := m.group
	if g.Holder != nil || g.LastHolder != nil && (g.LastHolder != m || d.now-g.EmptiedAt >= trialFirst) { // all let go of writes
		m.window, m.late = min(m.window, startWindow), max(m.late, min(startLate, d.crowd-1))
		g.filled, m.over = d.now, m.late
	}
	g.Fill(m, when)
	d.welcome(m, by)
	if m.news, m.doubted = true, false; by == "answer" || by == "report" {
		m.toldAt = d.now - d.tellGap // the others wait for this word
	}
	d.log("group %d: %s is primary (%s), %d open", g.id, m.id, by, len(g.live))
	d.release(g)
}

func (d *Driver) empty(m *member, silent bool, why string) {
	g := m.group
	g.Clear(d.now, silent)
	g.probeAt = d.now
	d.log("group %d: slot emptied, %s: %s", g.id, m.id, why)
	d.search(g)
}

func (d *Driver) search(g *group) {
	if !d.reports || d.now < g.probeAt {
		return
	}
	share := probers / (3 * d.crowd) // what one finds, all are told
	if d.mute {                      // many, and nobody to tell: each asks for itself, and only for what waits
		if g.Holder != nil || !slices.ContainsFunc(g.live, func(o *op) bool { return o.held }) {
			return
		}
		share = 1
	}
	if g.probeAt = d.now + probeEvery; g.Holder != nil {
		g.probeAt = d.now + probeIdle
	}
	for _, m := range g.members {
		if !m.draining && d.chance() < share {
			d.act(Action{Kind: ActProbe, Member: m.id})
		}
	}
}

// release routes held ops, oldest first, those that can still meet their latency target before the others,
// lest every op of a long queue be late. It could harm old ops under lasting want of room.
func (d *Driver) release(g *group) {
	for _, late := range [...]bool{false, true} {
		for _, o := range g.live {
			if o.held && !o.done && late == (d.now-o.arrived+o.kind.took > o.kind.target) {
				d.route(o)
			}
		}
	}
}

// setAside keeps ops from a member that does not answer, breaks connections or fails what it is sent, and
// empties the slot of a silent or dead primary. It could harm where one member's times rise at once.
func (d *Driver) setAside(m *member, say uint64, why string) {
	if !m.aside {
		m.say = 0 // what was good of it is no news any more
	}
	if say != 0 && why != "peer" && (!m.aside || say&tellCut > m.cut) {
		m.news, m.say, m.toldAt = true, say, d.now-d.tellGap // peers took one set aside for silent, not dead
	}
	if m.cut |= say & tellCut; m.aside {
		return
	}
	if m.pause == 0 || d.now-m.backAt > 10*m.pause {
		m.pause = trialFirst
	}
	m.aside, m.asideAt, m.trialAt = true, d.now, d.after(m.pause)
	d.log("group %d: %s set aside: %s", m.group.id, m.id, why)
	if say != 0 && m.group.Holder == m {
		d.empty(m, true, why)
	}
}

// after is a time to act after a pause, for many drivers spread so that they act together as often as three.
func (d *Driver) after(pause float64) float64 { return d.now + pause*(1+2*(d.crowd-1)*d.chance()) }

func (d *Driver) welcome(m *member, by string) {
	if !m.aside {
		return
	}
	if d.now-m.asideAt >= trialFirst { // sooner it was a false alarm
		if m.window = min(m.window, startWindow); m.cut != 0 && m.started < m.asideAt { // it has started again
			d.chill(m, d.now)
		}
	}
	m.aside, m.cut, m.cuts, m.backAt, m.heard, m.errors, m.owed = false, 0, 0, d.now, d.now, 0, 0
	d.log("group %d: %s is back (%s)", m.group.id, m.id, by)
}

// finish gives an op its final answer: busy where that is true, an error where it may have run.
func (d *Driver) finish(o *op) {
	ran := slices.ContainsFunc(o.sends, func(s send) bool { return !s.proved })
	if !ran || o.kind.effect == Retryable || o.kind.effect == Tokened && o.kind.scope == ScopeAll {
		wait := 0.0
		if o.group.Holder == nil {
			wait = min(probeEvery, d.advise)
		}
		d.act(Action{Kind: ActRefuse, Op: o.id, Wait: wait})
	} else {
		d.act(Action{Kind: ActFail, Op: o.id})
	}
	d.close(o)
}

func (d *Driver) close(o *op) {
	o.held, o.done = false, true
	for i := range o.sends {
		if wait := 0.0; o.sends[i].open && d.cancels {
			if o.gone { // cut off, its connection would be lost with it; the member may run it all the same
				wait = o.kind.target
			}
			d.act(Action{Kind: ActCancel, Op: o.id, Send: i, Wait: wait})
		}
	}
	if o.out == 0 {
		delete(d.ops, o.id)
	}
}

func (d *Driver) sweep() {
	for _, g := range d.groups {
		dt := d.now - g.swept
		if len(g.live) == 0 && dt < probeEvery {
			continue // nothing of its own is there: now and then is enough, however many groups there are
		}
		if g.swept = d.now; d.now >= g.forgetAt {
			g.members, g.forgetAt = slices.DeleteFunc(g.members, d.forgets), d.now+trialMost
		}
		d.silence(g)
		d.search(g)
		if dt > 0 {
			g.flow += (g.work/dt - g.flow) * min(dt/max(d.coldSpan, 5*probeEvery)/min(d.crowd, 4), 1)
			if g.work = 0; g.flow > g.rate || g.cold == 1 {
				g.rate = g.flow // while members are cold, what they got before they were replaced holds
			}
			g.blur = min(d.crowd-1, 1) / (1 + blurLoss*g.rate/float64(max(g.serving, 1)))
		}
		d.release(g)
		for _, o := range g.live {
			if !o.done {
				d.attend(o)
			}
		}
		g.live = slices.DeleteFunc(g.live, func(o *op) bool { return o.done && o.out == 0 })
		for i := range g.strain {
			ease := max(1, min(d.crowd, 8)*(1-g.late)) // few answers each, but word of all that members are
			g.strain[i] -= g.strain[i] * min(smooth*dt/probeEvery*ease, 1)
		}
	}
	if d.watchAt > 0 && d.now >= d.watchAt {
		d.watchAt = 0
		d.act(Action{Kind: ActWatch})
	}
	if d.tellGap > 0 {
		pace := d.sweepGap / (2 * probeIdle)
		if d.words -= d.words * 2 * pace; d.words > cmp.Or(d.tellRate, tellBudget/d.crowd) {
			d.tellGap *= 1 + pace // what all drivers together are sent stays bounded, however many they are
		} else {
			d.tellGap = max(d.tellGap*(1-pace), d.tellLeast)
		}
		d.tell()
	}
}

func (d *Driver) attend(o *op) {
	switch {
	case d.now >= o.until || o.held && (!o.written && d.now-o.arrived > unsentShare*(o.until-o.arrived) ||
		!d.mayRepeat(o, nil)):
		d.finish(o) // its time or its token has run out; unsent, its client still has time to ask again
	case o.held && o.kind.need < Fresh && (!o.stalled && d.now-o.arrived > holdShare*o.kind.target ||
		d.now-o.arrived+o.kind.took > o.kind.target):
		d.feel(o, 1)
		d.finish(o) // while a further try by the client can still be in time
	case o.held:
		d.tryRole(o)
	case d.overlap && o.kind.effect != NonRetryable && d.spare >= 1:
		newest := 0.0
		for i := range o.sends {
			if s := &o.sends[i]; s.open && !s.to.aside {
				return
			} else if s.open {
				newest = max(newest, s.at)
			}
		}
		if before := len(o.sends); d.now-newest >= min(2*o.kind.took, o.kind.target) {
			d.route(o) // all that it waits for are set aside
			d.spare -= float64(len(o.sends) - before)
		}
	}
}

// tryRole lets one held write at a time try members not heard of late, where no probe can tell the primary.
func (d *Driver) tryRole(o *op) {
	g := o.group
	if g.Holder != nil || g.trial != nil && g.trial.out > 0 || d.reports || o.kind.need != Write ||
		d.chance()*(d.crowd-1) > trialShare {
		return
	}
	if p := g.LastHolder; p != nil && p.doubted && !p.draining && !p.aside && g.denied(p) {
		d.fill(p, g.SeenAt, "no other is")
		return
	}
	for _, m := range g.members {
		if m.aside || m.doubted || d.now-max(m.replicaAt, g.EmptiedAt) < probeEvery || !d.allowed(o, m) ||
			!d.admits(m, o) || len(o.sends) >= d.sendCap-1 {
			continue
		}
		g.trial = o
		d.send(o, m)
		return
	}
}

// silence sets aside a member that owes more than chance explains: at the usual rate, no answer comes for so
// long with a chance of e to minus the sum. It must stand out, lest a shared slowdown pass for it.
func (d *Driver) silence(g *group) {
	all, busy := 0.0, 0.0
	g.serving, g.cold = 0, 1
	for _, m := range g.members {
		m.quiet = m.owed
		all += m.owed
		busy += min(float64(m.inFlight), 1)
		if !m.draining {
			g.cold = min(g.cold, d.warmth(m))
			g.serving++
		}
	}
	for _, o := range g.live {
		for i := range o.sends {
			if s := &o.sends[i]; s.open {
				x := (d.now - max(s.at, s.to.heard, d.woke)) / o.kind.took
				s.to.quiet += x
				all += x
				if s.to.heard > s.at && d.now-s.at > stuck*o.kind.took { // others got answers since
					s.to.inFlight -= s.counts
					s.counts = 0
				}
			}
		}
	}
	for _, m := range g.members {
		limit := silentReads + 2*(all-m.quiet)/max(busy-1, 1)
		if m == g.Holder {
			limit += silentSlot - silentReads
		}
		if m.quiet >= limit {
			d.setAside(m, tellSilent, "silent")
		}
	}
}

const (
	tellPrimary, tellGood, tellSilent, tellCut, easeShift = 1, 2, 4, 2, 3   // good and silent: cut off
	tellRange, easeStep, entryBytes                       = 1 << 24, 6.0, 7 // 24 bits for hash and position
)

// tell sends peers what own sends taught, of members that no driver told of for a while: so the fleet's
// messages follow its members and not its drivers. It could harm only as far as a peer lies: positions never
// go back, roles are dated by them, and silence is believed only of a member that nobody heard from.
func (d *Driver) tell() {
	var data []byte
	for _, g := range d.groups {
		for _, m := range g.members {
			news := m.news && d.now >= m.toldAt+d.tellGap && len(data) < d.tellMost*entryBytes
			if m.news = false; !news {
				continue // were it kept, all who have some would tell it at once
			}
			flags, position := m.say|uint64(min(m.ease*easeStep, 31))<<easeShift, uint64(0)
			if g.Holder == m {
				flags |= tellPrimary
			}
			if m.position > 0 && d.within(m, tellRange/2) {
				position = uint64(m.position) % tellRange
			}
			m.say, m.ease, m.toldAt = 0, 0, d.now
			word := binary.BigEndian.AppendUint64(nil, uint64(m.hash)<<32|flags<<24|position)
			data = append(data, word[8-entryBytes:]...)
		}
	}
	if len(data) > 0 {
		d.act(Action{Kind: ActMessage, Data: data})
	}
}

func (d *Driver) hear(data []byte) {
	d.words++
	for ; len(data) >= entryBytes; data = data[entryBytes:] {
		m := d.byHash[binary.BigEndian.Uint32(data)>>8]
		if m == nil {
			continue
		}
		m.toldAt = d.now
		flags, position := uint64(data[3]), 0.0
		if told := uint64(binary.BigEndian.Uint32(data[3:])) % tellRange; told > 0 {
			present := uint64(max(d.now-d.zero, 0)) + trialMost // no two clocks are quite alike
			position = float64(present) - float64((present-told)%tellRange)
		}
		m.position = max(m.position, position)
		if flags&tellPrimary != 0 && position > 0 {
			d.primarySeen(m, d.zero+position, "peer")
		}
		if flags&tellSilent != 0 {
			if flags&tellCut != 0 || d.now-m.heard > max(2*d.tellGap, trialFirst) {
				d.setAside(m, tellSilent|flags&tellCut, "peer")
			}
			continue
		}
		if ease := float64(flags>>easeShift&31) / easeStep; ease > 0 {
			d.pace(m, d.types[0], ease, false, false)
		}
		if flags&tellGood != 0 {
			if m.heard, m.owed = d.now, 0; m.aside && d.now > m.asideAt+m.pause {
				d.welcome(m, "peer")
			}
		}
	}
}
