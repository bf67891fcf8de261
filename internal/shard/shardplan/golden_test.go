package shardplan

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"weirwind/internal/standin/golden"
)

func TestGoldenForms(t *testing.T) {
	golden.JSON(t, "testdata/cluster.json", []golden.Case[Cluster]{golden.Of("cluster", Cluster{
		Nodes:  []Node{{"a", "z", 9, 1, NodeActive}, {"b", "y", 8, 2, NodeDraining}, {"c", "y", 8, 2, NodeLost}},
		Shards: []Shard{{"s", 5, 1, 0.5, []string{"a"}}},
		Rules:  Rules{0.25, 0.125, true, 2}})})
	golden.JSON(t, "testdata/plan.json", []golden.Case[Plan]{
		golden.Of("plan", Plan{Rounds: [][]Move{{{"s", "a", "b", 7, true, false}}, {{"s", "b", "c", 7, false, true}}},
			Bytes:      14,
			LowerBound: 7, Unplaced: []string{"why"}, OutOfBand: []string{"off"}}),
		golden.Of("empty", Plan{})})
}

func TestGoldenRefusals(t *testing.T) {
	node, shard := Node{ID: "a", State: NodeActive}, Shard{ID: "s", Replicas: []string{"a"}}
	var cases []golden.Case[string]
	for _, c := range []Cluster{
		{Nodes: []Node{{}}}, {Nodes: []Node{node, node}}, {Nodes: []Node{{ID: "a", State: "x"}}},
		{Nodes: []Node{node}, Shards: []Shard{{ID: "s"}}}, {Nodes: []Node{node}, Shards: []Shard{{ID: "s",
			Replicas: []string{"b"}}}},
		{Nodes: []Node{node}, Shards: []Shard{shard}, Rules: Rules{BalanceBand: -1}},
		{Nodes: []Node{node}, Shards: []Shard{shard}},
	} {
		cases = append(cases, golden.Of(fmt.Sprint("case ", len(cases)), fmt.Sprint(c.Validate())))
	}
	golden.Text(t, "testdata/refusals.txt", cases)
}

// The digest covers the JSON of plans for random clusters under one to four faults. In these clusters no two candidates
// of fillBelowBand differ in size and are equally close to what a node needs, so that the digest doesn't depend on how
// such ties are broken.
func TestDecisionDigest(t *testing.T) {
	const recorded = 0x22a44d8c88e69381
	trace := fnv.New64a()
	for _, size := range []struct{ nodes, shards, seeds int }{{5, 40, 150}, {10, 300, 60}, {40, 1500, 6}} {
		for seed := range size.seeds {
			r := rand.New(rand.NewPCG(uint64(seed), uint64(size.shards)))
			c := randomCluster(r, size.nodes, size.shards, 0.4+0.58*r.Float64())
			for i := range c.Shards {
				c.Shards[i].Size += int64(r.IntN(1 << 19))
			}
			c.Rules.SpreadZones, c.Rules.MaxMovesPerNode = r.IntN(4) > 0, r.IntN(4)
			for range 1 + seed%4 {
				injectFault(r, c)
			}
			b, err := json.Marshal(c.MakePlan())
			if err != nil {
				t.Fatal(err)
			}
			_, _ = trace.Write(b)
			_, _ = fmt.Fprint(trace, c.LowerBound())
		}
	}
	if got := trace.Sum64(); got != recorded {
		t.Errorf("the digest is %#x, recorded: %#x", got, uint64(recorded))
	}
}
