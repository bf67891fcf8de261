package shardmap

import (
	"fmt"
	"hash"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/shard/shardnode"
	"weirwind/internal/shard/shardplan"
	"weirwind/internal/standin/virtualclock"
)

// scenario plays a rebalance under traffic in virtual time: nodes with disks that fill, a core whose leader dies,
// freezes and is followed, proxies with maps of their own age, clients that repeat attempts as theirs do. Every
// message may be late or lost.
type scenario struct {
	virtualclock.Scheduler
	random       *rand.Rand
	nodes        map[string]*node
	ids          []string
	current      *Map
	term         int
	leader       *leader
	proxies      []*proxy
	requests     map[string]*request
	loss         float64
	overCapacity string
	events       []string
	clientsRun   bool // clients go on

	trace hash.Hash64 // over every decision in order; nil: none is kept
}

// record adds a decision to the trace, by the values of its fields in a fixed order.
func (e *scenario) record(values ...any) {
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
	id          string
	store       *shardnode.Store
	down        bool
	partitioned bool
}

type leader struct {
	rebalancer *Rebalancer
	term       int
	deposed    bool
	step       func()
}

type proxy struct {
	routes *RoutingTable
	frozen bool
}

type request struct {
	attempts     []string
	acknowledged []string
	rejected     []string
	unknown      bool
}

// call carries a request to a node and its answer back; either may be lost, and the node may die before or after it
// syncs.
func (e *scenario) call(id string, request func(store *shardnode.Store), reply func(ok bool)) {
	target := e.nodes[id]
	if target == nil {
		e.After(1, func() { reply(false) })
		return
	}
	lost, replyLost := e.random.Float64() < e.loss, e.random.Float64() < e.loss
	answered := false
	e.After(400, func() {
		if !answered {
			answered = true
			reply(false)
		}
	})
	if lost {
		return
	}
	delay := 1 + 8*e.random.Float64()
	if e.random.Float64() < e.loss { // it arrives long after it was given up
		delay = 400 + 2000*e.random.Float64()
	}
	e.After(delay, func() {
		if target.down || target.partitioned {
			return
		}
		request(target.store)
		e.checkCapacity(target)
		if !replyLost {
			e.After(1+8*e.random.Float64(), func() {
				if !answered && !target.partitioned {
					answered = true
					reply(true)
				}
			})
		}
	})
}

func (e *scenario) checkCapacity(n *node) {
	if used := n.store.UsedBytes(); used > n.store.Capacity && n.store.External < n.store.Capacity &&
		e.overCapacity == "" {
		e.overCapacity = fmt.Sprintf("%s holds %d of %d", n.id, used, n.store.Capacity)
	}
}

func (e *scenario) crash(id string, forMs float64) {
	n := e.nodes[id]
	if n.down {
		return
	}
	n.down = true
	e.After(forMs, func() { // each call was synced before its answer
		disk, _ := cbor.Marshal(n.store)
		n.store = &shardnode.Store{}
		_ = cbor.Unmarshal(disk, n.store)
		n.store.Recover()
		n.down = false
	})
}

// elect lets another leader begin; the one before goes on for a while, as one that was frozen does, but commits
// nothing.
func (e *scenario) elect() {
	old := e.leader
	e.term++
	next := &leader{rebalancer: NewRebalancer(), term: e.term}
	e.leader = next
	if old != nil {
		e.After(500*e.random.Float64(), func() { old.deposed = true })
	}
	next.step = func() {
		if !next.deposed {
			for _, a := range next.rebalancer.Step(e.current, e.ids, e.Now) {
				e.execute(next, a)
			}
		}
	}
	var tick func()
	tick = func() {
		if next.step(); !next.deposed {
			e.After(20, tick)
		}
	}
	e.After(100, tick)
}

func code(err error) ResultCode {
	switch err {
	case nil:
		return ResultOK
	case shardnode.ErrNoCapacity:
		return ResultNoCapacity
	case shardnode.ErrStaleEpoch:
		return "old"
	case shardnode.ErrIncomplete:
		return "behind"
	}
	if _, ok := err.(*shardnode.MovedError); ok {
		return ResultMoved
	}
	return ResultWrongState
}

// execute carries an action out and gives its result to the leader that asked for it.
func (e *scenario) execute(leader *leader, action Action) {
	sent := e.Now
	e.record("act", e.Now, leader.term, uint8(action.Kind), action.Node, action.Shard, action.Epoch, action.Source,
		action.Bytes, action.LastIndex, action.Change, action.Message, leader.rebalancer.TransferState(action.Shard))
	handle := func(result Result) {
		if !leader.deposed {
			leader.rebalancer.HandleResult(action, result, e.Now)
			e.After(0, leader.step)
		}
	}
	switch action.Kind {
	case ActionLog:
		e.events = append(e.events, fmt.Sprintf("%.0f %s %s", e.Now, action.Shard, action.Message))
	case ActionReport:
		var report shardnode.Report
		e.call(action.Node, func(store *shardnode.Store) { report = store.Report() }, func(ok bool) {
			if !leader.deposed {
				leader.rebalancer.HandleReport(action.Node, sent, report, ok)
			}
		})
	case ActionPropose:
		e.After(5+20*e.random.Float64(), func() { handle(e.propose(leader, action.Change)) })
	case ActionFetch:
		e.fetch(action, handle)
	default:
		result := Result{}
		e.call(action.Node, func(store *shardnode.Store) { result = carryOut(store, action) }, func(ok bool) {
			handle(answered(result, ok))
		})
	}
}

// answered is a result, or that there was no answer.
func answered(result Result, ok bool) Result {
	if !ok {
		return Result{Code: ResultNoAnswer}
	}
	return result
}

// propose applies a change where its leader wasn't deposed.
func (e *scenario) propose(leader *leader, change *Change) Result {
	if leader.term != e.term {
		return Result{Code: ResultNoAnswer}
	}
	next, err := e.current.Apply(change)
	e.record("map", next, fmt.Sprint(err))
	if err != nil {
		return Result{Code: "refused"}
	}
	e.current = next
	e.publishMap()
	return Result{}
}

// fetch has the target ask the source: three calls.
func (e *scenario) fetch(action Action, handle func(Result)) {
	var result Result
	var entries []shardnode.Entry
	lastIndex, remaining, refused := uint64(0), uint64(0), error(nil)
	appendEntries := func(store *shardnode.Store) {
		result.Code = code(store.AppendEntries(action.Shard, action.Epoch, entries))
		result.Done = result.Code == ResultOK && action.LastIndex > 0 &&
			store.Seal(action.Shard, action.Epoch, action.LastIndex) == nil
		if replica := store.Replicas[action.Shard]; replica != nil {
			result.LastIndex = replica.LastIndex()
		}
		result.Remaining = remaining
	}
	readEntries := func(store *shardnode.Store) {
		entries, remaining, refused = store.ReadEntries(action.Shard, action.Epoch, lastIndex, action.Bytes)
	}
	readIndex := func(store *shardnode.Store) {
		if replica := store.Replicas[action.Shard]; replica != nil {
			lastIndex = replica.LastIndex()
		} else {
			refused = shardnode.ErrWrongState
		}
	}
	// then carries on where the call before was answered and not refused.
	then := func(next func()) func(ok bool) {
		return func(ok bool) {
			if ok && refused == nil {
				next()
				return
			}
			handle(answered(Result{Code: code(refused)}, ok))
		}
	}
	e.call(action.Node, readIndex, then(func() {
		e.call(action.Source, readEntries, then(func() {
			e.call(action.Node, appendEntries, func(ok bool) { handle(answered(result, ok)) })
		}))
	}))
}

// carryOut has a node do what an action asks for.
func carryOut(store *shardnode.Store, action Action) Result {
	switch action.Kind {
	case ActionReserve:
		return Result{Code: code(store.Reserve(action.Shard, action.Epoch, action.Bytes))}
	case ActionClose, ActionAbortTransactions:
		lastIndex, done, err := store.Close(action.Shard, action.Epoch)
		if err == nil && action.Kind == ActionAbortTransactions && !done {
			store.AbortTransactions(action.Shard)
			lastIndex, done, err = store.Close(action.Shard, action.Epoch)
		}
		return Result{Code: code(err), LastIndex: lastIndex, Done: done}
	case ActionSeal:
		return Result{Code: code(store.Seal(action.Shard, action.Epoch, action.LastIndex))}
	case ActionActivate:
		return Result{Code: code(store.Activate(action.Shard, action.Epoch, action.LastIndex))}
	case ActionDrop:
		return Result{Code: code(store.Drop(action.Shard, action.Epoch))}
	case ActionDiscard:
		return Result{Code: code(store.Discard(action.Shard, action.Epoch))}
	}
	panic(fmt.Sprint("not a request to a node: ", action.Kind))
}

// publishMap lets the proxies learn the map, each after a while.
func (e *scenario) publishMap() {
	m := e.current
	for _, p := range e.proxies {
		e.After(2+30*e.random.Float64()*e.random.Float64()*10, func() {
			if !p.frozen {
				p.routes.Update(m)
			}
		})
	}
}

func newScenario(seed uint64, nodes, shards int) *scenario {
	e := &scenario{random: rand.New(rand.NewPCG(seed, 9)), nodes: map[string]*node{}, requests: map[string]*request{},
		clientsRun: true}
	create := &Change{Kind: ChangeCreate, InitialOwners: map[string]string{}, Nodes: map[string]Node{}}
	for i := range nodes {
		id := fmt.Sprint("n", i)
		e.ids = append(e.ids, id)
		e.nodes[id] = &node{id: id, store: shardnode.NewStore(60000, 3000)}
		create.Nodes[id] = Node{Zone: fmt.Sprint("z", i%3), State: shardplan.NodeActive}
	}
	for i := range shards {
		create.InitialOwners[fmt.Sprint("s", i)] = e.ids[i%(nodes-1)] // the last one is new and empty
	}
	e.current, _ = (*Map)(nil).Apply(create)
	e.current.Rules.BytesPerSecond = 400000
	for _, shard := range slices.Sorted(maps.Keys(e.current.Shards)) { // sorted: what a seed draws is the same each time
		store := e.nodes[e.current.Shards[shard].Node].store
		_ = store.Activate(shard, 1, 0)
		for i := range 20 + e.random.IntN(40) {
			_, _ = store.Write(shard, 1, fmt.Sprint("old", i), make([]byte, 50+e.random.IntN(200)))
		}
	}
	for range 3 {
		p := &proxy{routes: NewRoutingTable()}
		p.routes.Update(e.current)
		e.proxies = append(e.proxies, p)
	}
	return e
}

// applyPlan plans from what the nodes have, and gives how many tasks it made.
func (e *scenario) applyPlan() int {
	reports := map[string]shardnode.Report{}
	for id, node := range e.nodes {
		reports[id] = node.store.Report()
	}
	cluster, err := ClusterOf(e.current, reports)
	if err != nil {
		panic(err)
	}
	tasks := TasksFromPlan(cluster.MakePlan())
	if e.change(&Change{Kind: ChangePlan, Tasks: tasks}) {
		e.publishMap()
	}
	return len(tasks)
}
