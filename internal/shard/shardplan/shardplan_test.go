package shardplan

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomCluster is a cluster as they grow: filled evenly once, then nodes came, went, filled, and shards grew.
func randomCluster(r *rand.Rand, nodes, shards int, full float64) *Cluster {
	c := &Cluster{Rules: Rules{BalanceBand: 0.1, ReservedShare: 0.05, SpreadZones: true, MaxMovesPerNode: 2}}
	zones := min(nodes, 3+r.IntN(3))
	for i := range nodes {
		c.Nodes = append(c.Nodes, Node{ID: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%zones), State: NodeActive})
	}
	load := make([]int64, nodes)
	for i := range shards {
		size := int64(1+r.IntN(20)) * (1 << 20)
		if r.IntN(10) == 0 {
			size *= int64(1 + r.IntN(8))
		}
		s := Shard{ID: fmt.Sprint("s", i), Size: size, Growth: size / 50, RequestRate: r.ExpFloat64()}
		first := r.IntN(nodes)
		for k := range 2 {
			n := (first + k) % nodes // the next zone
			s.Replicas = append(s.Replicas, c.Nodes[n].ID)
			load[n] += size
		}
		c.Shards = append(c.Shards, s)
	}
	most := slices.Max(load)
	for i := range c.Nodes {
		c.Nodes[i].Capacity = int64(float64(most) / 0.95 / full)
	}
	return c
}

func injectFault(r *rand.Rand, c *Cluster) string {
	n := &c.Nodes[r.IntN(len(c.Nodes))]
	switch r.IntN(4) {
	case 0:
		n.State = NodeDraining
		return "a node leaves"
	case 1:
		n.State = NodeLost
		return "a node is gone"
	case 2:
		for k := range 1 + len(c.Nodes)/10 {
			c.Nodes = append(c.Nodes, Node{ID: fmt.Sprint("new", k), Zone: c.Nodes[k].Zone, Capacity: n.Capacity,
				State: NodeActive})
		}
		return "nodes are added"
	}
	n.External = n.Capacity / 4
	return "others fill a node"
}

// replay plays a plan and checks the capacities at each moment.
func replay(c *Cluster, p *Plan) error {
	b := newPlacement(c)
	on := map[string]map[string]bool{}
	size, grow := map[string]int64{}, map[string]int64{}
	for _, s := range c.Shards {
		size[s.ID], grow[s.ID], on[s.ID] = s.Size, s.Size+s.Growth, map[string]bool{}
		for _, h := range s.Replicas {
			on[s.ID][h] = true
		}
	}
	load := map[string]int64{}
	for _, n := range b.nodes {
		load[n.ID] = n.used
	}
	bytes := int64(0)
	for k, round := range p.Rounds {
		for _, m := range round {
			if !on[m.Shard][m.From] || on[m.Shard][m.To] {
				return fmt.Errorf("round %d: %+v, held by %v", k, m, on[m.Shard])
			}
			if load[m.To] += grow[m.Shard]; load[m.To] > b.byID[m.To].capacity {
				return fmt.Errorf("round %d: %s holds %d of %d", k, m.To, load[m.To], b.byID[m.To].capacity)
			}
		}
		for _, m := range round {
			load[m.To] -= grow[m.Shard] - size[m.Shard]
			on[m.Shard][m.To] = true
			bytes += m.Bytes
			if !m.Restore {
				load[m.From] -= size[m.Shard]
				delete(on[m.Shard], m.From)
			}
		}
	}
	if bytes != p.Bytes || bytes < p.LowerBound && len(p.Unplaced)+len(p.OutOfBand) == 0 {
		return fmt.Errorf("%d bytes moved, %d said, bound %d", bytes, p.Bytes, p.LowerBound)
	}
	return nil
}

// rendezvous is the baseline of hashing: each copy goes to the nodes of the highest weights.
func rendezvous(c *Cluster) (bytes int64) {
	for _, s := range c.Shards {
		type w struct {
			id string
			h  uint64
		}
		var all []w
		for _, n := range c.Nodes {
			if n.State != NodeActive {
				continue
			}
			h := fnv.New64a()
			h.Write([]byte(s.ID + n.ID))
			all = append(all, w{n.ID, h.Sum64()})
		}
		slices.SortFunc(all, func(a, b w) int { return cmp.Compare(b.h, a.h) })
		for _, x := range all[:min(len(all), len(s.Replicas))] {
			if !slices.Contains(s.Replicas, x.id) {
				bytes += s.Size
			}
		}
	}
	return bytes
}

// greedy is the baseline of taking the largest from the fullest to the emptiest until all are within the band. fair
// says whether it came to what a plan must come to.
func greedy(c *Cluster) (bytes int64, fair bool) {
	b := newPlacement(c)
	in := slices.DeleteFunc(slices.Clone(b.nodes), func(p *nodeLoad) bool { return p.State != NodeActive })
	empty := func() *nodeLoad { return slices.MaxFunc(in, byUtilization) }
	for _, p := range b.nodes {
		for i := range p.shards {
			if p.State != NodeActive {
				bytes += c.Shards[i].Size
				b.put(empty(), i)
			}
		}
	}
	for range 100000 {
		p := slices.MinFunc(in, byUtilization)
		if p.used <= p.maxUsed {
			break
		}
		best := -1
		for i := range p.shards {
			if best < 0 || c.Shards[i].Size > c.Shards[best].Size {
				best = i
			}
		}
		to := empty()
		if best < 0 || to == p || to.used+c.Shards[best].Size >= p.used {
			break
		}
		b.take(p, best)
		b.put(to, best)
		bytes += c.Shards[best].Size
	}
	for _, p := range in {
		if p.used > p.maxUsed || p.used < p.minUsed {
			return bytes, false
		}
		for i := range p.shards {
			if slices.ContainsFunc(in, func(o *nodeLoad) bool { return o != p && o.Zone == p.Zone && o.shards[i] }) {
				return bytes, false
			}
		}
	}
	return bytes, true
}

func TestPlansAgainstTheBoundAndBaselines(t *testing.T) {
	for _, size := range []struct{ nodes, shards, cases int }{{10, 300, 300}, {100, 3000, 40}, {1000, 50000, 1}} {
		var ratios []float64
		worse, failed := 0, 0
		took := time.Duration(0)
		for seed := range size.cases {
			r := rand.New(rand.NewPCG(uint64(seed), uint64(size.nodes)))
			c := randomCluster(r, size.nodes, size.shards, 0.5+0.3*r.Float64())
			what := injectFault(r, c)
			if err := c.Validate(); err != nil {
				t.Fatal(err)
			}
			began := time.Now()
			p := c.MakePlan()
			took += time.Since(began)
			if err := replay(c, p); err != nil {
				t.Fatalf("%d nodes, seed %d, %s: %v", size.nodes, seed, what, err)
			}
			if len(p.Unplaced)+len(p.OutOfBand) > 0 {
				failed++
				continue
			}
			if p.LowerBound > 200<<20 { // some twenty shards: below, one shard's size decides
				ratios = append(ratios, float64(p.Bytes)/float64(p.LowerBound))
			}
			if p.Bytes > rendezvous(c) {
				worse++
			} else if size.nodes < 1000 { // it takes ten seconds there
				if bytes, fair := greedy(c); fair && p.Bytes > bytes {
					worse++
				}
			}
		}
		slices.Sort(ratios)
		t.Logf("%d nodes, %d shards: %d plans, bytes over the bound: median %.3f, worst %.3f; worse than a baseline %d, band or room not reached %d; %v a plan",
			size.nodes, size.shards, size.cases, ratios[len(ratios)/2], ratios[len(ratios)-1], worse, failed,
			took/time.Duration(size.cases))
		if ratios[len(ratios)/2] > 1.05 || worse > 0 {
			t.Error("more is moved than is to be")
		}
	}
}

func TestReplicasThatWaitForEachOthersSpace(t *testing.T) {
	// Two nodes are full of what the other is to hold, as zones want; the third has space for one replica.
	c := &Cluster{Rules: Rules{BalanceBand: 1, SpreadZones: true, MaxMovesPerNode: 1},
		Nodes: []Node{{ID: "a", Zone: "1", Capacity: 10, State: NodeActive}, {ID: "b", Zone: "2", Capacity: 10,
			State: NodeActive},
			{ID: "c", Zone: "3", Capacity: 30, State: NodeActive}},
		Shards: []Shard{{ID: "x", Size: 10, Replicas: []string{"a"}}, {ID: "y", Size: 10, Replicas: []string{"b"}},
			{ID: "z", Size: 15, Replicas: []string{"c"}}}}
	plan := &Plan{}
	c.scheduleRounds([]Move{{Shard: "x", From: "a", To: "b", Bytes: 10}, {Shard: "y", From: "b", To: "a", Bytes: 10}},
		plan)
	if err := replay(c, plan); err != nil || len(plan.Unplaced) > 0 || plan.Bytes != 30 || len(plan.Rounds) != 3 ||
		!plan.Rounds[0][0].Staging {
		t.Fatalf("%+v: %v", plan, err)
	}
	c.Nodes[2].Capacity = 20 // no space is free: what binds is said, and nothing is moved
	plan = &Plan{}
	c.scheduleRounds([]Move{{Shard: "x", From: "a", To: "b", Bytes: 10}, {Shard: "y", From: "b", To: "a", Bytes: 10}},
		plan)
	if len(plan.Unplaced) != 2 || len(plan.Rounds) != 0 {
		t.Fatalf("%+v", plan)
	}
}

func TestNoPrefixOfAPlanExceedsACapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		c := randomCluster(r, rapid.IntRange(3, 12).Draw(t, "nodes"), rapid.IntRange(1, 120).Draw(t, "shards"),
			rapid.Float64Range(0.4, 0.98).Draw(t, "full"))
		for range rapid.IntRange(1, 3).Draw(t, "faults") {
			injectFault(r, c)
		}
		if err := replay(c, c.MakePlan()); err != nil {
			t.Fatal(err)
		}
	})
}
