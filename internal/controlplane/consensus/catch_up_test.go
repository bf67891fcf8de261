package consensus

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// steady has a change offered every 20 ms for so long.
func (v *cluster) steady(ms float64) {
	for end := v.now + ms; v.now < end && v.wrong == ""; {
		v.propose()
		v.step(0)
		v.step(0)
	}
}

// changes offers changes until so many more were acknowledged.
func (v *cluster) changes(n int) bool {
	for want, end := len(v.acked)+n, v.now+600_000; len(v.acked) < want; {
		if v.now > end || v.wrong != "" {
			return false
		}
		v.steady(20)
	}
	return true
}

// TestCatchesUpFromAnyAge has a machine away from the tenth of some hundreds of changes on, and back while
// changes go on every 20 ms, from each state that its disk may have; then made the leader. It must hold all
// that was acknowledged.
func TestCatchesUpFromAnyAge(t *testing.T) {
	cases := []struct {
		name  string
		leads bool // it led when it went
		then  func(v *cluster, h *host, term uint64)
	}{
		{"as it was", false, func(*cluster, *host, uint64) {}},
		{"it led", true, func(*cluster, *host, uint64) {}},
		{"it led, with an entry nobody else has", true, func(_ *cluster, h *host, _ uint64) {
			h.disk.Last.Index, h.disk.Last.Value = h.disk.Last.Index+1, append(h.disk.Last.Value, "lost;"...)
		}},
		{"with an older term's entry of a higher index", true, func(_ *cluster, h *host, _ uint64) { h.disk.Last.Index += 5000 }},
		{"with a higher term", false, func(_ *cluster, h *host, term uint64) { h.disk.Term, h.disk.Vote = term+3, "" }},
		{"with an empty disk", false, func(v *cluster, h *host, _ uint64) { h.disk = Empty("9@" + h.addr) }},
		{"removed meanwhile", false, func(v *cluster, _ *host, _ uint64) { v.fewest = 2 }},
		{"behind a slow line", false, func(v *cluster, h *host, _ uint64) { v.late[h.addr] = 150 }},
	}
	for i, c := range cases {
		for seed := range max(1, days(4)/2) {
			v := newCluster(uint64(seed), 3)
			v.r = rand.New(rand.NewPCG(uint64(seed), uint64(100+i)))
			v.risk, v.lose = 0, []float64{0, 0.05}[seed%2]
			v.run(4000, 0)
			what := fmt.Sprint(c.name, ", seed ", seed)
			if !v.changes(10) {
				t.Fatal(what, v.wrong, v.standing())
			}
			h := v.victim(c.leads)
			h.on = false
			if c.name == "removed meanwhile" {
				for _, a := range v.live() {
					v.hosts[a].node.options.MinVoters = 2
				}
			}
			v.run(6000, 0)
			if !v.changes(500) {
				t.Fatal(what, v.wrong, v.standing())
			}
			c.then(v, h, v.leader().node.HardState.Term)
			v.start(h)
			v.steady(4000)
			v.holds(t, what, h)
			clear(v.late)
			v.hand(t, what, h)
			v.steady(500)
			v.nothingLost(t, what)
		}
	}
}

// holds says that a machine votes, and knows committed what was acknowledged half a second ago.
func (v *cluster) holds(t *testing.T, what string, h *host) {
	t.Helper()
	known := len(v.acked)
	v.steady(500)
	e, _ := h.node.Committed()
	l := v.leader()
	if known == 0 || l == nil || !l.node.isVoter(h.node.HardState.ID) || !containsChange(string(e.Value), v.acked[known-1]) {
		t.Fatalf("%s: %s has not caught up with %d changes: it knows entry %d\n%s", what, h.addr, len(v.acked), e.Index, v.standing())
	}
}

func containsChange(value, change string) bool {
	return len(value) > len(change) && (value[:len(change)] == change || strings.Contains(value, ";"+change))
}

// hand has a machine made the leader, while changes go on.
func (v *cluster) hand(t *testing.T, what string, h *host) {
	t.Helper()
	for end := v.now + 20_000; v.leader() != h; {
		if l := v.leader(); l != nil && !l.node.InFlight() {
			if p := l.node.progress[h.node.HardState.ID]; p != nil && !l.node.lacksLast(p) {
				l.node.send(h.addr, Message{Kind: TimeoutNow, Term: l.node.HardState.Term})
				v.settle(l, 0)
				for range 30 { // a leader that hands over takes no change meanwhile
					v.step(0)
				}
				continue
			}
		}
		v.steady(20)
		if v.now > end || v.wrong != "" {
			t.Fatalf("%s: %s does not lead; %s\n%s", what, h.addr, v.wrong, v.standing())
		}
	}
	for n, c := range v.acked {
		if !containsChange(string(h.node.HardState.Last.Value), c) {
			t.Fatalf("%s: %s leads without change %d, %s", what, h.addr, n, c)
		}
	}
}

// TestJoinsWhileChangesGoOn has machines join behind a line so slow that changes outrun their answers.
func TestJoinsWhileChangesGoOn(t *testing.T) {
	for seed := range days(20) {
		v := newCluster(uint64(seed), 3)
		v.r = rand.New(rand.NewPCG(uint64(seed), 200))
		v.risk, v.lose, v.links, v.fewest = 0, 0, map[[2]string]float64{}, 3
		v.run(4000, 0)
		h := &host{addr: "n1", seeds: v.seeds, disk: Empty("1@n1")}
		v.late["n1"] = 120
		v.start(h)
		v.steady(2500)
		v.holds(t, fmt.Sprint("seed ", seed), h)
	}
}

// TestJoinsWithinASecond has an empty machine start at a new address. One of its seeds was replaced, and
// connections are made first.
func TestJoinsWithinASecond(t *testing.T) {
	slowest := 0.0
	for seed := range days(200) {
		v := newCluster(uint64(seed), 3)
		v.r = rand.New(rand.NewPCG(uint64(seed), 201))
		v.risk, v.lose, v.links, v.fewest = 0, 0, map[[2]string]float64{}, 3
		v.run(4000, 0)
		h := &host{addr: "n1", seeds: []string{"m0", "m1", "gone"}, disk: Empty("1@n1")}
		v.start(h)
		began := v.now
		for l := v.leader(); l == nil || !l.node.isVoter("1@n1") || l.node.InFlight(); l = v.leader() {
			if v.now > began+1000 {
				t.Fatalf("seed %d: it does not vote after a second\n%s", seed, v.standing())
			}
			v.run(10, 0)
		}
		slowest = max(slowest, v.now-began)
	}
	t.Logf("the slowest took %.0f ms", slowest)
}

// TestComesBackWhenAllThatItKnewAreReplaced has a machine removed while it is away, and come back with an
// empty disk when none of its seeds is there: those that saw it removed tell it who leads.
func TestComesBackWhenAllThatItKnewAreReplaced(t *testing.T) {
	for seed := range days(20) {
		v := newCluster(uint64(seed), 3)
		v.r = rand.New(rand.NewPCG(uint64(seed), 202))
		v.risk, v.lose, v.links, v.fewest = 0, 0, map[[2]string]float64{}, 5
		for _, addr := range []string{"m3", "m4"} {
			v.start(&host{addr: addr, disk: Empty("0@" + addr)})
		}
		v.run(6000, 0)
		for _, a := range []string{"m1", "m2"} {
			v.replace("gone", v.hosts[a])
			v.run(6000, 0)
		}
		away := v.hosts["m0"]
		away.on = false
		v.run(3000, 0)
		v.start(&host{addr: "n9", seeds: []string{"m0", "m3", "m4"}, disk: Empty("9@n9")})
		v.run(6000, 0)
		if l := v.leader(); l == nil || l.node.isVoter("0@m0") {
			t.Fatalf("seed %d: it still votes\n%s", seed, v.standing())
		}
		away.disk = Empty("8@m0")
		v.start(away)
		v.run(4000, 0)
		if l := v.leader(); l == nil || !l.node.isVoter("8@m0") {
			t.Fatalf("seed %d: it does not vote again\n%s", seed, v.standing())
		}
		v.nothingLost(t, fmt.Sprint("seed ", seed))
	}
}
