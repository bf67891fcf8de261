package queue

import (
	"fmt"
	"hash"
	"hash/fnv"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"

	"weirwind/internal/session/sites"
)

// runSiteFaults plays a scenario whose sites come and go, to its quiet end.
func runSiteFaults(seed uint64, trace hash.Hash64) *scenario {
	e := newScenario(seed, 12)
	e.trace = trace
	e.RunUntil(1000)
	e.startTraffic(12000)
	// One site at a time is away, and the next one only once sessions have their replicas again.
	at := 1500.0
	for at < 11000 {
		site := e.sites[simSites[e.random.IntN(4)]]
		k := e.random.IntN(5)
		e.After(at-e.Now, func() {
			if !site.up || site.frozen {
				return
			}
			switch k {
			case 0:
				e.kill(site, 3000)
			case 1:
				e.logf("%s is frozen", site.name)
				site.frozen = true
				e.After(1000+2500*e.random.Float64(), func() {
					site.frozen = false
					for _, f := range site.frozenCommands {
						f()
					}
					site.frozenCommands = nil
				})
			case 2:
				e.logf("%s drains", site.name)
				e.change(&sites.Change{Kind: sites.ChangeDrain, Name: site.name, DrainRate: 20})
				e.After(2500, func() { e.change(&sites.Change{Kind: sites.ChangeUndrain, Name: site.name}) })
			case 3:
				e.breakLink(site.name, fmt.Sprint("e", e.random.IntN(2)))
			case 4:
				e.breakLink(site.name, simSites[e.random.IntN(4)])
			}
		})
		at += []float64{4500, 5500, 1200, 300, 300}[k]
	}
	e.RunUntil(14000)
	e.clientsRun = false
	e.RunUntil(30000)
	return e
}

// Sites are pulled, frozen, drained and return; links break. The edges live: every socket stays open.
func TestScenarios(t *testing.T) {
	seeds := 60
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	var gaps []float64
	queued := 0
	for seed := range uint64(seeds) {
		e := runSiteFaults(seed, nil)
		for _, edge := range e.edges {
			gaps = append(gaps, edge.decider.OwnerGaps()...)
		}
		for _, c := range e.clients {
			queued += len(c.acknowledged)
		}
		if wrong := e.verify(false); len(wrong) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, wrong[:min(len(wrong), 4)], strings.Join(e.log, "\n"))
		}
	}
	slices.Sort(gaps)
	t.Logf("%d scenarios, %d messages queued, %d changes of owner: silence %.0f ms at the median, %.0f at p99, %.0f at most",
		seeds, queued, len(gaps), gaps[len(gaps)/2], gaps[len(gaps)*99/100], gaps[len(gaps)-1])
}

// runEdgeFaults plays a scenario whose edges die, to its quiet end.
func runEdgeFaults(seed uint64, trace hash.Hash64) *scenario {
	e := newScenario(seed, 10)
	e.trace = trace
	for _, c := range e.clients {
		c.plain = false
	}
	e.RunUntil(1000)
	e.startTraffic(12000)
	for at := 1500.0; at < 11000; at += 1800 {
		edge := e.edges[fmt.Sprint("e", e.random.IntN(2))]
		pull := e.random.IntN(3) == 0
		e.After(at-e.Now, func() {
			e.logf("%s dies", edge.name)
			gone := edge.sockets
			edge.sockets = map[uint64]*client{}
			edge.up = false
			for _, name := range simSites {
				e.breakLink(edge.name, name)
			}
			e.After(400, func() {
				edge.decider, edge.up = NewEdge(edge.name, "z0", "r"), true
				edge.decider.ApplyMap(e.current, e.Now)
				e.startEdge(edge)
			})
			for _, c := range e.clients {
				for _, o := range gone {
					if o == c && c.edge == edge.name {
						c.open = false
						e.reconnectLater(c)
						if e.random.IntN(4) == 0 {
							e.reconnectLater(c)
						}
					}
				}
			}
			if site := e.sites["b"]; pull && site.up {
				e.kill(site, 3000)
			}
		})
	}
	e.RunUntil(14000)
	e.clientsRun = false
	e.RunUntil(30000)
	return e
}

// Edges die too: the client's next connection, at any edge, resumes its session from what it has, sometimes two at
// once.
func TestEdgesDie(t *testing.T) {
	for seed := range uint64(40) {
		e := runEdgeFaults(1000+seed, nil)
		if wrong := e.verify(true); len(wrong) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, wrong[:min(len(wrong), 4)], strings.Join(e.log, "\n"))
		}
	}
}

// A drain hands some 5,000 sessions over at its rate, and each socket is without an owner for little longer than the
// messages take.
func TestDrainOfThousands(t *testing.T) {
	e := newScenario(7, 0)
	var all []*client
	for i := range 5000 {
		c := &client{id: fmt.Sprint("c", i), secret: "s", produced: map[string]bool{}}
		all = append(all, c)
		e.clients = all
		e.connect(c, true)
	}
	e.RunUntil(4000)
	from := e.sites["a"].decider.OwnedSessions()
	e.change(&sites.Change{Kind: sites.ChangeDrain, Name: "a", DrainRate: 1000})
	began := e.Now
	for e.sites["a"].decider.OwnedSessions() > 0 && e.Now < began+30000 {
		e.RunUntil(e.Now + 50)
	}
	e.RunUntil(e.Now + 500)
	var gaps []float64
	for _, edge := range e.edges {
		gaps = append(gaps, edge.decider.OwnerGaps()...)
	}
	slices.Sort(gaps)
	if from < 1000 || e.sites["a"].decider.OwnedSessions() > 0 || len(gaps) < from {
		t.Fatalf("%d homes of %d are left, %d changes", e.sites["a"].decider.OwnedSessions(), from, len(gaps))
	}
	t.Logf("%d sessions in %.0f ms; silence %.0f ms at the median, %.0f at p99, %.0f at most", from, e.Now-began-500,
		gaps[len(gaps)/2], gaps[len(gaps)*99/100], gaps[len(gaps)-1])
	if gaps[len(gaps)*99/100] > 100 {
		t.Error("over 100 ms at p99")
	}
}

// What an idle session takes at its owner, its replica and its edge together.
func TestIdleMemory(t *testing.T) {
	e := newScenario(8, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const n = 10000
	for i := range n {
		c := &client{id: fmt.Sprintf("%032d", i), secret: strings.Repeat("s", 32), edge: "e0"}
		e.connect(c, true)
		if i%500 == 0 {
			e.RunUntil(e.Now + 100)
		}
	}
	e.RunUntil(e.Now + 2000)
	e.Discard()
	runtime.GC()
	runtime.ReadMemStats(&after)
	homes := 0
	for _, site := range e.sites {
		homes += site.decider.OwnedSessions()
	}
	each := float64(after.HeapAlloc-before.HeapAlloc) / float64(max(homes, 1))
	t.Logf("%d sessions: %.0f bytes each at home, copy and edge", homes, each)
	if homes < 1000 || each > 20<<10 {
		t.Errorf("%d sessions, %.0f bytes each", homes, each)
	}
	runtime.KeepAlive(e)
}

// Every message of sites and edges, everything that clients are told and every reply, in order, over scenarios of
// both sorts of faults.
func TestDecisionDigest(t *testing.T) {
	const recorded = 0x84654f2fbf612f12
	trace := fnv.New64a()
	for seed := range uint64(10) {
		runSiteFaults(200+seed, trace)
		runEdgeFaults(1200+seed, trace)
	}
	if got := trace.Sum64(); got != recorded {
		t.Errorf("the digest is %#x, recorded is %#x", got, uint64(recorded))
	}
}
