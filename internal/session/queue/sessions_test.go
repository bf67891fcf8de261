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

// runSiteFaults runs a scenario with faults of sites, and then without faults until it is quiescent.
func runSiteFaults(seed uint64, trace hash.Hash64) *scenario {
	sc := newScenario(seed, 12)
	sc.trace = trace
	sc.RunUntil(1000)
	sc.startTraffic(12000)
	// One site at a time fails, and the next one only after the sessions have all replicas again.
	faultAt := 1500.0
	for faultAt < 11000 {
		site := sc.sites[simSites[sc.random.IntN(4)]]
		fault := sc.random.IntN(5)
		sc.After(faultAt-sc.Now, func() {
			if !site.up || site.frozen {
				return
			}
			switch fault {
			case 0:
				sc.kill(site, 3000)
			case 1:
				sc.logf("%s is frozen", site.name)
				site.frozen = true
				sc.After(1000+2500*sc.random.Float64(), func() {
					site.frozen = false
					for _, command := range site.frozenCommands {
						command()
					}
					site.frozenCommands = nil
				})
			case 2:
				sc.logf("%s drains", site.name)
				sc.change(&sites.Change{Kind: sites.ChangeDrain, Name: site.name, DrainRate: 20})
				sc.After(2500, func() { sc.change(&sites.Change{Kind: sites.ChangeUndrain, Name: site.name}) })
			case 3:
				sc.breakLink(site.name, fmt.Sprint("e", sc.random.IntN(2)))
			case 4:
				sc.breakLink(site.name, simSites[sc.random.IntN(4)])
			}
		})
		faultAt += []float64{4500, 5500, 1200, 300, 300}[fault]
	}
	sc.RunUntil(14000)
	sc.clientsActive = false
	sc.RunUntil(30000)
	return sc
}

// Sites are killed, frozen, drained and restarted, and links break. The edges don't fail, so every socket must stay
// open.
func TestScenarios(t *testing.T) {
	seeds := 60
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	var ownerGaps []float64
	acknowledged := 0
	for seed := range uint64(seeds) {
		sc := runSiteFaults(seed, nil)
		for _, edge := range sc.edges {
			ownerGaps = append(ownerGaps, edge.decider.OwnerGaps()...)
		}
		for _, c := range sc.clients {
			acknowledged += len(c.acknowledged)
		}
		if problems := sc.verify(false); len(problems) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, problems[:min(len(problems), 4)], strings.Join(sc.log, "\n"))
		}
	}
	slices.Sort(ownerGaps)
	t.Logf("%d scenarios, %d messages acknowledged, %d changes of owner: detached for %.0f ms at p50, %.0f at p99, max %.0f",
		seeds, acknowledged, len(ownerGaps), ownerGaps[len(ownerGaps)/2], ownerGaps[len(ownerGaps)*99/100], ownerGaps[len(ownerGaps)-1])
}

// runEdgeFaults runs a scenario with crashes of edges, and then without faults until it is quiescent.
func runEdgeFaults(seed uint64, trace hash.Hash64) *scenario {
	sc := newScenario(seed, 10)
	sc.trace = trace
	for _, c := range sc.clients {
		c.plain = false
	}
	sc.RunUntil(1000)
	sc.startTraffic(12000)
	for at := 1500.0; at < 11000; at += 1800 {
		edge := sc.edges[fmt.Sprint("e", sc.random.IntN(2))]
		killSite := sc.random.IntN(3) == 0
		sc.After(at-sc.Now, func() {
			sc.logf("%s crashes", edge.name)
			lostSockets := edge.sockets
			edge.sockets = map[uint64]*client{}
			edge.up = false
			for _, name := range simSites {
				sc.breakLink(edge.name, name)
			}
			sc.After(400, func() {
				edge.decider, edge.up = NewEdge(edge.name, "z0", "r"), true
				edge.decider.ApplyMap(sc.current, sc.Now)
				sc.startEdge(edge)
			})
			for _, c := range sc.clients {
				for _, lost := range lostSockets {
					if lost == c && c.edge == edge.name {
						c.open = false
						sc.reconnectLater(c)
						if sc.random.IntN(4) == 0 {
							sc.reconnectLater(c)
						}
					}
				}
			}
			if site := sc.sites["b"]; killSite && site.up {
				sc.kill(site, 3000)
			}
		})
	}
	sc.RunUntil(14000)
	sc.clientsActive = false
	sc.RunUntil(30000)
	return sc
}

// Edges crash: the client's next connection, at any edge, resumes its session after the last message that it received.
// Sometimes a client opens two connections at once.
func TestEdgeCrashes(t *testing.T) {
	for seed := range uint64(40) {
		sc := runEdgeFaults(1000+seed, nil)
		if problems := sc.verify(true); len(problems) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, problems[:min(len(problems), 4)], strings.Join(sc.log, "\n"))
		}
	}
}

// A drain of a site with a part of 5,000 sessions hands them over at its rate, and each socket is detached only
// slightly longer than the messages of a hand-over take.
func TestDrainOfThousands(t *testing.T) {
	sc := newScenario(7, 0)
	var clients []*client
	for i := range 5000 {
		c := &client{id: fmt.Sprint("c", i), secret: "s", produced: map[string]bool{}}
		clients = append(clients, c)
		sc.clients = clients
		sc.connect(c, true)
	}
	sc.RunUntil(4000)
	ownedBefore := sc.sites["a"].decider.OwnedSessions()
	sc.change(&sites.Change{Kind: sites.ChangeDrain, Name: "a", DrainRate: 1000})
	startedAt := sc.Now
	for sc.sites["a"].decider.OwnedSessions() > 0 && sc.Now < startedAt+30000 {
		sc.RunUntil(sc.Now + 50)
	}
	sc.RunUntil(sc.Now + 500)
	var gaps []float64
	for _, edge := range sc.edges {
		gaps = append(gaps, edge.decider.OwnerGaps()...)
	}
	slices.Sort(gaps)
	if ownedBefore < 1000 || sc.sites["a"].decider.OwnedSessions() > 0 || len(gaps) < ownedBefore {
		t.Fatalf("%d of %d sessions are left, %d changes of owner", sc.sites["a"].decider.OwnedSessions(), ownedBefore,
			len(gaps))
	}
	t.Logf("%d sessions in %.0f ms; detached for %.0f ms at the median, %.0f at p99, max %.0f", ownedBefore,
		sc.Now-startedAt-500, gaps[len(gaps)/2], gaps[len(gaps)*99/100], gaps[len(gaps)-1])
	if gaps[len(gaps)*99/100] > 100 {
		t.Error("over 100 ms at p99")
	}
}

// The memory of an idle session at its owner, its replica and its edge together is bounded.
func TestIdleMemory(t *testing.T) {
	sc := newScenario(8, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const sessions = 10000
	for i := range sessions {
		c := &client{id: fmt.Sprintf("%032d", i), secret: strings.Repeat("s", 32), edge: "e0"}
		sc.connect(c, true)
		if i%500 == 0 {
			sc.RunUntil(sc.Now + 100)
		}
	}
	sc.RunUntil(sc.Now + 2000)
	sc.Discard()
	runtime.GC()
	runtime.ReadMemStats(&after)
	owned := 0
	for _, site := range sc.sites {
		owned += site.decider.OwnedSessions()
	}
	bytesEach := float64(after.HeapAlloc-before.HeapAlloc) / float64(max(owned, 1))
	t.Logf("%d sessions: %.0f bytes each at owner, replica and edge", owned, bytesEach)
	if owned < 1000 || bytesEach > 20<<10 {
		t.Errorf("%d sessions, %.0f bytes each", owned, bytesEach)
	}
	runtime.KeepAlive(sc)
}

// The digest covers every message of sites and edges, every client event and every reply, in order, in scenarios with
// both kinds of faults.
func TestDecisionDigest(t *testing.T) {
	const recorded = 0x84654f2fbf612f12
	trace := fnv.New64a()
	for seed := range uint64(10) {
		runSiteFaults(200+seed, trace)
		runEdgeFaults(1200+seed, trace)
	}
	if got := trace.Sum64(); got != recorded {
		t.Errorf("the digest is %#x, recorded: %#x", got, uint64(recorded))
	}
}
