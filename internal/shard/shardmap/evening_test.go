package shardmap

import (
	"fmt"
	"hash"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/shard/shardnode"
	"weirwind/internal/shard/shardplan"
	"weirwind/internal/standin/virtualclock"
)

// evening plays a rebalance under traffic in virtual time: nodes with disks that fill, a core whose leader dies,
// freezes and is followed, proxies with maps of their own age, clients that try again as theirs do. Every message may
// be late or lost.
type evening struct {
	virtualclock.Queue
	r     *rand.Rand
	nodes map[string]*node
	ids   []string
	m     *Map
	term  int
	lead  *leader
	proxy []*proxy
	ops   map[string]*op
	loss  float64
	over  string
	log   []string
	live  bool // clients go on

	trace hash.Hash64 // over every decision in order; nil: none is kept
}

// record adds a decision to the trace, by the values of its fields in a fixed order.
func (e *evening) record(values ...any) {
	if e.trace != nil {
		b, err := canonical.Marshal(values)
		if err != nil {
			panic(err)
		}
		_, _ = e.trace.Write(b)
	}
}

// canonical sorts the keys of maps.
var canonical, _ = cbor.CanonicalEncOptions().EncMode()

type node struct {
	id   string
	k    *shardnode.Store
	down bool
	cut  bool
}

type leader struct {
	mv   *Rebalancer
	term int
	dead bool
	step func()
}

type proxy struct {
	s      *RoutingTable
	frozen bool
}

type op struct {
	tries   []string
	done    []string
	undone  []string
	unknown bool
}

// at carries a call to a node and its answer back; either may be lost, and the node may die before or behind its sync.
func (e *evening) at(id string, f func(k *shardnode.Store), back func(ok bool)) {
	n := e.nodes[id]
	if n == nil {
		e.In(1, func() { back(false) })
		return
	}
	lost, lostBack := e.r.Float64() < e.loss, e.r.Float64() < e.loss
	answered := false
	e.In(400, func() {
		if !answered {
			answered = true
			back(false)
		}
	})
	if lost {
		return
	}
	way := 1 + 8*e.r.Float64()
	if e.r.Float64() < e.loss { // it arrives long after it was given up
		way = 400 + 2000*e.r.Float64()
	}
	e.In(way, func() {
		if n.down || n.cut {
			return
		}
		f(n.k)
		e.watch(n)
		if !lostBack {
			e.In(1+8*e.r.Float64(), func() {
				if !answered && !n.cut {
					answered = true
					back(true)
				}
			})
		}
	})
}

func (e *evening) watch(n *node) {
	if used := n.k.UsedBytes(); used > n.k.Capacity && n.k.External < n.k.Capacity && e.over == "" {
		e.over = fmt.Sprintf("%s holds %d of %d", n.id, used, n.k.Capacity)
	}
}

func (e *evening) crash(id string, forMs float64) {
	n := e.nodes[id]
	if n.down {
		return
	}
	n.down = true
	e.In(forMs, func() { // each call was synced before its answer
		disk, _ := cbor.Marshal(n.k)
		n.k = &shardnode.Store{}
		_ = cbor.Unmarshal(disk, n.k)
		n.k.Recover()
		n.down = false
	})
}

// elect lets another leader begin; the one before goes on for a while, as one that was frozen does, but commits
// nothing.
func (e *evening) elect() {
	old := e.lead
	e.term++
	l := &leader{mv: NewRebalancer(), term: e.term}
	e.lead = l
	if old != nil {
		e.In(500*e.r.Float64(), func() { old.dead = true })
	}
	l.step = func() {
		if !l.dead {
			for _, a := range l.mv.Step(e.m, e.ids, e.Now) {
				e.carry(l, a)
			}
		}
	}
	var tick func()
	tick = func() {
		if l.step(); !l.dead {
			e.In(20, tick)
		}
	}
	e.In(100, tick)
}

func word(err error) string {
	switch err {
	case nil:
		return ""
	case shardnode.ErrNoCapacity:
		return "noroom"
	case shardnode.ErrStaleEpoch:
		return "old"
	case shardnode.ErrIncomplete:
		return "behind"
	}
	if _, ok := err.(*shardnode.MovedError); ok {
		return "moved"
	}
	return "state"
}

func (e *evening) carry(l *leader, a Action) {
	sent := e.Now
	e.record("act", e.Now, l.term, uint8(a.Kind), a.Node, a.Shard, a.Epoch, a.Source, a.Bytes, a.LastIndex, a.Change, a.Message,
		l.mv.TransferState(a.Shard))
	told := func(res Result) {
		if !l.dead {
			l.mv.HandleResult(a, res, e.Now)
			e.In(0, l.step)
		}
	}
	var res Result
	end := func(ok bool) {
		if !ok {
			res = Result{Code: "dark"}
		}
		told(res)
	}
	switch a.Kind {
	case ActionLog:
		e.log = append(e.log, fmt.Sprintf("%.0f %s %s", e.Now, a.Shard, a.Message))
	case ActionReport:
		var rep shardnode.Report
		e.at(a.Node, func(k *shardnode.Store) { rep = k.Report() }, func(ok bool) {
			if !l.dead {
				l.mv.HandleReport(a.Node, sent, rep, ok)
			}
		})
	case ActionPropose:
		e.In(5+20*e.r.Float64(), func() {
			if l.term != e.term { // a deposed one commits nothing
				told(Result{Code: "dark"})
				return
			}
			next, err := e.m.Apply(a.Change)
			e.record("map", next, fmt.Sprint(err))
			if err != nil {
				told(Result{Code: "refused"})
				return
			}
			e.m = next
			e.spread()
			told(Result{})
		})
	case ActionFetch: // the target asks the source
		var entries []shardnode.Entry
		last, more, refused := uint64(0), uint64(0), error(nil)
		e.at(a.Node, func(k *shardnode.Store) {
			if c := k.Replicas[a.Shard]; c != nil {
				last = c.LastIndex()
			} else {
				refused = shardnode.ErrWrongState
			}
		}, func(ok bool) {
			if !ok || refused != nil {
				res.Code = word(refused)
				end(ok)
				return
			}
			e.at(a.Source, func(k *shardnode.Store) { entries, more, refused = k.ReadEntries(a.Shard, a.Epoch, last, a.Bytes) },
				func(ok bool) {
					if !ok || refused != nil {
						res.Code = word(refused)
						end(ok)
						return
					}
					e.at(a.Node, func(k *shardnode.Store) {
						res.Code = word(k.AppendEntries(a.Shard, a.Epoch, entries))
						res.Done = res.Code == "" && a.LastIndex > 0 && k.Seal(a.Shard, a.Epoch, a.LastIndex) == nil
						if c := k.Replicas[a.Shard]; c != nil {
							res.LastIndex = c.LastIndex()
						}
						res.Remaining = more
					}, end)
				})
		})
	default:
		e.at(a.Node, func(k *shardnode.Store) {
			switch a.Kind {
			case ActionReserve:
				res.Code = word(k.Reserve(a.Shard, a.Epoch, a.Bytes))
			case ActionClose, ActionAbortTransactions:
				last, done, err := k.Close(a.Shard, a.Epoch)
				if err == nil && a.Kind == ActionAbortTransactions && !done {
					k.AbortTransactions(a.Shard)
					last, done, err = k.Close(a.Shard, a.Epoch)
				}
				res = Result{Code: word(err), LastIndex: last, Done: done}
			case ActionSeal:
				res.Code = word(k.Seal(a.Shard, a.Epoch, a.LastIndex))
			case ActionActivate:
				res.Code = word(k.Activate(a.Shard, a.Epoch, a.LastIndex))
			case ActionDrop:
				res.Code = word(k.Drop(a.Shard, a.Epoch))
			case ActionDiscard:
				res.Code = word(k.Discard(a.Shard, a.Epoch))
			}
		}, end)
	}
}

func (e *evening) spread() {
	m := e.m
	for _, p := range e.proxy {
		e.In(2+30*e.r.Float64()*e.r.Float64()*10, func() {
			if !p.frozen {
				p.s.Update(m)
			}
		})
	}
}

// client sends writes of one shard, each until it has a final answer.
func (e *evening) client(name, shard string, gap float64, size int) {
	seq := 0
	var next func()
	next = func() {
		if !e.live {
			return
		}
		seq++
		o := &op{}
		e.ops[fmt.Sprint(name, ".", seq)] = o
		e.try(name, shard, seq, o, e.Now+2000, size, func() { e.In(gap*(0.2+1.6*e.r.Float64()), next) })
	}
	e.In(gap*e.r.Float64(), next)
}

func (e *evening) try(name, shard string, seq int, o *op, until float64, size int, end func()) {
	id := fmt.Sprintf("%s.%d.%d", name, seq, len(o.tries))
	o.tries = append(o.tries, id)
	p := e.proxy[e.r.IntN(len(e.proxy))]
	promise := func() {
		o.undone = append(o.undone, id)
		if e.Now < until-200 && len(o.tries) < 4 {
			e.In(50, func() { e.try(name, shard, seq, o, until, size, end) })
			return
		}
		end()
	}
	sent := false
	var send func()
	send = func() {
		place, ok := p.s.Owner(shard)
		e.record("where", p.s.Version(), place, ok)
		if e.Now >= until {
			if sent {
				o.unknown = true
				end()
			} else {
				promise()
			}
			return
		}
		if !ok || p.frozen {
			e.In(10, send)
			return
		}
		var err error
		settle := sent
		e.at(place.Node, func(k *shardnode.Store) {
			if settle { // what was sent and not answered is settled
				_, err = k.ResolveAttempt(shard, place.Epoch, id)
			} else if e.r.IntN(3) == 0 { // as a transaction
				if err = k.BeginTransaction(shard, place.Epoch); err == nil {
					_, err = k.CommitTransaction(shard, place.Epoch, id, make([]byte, size))
					k.EndTransaction(shard, place.Epoch)
				}
			} else {
				_, err = k.Write(shard, place.Epoch, id, make([]byte, size))
			}
		}, func(ok bool) {
			moved, isMoved := err.(*shardnode.MovedError)
			switch {
			case !ok:
				sent = true
				e.In(5, send)
			case err == nil:
				o.done = append(o.done, id)
				end()
			case isMoved:
				e.record("missed", p.s.HandleMoved(shard, place.Epoch, moved.HighestEpoch))
				e.In(5, send)
			default: // no room, or void: a promise
				promise()
			}
		})
	}
	send()
}

// audit looks at where all shards ended.
func (e *evening) audit() (wrong []string) {
	ran := map[string]int{}
	for shard, p := range e.m.Shards {
		n := e.nodes[p.Node]
		c := n.k.Replicas[shard]
		if c == nil || c.State != shardnode.StateOpen || c.Epoch != p.Epoch {
			wrong = append(wrong, fmt.Sprintf("%s is not open at %s by %d: %+v", shard, p.Node, p.Epoch, c))
			continue
		}
		for _, en := range c.Log {
			if !en.Aborted {
				ran[en.AttemptID]++
			}
		}
		for id, o := range e.nodes {
			if oc := o.k.Replicas[shard]; id != p.Node && oc != nil {
				wrong = append(wrong, fmt.Sprintf("%s is still at %s: %s %d", shard, id, oc.State, oc.Epoch))
			}
		}
	}
	for name, o := range e.ops {
		effects := 0
		for _, id := range o.tries {
			effects += ran[id]
		}
		for _, id := range o.done {
			if ran[id] != 1 {
				wrong = append(wrong, fmt.Sprintf("%s: %s was answered and has %d effects", name, id, ran[id]))
			}
		}
		for _, id := range o.undone {
			if ran[id] != 0 {
				wrong = append(wrong, fmt.Sprintf("%s: %s was promised undone and has %d", name, id, ran[id]))
			}
		}
		if effects > 1 {
			wrong = append(wrong, fmt.Sprintf("%s: %d effects", name, effects))
		}
	}
	if e.over != "" {
		wrong = append(wrong, e.over)
	}
	return wrong
}

func newEvening(seed uint64, nodes, shards int) *evening {
	e := &evening{r: rand.New(rand.NewPCG(seed, 9)), nodes: map[string]*node{}, ops: map[string]*op{}, live: true}
	found := &Change{Kind: ChangeCreate, InitialOwners: map[string]string{}, Nodes: map[string]Node{}}
	for i := range nodes {
		id := fmt.Sprint("n", i)
		e.ids = append(e.ids, id)
		k := shardnode.NewStore(60000, 3000)
		e.nodes[id] = &node{id: id, k: k}
		found.Nodes[id] = Node{Zone: fmt.Sprint("z", i%3), State: shardplan.NodeActive}
	}
	for i := range shards {
		found.InitialOwners[fmt.Sprint("s", i)] = e.ids[i%(nodes-1)] // the last one is new and empty
	}
	e.m, _ = (*Map)(nil).Apply(found)
	e.m.Rules.BytesPerSecond = 400000
	for _, shard := range slices.Sorted(maps.Keys(e.m.Shards)) { // sorted: what a seed draws is the same each time
		k := e.nodes[e.m.Shards[shard].Node].k
		_ = k.Activate(shard, 1, 0)
		for i := range 20 + e.r.IntN(40) {
			_, _ = k.Write(shard, 1, fmt.Sprint("old", i), make([]byte, 50+e.r.IntN(200)))
		}
	}
	for range 3 {
		p := &proxy{s: NewRoutingTable()}
		p.s.Update(e.m)
		e.proxy = append(e.proxy, p)
	}
	return e
}

func (e *evening) plan() int {
	reps := map[string]shardnode.Report{}
	for id, n := range e.nodes {
		reps[id] = n.k.Report()
	}
	c, err := ClusterOf(e.m, reps)
	if err != nil {
		panic(err)
	}
	tasks := TasksFromPlan(c.MakePlan())
	if next, err := e.m.Apply(&Change{Kind: ChangePlan, Tasks: tasks}); err == nil {
		e.m = next
		e.spread()
	}
	return len(tasks)
}

// playFaults plays an evening with faults drawn by its seed to its quiet end.
func playFaults(seed uint64, trace hash.Hash64) (e *evening, planned int, movers []*Rebalancer) {
	e = newEvening(seed, 4, 12)
	e.trace = trace
	e.loss = []float64{0, 0.01, 0.05}[seed%3]
	for i := range 12 {
		for c := range 2 {
			e.client(fmt.Sprint("c", i, "-", c), fmt.Sprint("s", i), 60, 20+e.r.IntN(30))
		}
	}
	e.elect()
	e.Pass(300)
	planned = e.plan()
	movers = []*Rebalancer{e.lead.mv}
	for range 8 { // faults
		e.In(8000*e.r.Float64(), func() {
			switch e.r.IntN(9) {
			case 0, 1:
				e.crash(e.ids[e.r.IntN(4)], 50+1500*e.r.Float64())
			case 2:
				e.elect()
				movers = append(movers, e.lead.mv)
			case 3:
				p := e.proxy[e.r.IntN(3)]
				p.frozen = true
				e.In(2000*e.r.Float64(), func() { p.frozen = false; p.s.Update(e.m) })
			case 4:
				n := e.nodes[e.ids[e.r.IntN(4)]]
				n.cut = true
				e.In(1500*e.r.Float64(), func() { n.cut = false })
			case 5: // others fill a disk
				n := e.nodes[e.ids[e.r.IntN(4)]]
				if !n.down {
					n.k.SetExternal(min(n.k.External+n.k.FreeBytes()*3/4, n.k.Capacity-n.k.UsedBytes()+n.k.External))
					e.watch(n)
				}
			case 6, 7: // the operator
				kind := []ChangeKind{ChangePause, ChangeAbort, ChangeResume}[e.r.IntN(3)]
				if next, err := e.m.Apply(&Change{Kind: kind}); err == nil {
					e.m = next
					e.spread()
				}
			case 8:
				id := e.ids[e.r.IntN(4)]
				node := e.m.Nodes[id]
				node.State = shardplan.NodeDraining
				if next, err := e.m.Apply(&Change{Kind: ChangeNodes, Nodes: map[string]Node{id: node}}); err == nil {
					e.m = next
				}
				e.plan()
			}
		})
	}
	e.Pass(10000)
	if next, err := e.m.Apply(&Change{Kind: ChangeResume}); err == nil {
		e.m = next
	}
	e.loss = 0
	e.elect()
	movers = append(movers, e.lead.mv)
	e.Pass(20000)
	e.live = false
	e.Pass(26000)
	return e, planned, movers
}

// An evening with faults drawn by its seed: nothing lost, nothing doubled, no disk over its room, and all shards whole
// at the end.
func TestEvenings(t *testing.T) {
	seeds := 45
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	moves, handed, gaps := 0, 0, []float64(nil)
	for seed := range uint64(seeds) {
		e, planned, movers := playFaults(seed, nil)
		moves += planned
		for _, mv := range movers {
			gaps = append(gaps, mv.WriteGaps()...)
			handed += len(mv.WriteGaps())
		}
		if wrong := e.audit(); len(wrong) > 0 {
			t.Errorf("seed %d: %v\n%v", seed, wrong[:min(len(wrong), 5)], e.log[max(0, len(e.log)-10):])
			if t.Failed() && seed > 20 {
				return
			}
		}
		for _, task := range e.m.Tasks {
			if task.Status == TaskPending {
				t.Errorf("seed %d: %+v waits for ever\n%v %+v %+v", seed, task, e.log[max(0, len(e.log)-10):],
					e.lead.mv.transfers[task.Shard], e.m)
			}
		}
	}
	slices.Sort(gaps)
	if handed < seeds {
		t.Errorf("%d hand-overs only", handed)
	}
	t.Logf("%d moves planned, %d handed over; shards closed for %.0f ms at the median, %.0f at p99, %.0f at most", moves,
		handed, gaps[len(gaps)/2], gaps[len(gaps)*99/100], gaps[len(gaps)-1])
}

// Where nothing fails a shard is closed for few round trips and one agreement.
func TestGaps(t *testing.T) {
	var gaps []float64
	for seed := range uint64(20) {
		e := newEvening(seed, 4, 12)
		for i := range 12 {
			e.client(fmt.Sprint("c", i), fmt.Sprint("s", i), 60, 20)
		}
		e.elect()
		e.Pass(300)
		e.plan()
		e.Pass(6000)
		gaps = append(gaps, e.lead.mv.WriteGaps()...)
	}
	slices.Sort(gaps)
	t.Logf("%d hand-overs: closed for %.0f ms at the median, %.0f at p99, %.0f at most", len(gaps), gaps[len(gaps)/2],
		gaps[len(gaps)*99/100], gaps[len(gaps)-1])
	if gaps[len(gaps)*99/100] > 150 {
		t.Error("over 150 ms at p99")
	}
}

// The decisions of fifteen evenings with faults, in order: every act, every map, every answer of a proxy's slots, and
// what the nodes hold at the end.
func TestDecisionDigest(t *testing.T) {
	const recorded = 0x535fca893ea8b3c7
	trace := fnv.New64a()
	for seed := range uint64(15) {
		e, _, movers := playFaults(100+seed, trace)
		for _, mv := range movers {
			e.record("gaps", mv.WriteGaps(), mv.BytesMoved())
		}
		for _, id := range e.ids {
			e.record("node", id, e.nodes[id].k)
		}
	}
	if got := trace.Sum64(); got != recorded {
		t.Errorf("the digest is %#x, recorded is %#x", got, uint64(recorded))
	}
}
