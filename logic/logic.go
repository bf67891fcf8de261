package logic // see doc.go for an overview

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

// Times are in milliseconds. Latency limits are multiples of observed latencies or of values in Opening. docs/design.md gives the probe intervals.
const (
	probeInterval, idleProbeInterval        = 200.0, 1000.0 // between probes of a group: while its writer slot is empty; while it is filled
	probersPerMember                        = 8.0           // approximate number of drivers that probe a member at the same time
	maxOpenOps                              = 2000          // unfinished ops of a group above which no further op is queued
	trialProbability                        = 0.1           // that a sweep tries a queued write at a possible primary; divided by fleetScale-1
	unsentWaitFraction                      = 0.45          // of an op's time limit: maximum time for which an op is queued that was never transmitted
	pauseSweeps                             = 20.0          // sweep intervals without a step, after which the driver itself counts as having been paused
	gossipBudget                            = 30000.0       // messages received per second, times fleetScale, above which drivers gossip less often
	suspicionLimit, primarySuspicionLimit   = 7.0, 9.0      // suspicion at which a member is ejected; at which the primary is ejected and the slot emptied
	disconnectLimit                         = 3             // consecutive broken or refused connections after which a member is ejected
	errorRateLimit, errorSmoothing          = 0.5, 0.15     // smoothed error rate above which a member is ejected; weight of one answer in it
	minBackoff, maxBackoff                  = 250.0, 2000.0 // before an ejected member or a failed list request is tried again
	readWaitFraction                        = 0.04          // of the latency target: maximum time for which a read is queued for capacity
	hedgeEarned, maxHedgeBudget             = 0.03, 10.0    // hedged sends that each good answer adds to the budget; maximum of the budget
	initialWindow, initialLatencyRatio      = 4.0, 2.0      // of a new primary: maximum of its window; minimum of its latency ratio
	windowDecrease, windowFloorFraction     = 0.85, 0.7     // factor at overload; fraction of uncongestedInFlight that a window doesn't go below
	overloadTargetFraction                  = 0.28          // of the latency target: a mean latency below this is never overload
	overloadBestMultiple, overloadTargetCap = 1.07, 0.6     // otherwise overload begins at this multiple of the best mean latency; but at most at this fraction of the latency target
	certaintyGain                           = 10.0          // how strongly this driver's work per member (warmWorkRate) reduces uncertainty
	headroom                                = 0.5           // fraction of a window in use: above it the window grows; below it the primary also gets reads that replicas could answer
	laggingFraction, laggingRatio           = 0.25, 1.2     // of minMaxAge: a replica that lags more counts as overloaded; minimum latency ratio of such a replica
	coldBudgetFraction                      = 0.8           // of FallMultiple, the load at which a cold member fails
	shedSlope                               = 2.0           // shedding probability per lateFraction
	remoteZonePenalty, latencyPenalty       = 0.3, 0.3      // added to the load estimate, in sends in flight: for another zone; per unit of latency ratio
	freshReplicaPenalty                     = 1.0           // added to the load estimate of a fresh replica for reads of any age, in sends in flight
	smoothing                               = 0.03          // weight of one answer in smoothed values
	lostSendMultiple                        = 6.0           // of the mean latency: a send without an answer for longer counts as lost if the member has answered others
)

type opKind struct {
	index                                     int
	need                                      Need
	effect                                    Effect
	scope                                     Scope
	maxAge, tokenWindow, latencyTarget, value float64
	meanLatency, bestLatency                  float64 // of successful answers: smoothed mean; minimum of that mean, which slowly rises towards it again
}

type group struct {
	id, serving int64 // serving: number of members that are not draining
	members     []*member
	writerslot.Slot[*member]

	filledAt, sweptAt        float64 // when the slot last got a new primary; when the group was last swept
	nextProbeAt, nextPruneAt float64 // when probes are due; when unlisted members are pruned

	openOps                      []*op     // unfinished ops in order of arrival
	trialOp                      *op       // the last queued write that was sent to a member whose role is not known
	work, workRate, warmWorkRate float64   // answered work of this driver: milliseconds since the last sweep; smoothed rate; that rate, not reduced while a member is cold
	lateFraction                 []float64 // per op type: smoothed fraction of reads that are late or refused for lack of capacity
	latencyRatio                 float64   // smoothed over the answers of all replicas
	uncertainty                  float64   // of load estimates, 0 to 1: high if this driver sends little in a large fleet
	minWarmth                    float64   // the lowest warmth of the serving members
	lastCommit                   float64   // highest commit position of this driver's writes, for sessions that don't carry their own
}

type member struct {
	id, zone                string
	hash                    uint32 // identifies the member in peers' messages
	group                   *group
	draining, listedPrimary bool    // draining: drains or is gone, so it gets no new ops. listedPrimary: the member list names it as primary
	zonePenalty             float64 // for the load estimate, in sends in flight
	position, replicaSeenAt float64 // newest known position; when it last reported that it is a replica
	inFlight, disconnects   int     // sends of this driver in flight; broken or refused connections since the last answer
	heardAt                 float64 // when it last answered this driver or a peer
	overdue                 float64 // time that ended sends waited since heardAt without an answer, in mean latencies
	suspicion               float64 // overdue plus the same time of open sends, as in an accrual failure detector
	errorRate, latencyRatio float64 // smoothed
	uncongestedInFlight     float64 // smoothed sends in flight while the member was not overloaded

	overload                           float64 // smoothed latency ratio; for a replica the mean of its own and that of all replicas. Above 1: overloaded
	gossipRatio, gossipedAt            float64 // newest latency ratio seen by this driver, 0 once it was gossiped; when any driver last gossiped about the member
	readmittedAt, backoff, nextTrialAt float64 // when the last ejection ended; pause between trial ops while ejected; when the next trial op is due
	startedAt, ejectedAt, unlistedAt   float64 // unlistedAt: when the list first called it gone, 0 while it is listed
	window, windowReducedAt            float64 // maximum number of sends in flight; when it was last reduced
	fullUntil                          float64 // after a reply that it is full: time before which it gets no sends
	coldCredit, coldCreditAt           float64 // work that a cold member may still get, in milliseconds; when it was last topped up

	ejected, gossipPending      bool   // gossipPending: there is something to gossip
	unconfirmed                 bool   // primary recalled from an earlier run: gets no write before it has answered as primary
	gossipFlags, disconnectFlag uint64 // flags of the next gossip; flagDisconnected if it was ejected because connections broke or were refused, else 0
}

type send struct {
	member         *member
	sentAt         float64
	open, neverRan bool // neverRan: the member certainly did not run the op
	weight         int  // in member.inFlight: 1, or 0 once the send counts as lost
}

type op struct {
	id    string
	kind  *opKind
	group *group

	arrivedAt, deadline        float64
	minPosition, admissionDraw float64 // position that a session read needs; random number in [0, 1): a member takes the op if its share is larger

	sends                    []send
	openSends                int
	faultedBy                *member // answered the last send with an error
	queued, done, clientGone bool
	transmitted, missed      bool // transmitted: a send may have reached a member. missed: a member lacked the role or position to answer
	noCandidate              bool // it was queued because no member qualified, not for lack of capacity
}

// Driver is the decision module of one driver. The first event of a zero Driver must be EvOpen.
type Driver struct {
	now, positionZero, minMaxAge  float64 // minMaxAge: the smallest MaxAge of the bounded op types
	sweepInterval, deadlineMargin float64 // deadlineMargin: time before an op's deadline, or the end of its token window, that is left unused
	zone                          string
	zonePenalties                 map[string]float64 // by zone; set while a plan is in force
	actions                       []Action
	rngState                      uint64
	opTypes                       []*opKind
	members                       map[string]*member
	membersByHash                 map[uint32]*member
	groups                        []*group
	groupsByID                    map[int64]*group
	ops                           map[string]*op

	membersCheckLag, listTracksRole, sessionCarried, probesShowRole, mayCancel, mayOverlap bool
	ignoreGone, noGossip                                                                   bool // ignoreGone: Gone in the list may be wrong. noGossip: there are peers, but no messages can be exchanged

	hedgeBudget, maxRetryAfter, coldCapacity, warmUpTime, coldBudgetMultiple, coldBudgetSpan float64 // coldCapacity: fraction at its start; coldBudgetMultiple: budget of a cold member, relative to the mean work per member

	sendCap, maxGossipEntries                         int
	gossipInterval, minGossipInterval, maxMessageRate float64 // gossipInterval: between messages of any driver about the same member, 0 if none are sent

	nextWatchAt, watchBackoff, resumedAt, messageRate float64 // resumedAt: end of the last pause of the driver itself; messageRate: messages received per second
	fleetScale, commitCeiling                         float64 // fleetScale: a third of the number of drivers, at least 1; commitCeiling: maximum position of commits of earlier runs
}

// Step takes the events up to now, in milliseconds, and returns the actions to carry out. The slice is valid until the next call.
func (d *Driver) Step(now float64, events []Event) []Action {
	if now-d.now > pauseSweeps*d.sweepInterval {
		d.resumedAt = now // the driver itself was paused: members weren't silent, and latencies measured across the pause are meaningless
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
	if timerFired { // after the answers that arrived in the same step
		d.sweep()
		d.emit(Action{Kind: ActTimer, Wait: d.sweepInterval})
	}
	return d.actions
}

func (d *Driver) emit(a Action) { d.actions = append(d.actions, a) }

func (d *Driver) log(format string, args ...any) {
	d.emit(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}

// open resets the driver and applies the options.
func (d *Driver) open(opening *Opening) {
	*d = Driver{now: d.now, actions: d.actions, rngState: opening.Seed, zone: opening.Zone, positionZero: opening.PositionZero, members: map[string]*member{},
		membersByHash: map[uint32]*member{}, groupsByID: map[int64]*group{}, ops: map[string]*op{}, sweepInterval: max(opening.Tick, 4),
		hedgeBudget: maxHedgeBudget / 2, membersCheckLag: opening.Checks != ChecksNone, listTracksRole: opening.ListRole == RoleLate,
		sessionCarried: opening.SessionCarried, probesShowRole: opening.ReportsByProbe && opening.MayProbe, mayCancel: opening.MayCancel,
		mayOverlap: opening.MayOverlap, sendCap: max(opening.SendCap, 1), maxRetryAfter: opening.MaxRetryAfter, coldCapacity: opening.ColdFrom, warmUpTime: opening.ColdFor,
		coldBudgetMultiple: opening.FallMultiple * coldBudgetFraction, coldBudgetSpan: opening.FallSpan, ignoreGone: opening.OnlyDrainBinds,
		maxGossipEntries: opening.MaxMessageBytes / entryBytes, maxMessageRate: opening.MaxMessages}
	d.deadlineMargin, d.minMaxAge = d.sweepInterval+2*opening.Tick, math.Inf(1)
	for i, t := range opening.OpTypes {
		d.opTypes = append(d.opTypes, &opKind{index: i, need: t.Need, maxAge: t.MaxAge, effect: t.Effect, scope: t.Scope, tokenWindow: t.Window,
			latencyTarget: t.LatencyTarget, meanLatency: t.LatencyTarget / 3, bestLatency: t.LatencyTarget / 3, value: t.Value})
		if t.Need == Bounded {
			d.minMaxAge = min(d.minMaxAge, t.MaxAge)
		}
	}
	if opening.Positions && !d.sessionCarried {
		d.commitCeiling = d.now - d.positionZero // an earlier run may have acknowledged writes until now
	}
	d.noGossip = opening.Drivers > 1 && !(opening.MayMessage && d.maxGossipEntries > 0)
	d.setDrivers(float64(opening.Drivers))
	if opening.ListOnRequest {
		d.emit(Action{Kind: ActWatch})
	}
	d.emit(Action{Kind: ActTimer, Wait: d.sweepInterval})
}

// setDrivers sets the fleet scale for a number of drivers, and the gossip interval if they can exchange messages.
func (d *Driver) setDrivers(drivers float64) {
	if d.fleetScale, d.gossipInterval = max(1, drivers/3), 0; drivers > 1 && !d.noGossip {
		d.minGossipInterval = min(max(d.minMaxAge/4, 5*(d.deadlineMargin-d.sweepInterval)), probeInterval) * min(d.fleetScale/3, 1)
		d.gossipInterval = d.minGossipInterval
	}
}

// random returns a number in [0, 1) from a permuted congruential generator (PCG-XSH-RR).
func (d *Driver) random() float64 {
	s := d.rngState
	d.rngState = s*6364136223846793005 + 1442695040888963407
	return float64(bits.RotateLeft32(uint32((s>>18^s)>>27), -int(s>>59))) / (1 << 32)
}

func (d *Driver) ensureGroup(id int64) *group {
	g := d.groupsByID[id]
	if g == nil {
		g = &group{id: id, Slot: writerslot.NewSlot[*member](), lastCommit: d.commitCeiling, sweptAt: d.now, lateFraction: make([]float64, len(d.opTypes))}
		d.groupsByID[id] = g
		d.groups = append(d.groups, g)
	}
	return g
}

// updateMembers applies the member list. Its roles are late, so the listed primary fills only a slot that was never filled or, if the list tracks roles, one that last held another member.
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
			m = &member{id: entry.Member, hash: hash.Sum32() >> 8, group: d.ensureGroup(entry.Group), position: -1, heardAt: d.now,
				replicaSeenAt: math.Inf(-1), readmittedAt: math.Inf(-1), window: initialWindow / 2, zone: entry.Zone, zonePenalty: d.zonePenalty(entry.Zone)}
			d.members[entry.Member] = m
			m.group.members = append(m.group.members, m)
			_, taken := d.membersByHash[m.hash]
			if d.membersByHash[m.hash] = m; taken {
				d.membersByHash[m.hash] = nil // a hash collision: messages of peers about either member are ambiguous and ignored
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
				d.emptySlot(m, false, "restarted") // a restarted primary comes back as a replica
			}
		}
		if entry.Primary && !m.listedPrimary && g.Holder == nil && m.replicaSeenAt <= g.EmptiedAt && (g.LastHolder == nil || d.listTracksRole && g.LastHolder != m) {
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

// restoreMemory uses the state saved by an earlier run as dated evidence. A primary seen within the trust window fills the slot, as no other can
// have been promoted since. One seen earlier is only probed before other members, and yields to a member list that tracks roles.
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
		if saved.StartedAt > 0 && saved.StartedAt >= m.startedAt { // the cold budget starts empty: a restart of the driver grants no new one
			m.startedAt, m.readmittedAt, m.coldCredit, m.coldCreditAt = saved.StartedAt, saved.StartedAt, 0, d.now
		}
		if saved.EjectedAt >= m.startedAt && saved.EjectedAt > 0 && !m.draining {
			m.ejected, m.ejectedAt, m.backoff, m.nextTrialAt = true, saved.EjectedAt, minBackoff, d.jitter(minBackoff)
			if saved.Disconnected {
				m.disconnectFlag = flagDisconnected
			}
			if m.group.Holder == m {
				d.emptySlot(m, true, "recalled as set aside")
			}
		}
	}
	for _, saved := range memory.Groups {
		g, m := d.groupsByID[saved.Group], d.members[saved.Primary]
		if g != nil && saved.WorkRate > 0 {
			g.warmWorkRate, g.uncertainty = saved.WorkRate, min(d.fleetScale-1, 1) // drivers that start together have the same information, so their choices must be random
		}
		if g == nil || m == nil || m.group != g || saved.SeenAt <= g.SeenAt || m.startedAt > saved.SeenAt {
			continue
		}
		if age := d.now - saved.SeenAt; saved.InSlot && age >= 0 && age < memory.TrustWindow && !m.draining && !m.ejected {
			d.fillSlot(m, saved.SeenAt, "recalled")
		} else if g.Holder == nil || !d.listTracksRole {
			g.Holder, g.LastHolder, g.SeenAt, g.EmptiedAt, g.nextProbeAt, m.unconfirmed = nil, m, saved.SeenAt, saved.SeenAt, d.now, true
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
		saved := GroupMemory{Group: g.id, InSlot: g.Holder != nil, WorkRate: g.warmWorkRate, LastCommit: g.lastCommit}
		if p := cmp.Or(g.Holder, g.LastHolder); p != nil && !math.IsInf(g.SeenAt, -1) {
			saved.Primary, saved.SeenAt = p.id, g.SeenAt
		}
		memory.Groups = append(memory.Groups, saved)
		for _, m := range g.members {
			saved := MemberMemory{Member: m.id, Group: g.id, Position: m.position, StartedAt: m.startedAt, Disconnected: m.disconnectFlag != 0, Window: m.window}
			if m.ejected {
				saved.EjectedAt = m.ejectedAt
			}
			memory.Members = append(memory.Members, saved)
		}
	}
}

// noOtherCandidate reports whether no member except p can be the primary: each of the others has reported that it is a replica, drains or is ejected.
func (g *group) noOtherCandidate(p *member) bool {
	return !slices.ContainsFunc(g.members, func(m *member) bool {
		return m != p && !m.draining && !m.ejected && math.IsInf(m.replicaSeenAt, -1)
	})
}

// withdraw takes a member that drains or is gone out of service: it gets no new sends.
func (d *Driver) withdraw(m *member, phase Phase) {
	if phase == Gone && m.unlistedAt == 0 {
		m.unlistedAt = d.now
	}
	if !m.draining && (phase != Gone || !d.ignoreGone) { // with ignoreGone the list does not establish which members are up
		if m.draining = true; m.group.Holder == m {
			d.emptySlot(m, false, "drains")
		}
	}
}

// prune deletes a member that left the list so long ago that no late evidence of it can arrive, and reports whether it did. With ignoreGone,
// drained members are kept twenty times as long: a list may show one as gone much later, and it must not be mistaken for a new member.
func (d *Driver) prune(m *member) bool {
	retention := max(d.warmUpTime, 5*maxBackoff)
	if m.draining && d.ignoreGone {
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

// shed reports whether to refuse a read at random because many reads are late; op types with a low value per unit of work are refused more often.
// This keeps queues short regardless of the cause, but sheds too much if a single member causes the overload.
func (d *Driver) shed(o *op) bool {
	probability := o.group.lateFraction[o.kind.index] * shedSlope * (1 + 3*o.group.uncertainty*o.group.uncertainty)
	if probability <= 0 || o.kind.need == Write {
		return false
	}
	mostValuable := slices.MaxFunc(d.opTypes, func(a, b *opKind) int { return cmp.Compare(a.value/a.meanLatency, b.value/b.meanLatency) })
	return d.random() < min(probability*(1.5-o.kind.value/o.kind.meanLatency/(mostValuable.value/mostValuable.meanLatency)), 0.9)
}

// route sends or queues an op: writes and fresh reads go to the primary in the writer slot and are queued while it is empty;
// other reads go to the least loaded replica that is fresh enough, else to the primary.
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
		mayBeDeposed := d.probesShowRole && o.kind.need == Bounded && g.SeenAt > 0 && d.now-g.SeenAt > o.kind.maxAge // no evidence within the bound that it is still primary
		if primary := g.Holder; to == nil && primary != nil && !primary.ejected && !mayBeDeposed && (!fresh ||
			float64(primary.inFlight) < primary.window*headroom && (1-o.admissionDraw)*g.uncertainty*g.uncertainty*float64(g.serving) < headroom) {
			to = primary // all drivers together move at most half of one replica's reads to the primary
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

func (d *Driver) lagWithin(m *member, ms float64) bool { return m.position >= d.now-d.positionZero-ms }

// isFresh reports whether a member's newest known position satisfies the need of an op that is sent to it now.
func (d *Driver) isFresh(o *op, m *member) bool {
	k := o.kind
	return k.need == Any || k.need == Bounded && d.lagWithin(m, k.maxAge) || k.need == Session && (o.minPosition <= 0 || m.position >= o.minPosition)
}

// pickReplica returns the replica with the lowest load estimate among those that are fresh enough and have capacity, nil for none,
// and reports whether any was fresh enough. An ejected member gets one trial op when its backoff has passed: a read that can be retried.
func (d *Driver) pickReplica(o *op) (*member, bool) {
	var best *member
	minLoad, anyFresh := math.Inf(1), false
	for _, m := range o.group.members {
		if m == o.group.Holder || m.draining || o.sentTo(m) {
			continue
		}
		if m.ejected {
			if d.now >= m.nextTrialAt && o.kind.effect == Retryable && o.openSends == 0 && d.hasCapacity(m, o) && (d.membersCheckLag || d.isFresh(o, m)) {
				m.backoff = min(2*m.backoff, maxBackoff)
				m.nextTrialAt = d.jitter(m.backoff)
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

// loadEstimate estimates a member's load from this driver's sends in flight, relative to its warmth, and from its latency and zone. The fewer
// sends this driver has, the more the estimate is randomised: drivers with the same information must not all choose the same member.
func (d *Driver) loadEstimate(m *member) float64 {
	load := float64(m.inFlight+1)/d.warmth(m) + latencyPenalty*(1+2*m.group.uncertainty)*m.latencyRatio + 0.05*d.random()
	return (load + m.zonePenalty) * math.Pow(-math.Log(1-d.random()), m.group.uncertainty)
}

// zonePenalty returns the amount added to the load estimate of a zone's members: that of the plan in force, else a fixed one for zones other than the driver's.
func (d *Driver) zonePenalty(zone string) float64 {
	if penalty, planned := d.zonePenalties[zone]; planned || zone == d.zone {
		return penalty
	}
	return remoteZonePenalty
}

// freshnessPenalty makes reads of any age prefer lagging replicas, as other reads have only the fresh ones to choose from.
func (d *Driver) freshnessPenalty(o *op, m *member) float64 {
	if o.kind.need == Any && d.lagWithin(m, d.minMaxAge) {
		return freshReplicaPenalty
	}
	return 0
}

// mostAdvanced returns the replica with the newest known position; with lastResort it also considers the primary and ejected members.
func (d *Driver) mostAdvanced(o *op, lastResort bool) *member {
	var best *member
	for _, m := range o.group.members {
		if !m.draining && !o.sentTo(m) && (lastResort || m != o.group.Holder && !m.ejected) && d.hasCapacity(m, o) && (best == nil || m.position > best.position) {
			best = m
		}
	}
	return best
}

func (d *Driver) maySend(o *op, m *member) bool {
	return !m.draining && !o.done && len(o.sends) < d.sendCap && (o.openSends == 0 || d.mayOverlap) && d.mayRepeat(o, m)
}

// mayRepeat reports whether an op may be sent to m, or to any member if m is nil, although its earlier sends may have run.
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

// warmth returns the fraction of its full capacity that a member has while it warms up, 1 after that.
func (d *Driver) warmth(m *member) float64 {
	if age := d.now - m.startedAt; m.startedAt > 0 && age < d.warmUpTime {
		return d.coldCapacity + (1-d.coldCapacity)*max(age, 0)/d.warmUpTime
	}
	return 1
}

// beginWarmUp records a member's start. The first cold credit is random, so that drivers don't all spend it at the same time.
func (d *Driver) beginWarmUp(m *member, started float64) {
	m.startedAt, m.coldCredit, m.coldCreditAt = started, d.random()*d.opTypes[0].meanLatency, d.now
}

// hasCapacity reports whether a member may get an op: its window has room, it didn't just reply that it is full, and, while it is cold, it has
// budget left. The budget is proportional to this driver's mean work per member, so that all drivers together stay below the limit.
func (d *Driver) hasCapacity(m *member, o *op) bool {
	k, limit, share := o.kind, m.window, 1.0
	if d.fleetScale > 2 { // one driver's sends hardly fill a window: the latency ratios that drivers gossip limit the ops instead
		share = min(1/m.overload, 1)
		if m == m.group.Holder && k.need < Fresh { // reads that replicas can answer yield to writes, and get no share just after the slot was filled, while queued writes are sent
			share *= share * share * math.Floor(min((d.now-m.group.filledAt)/probeInterval, 1))
		}
	}
	if k.need == Write {
		limit, share = 2*limit, 2*share // only the primary takes writes: reads are limited first
	}
	if float64(m.inFlight) >= limit || o.admissionDraw >= share || d.now < m.fullUntil {
		return false
	}
	warmth := d.warmth(m)
	if warmth == 1 {
		return true
	}
	coldRate := d.coldBudgetMultiple * warmth * m.group.warmWorkRate / float64(max(m.group.serving, 1))
	m.coldCredit = min(m.coldCredit+coldRate*(d.now-m.coldCreditAt), max(coldRate*d.coldBudgetSpan/4, k.meanLatency))
	m.coldCreditAt = d.now
	return m.coldCredit >= k.meanLatency
}

// overloadLatency returns the mean latency of an op type above which a member counts as overloaded.
func (d *Driver) overloadLatency(k *opKind) float64 {
	return max(overloadTargetFraction*k.latencyTarget, min(overloadBestMultiple*k.bestLatency, overloadTargetCap*k.latencyTarget))
}

// recordLatency records the latency ratio of an answer to this driver or a peer and adapts the window. This keeps members' queues short
// regardless of the cause; if the ops themselves take longer, it only moves the wait from the member to the driver.
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

// endSend processes the end of a send, and closes the op, routes it again or rejects it.
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
			note.Position-- // commit positions are rounded up
		}
		d.observe(m, note, s.sentAt, "answer")
		d.observe(m, ev.Report, s.sentAt-probeInterval, "report")
	}
	switch ev.Outcome {
	case OK:
		d.recordSuccess(o, m, s.sentAt, ev)
	case TimedOut, Cancelled:
		if s.weight > 0 {
			d.recordLatency(m, o.kind, (d.now-s.sentAt)/d.overloadLatency(o.kind), false, true) // the member may still be running it
		}
		m.overdue += (d.now - max(s.sentAt, m.heardAt, d.resumedAt)) / o.kind.meanLatency
	case ConnectFailed, Reset:
		recent := ev.Outcome == Reset || m.inFlight > 0 || d.now-m.heardAt < 2*max(d.gossipInterval, o.kind.meanLatency)
		if m.disconnects++; s.sentAt >= m.readmittedAt && (!recent || m.inFlight == 0 && m.disconnects >= disconnectLimit) {
			d.eject(m, flagSilent|flagDisconnected, "connection") // a dead member breaks or refuses all connections; a single connection may break for other reasons
		} else if ev.Outcome == ConnectFailed {
			d.recordLatency(m, o.kind, 1, true, true) // it answers on existing connections, so it only lacks capacity for new ones
		}
	case Fault:
		if o.faultedBy != nil && !o.done && o.openSends == 0 {
			d.rejectOp(o) // two members returned an error: the op itself is the cause
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
		d.enqueue(o) // the next sweep tries again, at another member if possible
	case d.mayRepeat(o, nil):
		d.route(o)
	default:
		d.rejectOp(o) // it may have run and must not run again
	}
}

func (d *Driver) recordSuccess(o *op, m *member, sentAt float64, ev *Event) {
	latency := d.now - sentAt
	m.errorRate -= m.errorRate * errorSmoothing
	if f := o.faultedBy; f != nil { // an error counts against a member only if another one answers the op
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
		bestRise = smoothing // with a window this small, this driver's sends can't be the cause of the latency
	}
	o.kind.bestLatency = min(o.kind.bestLatency+(o.kind.meanLatency-o.kind.bestLatency)*bestRise, o.kind.meanLatency)
	ratio := latency / d.overloadLatency(o.kind)
	if m != o.group.Holder && !d.lagWithin(m, d.minMaxAge*laggingFraction) {
		ratio = max(ratio, laggingRatio) // lag is attributed to a lack of CPU for applying the log, which is wrong if only the log transfer is slow
	}
	d.recordLatency(m, o.kind, ratio, false, true)
	d.readmit(m, "answers")
	if ev.Opened > 0 && ev.Opened < m.startedAt && m.startedAt == m.readmittedAt {
		m.startedAt = 0 // the connection is older than the start that was inferred when the member was readmitted
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

// observe records a member's role and position. They are dated by the position, as a primary's position is the current time, or by askedAt if there is none.
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

func (d *Driver) observePrimary(m *member, observedAt float64, source string) {
	if g := m.group; g.Accepts(m, observedAt, m.replicaSeenAt, m.draining, m.heardAt == d.now) { // heardAt == now: the member itself has just answered; after silence only that counts
		d.fillSlot(m, observedAt, source)
	}
}

func (d *Driver) fillSlot(m *member, observedAt float64, source string) {
	g := m.group
	if g.Holder != nil || g.LastHolder != nil && (g.LastHolder != m || d.now-g.EmptiedAt >= minBackoff) { // the primary is new: all drivers now send it their queued writes
		m.window, m.latencyRatio = min(m.window, initialWindow), max(m.latencyRatio, min(initialLatencyRatio, d.fleetScale-1))
		g.filledAt, m.overload = d.now, m.latencyRatio
	}
	g.Fill(m, observedAt)
	d.readmit(m, source)
	if m.gossipPending, m.unconfirmed = true, false; source == "answer" || source == "report" {
		m.gossipedAt = d.now - d.gossipInterval // peers need to know the new primary: gossip is due at once
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
	probability := probersPerMember / (3 * d.fleetScale) // what one driver finds, it gossips to all
	if d.noGossip {                                      // every driver must probe for itself, but only if a queued op needs the result
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

// routeQueued routes queued ops: first those that can still meet their latency target, then the others, each oldest first. Otherwise all ops
// of a long queue would be late. Under a lasting lack of capacity this delays old ops further.
func (d *Driver) routeQueued(g *group) {
	for _, late := range [...]bool{false, true} {
		for _, o := range g.openOps {
			if o.queued && !o.done && late == (d.now-o.arrivedAt+o.kind.meanLatency > o.kind.latencyTarget) {
				d.route(o)
			}
		}
	}
}

// eject stops sends to a member that is silent, breaks connections or returns errors, and empties the slot if it was a silent or dead primary.
// A sudden rise of a single member's latency can be mistaken for silence. flags are gossiped to peers, unless they are 0.
func (d *Driver) eject(m *member, flags uint64, reason string) {
	if !m.ejected {
		m.gossipFlags = 0 // good answers that were not gossiped yet are out of date
	}
	if flags != 0 && reason != "peer" && (!m.ejected || flags&flagDisconnected > m.disconnectFlag) {
		m.gossipPending, m.gossipFlags, m.gossipedAt = true, flags, d.now-d.gossipInterval // also if it was ejected as silent and is now known to be dead
	}
	if m.disconnectFlag |= flags & flagDisconnected; m.ejected {
		return
	}
	if m.backoff == 0 || d.now-m.readmittedAt > 10*m.backoff {
		m.backoff = minBackoff
	}
	m.ejected, m.ejectedAt, m.nextTrialAt = true, d.now, d.jitter(m.backoff)
	d.log("group %d: %s set aside: %s", m.group.id, m.id, reason)
	if flags != 0 && m.group.Holder == m {
		d.emptySlot(m, true, reason)
	}
}

// jitter returns the time after a wait that is randomly extended, so that a whole fleet acts about as often as three drivers.
func (d *Driver) jitter(wait float64) float64 { return d.now + wait*(1+2*(d.fleetScale-1)*d.random()) }

func (d *Driver) readmit(m *member, source string) {
	if !m.ejected {
		return
	}
	if d.now-m.ejectedAt >= minBackoff { // after a shorter ejection, it is assumed to have been a false alarm
		if m.window = min(m.window, initialWindow); m.disconnectFlag != 0 && m.startedAt < m.ejectedAt { // a restart is inferred
			d.beginWarmUp(m, d.now)
		}
	}
	m.ejected, m.disconnectFlag, m.disconnects, m.readmittedAt, m.heardAt, m.errorRate, m.overdue = false, 0, 0, d.now, d.now, 0, 0
	d.log("group %d: %s is back (%s)", m.group.id, m.id, source)
}

// rejectOp sends an op's final reply: busy if the op certainly didn't run or may run again, else an error.
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
			if o.clientGone { // a cancellation closes the connection, and the member may run the op anyway: give it some time to finish
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
			continue // groups without open ops are swept less often, as there may be many
		}
		if g.sweptAt = d.now; d.now >= g.nextPruneAt {
			g.members, g.nextPruneAt = slices.DeleteFunc(g.members, d.prune), d.now+maxBackoff
		}
		d.detectSilence(g)
		d.probeGroup(g)
		if elapsed > 0 {
			g.workRate += (g.work/elapsed - g.workRate) * min(elapsed/max(d.coldBudgetSpan, 5*probeInterval)/min(d.fleetScale, 4), 1)
			if g.work = 0; g.workRate > g.warmWorkRate || g.minWarmth == 1 {
				g.warmWorkRate = g.workRate // while members are cold, the rate from before their restart is kept
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
			speedup := max(1, min(d.fleetScale, 8)*(1-g.latencyRatio)) // this driver gets few answers, but peers gossip that replicas are fast
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
			d.gossipInterval *= 1 + decay // bounds the number of messages regardless of the size of the fleet
		} else {
			d.gossipInterval = max(d.gossipInterval*(1-decay), d.minGossipInterval)
		}
		d.sendGossip()
	}
}

func (d *Driver) sweepOp(o *op) {
	switch {
	case d.now >= o.deadline || o.queued && (!o.transmitted && d.now-o.arrivedAt > unsentWaitFraction*(o.deadline-o.arrivedAt) || !d.mayRepeat(o, nil)):
		d.rejectOp(o) // its deadline or token window has passed, or it was never transmitted and its client still has time to retry
	case o.queued && o.kind.need < Fresh && (!o.noCandidate && d.now-o.arrivedAt > readWaitFraction*o.kind.latencyTarget ||
		d.now-o.arrivedAt+o.kind.meanLatency > o.kind.latencyTarget):
		d.recordLateness(o, 1)
		d.rejectOp(o) // early enough for a retry by the client to be in time
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
			d.route(o) // all members with an open send are ejected: hedge
			d.hedgeBudget -= float64(len(o.sends) - sendsBefore)
		}
	}
}

// tryAsPrimary sends one queued write at a time to members that may be the primary, if probes don't show roles. A Miss proves that the write didn't run.
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

// detectSilence ejects members whose answers have been missing for too long to be chance: at the usual rate of answers, a silence this long has
// probability exp(-suspicion). The limit rises with the other members' suspicion, so that a slowdown of all members is not mistaken for silence.
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
				if s.member.heardAt > s.sentAt && d.now-s.sentAt > lostSendMultiple*o.kind.meanLatency { // later sends were answered
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
	flagPrimary, flagGood, flagSilent, flagDisconnected, ratioShift = 1, 2, 4, 2, 3   // flagDisconnected is set only with flagSilent, so it can share its bit with flagGood
	positionRange, ratioScale, entryBytes                           = 1 << 24, 6.0, 7 // 24 bits each for hash and position; latency ratios in sixths
)

// sendGossip gossips about members that no driver gossiped about for gossipInterval, so that the number of messages grows with the members, not the drivers.
// False reports do little harm: positions never decrease, roles are dated by positions, and silence counts only if this driver knows of no recent answer.
func (d *Driver) sendGossip() {
	var data []byte
	for _, g := range d.groups {
		for _, m := range g.members {
			due := m.gossipPending && d.now >= m.gossipedAt+d.gossipInterval && len(data) < d.maxGossipEntries*entryBytes
			if m.gossipPending = false; !due {
				continue // not kept for later, or all drivers with something to gossip would send it when the interval ends
			}
			flags, position := m.gossipFlags|uint64(min(m.gossipRatio*ratioScale, 31))<<ratioShift, uint64(0)
			if g.Holder == m {
				flags |= flagPrimary
			}
			if m.position > 0 && d.lagWithin(m, positionRange/2) {
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
			present := uint64(max(d.now-d.positionZero, 0)) + maxBackoff // allows for clock skew
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
