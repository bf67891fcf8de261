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

// scenario simulates a rebalance under traffic in virtual time: nodes whose disks fill up, a core whose leader crashes
// or freezes and is replaced, proxies with maps of different versions, and clients that retry like real ones. Any
// message may be delayed or lost.
type scenario struct {
	virtualclock.Scheduler
	random        *rand.Rand
	nodes         map[string]*node
	ids           []string
	current       *Map
	term          int
	leader        *leader
	proxies       []*proxy
	requests      map[string]*request
	loss          float64
	overCapacity  string
	events        []string
	clientsActive bool // clients send more requests

	trace hash.Hash64 // hash of every decision in order; nil: not recorded
}

// record adds the values that describe a decision to the trace.
func (sc *scenario) record(values ...any) {
	if sc.trace != nil {
		b, err := canonical.Marshal(values)
		if err != nil {
			panic(err)
		}
		_, _ = sc.trace.Write(b)
	}
}

// canonical encodes maps with sorted keys.
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

// call delivers a request to a node and its answer to the caller. Either may be lost, and the node may crash before or
// after it has synced its store.
func (sc *scenario) call(id string, request func(store *shardnode.Store), reply func(ok bool)) {
	target := sc.nodes[id]
	if target == nil {
		sc.After(1, func() { reply(false) })
		return
	}
	requestLost, replyLost := sc.random.Float64() < sc.loss, sc.random.Float64() < sc.loss
	answered := false
	sc.After(400, func() {
		if !answered {
			answered = true
			reply(false)
		}
	})
	if requestLost {
		return
	}
	delay := 1 + 8*sc.random.Float64()
	if sc.random.Float64() < sc.loss { // it arrives long after the caller's timeout
		delay = 400 + 2000*sc.random.Float64()
	}
	sc.After(delay, func() {
		if target.down || target.partitioned {
			return
		}
		request(target.store)
		sc.checkCapacity(target)
		if !replyLost {
			sc.After(1+8*sc.random.Float64(), func() {
				if !answered && !target.partitioned {
					answered = true
					reply(true)
				}
			})
		}
	})
}

func (sc *scenario) checkCapacity(checked *node) {
	if used := checked.store.UsedBytes(); used > checked.store.Capacity && checked.store.External < checked.store.Capacity &&
		sc.overCapacity == "" {
		sc.overCapacity = fmt.Sprintf("%s holds %d of %d", checked.id, used, checked.store.Capacity)
	}
}

func (sc *scenario) crash(id string, downtimeMs float64) {
	crashed := sc.nodes[id]
	if crashed.down {
		return
	}
	crashed.down = true
	sc.After(downtimeMs, func() { // each call was synced before its answer
		disk, _ := cbor.Marshal(crashed.store)
		crashed.store = &shardnode.Store{}
		_ = cbor.Unmarshal(disk, crashed.store)
		crashed.store.Recover()
		crashed.down = false
	})
}

// elect starts a new leader. The previous one continues for a while, like a leader that was frozen, but its proposals
// are not committed.
func (sc *scenario) elect() {
	old := sc.leader
	sc.term++
	next := &leader{rebalancer: NewRebalancer(), term: sc.term}
	sc.leader = next
	if old != nil {
		sc.After(500*sc.random.Float64(), func() { old.deposed = true })
	}
	next.step = func() {
		if !next.deposed {
			for _, action := range next.rebalancer.Step(sc.current, sc.ids, sc.Now) {
				sc.execute(next, action)
			}
		}
	}
	var tick func()
	tick = func() {
		if next.step(); !next.deposed {
			sc.After(20, tick)
		}
	}
	sc.After(100, tick)
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

// execute executes an action and returns its result to the leader that requested it.
func (sc *scenario) execute(leader *leader, action Action) {
	sentAt := sc.Now
	sc.record("act", sc.Now, leader.term, uint8(action.Kind), action.Node, action.Shard, action.Epoch, action.Source,
		action.Bytes, action.LastIndex, action.Change, action.Message, leader.rebalancer.TransferState(action.Shard))
	handle := func(result Result) {
		if !leader.deposed {
			leader.rebalancer.HandleResult(action, result, sc.Now)
			sc.After(0, leader.step)
		}
	}
	switch action.Kind {
	case ActionLog:
		sc.events = append(sc.events, fmt.Sprintf("%.0f %s %s", sc.Now, action.Shard, action.Message))
	case ActionReport:
		var report shardnode.Report
		sc.call(action.Node, func(store *shardnode.Store) { report = store.Report() }, func(ok bool) {
			if !leader.deposed {
				leader.rebalancer.HandleReport(action.Node, sentAt, report, ok)
			}
		})
	case ActionPropose:
		sc.After(5+20*sc.random.Float64(), func() { handle(sc.propose(leader, action.Change)) })
	case ActionFetch:
		sc.fetch(action, handle)
	default:
		result := Result{}
		sc.call(action.Node, func(store *shardnode.Store) { result = executeOnStore(store, action) }, func(ok bool) {
			handle(resultOrNoAnswer(result, ok))
		})
	}
}

// resultOrNoAnswer returns result, or ResultNoAnswer if there was no answer.
func resultOrNoAnswer(result Result, ok bool) Result {
	if !ok {
		return Result{Code: ResultNoAnswer}
	}
	return result
}

// propose applies a change, unless its leader has been replaced.
func (sc *scenario) propose(leader *leader, change *Change) Result {
	if leader.term != sc.term {
		return Result{Code: ResultNoAnswer}
	}
	next, err := sc.current.Apply(change)
	sc.record("map", next, fmt.Sprint(err))
	if err != nil {
		return Result{Code: "refused"}
	}
	sc.current = next
	sc.publishMap()
	return Result{}
}

// fetch copies entries from the source to the target, in three calls.
func (sc *scenario) fetch(action Action, handle func(Result)) {
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
	// onSuccess returns a reply function that continues with next if the call was answered and not refused.
	onSuccess := func(next func()) func(ok bool) {
		return func(ok bool) {
			if ok && refused == nil {
				next()
				return
			}
			handle(resultOrNoAnswer(Result{Code: code(refused)}, ok))
		}
	}
	sc.call(action.Node, readIndex, onSuccess(func() {
		sc.call(action.Source, readEntries, onSuccess(func() {
			sc.call(action.Node, appendEntries, func(ok bool) { handle(resultOrNoAnswer(result, ok)) })
		}))
	}))
}

// executeOnStore executes an action that is sent to a node.
func executeOnStore(store *shardnode.Store, action Action) Result {
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

// publishMap sends the map to the proxies, each with a random delay.
func (sc *scenario) publishMap() {
	m := sc.current
	for _, recipient := range sc.proxies {
		sc.After(2+30*sc.random.Float64()*sc.random.Float64()*10, func() {
			if !recipient.frozen {
				recipient.routes.Update(m)
			}
		})
	}
}

func newScenario(seed uint64, nodes, shards int) *scenario {
	sc := &scenario{random: rand.New(rand.NewPCG(seed, 9)), nodes: map[string]*node{}, requests: map[string]*request{},
		clientsActive: true}
	create := &Change{Kind: ChangeCreate, InitialOwners: map[string]string{}, Nodes: map[string]Node{}}
	for i := range nodes {
		id := fmt.Sprint("n", i)
		sc.ids = append(sc.ids, id)
		sc.nodes[id] = &node{id: id, store: shardnode.NewStore(60000, 3000)}
		create.Nodes[id] = Node{Zone: fmt.Sprint("z", i%3), State: shardplan.NodeActive}
	}
	for i := range shards {
		create.InitialOwners[fmt.Sprint("s", i)] = sc.ids[i%(nodes-1)] // the last node is new and empty
	}
	sc.current, _ = (*Map)(nil).Apply(create)
	sc.current.Rules.BytesPerSecond = 400000
	for _, shard := range slices.Sorted(maps.Keys(sc.current.Shards)) { // sorted for reproducibility
		store := sc.nodes[sc.current.Shards[shard].Node].store
		_ = store.Activate(shard, 1, 0)
		for i := range 20 + sc.random.IntN(40) {
			_, _ = store.Write(shard, 1, fmt.Sprint("old", i), make([]byte, 50+sc.random.IntN(200)))
		}
	}
	for range 3 {
		newProxy := &proxy{routes: NewRoutingTable()}
		newProxy.routes.Update(sc.current)
		sc.proxies = append(sc.proxies, newProxy)
	}
	return sc
}

// applyPlan makes a plan from the nodes' reports, applies it, and returns its number of tasks.
func (sc *scenario) applyPlan() int {
	reports := map[string]shardnode.Report{}
	for id, node := range sc.nodes {
		reports[id] = node.store.Report()
	}
	cluster, err := ClusterOf(sc.current, reports)
	if err != nil {
		panic(err)
	}
	tasks := TasksFromPlan(cluster.MakePlan())
	if sc.change(&Change{Kind: ChangePlan, Tasks: tasks}) {
		sc.publishMap()
	}
	return len(tasks)
}
