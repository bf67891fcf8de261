package logic

// A Driver is the decision module for one driver of a cluster. Give a zero Driver an EvOpen event first; then
// call Step with the clock (milliseconds) and all that has happened since the last call, in order, and carry
// out the actions it returns, in order. The types at its door are in api.go. It keeps no clock, no
// goroutines and nothing outside itself. docs/design.md tells which parts come from the design.
//
// The ordinary path of an op is route. Six mechanisms stand beside the design:
//  1. silence: a member that owes more answers than chance explains is set aside, and empties the slot;
//  2. setting aside for errors and dead connections, return by peers' word, own trial or its own answer;
//  3. further sends: where the op's effect allows, for sends that failed, are stuck or are late, on a budget;
//  4. slow start: a refilled slot, a returned member and a cold member take work at a growing pace;
//  5. turning away: under strain new ops are refused by chance, the cheaper for their work more often;
//  6. word to peers: short messages with positions, the primary seen and members that answer well.

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"math/bits"
)

// Tuned values. Those that weigh time are multiples of what is observed or of the opening's own figures.
const (
	probeEvery   = 200.0 // design: probes of a group whose slot is empty
	probeIdle    = 5.0   // the same while it is full: one in so many
	heldCap      = 2000  // design: ops that one group may hold
	silentReads  = 7.0   // answers owed, in times usually taken, before a replica is set aside
	silentWrites = 9.0   // the same before the slot is emptied
	errorLimit   = 0.5   // share of errors that sets a member aside
	trialFirst   = 250.0 // first wait before a member set aside gets a trial
	trialMost    = 2000.0
	holdShare    = 0.1 // of the latency target: how long a read waits for room before it is refused
	lateShare    = 0.5 // of the latency target: a send this old may get a second copy
	copyShare    = 0.1 // further sends beside one that is out, per good answer, and how many may be saved up
	copyMost     = 10.0
	startWindow  = 4.0  // sends that may be out at a member that has just come to its place
	easyShare    = 0.28 // of the latency target: a member whose answers take longer on average has too much
	floorShare   = 0.7  // of the sends usually out while times were easy: a window shrinks no further
	easyMost     = 0.6
	easyLeast    = 1.15 // but not less than so many times the best smoothed time
	shrink       = 0.85
	headroom     = 0.5 // share of its window up to which a primary takes other reads
	coldShare    = 0.6 // of the budget that a cold member can bear
	strainFree   = 0.08
	strainSlope  = 1.5
	farPenalty   = 0.3 // in sends in flight
	apartShare   = 0.2 // of the replicas take the long reads
	apartFresh   = 1.0 // reads of any age: so many sends in flight more at a replica that is fresh
	smooth       = 0.03
)

type opKind struct {
	index                 int
	need                  Need
	effect                Effect
	scope                 Scope
	maxAge, window        float64
	target, value, lateBy float64 // lateBy: the share of value that a late answer earns
	took, best            float64 // smoothed time of good answers; the same at its lowest, rising slowly
}

type group struct {
	id              int64
	members         []*member
	slot            *member // the writer slot: the believed primary, nil while empty
	last            *member // who was in the slot when it was emptied
	seen            float64 // time of the newest evidence that filled the slot
	emptied         float64
	silent          bool  // emptied by silence or a dead connection, not by the member's own word
	live            []*op // unfinished ops in order of arrival
	held, serving   int   // ops held; members not draining
	probeAt         float64
	trial           *op       // a held write out at a member whose role is not known
	work, rate      float64   // own work answered: since the last sweep, and smoothed, in usual ms a ms
	strain          []float64 // per op type: share of ops late or refused for want of room
	late            float64   // times over the easy ones at the replicas
	forgotten       float64   // commits up to here may have left the sessions' memory
	sessions, older map[int64]float64
}

type member struct {
	id, zone               string
	hash                   uint32
	group                  *group
	far                    bool
	started                float64
	draining, gone, listed bool    // listed: the list calls it primary
	position, replicaAt    float64 // replicaAt: when it last said that it is a replica
	inFlight               int
	heard, owed            float64 // last word of any kind; unanswered time since then of sends that ended, in usual times
	quiet                  float64 // the same with the sends that are out
	errors, late           float64 // smoothed: share of errors, times over the easy ones
	aside                  bool
	asideAt, backAt        float64
	pause, trialAt         float64
	window, cutAt, fullAt  float64 // sends that may be out, when that was last cut, and no sends before fullAt
	proven                 float64 // sends usually out while times were easy
	credit, creditAt       float64 // work that a cold member may still get
	news, good             bool    // what peers may be told
}

type send struct {
	to     *member
	at     float64
	open   bool
	proved bool // known never to have run
}

type op struct {
	id             string
	kind           *opKind
	group          *group
	session        int64
	arrived, until float64 // its final answer is due by until
	needPos        float64 // a session read's position
	sends          []send
	out            int // sends that are out
	held, done     bool
	stalled        bool // it waited for a primary or a position, not for room
	missed         bool // a replica was too far behind for it
}

// Driver decides for one driver.
type Driver struct {
	now                       float64
	out                       []Action
	state                     uint64
	types                     []*opKind
	members                   map[string]*member
	byHash                    map[uint32]*member
	groups                    []*group
	groupOf                   map[int64]*group
	ops                       map[string]*op
	spare                     float64 // second copies that may be sent
	zone                      string
	zero                      float64
	sweepGap, margin, swept   float64
	bound                     float64 // the tightest bound on the age of data
	checks, roleLate, carried bool
	reports, cancels, overlap bool
	drainOnly, watching       bool
	advise                    float64
	sendCap, tellMost         int
	coldFrom, coldFor         float64
	coldPace, coldSpan        float64 // coldPace: multiple of its capacity that a cold member is sent at most
	tellEvery, tellAt         float64 // 0: no messages
	watchAt, watchWait        float64
}

// Step takes what happened at now and returns what is to be done.
func (d *Driver) Step(now float64, events []Event) []Action {
	d.now, d.out = now, d.out[:0]
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
			d.probed(ev)
		case EvGone:
			if o := d.ops[ev.Op]; o != nil && !o.done {
				d.close(o)
			}
		case EvTimer:
			d.sweep()
			d.act(Action{Kind: ActTimer, Wait: d.sweepGap})
		case EvMessage:
			d.hear(ev.Data)
		}
	}
	return d.out
}

func (d *Driver) act(a Action) { d.out = append(d.out, a) }

func (d *Driver) log(format string, args ...any) {
	d.act(Action{Kind: ActLog, Text: fmt.Sprintf(format, args...)})
}

// open derives the figures that decisions use.
func (d *Driver) open(p *Opening) {
	*d = Driver{now: d.now, out: d.out, state: p.Seed, zone: p.Zone, zero: p.PositionZero, swept: d.now,
		members: map[string]*member{}, byHash: map[uint32]*member{}, groupOf: map[int64]*group{},
		ops: map[string]*op{}, sweepGap: max(p.Tick, 4), checks: p.Checks != ChecksNone,
		roleLate: p.ListRole == RoleLate, carried: p.SessionCarried,
		reports: p.ReportsByProbe && p.MayProbe, cancels: p.MayCancel,
		overlap: p.MayOverlap, sendCap: max(p.SendCap, 1), coldFrom: p.ColdFrom, coldFor: p.ColdFor,
		coldPace: p.FallMultiple * coldShare, coldSpan: p.FallSpan, drainOnly: p.OnlyDrainBinds,
		tellMost: p.MaxMessageBytes / entryBytes, watching: p.ListOnRequest}
	d.margin = d.sweepGap + 2*p.Tick
	d.chance()
	if p.MayAdviseRetry {
		d.advise = p.MaxRetryAfter
	}
	bound := math.Inf(1)
	for i, t := range p.OpTypes {
		d.types = append(d.types, &opKind{index: i, need: t.Need, maxAge: t.MaxAge, effect: t.Effect, scope: t.Scope,
			window: t.Window, target: t.LatencyTarget, lateBy: t.LateValue,
			took: t.LatencyTarget / 3, best: t.LatencyTarget / 3, value: t.Value})
		if t.Need == Bounded {
			bound = min(bound, t.MaxAge)
		}
	}
	d.bound = bound
	if p.MayMessage && p.Drivers > 1 && d.tellMost > 0 {
		d.tellEvery = min(max(bound/4, 10*p.Tick), probeEvery) * max(1, float64(p.Drivers-1)/3)
		d.tellAt = d.now + d.tellEvery*d.chance()
	}
	if d.watching {
		d.act(Action{Kind: ActWatch})
	}
	d.act(Action{Kind: ActTimer, Wait: d.sweepGap})
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
		g = &group{id: id, seen: math.Inf(-1), emptied: math.Inf(-1), sessions: map[int64]float64{}, forgotten: -1,
			strain: make([]float64, len(d.types))}
		d.groupOf[id] = g
		d.groups = append(d.groups, g)
	}
	return g
}

// list keeps up with the member list. What it says of roles is late or of the start of the day, so it fills
// only a slot that nothing newer has spoken about.
func (d *Driver) list(ev *Event) {
	if ev.List == ListFailed {
		d.watchWait = min(max(2*d.watchWait, trialFirst), 2*trialMost)
		d.watchAt = d.now + d.watchWait*(0.5+d.chance())
		return
	}
	if ev.List != ListCached {
		d.watchWait = 0
	}
	named := map[*member]bool{}
	for i := range ev.Members {
		e := &ev.Members[i]
		m := d.members[e.Member]
		if m == nil {
			h := fnv.New32a()
			h.Write([]byte(e.Member))
			m = &member{id: e.Member, hash: h.Sum32(), group: d.groupAt(e.Group), position: -1,
				heard: d.now, replicaAt: math.Inf(-1), started: e.Started, backAt: math.Inf(-1), window: 0.5 * startWindow}
			m.zone, m.far = e.Zone, e.Zone != d.zone
			d.members[e.Member] = m
			m.group.members = append(m.group.members, m)
			if _, taken := d.byHash[m.hash]; taken {
				d.byHash[m.hash] = nil // two members of one hash: peers cannot tell us of either
			} else {
				d.byHash[m.hash] = m
			}
		}
		named[m] = true
		g := m.group
		if e.Phase != Ready {
			d.leave(m, e.Phase)
			continue
		}
		m.draining, m.gone = false, false
		if e.Started > m.started {
			m.started = e.Started
			m.credit, m.creditAt = 0, d.now
			if g.slot == m && e.Started > g.seen {
				d.empty(m, false, "restarted") // a primary that starts again comes back as a replica
			}
		}
		newly := e.Primary && !m.listed
		m.listed = e.Primary
		if newly && g.slot == nil && g.last != m && m.replicaAt <= g.emptied && (d.roleLate || g.last == nil) {
			d.fill(m, math.Inf(-1), "list")
		}
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

// leave takes a member out of service: one that drains or is gone gets nothing new from now on.
func (d *Driver) leave(m *member, p Phase) {
	if p == Gone && !m.draining && d.drainOnly {
		return // such a list does not establish which members are up
	}
	m.draining, m.gone = true, p == Gone
	if m.group.slot == m {
		d.empty(m, false, "drains")
	}
}

// take accepts a new op.
func (d *Driver) take(ev *Event) {
	k := d.types[ev.OpType]
	g := d.groupAt(ev.Group)
	o := &op{id: ev.Op, kind: k, group: g, session: ev.Session, arrived: d.now}
	o.until = d.now + max(ev.Left-d.margin, 0)
	if k.need == Session {
		o.needPos = -1
		if !d.carried {
			at, ok := g.sessions[o.session]
			if !ok {
				at, ok = g.older[o.session]
			}
			if !ok {
				at = g.forgotten
			}
			o.needPos = at
		} else if ev.WroteAgo > 0 {
			o.needPos = d.now - d.zero - ev.WroteAgo + 1
		}
	}
	d.ops[o.id] = o
	g.live = append(g.live, o)
	if d.turnAway(o) {
		d.finish(o)
		return
	}
	d.route(o)
}

// turnAway refuses by chance under strain. A type that earns little for its work is refused more often.
// Guards against queues in which every answer is late: bursts, overload, a shared slowdown, client retries.
// It could harm where the strain is of one member only, which is why held and repeated ops do not count.
func (d *Driver) turnAway(o *op) bool {
	p := (o.group.strain[o.kind.index] - strainFree) * strainSlope
	if p <= 0 || o.kind.need == Write {
		return false
	}
	best := 0.0
	for _, k := range d.types {
		best = max(best, k.value/k.took)
	}
	cheap := 1 - o.kind.value/o.kind.took/best
	return d.chance() < min(p*(0.5+cheap), 0.9)
}

// route is the ordinary path of an op: writes and fresh reads go to the writer slot's primary and wait while
// it is empty; other reads go to the replica that is fresh enough and least in use, else to the primary.
func (d *Driver) route(o *op) {
	g := o.group
	if d.now >= o.until {
		d.finish(o)
		return
	}
	if len(o.sends) >= d.sendCap {
		if o.out == 0 {
			d.finish(o)
		}
		return
	}
	var to *member
	if o.kind.need >= Fresh {
		to = g.slot
	} else {
		var fresh bool
		if to, fresh = d.replica(o); to == nil && !fresh && d.checks && !o.missed {
			to = d.advanced(o)
		}
		if p := g.slot; to == nil && p != nil && !p.aside && (!fresh || float64(p.inFlight) < p.window*headroom) &&
			!(fresh && d.long(o)) {
			to = p
		}
		if to == nil && !fresh && o.kind.need == Any {
			to = d.anyone(o)
		}
		o.stalled = o.stalled || to == nil && !fresh
	}
	if to != nil && d.allowed(o, to) && d.admits(to, o.kind) {
		d.send(o, to)
	} else if !o.held && o.out == 0 {
		d.hold(o)
	}
}

// hold keeps an op until the slot is filled, a replica is fresh enough or a member admits it.
func (d *Driver) hold(o *op) {
	o.held = true
	o.group.held++
	if o.group.held > heldCap {
		d.finish(o)
	}
}

// fresh says whether what is known of a member's position covers the op's need, were it sent now.
func (d *Driver) fresh(o *op, m *member) bool {
	switch o.kind.need {
	case Any:
		return true
	case Bounded:
		return m.position >= d.now-d.zero-o.kind.maxAge
	case Session:
		return o.needPos < 0 || m.position >= o.needPos
	}
	return false
}

// replica is the companion rule: among the replicas fresh enough, the one with fewest own sends in flight,
// a cold one counting as smaller. Distance only tips near ties. A member set aside gets one
// trial when its pause is over, by a read that may run again elsewhere. It also says whether any was fresh.
func (d *Driver) replica(o *op) (*member, bool) {
	var best *member
	least, fresh := math.Inf(1), false
	for _, m := range o.group.members {
		if m == o.group.slot || m.draining || o.triedAt(m) {
			continue
		}
		if m.aside {
			if d.admits(m, o.kind) && d.now >= m.trialAt && o.kind.effect == Retryable && o.out == 0 && (d.checks || d.fresh(o, m)) {
				m.pause = min(2*m.pause, trialMost)
				m.trialAt = d.now + m.pause
				return m, true
			}
			continue
		}
		if !d.fresh(o, m) {
			continue
		}
		fresh = true
		if l := d.load(m) + d.apart(o, m); l < least && d.admits(m, o.kind) {
			best, least = m, l
		}
	}
	return best, fresh
}

func (d *Driver) load(m *member) float64 {
	l := float64(m.inFlight+1)/d.warmth(m) + 0.05*d.chance()
	if m.far {
		l += farPenalty
	}
	return l
}

// apart keeps reads that need fresh data and reads that do not from spoiling each other's replicas. A read
// that usually takes longer than the tightest bound on age can leave a replica that applies nothing
// meanwhile useless for the others: such reads keep to a few replicas, the same at every driver, and wait for
// room there. Other reads that every member may answer rather go to replicas that are behind. It could
// harm where long reads block nothing: their replicas are then used more than others, up to their windows.
func (d *Driver) apart(o *op, m *member) float64 {
	if o.kind.need != Any {
		return 0
	}
	if d.long(o) {
		before, all := 0.0, 0.0
		for _, other := range m.group.members {
			if other == m.group.slot || other.draining || other.aside {
				continue
			}
			if all++; other.hash < m.hash {
				before++
			}
		}
		if before >= max(1, all*apartShare) {
			return math.Inf(1)
		}
		return before
	}
	if m.position >= d.now-d.zero-d.bound {
		return apartFresh
	}
	return 0
}

func (d *Driver) long(o *op) bool { return o.kind.need == Any && o.kind.took > d.bound }

// advanced is the replica with the newest known position, tried where replicas check reads.
func (d *Driver) advanced(o *op) *member {
	var best *member
	for _, m := range o.group.members {
		if m == o.group.slot || m.draining || m.aside || o.triedAt(m) || !d.admits(m, o.kind) {
			continue
		}
		if best == nil || m.position > best.position {
			best = m
		}
	}
	return best
}

// anyone is the last resort of a read that every member may answer: even one set aside.
func (d *Driver) anyone(o *op) *member {
	var best *member
	for _, m := range o.group.members {
		if !m.draining && !o.triedAt(m) && (best == nil || m.inFlight < best.inFlight) {
			best = m
		}
	}
	return best
}

// allowed holds the rules on a single send: drains, one effect, scope and window of a token, overlap.
func (d *Driver) allowed(o *op, m *member) bool {
	return !m.draining && !o.done && len(o.sends) < d.sendCap && (o.out == 0 || d.overlap) && d.mayRepeat(o, m)
}

// mayRepeat says whether what an op's earlier sends may have done allows another to m, or anywhere for nil.
func (d *Driver) mayRepeat(o *op, m *member) bool {
	for i := range o.sends {
		s := &o.sends[i]
		if s.proved || o.kind.effect == Retryable {
			continue
		}
		if o.kind.effect == NonRetryable || d.now >= s.at+o.kind.window-d.margin {
			return false
		}
		if m != nil && (o.kind.scope == ScopeGroup && m.group != s.to.group ||
			o.kind.scope == ScopeZone && m.zone != s.to.zone) {
			return false
		}
	}
	return true
}

// warmth is the share of its capacity that a member surely has: the slowest warm-up the opening allows.
func (d *Driver) warmth(m *member) float64 {
	age := d.now - m.started
	if m.started <= 0 || age >= d.coldFor {
		return 1
	}
	return d.coldFrom + (1-d.coldFrom)*max(age, 0)/d.coldFor
}

// admits says whether a member has room: in its window, after its last full reply, and, while it is cold, in
// its budget. The budget is in work, whatever the op: a share of what this driver has answered by a member
// on average, so that all drivers together stay under the multiple.
func (d *Driver) admits(m *member, k *opKind) bool {
	limit := m.window
	if k.need == Write {
		limit *= 2 // nowhere else to go; other reads make way first
	}
	if float64(m.inFlight) >= limit || d.now < m.fullAt {
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

// easy is the mean time of answers above which a member has more work than it should.
func (k *opKind) easy() float64 {
	return max(easyShare*k.target, min(easyLeast*k.best, easyMost*k.target))
}

// pace moves a member's window: up by one a windowful of answers, down when they take too long on average or
// the member is full. Guards against queues at members whatever fills them; it could harm where ops of one
// type turn long by themselves, which costs waiting here instead of there.
func (d *Driver) pace(m *member, x float64, full bool) {
	g, over := m.group, 0.0
	m.late += (min(x, 5) - m.late) * 2 * smooth
	if m == g.slot {
		over = m.late
	} else {
		g.late += (min(x, 5) - g.late) * 2 * smooth
		over = (m.late + g.late) / 2
	}
	if !full && over <= 1 {
		m.proven += (float64(m.inFlight+1) - m.proven) * smooth / 3
	}
	if full || over > 1 {
		if d.now-m.cutAt > d.usual() {
			m.window, m.cutAt = max(m.window*shrink, 1, m.proven*floorShare), d.now
		}
	} else if float64(m.inFlight+1) >= m.window*headroom {
		if m.cutAt == 0 {
			m.window++ // until the first cut
		} else {
			m.window += 1 / m.window
		}
	}
	if full {
		m.fullAt = d.now + d.usual()*d.chance()
	}
}

// usual is the time that a good answer of the quickest op type takes.
func (d *Driver) usual() float64 {
	t := math.Inf(1)
	for _, k := range d.types {
		t = min(t, k.took)
	}
	return t
}

func (d *Driver) send(o *op, m *member) {
	if o.held {
		o.held = false
		o.group.held--
	}
	o.sends = append(o.sends, send{to: m, at: d.now, open: true})
	m.inFlight++
	o.out++
	m.credit -= o.kind.took
	d.act(Action{Kind: ActSend, Op: o.id, Member: m.id, Wait: o.until + d.margin - d.now})
}

func (o *op) triedAt(m *member) bool {
	for i := range o.sends {
		if o.sends[i].to == m {
			return true
		}
	}
	return false
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
	m.inFlight--
	o.out--
	s.proved = ev.Outcome == Miss || ev.Outcome == Full || ev.Outcome == ConnectFailed || ev.Outcome == Moot
	switch ev.Outcome {
	case OK, Miss, Full, Fault:
		m.heard, m.owed = d.now, 0
		d.learn(m, ev, s.at, o.kind.need == Write)
	case TimedOut, Cancelled:
		d.pace(m, (d.now-s.at)/o.kind.easy(), false) // the member may still be at work on it
		m.owed += max(d.now-max(s.at, m.heard), 0) / o.kind.took
	case ConnectFailed, Reset:
		if s.at >= m.backAt {
			d.setAside(m, true, "connection")
		}
	}
	switch ev.Outcome {
	case OK:
		d.good(o, m, s.at, ev)
	case Fault:
		m.errors += (1 - m.errors) * 0.15
		if m.errors > errorLimit && !m.aside {
			d.setAside(m, false, "errors")
		}
	case Full:
		d.pace(m, 1, true)
	case Miss:
		if o.kind.need == Write {
			if m.group.slot == m {
				d.empty(m, false, "miss")
			}
		} else {
			o.missed = true
		}
	}
	if o.group.trial == o {
		o.group.trial = nil
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

// good takes what an answer in full teaches of times, strain and sessions.
func (d *Driver) good(o *op, m *member, at float64, ev *Event) {
	took := d.now - at
	m.errors -= m.errors * 0.15
	o.kind.took += (took - o.kind.took) * smooth
	m.news, m.good = true, true
	d.spare = min(d.spare+copyShare, copyMost)
	o.group.work += o.kind.took
	rise := smooth / 20
	if m.window <= max(1, m.proven*floorShare) {
		rise = smooth // it can't be this driver's sends that make the member slow
	}
	o.kind.best = min(o.kind.best+(o.kind.took-o.kind.best)*rise, o.kind.took)
	d.pace(m, took/o.kind.easy(), false)
	if m.aside {
		d.welcome(m, "answers")
	}
	if !o.done {
		d.feel(o, d.now-o.arrived > o.kind.target)
	}
	if o.kind.need == Write && !d.carried && ev.Position > 0 {
		g := o.group
		g.sessions[o.session] = ev.Position
		if len(g.sessions) > heldCap {
			for _, at := range g.older { // a maximum: the order of the map is of no account
				g.forgotten = max(g.forgotten, at)
			}
			g.older, g.sessions = g.sessions, map[int64]float64{}
		}
	}
}

// feel notes whether a read came too late for want of room.
func (d *Driver) feel(o *op, late bool) {
	x := 0.0
	if late {
		x = 1
	}
	if !o.stalled && o.kind.need != Write {
		s := &o.group.strain[o.kind.index]
		*s += (x - *s) * 2 * smooth
	}
}

// learn takes role and position from an answer. What an answer says is as old as the answer, not its arrival:
// a primary stands at the present, so its position dates it; without one the time of its send does.
func (d *Driver) learn(m *member, ev *Event, at float64, write bool) {
	pos := ev.Position
	if write && pos > 0 {
		pos-- // commits are rounded up
	}
	if pos > m.position {
		m.position, m.news = pos, true
	}
	if ev.Role == Primary {
		when := at
		if pos > 0 {
			when = d.zero + pos
		}
		d.primarySeen(m, when, "answer")
	} else if ev.Role == Replica {
		d.replicaSeen(m)
	}
	d.report(m, &ev.Report, at)
}

// report takes a load report. One that shows a primary is as old as the position it shows.
func (d *Driver) report(m *member, r *Report, at float64) {
	if r.HasPosition && r.Position > m.position {
		m.position = r.Position
	}
	if !r.HasRole {
		return
	}
	if !r.Primary {
		if d.zero+r.Position >= m.group.seen {
			d.replicaSeen(m)
		}
	} else if r.HasPosition {
		d.primarySeen(m, d.zero+r.Position, "report")
	} else if m.group.slot == nil {
		d.primarySeen(m, at-probeEvery, "report")
	}
}

func (d *Driver) replicaSeen(m *member) {
	m.replicaAt = d.now
	if m.group.slot == m {
		d.empty(m, false, "replica")
	}
}

// primarySeen fills the slot, unless the evidence is no newer than what stands against it: an emptying by
// the member's own word or, for another member, the newest sight of a primary.
func (d *Driver) primarySeen(m *member, when float64, by string) {
	g := m.group
	if g.slot == m {
		g.seen = max(g.seen, when)
		return
	}
	if m.draining || when <= g.seen {
		return
	}
	if m == g.last && when <= g.emptied && !(g.silent && m.heard == d.now) || m.replicaAt > when {
		return
	}
	d.fill(m, when, by)
}

func (d *Driver) fill(m *member, when float64, by string) {
	g := m.group
	if g.slot != nil || g.last != nil {
		m.window = min(m.window, startWindow) // slow start: all drivers let go of their held writes at about the same time
	}
	g.slot, g.last, g.seen = m, nil, max(g.seen, when)
	if m.aside && by != "list" {
		d.welcome(m, by)
	}
	m.news = m.news || by != "peer"
	d.log("group %d: %s is primary (%s), %d held", g.id, m.id, by, g.held)
	d.release(g)
}

// empty takes the believed primary out of the slot and starts the search for the next at once.
func (d *Driver) empty(m *member, silent bool, why string) {
	g := m.group
	g.slot, g.last, g.emptied, g.silent, g.probeAt = nil, m, d.now, silent, d.now
	d.log("group %d: slot emptied, %s: %s", g.id, m.id, why)
	d.search(g)
}

// search probes the members of a group while probes can tell the role.
func (d *Driver) search(g *group) {
	if !d.reports || d.now < g.probeAt {
		return
	}
	g.probeAt = d.now + probeEvery
	if g.slot != nil {
		g.probeAt = d.now + probeEvery*probeIdle
	}
	for _, m := range g.members {
		if !m.draining {
			d.act(Action{Kind: ActProbe, Member: m.id})
		}
	}
}

func (d *Driver) probed(ev *Event) {
	m := d.members[ev.Member]
	if m == nil || ev.Outcome != OK {
		return
	}
	d.report(m, &ev.Report, d.now-ev.Took)
}

// release routes the held ops of a group, oldest first; route holds again what cannot go yet. Those that can
// still meet their latency target go first: after an outage a queue that is served strictly by age can stay
// long for good, and then every op in it is late. It could harm old ops under lasting want of room.
func (d *Driver) release(g *group) {
	for _, late := range [...]bool{false, true} {
		for _, o := range g.live {
			if o.held && !o.done && late == (d.now-o.arrived+o.kind.took > o.kind.target) {
				d.route(o)
			}
		}
	}
}

// setAside keeps ops from a member that does not answer, breaks connections or fails what it is sent. A
// silent or dead primary leaves the slot: the design's primary sends a miss, this one sends nothing.
// It could harm where the usual time rises at one member at once, which a trial or any answer mends.
func (d *Driver) setAside(m *member, silent bool, why string) {
	if m.aside {
		return
	}
	if m.pause == 0 || d.now-m.backAt > 10*m.pause {
		m.pause = trialFirst
	}
	m.aside, m.asideAt, m.trialAt, m.good = true, d.now, d.now+m.pause, false
	d.log("group %d: %s set aside: %s", m.group.id, m.id, why)
	if silent && m.group.slot == m {
		d.empty(m, true, why)
	}
}

// welcome takes a member back, slowly.
func (d *Driver) welcome(m *member, by string) {
	m.aside, m.backAt, m.errors, m.owed = false, d.now, 0, 0
	m.window = min(m.window, startWindow)
	m.heard = d.now
	d.log("group %d: %s is back (%s)", m.group.id, m.id, by)
}

// finish gives an op its final answer: busy where that is true, an error where it may have run.
func (d *Driver) finish(o *op) {
	if o.done {
		return
	}
	ran := false
	for i := range o.sends {
		ran = ran || !o.sends[i].proved
	}
	if !ran || o.kind.effect == Retryable || o.kind.effect == Tokened && o.kind.scope == ScopeAll {
		wait := 0.0
		if d.advise > 0 && o.group.slot == nil {
			wait = min(probeEvery, d.advise)
		}
		d.act(Action{Kind: ActRefuse, Op: o.id, Wait: wait})
	} else {
		d.act(Action{Kind: ActFail, Op: o.id})
	}
	d.close(o)
}

// close forgets an op that has its final answer, once its sends are over too.
func (d *Driver) close(o *op) {
	o.done = true
	if o.held {
		o.held = false
		o.group.held--
	}
	if o.out == 0 {
		delete(d.ops, o.id)
		return
	}
	for i := range o.sends {
		if o.sends[i].open && d.cancels {
			d.act(Action{Kind: ActCancel, Op: o.id, Send: i})
		}
	}
}

// sweep does what time brings: silence, searches, final answers that fall due, held ops, further sends,
// messages.
func (d *Driver) sweep() {
	for _, g := range d.groups {
		d.silence(g)
		d.search(g)
		if dt := d.now - d.swept; dt > 0 {
			g.rate += (g.work/dt - g.rate) * min(dt/d.rateSpan(), 1)
			g.work = 0
		}
		d.release(g)
		live := g.live[:0]
		for _, o := range g.live {
			if !o.done {
				d.attend(o)
			}
			if !o.done || o.out > 0 {
				live = append(live, o)
			}
		}
		clear(g.live[len(live):])
		g.live = live
		for i := range g.strain {
			g.strain[i] -= g.strain[i] * smooth * (d.now - d.swept) / probeEvery
		}
	}
	d.swept = d.now
	if d.watching && d.watchAt > 0 && d.now >= d.watchAt {
		d.watchAt = 0
		d.act(Action{Kind: ActWatch})
	}
	if d.tellEvery > 0 && d.now >= d.tellAt {
		d.tellAt = d.now + d.tellEvery
		d.tell()
	}
}

func (d *Driver) rateSpan() float64 { return max(d.coldSpan, 5*probeEvery) }

// attend looks after one unfinished op.
func (d *Driver) attend(o *op) {
	if d.now >= o.until {
		d.finish(o)
		return
	}
	if o.held {
		d.tryRole(o)
		k := o.kind
		if !o.stalled && k.need < Fresh && d.now-o.arrived > holdShare*k.target {
			d.feel(o, true)
			d.finish(o) // while a further try by the client can still be in time
		} else if !d.mayRepeat(o, nil) {
			d.finish(o) // its token has run out
		}
		return
	}
	if !d.overlap || o.kind.effect == NonRetryable {
		return
	}
	stuck, newest := true, 0.0
	for i := range o.sends {
		if s := &o.sends[i]; s.open {
			stuck = stuck && s.to.aside
			newest = max(newest, s.at)
		}
	}
	age := d.now - newest
	late := o.kind.effect == Retryable && age >= max(lateShare*o.kind.target, 2*o.kind.took) &&
		d.spare >= copyMost/2 && o.group.strain[o.kind.index] < strainFree // half is kept for the stuck
	if late || stuck && d.spare >= 1 && age >= min(2*o.kind.took, o.kind.target) {
		before := len(o.sends)
		d.route(o)
		d.spare -= float64(len(o.sends) - before)
	}
}

// tryRole lets one held write at a time find the primary where no probe can tell it: a miss proves that the
// write did not run. It acts only on members of which nothing was heard for a while, as answers to reads
// tell the role too.
func (d *Driver) tryRole(o *op) {
	g := o.group
	if !o.held || g.slot != nil || g.trial != nil || d.reports || o.kind.need != Write || len(o.sends) >= d.sendCap-1 {
		return
	}
	for _, m := range g.members {
		if m.aside || d.now-max(m.replicaAt, g.emptied) < probeEvery || !d.allowed(o, m) || !d.admits(m, o.kind) {
			continue
		}
		g.trial = o
		d.send(o, m)
		return
	}
}

// silence sets aside a member that owes more than chance explains. Were answers to come at random at the
// usual rate, none would for so long with a chance of e to the power of minus the sum. Guards against
// hung and vanished members, cut links and stopped processes alike; a usual time that follows a shared
// slowdown keeps it from acting on all members at once.
func (d *Driver) silence(g *group) {
	for _, m := range g.members {
		m.quiet = m.owed
	}
	for _, o := range g.live {
		for i := range o.sends {
			if s := &o.sends[i]; s.open {
				s.to.quiet += (d.now - max(s.at, s.to.heard)) / o.kind.took
			}
		}
	}
	all := 0.0
	g.serving = 0
	for _, m := range g.members {
		all += m.quiet
		if !m.draining {
			g.serving++
		}
	}
	for _, m := range g.members {
		limit := silentReads + 2*(all-m.quiet)/float64(max(len(g.members)-1, 1))
		if m == g.slot {
			limit += silentWrites - silentReads
		}
		if m.quiet >= limit {
			d.setAside(m, true, "silent")
		}
	}
}

const entryBytes = 11 // hash of the id, position in whole milliseconds, flags

// tell sends peers what this driver's own sends taught it since its last message. It costs a few bytes and
// keeps positions, the primary's place and members' health known between sparse sends. It could harm only
// as far as a peer lies: positions never go back and roles are dated by them.
func (d *Driver) tell() {
	var data []byte
	for _, g := range d.groups {
		for _, m := range g.members {
			if !m.news || len(data) >= d.tellMost*entryBytes {
				continue
			}
			m.news = false
			var e [entryBytes + 1]byte
			binary.BigEndian.PutUint32(e[:], m.hash)
			binary.BigEndian.PutUint64(e[4:], uint64(max(m.position, 0))<<16)
			if g.slot == m {
				e[10] |= 1
			}
			if m.good {
				e[10] |= 2
			}
			m.good = false
			data = append(data, e[:entryBytes]...)
		}
	}
	if len(data) > 0 {
		d.act(Action{Kind: ActMessage, Data: data})
	}
}

// hear takes a peer's message.
func (d *Driver) hear(data []byte) {
	for ; len(data) >= entryBytes; data = data[entryBytes:] {
		m := d.byHash[binary.BigEndian.Uint32(data)]
		if m == nil {
			continue
		}
		position := float64(binary.BigEndian.Uint64(data[3:]) & (1<<56 - 1) >> 8)
		m.position = max(m.position, position)
		if data[10]&1 != 0 && position > 0 {
			d.primarySeen(m, d.zero+position, "peer")
		}
		if data[10]&2 != 0 && m.aside && d.now > m.asideAt+m.pause {
			d.welcome(m, "peer")
		}
	}
}
