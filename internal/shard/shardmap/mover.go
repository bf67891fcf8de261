package shardmap

// This file owns the mover: which step of which task comes next, at the machine that leads the core. What it remembers is lost with
// the lead; the next leader finds out from the map and from the nodes, and each step may be taken twice.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"weirwind/internal/shard/shardnode"
	"weirwind/internal/shard/shardplan"
)

// Tuned values, in milliseconds unless said otherwise.
const (
	lookEvery  = 250.0
	lookAlways = 1000.0 // while nothing goes on
	fresh      = 1500.0 // what a node said is gone by so long
	againAfter = 100.0
	closeGap   = 64 // entries that a copy may lack as its shard closes
	chunkMost  = int64(1 << 20)
	chunkGap   = 40.0
	cutAfter   = 80.0   // open transactions of a shard that closes get so long
	closeMost  = 1200.0 // a close that has not come to a hand-over goes back
	darkMost   = 3000.0 // a copy whose source or target is silent for so long is given up
	handMost   = 4000.0
	hasteMost  = 16.0
)

// ActKind of an act.
type ActKind uint8

const (
	Look ActKind = iota
	Reserve
	Fetch // the target takes so many bytes from the source now; once it has Last, it seals the copy
	Close
	Cut // closes and ends the transactions that are open
	Seal
	Hold
	Drop
	Abandon
	Propose
	Note
)

// Act is a thing to be done.
type Act struct {
	Kind   ActKind
	Node   string
	Shard  string
	Epoch  uint64
	From   string
	Bytes  int64
	Last   uint64
	Change *Change
	Why    string
}

// Result is what came of one. Err is "" for good; "dark": no answer; else the node's word.
type Result struct {
	Err  string
	Last uint64
	More uint64 // entries that the source has beyond Last
	Done bool
	Took int64 // bytes that a fetch brought
}

type phase uint8

const (
	reserving phase = iota
	copying
	closing
	sealing
	handing
	leaving // it is to go back
	over
)

var phaseNames = [...]string{"reserving", "copying", "closing", "sealing", "handing over", "going back", "over"}

type run struct {
	Task
	epoch   uint64
	phase   phase
	since   float64
	next    float64 // not before
	asked   bool    // something is out
	final   uint64
	closed  bool
	heard   float64 // its source and target, last
	fate    Fate    // of the task as it goes back
	why     string
	ending  bool // the target has opened
	closeAt float64
	lacks   uint64  // entries, by the last fetch
	haste   float64 // times the rate: a shard that grows faster than it is copied would never be whole
}

type seen struct {
	r     shardnode.Report
	at    float64 // when it was asked
	asked bool
	next  float64
	ok    bool
}

// Mover is one leader's.
type Mover struct {
	nodes  map[string]*seen
	runs   map[string]*run
	sweeps map[string]float64 // acts of the sweep: not again before
	gaps   []float64          // write gaps, of the newest hand-overs
	out    []Act
	moved  int64
	planAt float64
	empty  int // new plans that would have moved nothing
}

// NewMover knows nothing.
func NewMover() *Mover {
	return &Mover{nodes: map[string]*seen{}, runs: map[string]*run{}, sweeps: map[string]float64{}}
}

// State says for operators what goes on with a shard.
func (mv *Mover) State(shard string) string {
	if r := mv.runs[shard]; r != nil {
		return fmt.Sprintf("%s from %s to %s", phaseNames[r.phase], r.From, r.To)
	}
	return ""
}

// Moved is how many bytes were copied, Gaps how long shards were closed, in milliseconds.
func (mv *Mover) Moved() int64    { return mv.moved }
func (mv *Mover) Gaps() []float64 { return mv.gaps }

// Reports gives what nodes said last.
func (mv *Mover) Reports() map[string]shardnode.Report {
	out := map[string]shardnode.Report{}
	for id, s := range mv.nodes {
		if s.ok {
			out[id] = s.r
		}
	}
	return out
}

func (mv *Mover) act(a Act) { mv.out = append(mv.out, a) }

func (r *run) enter(p phase, now float64) { r.phase, r.since, r.next = p, now, now }

// Step gives what is to be done. nodes are those that there are.
func (mv *Mover) Step(m *Map, nodes []string, now float64) []Act {
	if m == nil {
		return nil
	}
	mv.look(m, nodes, now)
	mv.sweep(m, now)
	for _, shard := range slices.Sorted(maps.Keys(mv.runs)) {
		r := mv.runs[shard]
		if mv.step(m, r, now); r.phase == over && m.task(r.Shard, r.To) < 0 {
			delete(mv.runs, shard)
		}
	}
	mv.begin(m, now)
	mv.replan(m, now)
	out := mv.out // and what followed from answers
	mv.out = nil
	return out
}

func (mv *Mover) look(m *Map, nodes []string, now float64) {
	every := lookAlways
	if len(mv.runs) > 0 || m.underWay() {
		every = lookEvery
	}
	for id := range mv.nodes {
		if !slices.Contains(nodes, id) {
			delete(mv.nodes, id)
		}
	}
	for _, id := range nodes {
		s := mv.nodes[id]
		if s == nil {
			s = &seen{}
			mv.nodes[id] = s
		}
		if !s.asked && now >= s.next {
			s.asked, s.next = true, now+every
			mv.act(Act{Kind: Look, Node: id})
		}
	}
}

// underWay says whether a task waits.
func (m *Map) underWay() bool {
	return slices.ContainsFunc(m.Tasks, func(t Task) bool { return t.Fate == Waiting })
}

// Seen takes a node's report, asked for at sent.
func (mv *Mover) Seen(node string, sent float64, r shardnode.Report, ok bool) {
	s := mv.nodes[node]
	if s == nil {
		return
	}
	if s.asked = false; ok {
		s.r, s.at, s.ok = r, sent, true
	}
}

func (mv *Mover) report(node string, now float64) *shardnode.Report {
	if s := mv.nodes[node]; s != nil && s.ok && now-s.at < fresh {
		return &s.r
	}
	return nil
}

// once lets an act of the sweep out, not again for a while.
func (mv *Mover) once(a Act, now float64) {
	key := fmt.Sprint(a.Kind, a.Node, a.Shard, a.Epoch)
	if a.Change != nil {
		key = fmt.Sprint(a.Change.Kind, a.Change.Shard, a.Change.Epoch)
	}
	if now >= mv.sweeps[key] {
		mv.sweeps[key] = now + 2*lookEvery
		mv.act(a)
	}
}

// sweep brings what nodes hold in line with the map, whoever began it and died: nothing is left half.
func (mv *Mover) sweep(m *Map, now float64) {
	for key, at := range mv.sweeps {
		if now > at+handMost {
			delete(mv.sweeps, key)
		}
	}
	nodes := slices.Sorted(maps.Keys(mv.nodes))
	for _, shard := range slices.Sorted(maps.Keys(m.Shards)) {
		p := m.Shards[shard]
		r := mv.runs[shard]
		holder := mv.report(p.Node, now)
		open := false
		if holder != nil {
			h, there := holder.Copies[shard]
			open = there && h.State == shardnode.Open && h.Epoch == p.Epoch
			switch {
			case !there && p.Epoch == 1, there && h.Epoch < p.Epoch && h.State != shardnode.Receiving:
				mv.once(Act{Kind: Hold, Node: p.Node, Shard: shard, Epoch: p.Epoch, Last: p.Last}, now)
			case there && h.Epoch == p.Epoch && (h.State == shardnode.Closing || h.State == shardnode.Closed) && (r == nil || r.phase < closing):
				mv.once(Act{Kind: Propose, Change: &Change{Kind: Back, Shard: shard, Epoch: p.Epoch, Node: p.Node}}, now)
			}
		}
		for _, id := range nodes {
			rep := mv.report(id, now)
			if rep == nil || id == p.Node {
				continue
			}
			h, there := rep.Copies[shard]
			mine := r != nil && r.To == id && r.epoch == h.Epoch
			switch {
			case !there || mine && h.Epoch >= p.Epoch:
			case h.Epoch < p.Epoch && (open || h.State == shardnode.Receiving):
				mv.once(Act{Kind: Drop, Node: id, Shard: shard, Epoch: p.Epoch}, now)
			case h.Epoch == p.Epoch && h.State == shardnode.Receiving:
				mv.once(Act{Kind: Abandon, Node: id, Shard: shard, Epoch: p.Epoch}, now)
			case h.Epoch == p.Epoch && h.State == shardnode.Sealed && m.task(shard, id) < 0:
				// A hand-over to it may have been asked for; behind this change it can't come any more.
				mv.once(Act{Kind: Propose, Change: &Change{Kind: Back, Shard: shard, Epoch: p.Epoch, Node: p.Node}}, now)
			}
		}
	}
}

// begin starts tasks in the plan's order, as far as the rules let them go on at a time.
func (mv *Mover) begin(m *Map, now float64) {
	if m.Abort {
		for _, t := range m.Tasks {
			if t.Fate == Waiting && mv.runs[t.Shard] == nil {
				mv.once(Act{Kind: Propose, Change: &Change{Kind: End, Shard: t.Shard, Node: t.To, Fate: Aborted, Why: "by the operator"}}, now)
			}
		}
		return
	}
	if m.Paused {
		return
	}
	busy, zones := map[string]int{}, map[string]int{}
	for _, r := range mv.runs {
		if r.phase != over {
			busy[r.From]++
			busy[r.To]++
			zones[m.Nodes[r.From].Zone]++
			zones[m.Nodes[r.To].Zone]++
		}
	}
	all := len(mv.runs)
	held := map[string]int{} // lowest round that waits at a node
	for _, t := range m.Tasks {
		if t.Fate != Waiting {
			continue
		}
		for _, id := range []string{t.From, t.To} {
			if r, ok := held[id]; !ok || t.Round < r {
				held[id] = t.Round
			}
		}
	}
	for _, t := range m.Tasks {
		p := m.Shards[t.Shard]
		zf, zt := m.Nodes[t.From].Zone, m.Nodes[t.To].Zone
		if t.Fate != Waiting || mv.runs[t.Shard] != nil || t.Round > held[t.From] || t.Round > held[t.To] {
			continue
		}
		from, to := mv.report(t.From, now), mv.report(t.To, now)
		if p.Node != t.From {
			fate, why := Failed, "it is no longer where the plan had it"
			if p.Node == t.To {
				if fate, why = Done, ""; to == nil || to.Copies[t.Shard].State != shardnode.Open {
					continue
				}
			}
			mv.once(Act{Kind: Propose, Change: &Change{Kind: End, Shard: t.Shard, Node: t.To, Fate: fate, Why: why}}, now)
			continue
		}
		if busy[t.From] >= m.Rules.PerNode || busy[t.To] >= m.Rules.PerNode || m.Rules.All > 0 && all >= m.Rules.All ||
			m.Rules.PerZone > 0 && zf != "" && (zones[zf] >= m.Rules.PerZone || zones[zt] >= m.Rules.PerZone) {
			continue
		}
		if from == nil || to == nil || from.Copies[t.Shard].State != shardnode.Open || from.Copies[t.Shard].Epoch != p.Epoch {
			if s := mv.nodes[t.To]; s == nil {
				mv.once(Act{Kind: Propose, Change: &Change{Kind: End, Shard: t.Shard, Node: t.To, Fate: Failed, Why: "there is no such node"}}, now)
			}
			continue
		}
		r := &run{Task: t, epoch: p.Epoch, heard: now}
		r.enter(reserving, now)
		mv.runs[t.Shard] = r
		busy[t.From]++
		busy[t.To]++
		zones[zf]++
		zones[zt]++
		all++
		mv.step(m, r, now)
	}
}

// pace is how many bytes a second a move may take: all of its rate while a node has nothing else to do, little while it is full.
func pace(rate int64, reps ...*shardnode.Report) int64 {
	share := 1.0
	for _, r := range reps {
		if r != nil && r.Slots > 0 {
			share = min(share, 1-float64(r.Busy)/float64(r.Slots))
		}
	}
	return max(int64(float64(rate)*max(share, 0.05)), 1)
}

func (mv *Mover) ask(r *run, a Act) {
	r.asked = true
	a.Shard, a.Epoch = r.Shard, r.epoch
	mv.act(a)
}

func (mv *Mover) back(r *run, fate Fate, why string, now float64) {
	switch {
	case r.phase < closing: // the source never stopped: the sweep lets the copy go
		mv.act(Act{Kind: Note, Shard: r.Shard, Why: "given up: " + why})
		mv.end(r, fate, why, now)
	case r.phase < leaving:
		r.fate, r.why = fate, why
		mv.act(Act{Kind: Note, Shard: r.Shard, Why: "goes back: " + why})
		r.enter(leaving, now)
	}
}

// step takes a run on.
func (mv *Mover) step(m *Map, r *run, now float64) {
	p := m.Shards[r.Shard]
	if r.phase != over && p.Node == r.To && p.Epoch == r.epoch+1 { // it was handed over: the target opens, the source drops
		mv.arrive(m, r, now)
		return
	}
	if p.Epoch != r.epoch && r.phase != over {
		mv.end(r, Failed, "it went back", now)
		return
	}
	if m.Abort && r.phase != over {
		mv.back(r, Aborted, "by the operator", now)
	}
	if r.phase >= closing && r.phase <= sealing && now-r.since > closeMost {
		mv.back(r, Failed, "the hand-over took too long", now)
	}
	if r.phase < closing && now-r.heard > darkMost {
		mv.back(r, Failed, "its source or target is silent", now)
	}
	if r.phase == over {
		if now >= r.next {
			mv.end(r, r.fate, r.why, now)
		}
		return
	}
	if r.asked || now < r.next {
		return
	}
	switch r.phase {
	case reserving:
		if m.Paused {
			return
		}
		rep := mv.report(r.From, now)
		size := r.Bytes
		if rep != nil {
			size = max(rep.Copies[r.Shard].Held, 1)
		}
		mv.ask(r, Act{Kind: Reserve, Node: r.To, Bytes: size + int64(m.Rules.Growth*float64(size)) + 1})
	case copying:
		if m.Paused {
			return
		}
		rate := pace(int64(float64(m.Rules.Rate)*max(r.haste, 1)), mv.report(r.From, now), mv.report(r.To, now))
		bytes := min(chunkMost, max(int64(float64(rate)*chunkGap/1000), 1))
		r.next = now + float64(bytes)/float64(rate)*1000
		mv.ask(r, Act{Kind: Fetch, Node: r.To, From: r.From, Bytes: bytes})
	case closing:
		switch {
		case r.closed:
			mv.ask(r, Act{Kind: Fetch, Node: r.To, From: r.From, Bytes: chunkMost, Last: r.final})
		case now-r.since > cutAfter:
			mv.ask(r, Act{Kind: Cut, Node: r.From})
		default:
			mv.ask(r, Act{Kind: Close, Node: r.From})
		}
	case sealing:
		mv.ask(r, Act{Kind: Seal, Node: r.To, Last: r.final})
	case handing:
		r.next = now + againAfter
		mv.ask(r, Act{Kind: Propose, Change: &Change{Kind: Hand, Shard: r.Shard, Epoch: r.epoch, Node: r.To, Last: r.final}})
	case leaving: // nothing of it may be handed over any more
		r.next = now + againAfter
		mv.ask(r, Act{Kind: Propose, Change: &Change{Kind: Back, Shard: r.Shard, Epoch: r.epoch, Node: r.From}})
	}
}

// arrive opens what was handed over and lets the source drop it.
func (mv *Mover) arrive(m *Map, r *run, now float64) {
	p := m.Shards[r.Shard]
	if r.asked || now < r.next {
		return
	}
	r.next = now + againAfter
	if r.phase = handing; !r.ending {
		mv.act(Act{Kind: Hold, Node: r.To, Shard: r.Shard, Epoch: p.Epoch, Last: p.Last})
		r.asked = true
		return
	}
	mv.act(Act{Kind: Drop, Node: r.From, Shard: r.Shard, Epoch: p.Epoch})
	r.fate = ""
	mv.end(r, Done, "", now)
}

func (mv *Mover) end(r *run, fate Fate, why string, now float64) {
	if r.fate == "" {
		r.fate, r.why = fate, why
	}
	r.phase, r.next = over, now+2*lookEvery // told again until the map has it
	mv.act(Act{Kind: Propose, Change: &Change{Kind: End, Shard: r.Shard, Node: r.To, Fate: r.fate, Why: r.why}})
}

// Told takes what came of an act.
func (mv *Mover) Told(a Act, res Result, now float64) {
	if a.Kind == Propose && a.Change.Kind == End || a.Kind == Look {
		return
	}
	if s := mv.nodes[a.Node]; s != nil && a.Kind != Fetch { // what it did shows at once
		s.next = min(s.next, now)
	}
	shard := a.Shard
	if a.Change != nil {
		shard = a.Change.Shard
	}
	r := mv.runs[shard]
	if r == nil || r.phase == over || a.Kind == Abandon || a.Kind == Drop {
		return
	}
	if a.Kind == Hold {
		if a.Epoch == r.epoch+1 {
			if r.asked = false; res.Err == "" && a.Node == r.To && !r.ending {
				r.ending, r.next = true, now
				mv.gaps = append(mv.gaps, now-r.closeAt)
				if len(mv.gaps) > 4096 {
					mv.gaps = mv.gaps[1024:]
				}
			}
		}
		return
	}
	if a.Kind != Propose && a.Epoch != r.epoch || a.Kind == Propose && a.Change.Epoch != r.epoch {
		return
	}
	r.asked = false
	if res.Err != "dark" {
		r.heard = now
	}
	if res.Err != "" {
		r.next = now + againAfter/2
		switch {
		case a.Kind == Reserve && res.Err != "dark":
			mv.back(r, Failed, r.To+" has no room: "+res.Err, now)
		case a.Kind == Fetch && (res.Err == "noroom" || res.Err == "state"):
			mv.back(r, Failed, r.To+" let the copy go: "+res.Err, now)
		case a.Kind == Fetch && res.Err == "moved":
			mv.back(r, Failed, r.From+" doesn't hold it", now)
		case a.Kind == Seal && res.Err != "dark":
			mv.back(r, Failed, r.To+" can't seal it: "+res.Err, now)
		}
		return
	}
	switch a.Kind {
	case Propose:
		r.next = now
	case Reserve:
		if r.phase == reserving {
			mv.act(Act{Kind: Note, Shard: r.Shard, Why: "begins from " + r.From + " to " + r.To})
			r.enter(copying, now)
		}
	case Fetch:
		mv.moved += res.Took
		if r.phase == copying && r.lacks > 0 && res.More >= r.lacks {
			r.haste = min(max(r.haste, 1)*1.5, hasteMost)
		}
		r.lacks = res.More
		switch {
		case r.phase == copying && res.More <= closeGap:
			r.closeAt = now
			r.enter(closing, now)
		case r.phase == closing && r.closed && res.Done:
			r.phase = handing
		case r.phase == closing && r.closed && res.Last == r.final:
			r.phase = sealing // since stays: the whole close is bounded
		}
	case Close, Cut:
		if res.Done && r.phase == closing {
			r.final, r.closed = res.Last, true
		} else {
			r.next = now + 5
		}
	case Seal:
		if r.phase == sealing {
			r.phase = handing
		}
	}
}

// replan makes a plan from where things are, where tasks failed; what has moved stays where it is, as the least is moved.
func (mv *Mover) replan(m *Map, now float64) {
	failed := false
	for _, t := range m.Tasks {
		if t.Fate == Waiting {
			return
		}
		failed = failed || t.Fate == Failed
	}
	if !failed || m.Paused || m.Abort || len(mv.runs) > 0 || m.Replans >= m.Rules.Replans || now < mv.planAt {
		return
	}
	mv.planAt = now + handMost
	c, err := ClusterOf(m, mv.Reports())
	if err != nil {
		return
	}
	p := c.Make()
	if len(FromPlan(p)) == 0 { // what failed stays to be read, with why
		if mv.empty++; mv.empty > m.Rules.Replans {
			mv.planAt = math.Inf(1)
		}
		return
	}
	mv.act(Act{Kind: Note, Why: fmt.Sprintf("plans anew: %d moves, %d bytes", len(FromPlan(p)), p.Bytes)})
	mv.act(Act{Kind: Propose, Change: &Change{Kind: Plan, Base: m.Version, Tasks: FromPlan(p), Again: true}})
}

// ClusterOf is what a plan is made from: the map, and what nodes say that they hold.
func ClusterOf(m *Map, reports map[string]shardnode.Report) (*shardplan.Cluster, error) {
	c := &shardplan.Cluster{Rules: shardplan.Rules{Band: m.Rules.Band, Reserve: m.Rules.Reserve, Round: m.Rules.PerNode}}
	ids := map[string]bool{}
	for id := range m.Nodes {
		ids[id] = true
	}
	for id := range reports {
		ids[id] = true
	}
	for _, p := range m.Shards {
		ids[p.Node] = true
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		rep, ok := reports[id]
		n := shardplan.Node{ID: id, Zone: m.Nodes[id].Zone, Limit: rep.Limit, Foreign: rep.Foreign, State: cmp.Or(m.Nodes[id].State, shardplan.In)}
		if !ok {
			n.State = shardplan.Gone
		}
		c.Nodes = append(c.Nodes, n)
	}
	for _, shard := range slices.Sorted(maps.Keys(m.Shards)) {
		p := m.Shards[shard]
		h := reports[p.Node].Copies[shard]
		c.Shards = append(c.Shards, shardplan.Shard{ID: shard, Size: h.Held, Growth: int64(m.Rules.Growth * float64(h.Held)), On: []string{p.Node}})
	}
	return c, c.Check()
}
