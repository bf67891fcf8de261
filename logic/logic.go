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
	probeInterval, idleProbeInterval        = 200.0, 1000.0 // design: probes of a group with an empty slot; with a full one
	probersPerMember, maxOpenOps            = 8.0, 2000     // drivers that probe a member at a time, about; open ops of a group
	trialProbability, unsentWaitFraction    = 0.1, 0.45     // chance of a held write's trial a sweep; of its time, held unsent
	pauseSweeps, gossipBudget               = 20.0, 30000.0 // sweeps missed: a pause; words a second, by threes of drivers
	suspicionLimit, primarySuspicionLimit   = 7.0, 9.0      // usual times owed that set a member aside; that empty the slot
	disconnectLimit                         = 3             // connections broken or refused in a row that set a member aside
	errorRateLimit, errorSmoothing          = 0.5, 0.15     // share of errors that sets aside; weight of one answer in it
	minBackoff, maxBackoff                  = 250.0, 2000.0 // pauses before a member set aside, or a failed call, is tried again
	readWaitFraction                        = 0.04          // of the latency target: a read waits so long for room
	hedgeEarned, maxHedgeBudget             = 0.03, 10.0    // sends beside one that is stuck: earned by a good answer; saved up
	initialWindow, initialLatencyRatio      = 4.0, 2.0      // sends out at a new primary; times over the easy ones there
	windowDecrease, windowFloorFraction     = 0.85, 0.7     // cut of a window; its floor, of what was out while times were easy
	overloadTargetFraction                  = 0.28          // of the latency target: a mean time so long is easy for a member
	overloadBestMultiple, overloadTargetCap = 1.07, 0.6     // and so many times the best mean, up to this share of the target
	certaintyGain, headroom                 = 10.0, 0.5     // how own sends lessen chance; of a primary's window for other reads
	laggingFraction, laggingRatio           = 0.25, 1.2     // of the tightest bound: a replica is behind; times over easy for it
	coldBudgetFraction, shedSlope           = 0.8, 2.0      // of a cold member's budget; chance of refusal for strain
	remoteZonePenalty, latencyPenalty       = 0.3, 0.3      // in sends in flight: for another zone; times over the easy ones
	freshReplicaPenalty                     = 1.0           // sends more for a fresh replica, for reads of any age
	smoothing, lostSendMultiple             = 0.03, 6.0     // weight of an answer; usual times after which a send is lost
)

type opKind struct {
	index                                                               int
	need                                                                Need
	effect                                                              Effect
	scope                                                               Scope
	maxAge, tokenWindow, latencyTarget, value, meanLatency, bestLatency float64 // took: smoothed time of good answers; best: at its lowest
}

type group struct {
	id, serving int64 // serving: members not draining
	members     []*member
	writerslot.Slot[*member]

	filledAt, nextProbeAt, sweptAt, nextPruneAt float64 // when the slot was filled, the group last swept; when members long gone are let go

	openOps                              []*op     // unfinished ops in order of arrival
	trialOp                              *op       // a held write out at a member whose role is not known
	work, workRate, warmWorkRate         float64   // own work answered: since the last sweep; usual ms a ms; the same by warm ones
	lateFraction                         []float64 // per op type: share of ops late or refused for want of room
	latencyRatio, uncertainty, minWarmth float64   // times over the easy ones at replicas; how little own sends tell; least warmth
	lastCommit                           float64   // the last that own writes have seen, for sessions that do not carry theirs
}

type member struct {
	id, zone                                     string
	hash                                         uint32
	group                                        *group
	draining, listedPrimary                      bool    // listed: the list calls it primary
	zonePenalty                                  float64 // of its zone, in sends in flight
	position, replicaSeenAt                      float64 // replicaAt: when it last said that it is a replica
	inFlight, disconnects                        int     // cuts: connections that broke since it was heard of
	heardAt, overdue, suspicion                  float64 // last word; usual times unanswered since: of ended sends, with those out
	errorRate, latencyRatio, uncongestedInFlight float64 // smoothed: share of errors, times over the easy, sends out while so

	overload, gossipRatio, gossipedAt, readmittedAt, backoff, nextTrialAt float64 // over: late, at a replica half of all; ease: own
	startedAt, ejectedAt, unlistedAt                                      float64 // left: the list, 0 while it is there
	window, windowReducedAt, fullUntil, coldCredit, coldCreditAt          float64 // window: sends that may be out; credit: of a cold one

	ejected, gossipPending      bool   // news: to tell peers
	unconfirmed                 bool   // the primary of an earlier run: no write before it has answered as primary
	gossipFlags, disconnectFlag uint64 // the flags that go with it; set aside as connections broke or none came
}

type send struct {
	member         *member
	sentAt         float64
	open, neverRan bool // proved: known never to have run
	weight         int  // as so many in flight: none once it is lost, as its connection fell silent
}

type op struct {
	id    string
	kind  *opKind
	group *group

	arrivedAt, deadline, minPosition, admissionDraw float64 // until: when it is due; luck: a member takes it up to such a share

	sends                                                      []send
	openSends                                                  int     // sends that are out
	faultedBy                                                  *member // that answered it with an error
	queued, done, clientGone, transmitted, noCandidate, missed bool    // stalled: not for want of room; missed: by one behind
}

type Driver struct {
	now, positionZero, minMaxAge, sweepInterval, deadlineMargin float64 // bound: the tightest bound on the age of data
	zone                                                        string
	zonePenalties                                               map[string]float64 // by zone, where a plan says them
	actions                                                     []Action
	rngState                                                    uint64
	opTypes                                                     []*opKind
	members                                                     map[string]*member
	membersByHash                                               map[uint32]*member
	groups                                                      []*group
	groupsByID                                                  map[int64]*group
	ops                                                         map[string]*op

	membersCheckLag, listTracksRole, sessionCarried, probesShowRole, mayCancel, mayOverlap, onlyDrainBinds, noGossip bool // mute: many that can't talk

	hedgeBudget, maxRetryAfter, coldFrom, coldFor, coldRateMultiple, coldRateSpan float64 // spare: further sends; coldPace: a cold one's most

	sendCap, maxGossipEntries                         int
	gossipInterval, minGossipInterval, maxMessageRate float64 // all drivers tell of a member so often, 0: never; at the most often

	nextWatchAt, watchBackoff, resumedAt, messageRate, fleetScale, commitCeiling float64 // woke: from its own pause; crowd: drivers by threes; ceiling: of earlier runs' commits
}

// Step takes what happened at now and returns what is to be done.
func (d *Driver) Step(now float64, events []Event) []Action {
	if now-d.now > pauseSweeps*d.sweepInterval {
		d.resumedAt = now // it stood still itself: that is nobody's silence, and answers' times tell nothing
	}
	d.now, d.actions = now, d.actions[:0]
	timerFired := false
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case EvOpen:
			d.open(ev.Opening)
		case EvMembers:
			d.updateMembers(ev)
		case EvOp:
			d.startOp(ev)
		case EvAnswer:
			d.endSend(ev)
		case EvProbed:
			if m := d.members[ev.Member]; m != nil && ev.Outcome == OK {
				d.observe(m, ev.Report, now-ev.Took-probeInterval, "report")
			}
		case EvGone:
			if o := d.ops[ev.Op]; o != nil && !o.done {
				o.clientGone = true
				d.closeOp(o)
			}
		case EvTimer:
			timerFired = true
		case EvMessage:
			d.receiveGossip(ev.Data)
		case EvRecall:
			d.restoreMemory(ev.Memory)
		case EvRemember:
			d.saveMemory(ev.Memory)
		case EvDrivers:
			d.setDrivers(float64(ev.Drivers))
		case EvTolls:
			d.zonePenalties = ev.Tolls
			for _, m := range d.members {
				m.zonePenalty = d.zonePenalty(m.zone)
			}
		}
	}
	if timerFired { // after the answers that came with the timer
		d.sweep()
		d.emit(Action{Kind: ActTimer, Wait: d.sweepInterval})
	}
	return d.actions
}

func (d *Driver) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Driver) log(format string, args ...any) {
	d.emit(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}

// open derives the figures that decisions use.
func (d *Driver) open(opening *Opening) {
	*d = Driver{now: d.now, actions: d.actions, rngState: opening.Seed, zone: opening.Zone, positionZero: opening.PositionZero,
		members: map[string]*member{}, membersByHash: map[uint32]*member{}, groupsByID: map[int64]*group{},
		ops: map[string]*op{}, sweepInterval: max(opening.Tick, 4), hedgeBudget: maxHedgeBudget / 2, membersCheckLag: opening.Checks != ChecksNone,
		listTracksRole: opening.ListRole == RoleLate, sessionCarried: opening.SessionCarried, probesShowRole: opening.ReportsByProbe && opening.MayProbe,
		mayCancel: opening.MayCancel, mayOverlap: opening.MayOverlap, sendCap: max(opening.SendCap, 1), maxRetryAfter: opening.MaxRetryAfter,
		coldFrom: opening.ColdFrom, coldFor: opening.ColdFor, coldRateMultiple: opening.FallMultiple * coldBudgetFraction, coldRateSpan: opening.FallSpan,
		onlyDrainBinds: opening.OnlyDrainBinds, maxGossipEntries: opening.MaxMessageBytes / entryBytes, maxMessageRate: opening.MaxMessages}
	d.deadlineMargin, d.minMaxAge = d.sweepInterval+2*opening.Tick, math.Inf(1)
	for i, t := range opening.OpTypes {
		d.opTypes = append(d.opTypes, &opKind{index: i, need: t.Need, maxAge: t.MaxAge, effect: t.Effect,
			scope: t.Scope, tokenWindow: t.Window, latencyTarget: t.LatencyTarget,
			meanLatency: t.LatencyTarget / 3, bestLatency: t.LatencyTarget / 3, value: t.Value})
		if t.Need == Bounded {
			d.minMaxAge = min(d.minMaxAge, t.MaxAge)
		}
	}
	if opening.Positions && !d.sessionCarried {
		d.commitCeiling = d.now - d.positionZero // an earlier run may have acknowledged writes up to now
	}
	d.noGossip = opening.Drivers > 1 && !(opening.MayMessage && d.maxGossipEntries > 0)
	d.setDrivers(float64(opening.Drivers))
	if opening.ListOnRequest {
		d.emit(Action{Kind: ActWatch})
	}
	d.emit(Action{Kind: ActTimer, Wait: d.sweepInterval})
}

// fleet follows how many drivers there are: words where they may talk, and shares and what is spread out
// over them, where they may not as well.
func (d *Driver) setDrivers(drivers float64) {
	if d.fleetScale, d.gossipInterval = max(1, drivers/3), 0; drivers > 1 && !d.noGossip {
		d.minGossipInterval = min(max(d.minMaxAge/4, 5*(d.deadlineMargin-d.sweepInterval)), probeInterval) * min(d.fleetScale/3, 1)
		d.gossipInterval = d.minGossipInterval
	}
}

// chance draws from a permuted congruential generator (PCG-XSH-RR), in [0, 1).
func (d *Driver) random() float64 {
	s := d.rngState
	d.rngState = s*6364136223846793005 + 1442695040888963407
	return float64(bits.RotateLeft32(uint32((s>>18^s)>>27), -int(s>>59))) / (1 << 32)
}

func (d *Driver) ensureGroup(id int64) *group {
	g := d.groupsByID[id]
	if g == nil {
		g = &group{id: id, Slot: writerslot.NewSlot[*member](), lastCommit: d.commitCeiling, sweptAt: d.now,
			lateFraction: make([]float64, len(d.opTypes))}
		d.groupsByID[id] = g
		d.groups = append(d.groups, g)
	}
	return g
}

// list keeps up with the member list. Its roles are late or of the day's start: they fill a slot first alone.
func (d *Driver) updateMembers(ev *Event) {
	if ev.List == ListFailed {
		d.watchBackoff = min(max(2*d.watchBackoff, minBackoff), 2*maxBackoff)
		d.nextWatchAt = d.now + d.watchBackoff*(0.5+d.random())
		return
	}
	d.watchBackoff = 0
	listed := map[*member]bool{}
	for i := range ev.Members {
		entry := &ev.Members[i]
		m := d.members[entry.Member]
		if m == nil {
			hash := fnv.New32a()
			hash.Write([]byte(entry.Member))
			m = &member{id: entry.Member, hash: hash.Sum32() >> 8, group: d.ensureGroup(entry.Group), position: -1,
				heardAt: d.now, replicaSeenAt: math.Inf(-1), readmittedAt: math.Inf(-1), window: initialWindow / 2,
				zone: entry.Zone, zonePenalty: d.zonePenalty(entry.Zone)}
			d.members[entry.Member] = m
			m.group.members = append(m.group.members, m)
			_, taken := d.membersByHash[m.hash]
			if d.membersByHash[m.hash] = m; taken {
				d.membersByHash[m.hash] = nil // two members of one hash: peers cannot tell us of either
			}
		}
		listed[m] = true
		g := m.group
		if entry.Phase != Ready {
			d.withdraw(m, entry.Phase)
			continue
		}
		m.draining, m.unlistedAt = false, 0
		if entry.Started > m.startedAt {
			d.beginWarmUp(m, entry.Started)
			if g.Holder == m && entry.Started > g.SeenAt {
				d.emptySlot(m, false, "restarted") // it comes back as a replica
			}
		}
		if entry.Primary && !m.listedPrimary && g.Holder == nil && m.replicaSeenAt <= g.EmptiedAt &&
			(g.LastHolder == nil || d.listTracksRole && g.LastHolder != m) {
			d.fillSlot(m, math.Inf(-1), "list")
		}
		m.listedPrimary = entry.Primary
	}
	if ev.List != ListChanges {
		for _, g := range d.groups {
			for _, m := range g.members {
				if !listed[m] {
					d.withdraw(m, Gone)
				}
			}
		}
	}
}

// recall takes what an earlier run knew as dated evidence: a primary seen within the time of a switch fills
// the slot; one seen before only orders the search, and yields to a list that follows roles.
func (d *Driver) restoreMemory(memory *Memory) {
	d.commitCeiling = max(d.commitCeiling, memory.Ceiling)
	for _, g := range d.groups {
		g.lastCommit = max(g.lastCommit, d.commitCeiling)
	}
	for i, saved := range memory.OpTypes[:min(len(memory.OpTypes), len(d.opTypes))] {
		if saved.Typical > 0 && saved.Best > 0 {
			d.opTypes[i].meanLatency, d.opTypes[i].bestLatency = saved.Typical, min(saved.Best, saved.Typical)
		}
	}
	for _, saved := range memory.Members {
		m := d.members[saved.Member]
		if m == nil || m.group.id != saved.Group {
			continue
		}
		if m.position = max(m.position, saved.Position); saved.Window > 0 {
			m.window = saved.Window
		}
		if saved.StartedAt > 0 && saved.StartedAt >= m.startedAt { // what it may be sent while cold begins at nothing, not anew
			m.startedAt, m.readmittedAt, m.coldCredit, m.coldCreditAt = saved.StartedAt, saved.StartedAt, 0, d.now
		}
		if saved.EjectedAt >= m.startedAt && saved.EjectedAt > 0 && !m.draining {
			m.ejected, m.ejectedAt, m.backoff, m.nextTrialAt = true, saved.EjectedAt, minBackoff, d.jittered(minBackoff)
			if saved.Disconnected {
				m.disconnectFlag = flagDisconnected
			}
			if m.group.Holder == m {
				d.emptySlot(m, true, "recalled as set aside")
			}
		}
	}
	for _, r := range memory.Groups {
		g, m := d.groupsByID[r.Group], d.members[r.Primary]
		if g != nil && r.WorkRate > 0 {
			g.warmWorkRate, g.uncertainty = r.WorkRate, min(d.fleetScale-1, 1) // alike in all drivers that start at once: chance decides
		}
		if g == nil || m == nil || m.group != g || r.SeenAt <= g.SeenAt || m.startedAt > r.SeenAt {
			continue
		}
		if age := d.now - r.SeenAt; r.InSlot && age >= 0 && age < memory.TrustWindow && !m.draining && !m.ejected {
			d.fillSlot(m, r.SeenAt, "recalled")
		} else if g.Holder == nil || !d.listTracksRole {
			g.Holder, g.LastHolder, g.SeenAt, g.EmptiedAt, g.nextProbeAt, m.unconfirmed = nil, m, r.SeenAt, r.SeenAt, d.now, true
			if d.log("group %d: %s was primary, to be asked", g.id, m.id); d.probesShowRole && !m.draining {
				d.emit(Action{Kind: ActProbe, Member: m.id})
			}
			d.probeGroup(g)
		}
	}
}

func (d *Driver) saveMemory(memory *Memory) {
	memory.OpTypes, memory.Groups, memory.Members = memory.OpTypes[:0], memory.Groups[:0], memory.Members[:0]
	for _, t := range d.opTypes {
		memory.OpTypes = append(memory.OpTypes, TypeMemory{Typical: t.meanLatency, Best: t.bestLatency})
	}
	for _, g := range d.groups {
		r := GroupMemory{Group: g.id, InSlot: g.Holder != nil, WorkRate: g.warmWorkRate, LastCommit: g.lastCommit}
		if p := cmp.Or(g.Holder, g.LastHolder); p != nil && !math.IsInf(g.SeenAt, -1) {
			r.Primary, r.SeenAt = p.id, g.SeenAt
		}
		memory.Groups = append(memory.Groups, r)
		for _, m := range g.members {
			r := MemberMemory{Member: m.id, Group: g.id, Position: m.position, StartedAt: m.startedAt, Disconnected: m.disconnectFlag != 0,
				Window: m.window}
			if m.ejected {
				r.EjectedAt = m.ejectedAt
			}
			memory.Members = append(memory.Members, r)
		}
	}
}

// denied says whether no other member can be the primary, as all say that they are replicas or don't answer.
func (g *group) noOtherCandidate(p *member) bool {
	return !slices.ContainsFunc(g.members, func(m *member) bool {
		return m != p && !m.draining && !m.ejected && math.IsInf(m.replicaSeenAt, -1)
	})
}

// leave takes a member out of service: one that drains or is gone gets nothing new from now on.
func (d *Driver) withdraw(m *member, phase Phase) {
	if phase == Gone && m.unlistedAt == 0 {
		m.unlistedAt = d.now
	}
	if !m.draining && (phase != Gone || !d.onlyDrainBinds) { // else the list does not establish which members are up
		if m.draining = true; m.group.Holder == m {
			d.emptySlot(m, false, "drains")
		}
	}
}

// forgets lets go of a member that left the list so long ago that no late word of it comes, with nothing out.
// Where only draining binds, a list may name a drained member as gone much later, and it must not come back
// new: it is kept twenty times as long.
func (d *Driver) prune(m *member) bool {
	retention := max(d.coldFor, 5*maxBackoff)
	if m.draining && d.onlyDrainBinds {
		retention *= 20
	}
	expired := m.unlistedAt > 0 && d.now-m.unlistedAt > retention
	if expired = expired && m.inFlight == 0 && (m.draining || m.ejected) && m.group.Holder != m; expired {
		delete(d.members, m.id)
		delete(d.membersByHash, m.hash)
	}
	return expired
}

func (d *Driver) startOp(ev *Event) {
	k, g := d.opTypes[ev.OpType], d.ensureGroup(ev.Group)
	o := &op{id: ev.Op, kind: k, group: g, arrivedAt: d.now, minPosition: -1, admissionDraw: d.random()}
	o.deadline = d.now + max(ev.Left-d.deadlineMargin, 0)
	if k.need == Session && !d.sessionCarried {
		o.minPosition = g.lastCommit
	} else if k.need == Session && ev.WroteAgo > 0 {
		o.minPosition = d.now - d.positionZero - ev.WroteAgo + 1
	}
	d.ops[o.id], g.openOps = o, append(g.openOps, o)
	if d.shed(o) {
		d.rejectOp(o)
		return
	}
	d.route(o)
}

// turnAway refuses by chance under strain, types that earn little for their work more often. Guards against
// queues in which answers are late, whatever fills them. It could harm where the strain is of one member.
func (d *Driver) shed(o *op) bool {
	probability := o.group.lateFraction[o.kind.index] * shedSlope * (1 + 3*o.group.uncertainty*o.group.uncertainty)
	if probability <= 0 || o.kind.need == Write {
		return false
	}
	mostValuable := slices.MaxFunc(d.opTypes, func(a, b *opKind) int { return cmp.Compare(a.value/a.meanLatency, b.value/b.meanLatency) })
	return d.random() < min(probability*(1.5-o.kind.value/o.kind.meanLatency/(mostValuable.value/mostValuable.meanLatency)), 0.9)
}

// route is the ordinary path of an op: writes and fresh reads go to the writer slot's primary and wait while
// it is empty; other reads go to the replica that is fresh enough and least in use, else to the primary.
func (d *Driver) route(o *op) {
	g := o.group
	if d.now >= o.deadline || len(o.sends) >= d.sendCap && o.openSends == 0 {
		d.rejectOp(o)
		return
	}
	var to *member
	if o.kind.need >= Fresh {
		to = g.Holder
	} else {
		var fresh bool
		if to, fresh = d.pickReplica(o); to == nil && !fresh && d.membersCheckLag && !o.missed {
			to = d.mostAdvanced(o, false)
		}
		mayBeDeposed := d.probesShowRole && o.kind.need == Bounded && g.SeenAt > 0 && d.now-g.SeenAt > o.kind.maxAge // may be deposed
		if p := g.Holder; to == nil && p != nil && !p.ejected && !mayBeDeposed && (!fresh ||
			float64(p.inFlight) < p.window*headroom && (1-o.admissionDraw)*g.uncertainty*g.uncertainty*float64(g.serving) < headroom) {
			to = p // all drivers together spill to it no more than half of a replica's reads
		}
		if to == nil && !fresh && o.kind.need == Any {
			to = d.mostAdvanced(o, true)
		}
		o.noCandidate = o.noCandidate || to == nil && !fresh
	}
	if to != nil && d.maySend(o, to) && d.hasCapacity(to, o) {
		d.send(o, to)
	} else if !o.queued && o.openSends == 0 {
		d.enqueue(o)
	}
}

func (d *Driver) enqueue(o *op) {
	o.queued = true
	if len(o.group.openOps) > maxOpenOps {
		d.rejectOp(o)
	}
}

func (d *Driver) positionWithin(m *member, age float64) bool {
	return m.position >= d.now-d.positionZero-age
}

// fresh says whether what is known of a member's position covers the op's need, were it sent now.
func (d *Driver) isFresh(o *op, m *member) bool {
	k := o.kind
	return k.need == Any || k.need == Bounded && d.positionWithin(m, k.maxAge) ||
		k.need == Session && (o.minPosition <= 0 || m.position >= o.minPosition)
}

// replica is the companion rule: of the replicas fresh enough, that with fewest own sends in flight, a cold
// one counting as smaller. Distance only tips near ties. A member set aside gets one trial when its pause is
// over, by a read that may run again elsewhere. It also says whether any was fresh.
func (d *Driver) pickReplica(o *op) (*member, bool) {
	var best *member
	minLoad, anyFresh := math.Inf(1), false
	for _, m := range o.group.members {
		if m == o.group.Holder || m.draining || o.sentTo(m) {
			continue
		}
		if m.ejected {
			if d.now >= m.nextTrialAt && o.kind.effect == Retryable && o.openSends == 0 && d.hasCapacity(m, o) &&
				(d.membersCheckLag || d.isFresh(o, m)) {
				m.backoff = min(2*m.backoff, maxBackoff)
				m.nextTrialAt = d.jittered(m.backoff)
				return m, true
			}
			continue
		}
		if !d.isFresh(o, m) {
			continue
		}
		anyFresh = true
		if l := d.loadEstimate(m) + d.freshnessPenalty(o, m); l < minLoad && d.hasCapacity(m, o) {
			best, minLoad = m, l
		}
	}
	return best, anyFresh
}

// load is what the companion rule compares: own sends in flight. The fewer they are the more members are
// drawn by chance, in proportion: many drivers know the same of them and must not act as one.
func (d *Driver) loadEstimate(m *member) float64 {
	l := float64(m.inFlight+1)/d.warmth(m) + latencyPenalty*(1+2*m.group.uncertainty)*m.latencyRatio + 0.05*d.random()
	return (l + m.zonePenalty) * math.Pow(-math.Log(1-d.random()), m.group.uncertainty)
}

// toll is what a zone's members cost more: by the plan that holds, or for another zone.
func (d *Driver) zonePenalty(zone string) float64 {
	if penalty, planned := d.zonePenalties[zone]; planned || zone == d.zone {
		return penalty
	}
	return remoteZonePenalty
}

// apart puts reads of any age rather where data is not fresh anyway, as fresh replicas are scarce for others.
func (d *Driver) freshnessPenalty(o *op, m *member) float64 {
	if o.kind.need == Any && d.positionWithin(m, d.minMaxAge) {
		return freshReplicaPenalty
	}
	return 0
}

// farthest is the replica with the newest known position; as a last resort any member, even one set aside.
func (d *Driver) mostAdvanced(o *op, lastResort bool) *member {
	var best *member
	for _, m := range o.group.members {
		if !m.draining && !o.sentTo(m) && (lastResort || m != o.group.Holder && !m.ejected) && d.hasCapacity(m, o) &&
			(best == nil || m.position > best.position) {
			best = m
		}
	}
	return best
}

func (d *Driver) maySend(o *op, m *member) bool {
	return !m.draining && !o.done && len(o.sends) < d.sendCap && (o.openSends == 0 || d.mayOverlap) && d.mayRepeat(o, m)
}

// mayRepeat says whether what an op's earlier sends may have done allows another to m, or anywhere for nil.
func (d *Driver) mayRepeat(o *op, m *member) bool {
	for i := range o.sends {
		s := &o.sends[i]
		if !s.neverRan && o.kind.effect != Retryable && (o.kind.effect == NonRetryable ||
			d.now >= s.sentAt+o.kind.tokenWindow-d.deadlineMargin || m != nil && (o.kind.scope == ScopeGroup && m.group != s.member.group ||
			o.kind.scope == ScopeZone && m.zone != s.member.zone)) {
			return false
		}
	}
	return true
}

func (d *Driver) warmth(m *member) float64 {
	if age := d.now - m.startedAt; m.startedAt > 0 && age < d.coldFor {
		return d.coldFrom + (1-d.coldFrom)*max(age, 0)/d.coldFor
	}
	return 1
}

// chill notes a member's start. Its first credit comes by chance, lest many drivers spend it at once.
func (d *Driver) beginWarmUp(m *member, started float64) {
	m.startedAt, m.coldCredit, m.coldCreditAt = started, d.random()*d.opTypes[0].meanLatency, d.now
}

// admits says whether a member has room: in its window, after its last full reply, and, while it is cold, in
// its budget: a share of the work that this driver has answered by a member on average, so that all stay
// under it.
func (d *Driver) hasCapacity(m *member, o *op) bool {
	k, limit, share := o.kind, m.window, 1.0
	if d.fleetScale > 2 { // hardly a send is out anywhere, no window binds: the mean times that all tell of do
		share = min(1/m.overload, 1)
		if m == m.group.Holder && k.need < Fresh { // writes first, alone while what was held comes
			share *= share * share * math.Floor(min((d.now-m.group.filledAt)/probeInterval, 1))
		}
	}
	if k.need == Write {
		limit, share = 2*limit, 2*share // nowhere else to go; other reads make way first
	}
	if float64(m.inFlight) >= limit || o.admissionDraw >= share || d.now < m.fullUntil {
		return false
	}
	warmth := d.warmth(m)
	if warmth == 1 {
		return true
	}
	coldRate := d.coldRateMultiple * warmth * m.group.warmWorkRate / float64(max(m.group.serving, 1))
	m.coldCredit = min(m.coldCredit+coldRate*(d.now-m.coldCreditAt), max(coldRate*d.coldRateSpan/4, k.meanLatency))
	m.coldCreditAt = d.now
	return m.coldCredit >= k.meanLatency
}

// easy is the mean time of answers above which a member has too much work.
func (d *Driver) overloadLatency(k *opKind) float64 {
	return max(overloadTargetFraction*k.latencyTarget, min(overloadBestMultiple*k.bestLatency, overloadTargetCap*k.latencyTarget))
}

// pace learns from how long an answer took, an own one or a peer's, and moves the window. Guards against
// queues whatever fills them; it could harm where ops turn long by themselves: they then wait here instead of
// there.
func (d *Driver) recordLatency(m *member, k *opKind, ratio float64, full, own bool) {
	g := m.group
	if d.resumedAt == d.now {
		return
	}
	m.latencyRatio += (min(ratio, 5) - m.latencyRatio) * 2 * smoothing
	if m.overload = m.latencyRatio; m != g.Holder {
		g.latencyRatio += (min(ratio, 5) - g.latencyRatio) * 2 * smoothing
		m.overload = (m.latencyRatio + g.latencyRatio) / 2
	}
	if !own {
		return
	}
	if m.gossipRatio, m.gossipPending = ratio, true; full {
		m.fullUntil = d.now + k.meanLatency*d.random()
	}
	if full || m.overload > 1 {
		if d.now-m.windowReducedAt > k.meanLatency {
			m.window, m.windowReducedAt = max(m.window*windowDecrease, 1, m.uncongestedInFlight*windowFloorFraction), d.now
		}
		return
	}
	m.uncongestedInFlight += (float64(m.inFlight+1) - m.uncongestedInFlight) * smoothing / 3
	if float64(m.inFlight+1) >= m.window*headroom {
		m.window += 1 / m.window
	}
}

func (d *Driver) send(o *op, m *member) {
	o.queued = false
	o.sends = append(o.sends, send{member: m, sentAt: d.now, open: true, weight: 1})
	m.inFlight++
	o.openSends++
	m.coldCredit -= o.kind.meanLatency
	d.emit(Action{Kind: ActSend, Op: o.id, Member: m.id, Wait: o.deadline + d.deadlineMargin - d.now})
}

func (o *op) sentTo(m *member) bool {
	return slices.ContainsFunc(o.sends, func(s send) bool { return s.member == m })
}

// answer takes the end of a send.
func (d *Driver) endSend(ev *Event) {
	o := d.ops[ev.Op]
	if o == nil || ev.Send < 0 || ev.Send >= len(o.sends) || !o.sends[ev.Send].open {
		return
	}
	s := &o.sends[ev.Send]
	m := s.member
	s.open = false
	m.inFlight -= s.weight
	o.openSends--
	neverSent := ev.Outcome == ConnectFailed || ev.Outcome == Moot
	s.neverRan, o.transmitted = neverSent || ev.Outcome == Miss || ev.Outcome == Full, o.transmitted || !neverSent
	if note := ev.Note; ev.Outcome == OK || ev.Outcome == Miss || ev.Outcome == Full || ev.Outcome == Fault {
		m.heardAt, m.overdue, m.disconnects = d.now, 0, 0
		if o.kind.need == Write && note.Position > 0 {
			note.Position-- // commits are rounded up
		}
		d.observe(m, note, s.sentAt, "answer")
		d.observe(m, ev.Report, s.sentAt-probeInterval, "report")
	}
	switch ev.Outcome {
	case OK:
		d.recordSuccess(o, m, s.sentAt, ev)
	case TimedOut, Cancelled:
		if s.weight > 0 {
			d.recordLatency(m, o.kind, (d.now-s.sentAt)/d.overloadLatency(o.kind), false, true) // the member may still be at work on it
		}
		m.overdue += (d.now - max(s.sentAt, m.heardAt, d.resumedAt)) / o.kind.meanLatency
	case ConnectFailed, Reset:
		recent := ev.Outcome == Reset || m.inFlight > 0 || d.now-m.heardAt < 2*max(d.gossipInterval, o.kind.meanLatency)
		if m.disconnects++; s.sentAt >= m.readmittedAt && (!recent || m.inFlight == 0 && m.disconnects >= disconnectLimit) {
			d.eject(m, flagSilent|flagDisconnected, "connection") // the dead break and refuse all; some break alone
		} else if ev.Outcome == ConnectFailed {
			d.recordLatency(m, o.kind, 1, true, true) // it serves on connections that it has; new ones are slow or few
		}
	case Fault:
		if o.faultedBy != nil && !o.done && o.openSends == 0 {
			d.rejectOp(o) // two members failed it: the fault follows the op
		}
		o.faultedBy = m
	case Full:
		d.recordLatency(m, o.kind, 1, true, true)
	case Miss:
		o.missed = true
		if o.kind.need == Write && m.group.Holder == m {
			d.emptySlot(m, false, "miss")
		}
	}
	switch {
	case o.done:
		if o.openSends == 0 {
			delete(d.ops, o.id)
		}
	case ev.Closed:
		d.closeOp(o)
	case ev.Outcome == TimedOut && d.now >= o.deadline:
		d.rejectOp(o)
	case o.openSends > 0:
	case ev.Outcome == Full:
		d.enqueue(o) // the next sweep tries again, elsewhere if it can
	case d.mayRepeat(o, nil):
		d.route(o)
	default:
		d.rejectOp(o) // what may have run and may not run again is given up at once
	}
}

func (d *Driver) recordSuccess(o *op, m *member, sentAt float64, ev *Event) {
	latency := d.now - sentAt
	m.errorRate -= m.errorRate * errorSmoothing
	if f := o.faultedBy; f != nil { // an error is a member's only where another answers the op well
		if o.faultedBy, f.errorRate = nil, f.errorRate+(1-f.errorRate)*errorSmoothing; f.errorRate > errorRateLimit {
			d.eject(f, 0, "errors")
		}
	}
	if d.resumedAt < d.now {
		o.kind.meanLatency += (latency - o.kind.meanLatency) * smoothing
	}
	m.gossipPending, m.gossipFlags = true, flagGood
	d.hedgeBudget = min(d.hedgeBudget+hedgeEarned, maxHedgeBudget)
	o.group.work += o.kind.meanLatency
	bestRise := smoothing / 20
	if m.window <= max(1, m.uncongestedInFlight*windowFloorFraction) {
		bestRise = smoothing // it can't be this driver's sends that make the member slow
	}
	o.kind.bestLatency = min(o.kind.bestLatency+(o.kind.meanLatency-o.kind.bestLatency)*bestRise, o.kind.meanLatency)
	ratio := latency / d.overloadLatency(o.kind)
	if m != o.group.Holder && !d.positionWithin(m, d.minMaxAge*laggingFraction) {
		ratio = max(ratio, laggingRatio) // crowded: its log waits for the cores; it could harm where the log alone is slow
	}
	d.recordLatency(m, o.kind, ratio, false, true)
	d.readmit(m, "answers")
	if ev.Opened > 0 && ev.Opened < m.startedAt && m.startedAt == m.readmittedAt {
		m.startedAt = 0 // its connection is older than the start that its return was taken for
	}
	d.recordLateness(o, min(math.Floor((d.now-o.arrivedAt)/o.kind.latencyTarget), 1))
	if o.kind.need == Write {
		o.group.lastCommit = max(o.group.lastCommit, ev.Note.Position)
	}
}

func (d *Driver) recordLateness(o *op, late float64) {
	if !o.done && !o.noCandidate && o.kind.need != Write {
		fraction := &o.group.lateFraction[o.kind.index]
		*fraction += (late - *fraction) * 2 * smoothing
	}
}

// learn takes role and position, as old as the position (a primary stands at the present) or else the asking.
func (d *Driver) observe(m *member, sight Sight, askedAt float64, source string) {
	if sight.Position > m.position {
		m.position, m.gossipPending = sight.Position, true
	}
	observedAt := askedAt
	if sight.Position > 0 {
		observedAt = d.positionZero + sight.Position
	}
	if sight.Role == Primary {
		d.observePrimary(m, observedAt, source)
	} else if sight.Role == Replica && (source != "report" || observedAt >= m.group.SeenAt) {
		m.replicaSeenAt = d.now
		if m.group.Holder == m {
			d.emptySlot(m, false, "replica")
		}
	}
}

func (d *Driver) observePrimary(m *member, when float64, source string) {
	if g := m.group; g.Accepts(m, when, m.replicaSeenAt, m.draining, m.heardAt == d.now) { // a silent one may speak again
		d.fillSlot(m, when, source)
	}
}

func (d *Driver) fillSlot(m *member, when float64, source string) {
	g := m.group
	if g.Holder != nil || g.LastHolder != nil && (g.LastHolder != m || d.now-g.EmptiedAt >= minBackoff) { // all let go of writes
		m.window, m.latencyRatio = min(m.window, initialWindow), max(m.latencyRatio, min(initialLatencyRatio, d.fleetScale-1))
		g.filledAt, m.overload = d.now, m.latencyRatio
	}
	g.Fill(m, when)
	d.readmit(m, source)
	if m.gossipPending, m.unconfirmed = true, false; source == "answer" || source == "report" {
		m.gossipedAt = d.now - d.gossipInterval // the others wait for this word
	}
	d.log("group %d: %s is primary (%s), %d open", g.id, m.id, source, len(g.openOps))
	d.routeQueued(g)
}

func (d *Driver) emptySlot(m *member, unresponsive bool, reason string) {
	g := m.group
	g.Clear(d.now, unresponsive)
	g.nextProbeAt = d.now
	d.log("group %d: slot emptied, %s: %s", g.id, m.id, reason)
	d.probeGroup(g)
}

func (d *Driver) probeGroup(g *group) {
	if !d.probesShowRole || d.now < g.nextProbeAt {
		return
	}
	probability := probersPerMember / (3 * d.fleetScale) // what one finds, all are told
	if d.noGossip {                                      // many, and nobody to tell: each asks for itself, and only for what waits
		if g.Holder != nil || !slices.ContainsFunc(g.openOps, func(o *op) bool { return o.queued }) {
			return
		}
		probability = 1
	}
	if g.nextProbeAt = d.now + probeInterval; g.Holder != nil {
		g.nextProbeAt = d.now + idleProbeInterval
	}
	for _, m := range g.members {
		if !m.draining && d.random() < probability {
			d.emit(Action{Kind: ActProbe, Member: m.id})
		}
	}
}

// release routes held ops, oldest first, those that can still meet their latency target before the others,
// lest every op of a long queue be late. It could harm old ops under lasting want of room.
func (d *Driver) routeQueued(g *group) {
	for _, late := range [...]bool{false, true} {
		for _, o := range g.openOps {
			if o.queued && !o.done && late == (d.now-o.arrivedAt+o.kind.meanLatency > o.kind.latencyTarget) {
				d.route(o)
			}
		}
	}
}

// setAside keeps ops from a member that does not answer, breaks connections or fails what it is sent, and
// empties the slot of a silent or dead primary. It could harm where one member's times rise at once.
func (d *Driver) eject(m *member, flags uint64, reason string) {
	if !m.ejected {
		m.gossipFlags = 0 // what was good of it is no news any more
	}
	if flags != 0 && reason != "peer" && (!m.ejected || flags&flagDisconnected > m.disconnectFlag) {
		m.gossipPending, m.gossipFlags, m.gossipedAt = true, flags, d.now-d.gossipInterval // peers took one set aside for silent, not dead
	}
	if m.disconnectFlag |= flags & flagDisconnected; m.ejected {
		return
	}
	if m.backoff == 0 || d.now-m.readmittedAt > 10*m.backoff {
		m.backoff = minBackoff
	}
	m.ejected, m.ejectedAt, m.nextTrialAt = true, d.now, d.jittered(m.backoff)
	d.log("group %d: %s set aside: %s", m.group.id, m.id, reason)
	if flags != 0 && m.group.Holder == m {
		d.emptySlot(m, true, reason)
	}
}

// after is a time to act after a pause, for many drivers spread so that they act together as often as three.
func (d *Driver) jittered(pause float64) float64 {
	return d.now + pause*(1+2*(d.fleetScale-1)*d.random())
}

func (d *Driver) readmit(m *member, source string) {
	if !m.ejected {
		return
	}
	if d.now-m.ejectedAt >= minBackoff { // sooner it was a false alarm
		if m.window = min(m.window, initialWindow); m.disconnectFlag != 0 && m.startedAt < m.ejectedAt { // it has started again
			d.beginWarmUp(m, d.now)
		}
	}
	m.ejected, m.disconnectFlag, m.disconnects, m.readmittedAt, m.heardAt, m.errorRate, m.overdue = false, 0, 0, d.now, d.now, 0, 0
	d.log("group %d: %s is back (%s)", m.group.id, m.id, source)
}

// finish gives an op its final answer: busy where that is true, an error where it may have run.
func (d *Driver) rejectOp(o *op) {
	mayHaveRun := slices.ContainsFunc(o.sends, func(s send) bool { return !s.neverRan })
	if !mayHaveRun || o.kind.effect == Retryable || o.kind.effect == Tokened && o.kind.scope == ScopeAll {
		wait := 0.0
		if o.group.Holder == nil {
			wait = min(probeInterval, d.maxRetryAfter)
		}
		d.emit(Action{Kind: ActRefuse, Op: o.id, Wait: wait})
	} else {
		d.emit(Action{Kind: ActFail, Op: o.id})
	}
	d.closeOp(o)
}

func (d *Driver) closeOp(o *op) {
	o.queued, o.done = false, true
	for i := range o.sends {
		if wait := 0.0; o.sends[i].open && d.mayCancel {
			if o.clientGone { // cut off, its connection would be lost with it; the member may run it all the same
				wait = o.kind.latencyTarget
			}
			d.emit(Action{Kind: ActCancel, Op: o.id, Send: i, Wait: wait})
		}
	}
	if o.openSends == 0 {
		delete(d.ops, o.id)
	}
}

func (d *Driver) sweep() {
	for _, g := range d.groups {
		elapsed := d.now - g.sweptAt
		if len(g.openOps) == 0 && elapsed < probeInterval {
			continue // nothing of its own is there: now and then is enough, however many groups there are
		}
		if g.sweptAt = d.now; d.now >= g.nextPruneAt {
			g.members, g.nextPruneAt = slices.DeleteFunc(g.members, d.prune), d.now+maxBackoff
		}
		d.detectSilence(g)
		d.probeGroup(g)
		if elapsed > 0 {
			g.workRate += (g.work/elapsed - g.workRate) * min(elapsed/max(d.coldRateSpan, 5*probeInterval)/min(d.fleetScale, 4), 1)
			if g.work = 0; g.workRate > g.warmWorkRate || g.minWarmth == 1 {
				g.warmWorkRate = g.workRate // while members are cold, what they got before they were replaced holds
			}
			g.uncertainty = min(d.fleetScale-1, 1) / (1 + certaintyGain*g.warmWorkRate/float64(max(g.serving, 1)))
		}
		d.routeQueued(g)
		for _, o := range g.openOps {
			if !o.done {
				d.sweepOp(o)
			}
		}
		g.openOps = slices.DeleteFunc(g.openOps, func(o *op) bool { return o.done && o.openSends == 0 })
		for i := range g.lateFraction {
			speedup := max(1, min(d.fleetScale, 8)*(1-g.latencyRatio)) // few answers each, but word of all that members are
			g.lateFraction[i] -= g.lateFraction[i] * min(smoothing*elapsed/probeInterval*speedup, 1)
		}
	}
	if d.nextWatchAt > 0 && d.now >= d.nextWatchAt {
		d.nextWatchAt = 0
		d.emit(Action{Kind: ActWatch})
	}
	if d.gossipInterval > 0 {
		decay := d.sweepInterval / (2 * idleProbeInterval)
		if d.messageRate -= d.messageRate * 2 * decay; d.messageRate > cmp.Or(d.maxMessageRate, gossipBudget/d.fleetScale) {
			d.gossipInterval *= 1 + decay // what all drivers together are sent stays bounded, however many they are
		} else {
			d.gossipInterval = max(d.gossipInterval*(1-decay), d.minGossipInterval)
		}
		d.sendGossip()
	}
}

func (d *Driver) sweepOp(o *op) {
	switch {
	case d.now >= o.deadline || o.queued && (!o.transmitted && d.now-o.arrivedAt > unsentWaitFraction*(o.deadline-o.arrivedAt) ||
		!d.mayRepeat(o, nil)):
		d.rejectOp(o) // its time or its token has run out; unsent, its client still has time to ask again
	case o.queued && o.kind.need < Fresh && (!o.noCandidate && d.now-o.arrivedAt > readWaitFraction*o.kind.latencyTarget ||
		d.now-o.arrivedAt+o.kind.meanLatency > o.kind.latencyTarget):
		d.recordLateness(o, 1)
		d.rejectOp(o) // while a further try by the client can still be in time
	case o.queued:
		d.tryAsPrimary(o)
	case d.mayOverlap && o.kind.effect != NonRetryable && d.hedgeBudget >= 1:
		newestSentAt := 0.0
		for i := range o.sends {
			if s := &o.sends[i]; s.open && !s.member.ejected {
				return
			} else if s.open {
				newestSentAt = max(newestSentAt, s.sentAt)
			}
		}
		if sendsBefore := len(o.sends); d.now-newestSentAt >= min(2*o.kind.meanLatency, o.kind.latencyTarget) {
			d.route(o) // all that it waits for are set aside
			d.hedgeBudget -= float64(len(o.sends) - sendsBefore)
		}
	}
}

// tryRole lets one held write at a time try members not heard of late, where no probe can tell the primary.
func (d *Driver) tryAsPrimary(o *op) {
	g := o.group
	if g.Holder != nil || g.trialOp != nil && g.trialOp.openSends > 0 || d.probesShowRole || o.kind.need != Write ||
		d.random()*(d.fleetScale-1) > trialProbability {
		return
	}
	if p := g.LastHolder; p != nil && p.unconfirmed && !p.draining && !p.ejected && g.noOtherCandidate(p) {
		d.fillSlot(p, g.SeenAt, "no other is")
		return
	}
	for _, m := range g.members {
		if m.ejected || m.unconfirmed || d.now-max(m.replicaSeenAt, g.EmptiedAt) < probeInterval || !d.maySend(o, m) ||
			!d.hasCapacity(m, o) || len(o.sends) >= d.sendCap-1 {
			continue
		}
		g.trialOp = o
		d.send(o, m)
		return
	}
}

// silence sets aside a member that owes more than chance explains: at the usual rate, no answer comes for so
// long with a chance of e to minus the sum. It must stand out, lest a shared slowdown pass for it.
func (d *Driver) detectSilence(g *group) {
	totalSuspicion, busyMembers := 0.0, 0.0
	g.serving, g.minWarmth = 0, 1
	for _, m := range g.members {
		m.suspicion = m.overdue
		totalSuspicion += m.overdue
		busyMembers += min(float64(m.inFlight), 1)
		if !m.draining {
			g.minWarmth = min(g.minWarmth, d.warmth(m))
			g.serving++
		}
	}
	for _, o := range g.openOps {
		for i := range o.sends {
			if s := &o.sends[i]; s.open {
				overdue := (d.now - max(s.sentAt, s.member.heardAt, d.resumedAt)) / o.kind.meanLatency
				s.member.suspicion += overdue
				totalSuspicion += overdue
				if s.member.heardAt > s.sentAt && d.now-s.sentAt > lostSendMultiple*o.kind.meanLatency { // others got answers since
					s.member.inFlight -= s.weight
					s.weight = 0
				}
			}
		}
	}
	for _, m := range g.members {
		limit := suspicionLimit + 2*(totalSuspicion-m.suspicion)/max(busyMembers-1, 1)
		if m == g.Holder {
			limit += primarySuspicionLimit - suspicionLimit
		}
		if m.suspicion >= limit {
			d.eject(m, flagSilent, "silent")
		}
	}
}

const (
	flagPrimary, flagGood, flagSilent, flagDisconnected, ratioShift = 1, 2, 4, 2, 3   // good and silent: cut off
	positionRange, ratioScale, entryBytes                           = 1 << 24, 6.0, 7 // 24 bits for hash and position
)

// tell sends peers what own sends taught, of members that no driver told of for a while: so the fleet's
// messages follow its members and not its drivers. It could harm only as far as a peer lies: positions never
// go back, roles are dated by them, and silence is believed only of a member that nobody heard from.
func (d *Driver) sendGossip() {
	var data []byte
	for _, g := range d.groups {
		for _, m := range g.members {
			news := m.gossipPending && d.now >= m.gossipedAt+d.gossipInterval && len(data) < d.maxGossipEntries*entryBytes
			if m.gossipPending = false; !news {
				continue // were it kept, all who have some would tell it at once
			}
			flags, position := m.gossipFlags|uint64(min(m.gossipRatio*ratioScale, 31))<<ratioShift, uint64(0)
			if g.Holder == m {
				flags |= flagPrimary
			}
			if m.position > 0 && d.positionWithin(m, positionRange/2) {
				position = uint64(m.position) % positionRange
			}
			m.gossipFlags, m.gossipRatio, m.gossipedAt = 0, 0, d.now
			entry := binary.BigEndian.AppendUint64(nil, uint64(m.hash)<<32|flags<<24|position)
			data = append(data, entry[8-entryBytes:]...)
		}
	}
	if len(data) > 0 {
		d.emit(Action{Kind: ActMessage, Data: data})
	}
}

func (d *Driver) receiveGossip(data []byte) {
	d.messageRate++
	for ; len(data) >= entryBytes; data = data[entryBytes:] {
		m := d.membersByHash[binary.BigEndian.Uint32(data)>>8]
		if m == nil {
			continue
		}
		m.gossipedAt = d.now
		flags, position := uint64(data[3]), 0.0
		if lowBits := uint64(binary.BigEndian.Uint32(data[3:])) % positionRange; lowBits > 0 {
			present := uint64(max(d.now-d.positionZero, 0)) + maxBackoff // no two clocks are quite alike
			position = float64(present) - float64((present-lowBits)%positionRange)
		}
		m.position = max(m.position, position)
		if flags&flagPrimary != 0 && position > 0 {
			d.observePrimary(m, d.positionZero+position, "peer")
		}
		if flags&flagSilent != 0 {
			if flags&flagDisconnected != 0 || d.now-m.heardAt > max(2*d.gossipInterval, minBackoff) {
				d.eject(m, flagSilent|flags&flagDisconnected, "peer")
			}
			continue
		}
		if ratio := float64(flags>>ratioShift&31) / ratioScale; ratio > 0 {
			d.recordLatency(m, d.opTypes[0], ratio, false, false)
		}
		if flags&flagGood != 0 {
			if m.heardAt, m.overdue = d.now, 0; m.ejected && d.now > m.ejectedAt+m.backoff {
				d.readmit(m, "peer")
			}
		}
	}
}
