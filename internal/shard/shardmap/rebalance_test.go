package shardmap

import (
	"fmt"
	"hash"
	"hash/fnv"
	"os"
	"slices"
	"strconv"
	"testing"

	"weirwind/internal/shard/shardplan"
)

// change applies an operator's change, and reports whether the map accepted it.
func (sc *scenario) change(change *Change) bool {
	next, err := sc.current.Apply(change)
	if err == nil {
		sc.current = next
	}
	return err == nil
}

// runWithFaults runs a scenario with eight faults drawn from its seed, and then without faults until it is quiescent.
func runWithFaults(seed uint64, trace hash.Hash64) (sc *scenario, plannedMoves int, rebalancers []*Rebalancer) {
	sc = newScenario(seed, 4, 12)
	sc.trace = trace
	sc.loss = []float64{0, 0.01, 0.05}[seed%3]
	for i := range 12 {
		for c := range 2 {
			sc.startClient(fmt.Sprint("c", i, "-", c), fmt.Sprint("s", i), 60, 20+sc.random.IntN(30))
		}
	}
	elect := func() {
		sc.elect()
		rebalancers = append(rebalancers, sc.leader.rebalancer)
	}
	elect()
	sc.RunUntil(300)
	plannedMoves = sc.applyPlan()
	for range 8 {
		sc.After(8000*sc.random.Float64(), func() { sc.injectFault(elect) })
	}
	sc.RunUntil(10000)
	sc.change(&Change{Kind: ChangeResume})
	sc.loss = 0
	elect()
	sc.RunUntil(20000)
	sc.clientsActive = false
	sc.RunUntil(26000)
	return sc, plannedMoves, rebalancers
}

// injectFault injects a random fault or performs a random operator action.
func (sc *scenario) injectFault(elect func()) {
	switch sc.random.IntN(9) {
	case 0, 1:
		sc.crash(sc.ids[sc.random.IntN(4)], 50+1500*sc.random.Float64())
	case 2:
		elect()
	case 3: // a proxy freezes and keeps its map
		proxy := sc.proxies[sc.random.IntN(3)]
		proxy.frozen = true
		sc.After(2000*sc.random.Float64(), func() { proxy.frozen = false; proxy.routes.Update(sc.current) })
	case 4:
		node := sc.nodes[sc.ids[sc.random.IntN(4)]]
		node.partitioned = true
		sc.After(1500*sc.random.Float64(), func() { node.partitioned = false })
	case 5: // a disk fills with other data than shards
		if node := sc.nodes[sc.ids[sc.random.IntN(4)]]; !node.down {
			store := node.store
			store.SetExternal(min(store.External+store.FreeBytes()*3/4,
				store.Capacity-store.UsedBytes()+store.External))
			sc.checkCapacity(node)
		}
	case 6, 7:
		if sc.change(&Change{Kind: []ChangeKind{ChangePause, ChangeAbort, ChangeResume}[sc.random.IntN(3)]}) {
			sc.publishMap()
		}
	case 8:
		id := sc.ids[sc.random.IntN(4)]
		node := sc.current.Nodes[id]
		node.State = shardplan.NodeDraining
		sc.change(&Change{Kind: ChangeNodes, Nodes: map[string]Node{id: node}})
		sc.applyPlan()
	}
}

// In scenarios with random faults no acknowledged write is lost, none takes effect twice, no disk exceeds its capacity,
// and in the end every shard is open at its owner only.
func TestScenarios(t *testing.T) {
	seeds := 45
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	totalMoves, handOvers, writeGaps := 0, 0, []float64(nil)
	for seed := range uint64(seeds) {
		sc, plannedMoves, rebalancers := runWithFaults(seed, nil)
		totalMoves += plannedMoves
		for _, rebalancer := range rebalancers {
			writeGaps = append(writeGaps, rebalancer.WriteGaps()...)
			handOvers += len(rebalancer.WriteGaps())
		}
		if problems := sc.verify(); len(problems) > 0 {
			t.Errorf("seed %d: %v\n%v", seed, problems[:min(len(problems), 5)], sc.events[max(0, len(sc.events)-10):])
			if t.Failed() && seed > 20 {
				return
			}
		}
		for _, task := range sc.current.Tasks {
			if task.Status == TaskPending {
				t.Errorf("seed %d: %+v stays pending\n%v %+v %+v", seed, task, sc.events[max(0, len(sc.events)-10):],
					sc.leader.rebalancer.transfers[task.Shard], sc.current)
			}
		}
	}
	slices.Sort(writeGaps)
	if handOvers < seeds {
		t.Errorf("only %d hand-overs in %d scenarios", handOvers, seeds)
	}
	t.Logf("%d moves planned, %d handed over; shards closed for %.0f ms at the median, %.0f at p99, %.0f at most", totalMoves,
		handOvers, writeGaps[len(writeGaps)/2], writeGaps[len(writeGaps)*99/100], writeGaps[len(writeGaps)-1])
}

// Without faults a shard is closed only for a few round trips and one commit of the core.
func TestWriteGaps(t *testing.T) {
	var writeGaps []float64
	for seed := range uint64(20) {
		sc := newScenario(seed, 4, 12)
		for i := range 12 {
			sc.startClient(fmt.Sprint("c", i), fmt.Sprint("s", i), 60, 20)
		}
		sc.elect()
		sc.RunUntil(300)
		sc.applyPlan()
		sc.RunUntil(6000)
		writeGaps = append(writeGaps, sc.leader.rebalancer.WriteGaps()...)
	}
	slices.Sort(writeGaps)
	t.Logf("%d hand-overs: closed for %.0f ms at the median, %.0f at p99, %.0f at most", len(writeGaps), writeGaps[len(writeGaps)/2],
		writeGaps[len(writeGaps)*99/100], writeGaps[len(writeGaps)-1])
	if writeGaps[len(writeGaps)*99/100] > 150 {
		t.Error("over 150 ms at p99")
	}
}

// The digest covers the decisions of fifteen scenarios with faults, in order: every action, every map, every answer of
// a proxy's routing table, and what the nodes store at the end.
func TestDecisionDigest(t *testing.T) {
	const recorded = 0x535fca893ea8b3c7
	trace := fnv.New64a()
	for seed := range uint64(15) {
		sc, _, rebalancers := runWithFaults(100+seed, trace)
		for _, rebalancer := range rebalancers {
			sc.record("gaps", rebalancer.WriteGaps(), rebalancer.BytesMoved())
		}
		for _, id := range sc.ids {
			sc.record("node", id, sc.nodes[id].store)
		}
	}
	if got := trace.Sum64(); got != recorded {
		t.Errorf("the digest is %#x, recorded: %#x", got, uint64(recorded))
	}
}
