package consensus

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// dial has the connections of a machine that starts made anew: its own soon, those of the others at their next try.
func (v *cluster) dial(addr string) {
	for _, o := range v.names() {
		delete(v.links, [2]string{addr, o})
		if _, known := v.links[[2]string{o, addr}]; known {
			v.links[[2]string{o, addr}] = v.now + 2500*v.r.Float64() // the longest pause, and a try that ran into the dark
		}
	}
}

// stands says whether a connection does, either one's: answers go the way that the question came. The first
// message to an address only has one made.
func (v *cluster) stands(from, to string) bool {
	if v.links == nil {
		return true
	}
	at, known := v.links[[2]string{from, to}]
	if !known {
		v.links[[2]string{from, to}] = v.now + 5 + 95*v.r.Float64()
	}
	back, asked := v.links[[2]string{to, from}]
	return known && at <= v.now || asked && back <= v.now
}

func (v *cluster) leader() *host {
	for _, a := range v.names() {
		if h := v.hosts[a]; h.on && h.node.Established() {
			return h
		}
	}
	return nil
}

func (v *cluster) live() (out []string) {
	for _, a := range v.names() {
		if !v.hosts[a].gone {
			out = append(out, a)
		}
	}
	return out
}

// terminate is a SIGTERM: the process says that it leaves, and ends when nothing waits for it.
func (v *cluster) terminate(h *host) {
	h.node.Leave(v.now)
	v.settle(h, 0)
	for end := v.now + 1500; v.now < end && !h.node.LeaveDone(v.now); {
		v.run(10, 0)
	}
	v.run(100, 0)
	h.on = false
}

// victim is the leader or another machine that is not gone.
func (v *cluster) victim(leads bool, but ...string) *host {
	names := slices.DeleteFunc(v.live(), func(a string) bool { return slices.Contains(but, a) })
	if l := v.leader(); l != nil {
		if leads && slices.Contains(names, l.addr) {
			return l
		}
		names = slices.DeleteFunc(names, func(a string) bool { return a == l.addr })
	}
	return v.hosts[names[v.r.IntN(len(names))]]
}

// replace takes one machine out for good, or only its disk, and gives the time at which its successor started.
func (v *cluster) replace(how string, h *host) (successor string, at float64) {
	v.lives++
	if how == "wiped" {
		h.disk, h.on = Empty(fmt.Sprintf("%d@%s", v.lives, h.addr)), false
		v.run(300+2000*v.r.Float64(), 0)
		v.start(h)
		return h.addr, v.now
	}
	names := v.live()
	v.r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	addr := fmt.Sprint("n", v.lives)
	next := &host{addr: addr, seeds: names[:3], disk: Empty(fmt.Sprintf("%d@%s", v.lives, addr))}
	if how == "gone" {
		h.on, h.gone = false, true
		v.run(1000, 0)
		v.start(next)
		return addr, v.now
	}
	v.start(next)
	at = v.now
	v.run(1000, 0)
	h.gone = true
	v.terminate(h)
	return addr, at
}

// TestSecondLossRightAfterReplacement replaces as many machines as may be lost, one way or another, and loses
// as many others at the earliest moment that the rules give: catchupS after the successors' start. A change
// must be acknowledged while they are away.
func TestSecondLossRightAfterReplacement(t *testing.T) {
	const ackMs = 5000
	seeds := days(150)
	slowest := 0.0
	for seed := range seeds {
		tolerate, catchUp := 1, 4000.0
		machines := 3
		if seed%3 == 2 {
			tolerate, catchUp, machines = 2, 6000, 5+seed/3%2
		}
		v := newCluster(uint64(seed), 3)
		v.r = rand.New(rand.NewPCG(uint64(seed), 33))
		v.risk, v.lose, v.links, v.fewest = 0, 0, map[[2]string]float64{}, 2*tolerate+1
		for i := 3; i < machines; i++ {
			addr := fmt.Sprint("m", i)
			v.start(&host{addr: addr, disk: Empty("0@" + addr)})
		}
		v.run(catchUp, 0)
		var told []string
		for range 3 {
			last, successors := 0.0, []string{}
			for range 1 + v.r.IntN(tolerate) {
				how := []string{"gone", "planned", "wiped"}[v.r.IntN(3)]
				h := v.victim(v.r.IntN(2) == 0, successors...)
				successor, at := v.replace(how, h)
				told = append(told, fmt.Sprint(how, " ", h.addr, " at ", at))
				last, successors = max(last, at), append(successors, successor)
			}
			v.run(last+catchUp-v.now, 0)
			began, asked := v.now, v.ask
			var lost []string
			for n := range tolerate {
				h := v.victim(n == 0 && v.r.IntN(2) == 0, lost...)
				lost = append(lost, h.addr)
				told = append(told, fmt.Sprint("lost ", h.addr, " at ", v.now))
				h.on = false
				if v.r.IntN(3) == 0 {
					v.lives++
					h.disk = Empty(fmt.Sprintf("%d@%s", v.lives, h.addr))
				}
			}
			for v.now < began+ackMs && !v.ackedSince(asked) {
				v.run(10, 0)
			}
			slowest = max(slowest, v.now-began)
			if v.wrong != "" || !v.ackedSince(asked) {
				t.Fatalf("seed %d, %v: no change was acknowledged for %d ms; %s\n%s", seed, told, ackMs, v.wrong, v.standing())
			}
			v.wake()
			v.run(catchUp, 0)
		}
		v.nothingLost(t, fmt.Sprint("seed ", seed, told))
	}
	t.Logf("%d days; the slowest first change took %.0f ms", seeds, slowest)
}

// TestSuccessorLostToo replaces a machine and loses its successor within its first seconds: the others go on
// without either.
func TestSuccessorLostToo(t *testing.T) {
	const ackMs = 5000
	for seed := range days(400) {
		v := newCluster(uint64(seed), 3)
		v.r = rand.New(rand.NewPCG(uint64(seed), 34))
		v.risk, v.lose, v.links, v.fewest = 0, 0, map[[2]string]float64{}, 3
		v.run(4000, 0)
		h := v.victim(seed%2 == 0)
		how := []string{"gone", "planned"}[v.r.IntN(2)]
		what := fmt.Sprint("seed ", seed, ": ", how, " ", h.addr)
		v.diesAt = v.now + 1000 + 3000*v.r.Float64()
		_, at := v.replace(how, h)
		for v.diesAt > v.now {
			v.run(10, 0)
		}
		began, asked := v.now, v.ask
		for v.now < began+ackMs && !v.ackedSince(asked) {
			v.run(10, 0)
		}
		if v.wrong != "" || !v.ackedSince(asked) {
			t.Fatalf("%s, its successor started at %.0f and lost at %.0f: no change was acknowledged for %d ms; %s\n%s", what, at, began, ackMs,
				v.wrong, v.standing())
		}
		v.wake()
		v.run(4000, 0)
		v.nothingLost(t, what)
	}
}

// days gives how many seeds a test plays; the variable SEEDS asks for more.
func days(usual int) int {
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		return n
	}
	if testing.Short() {
		return usual / 4
	}
	return usual
}

// ackedSince says whether a change was acknowledged that was offered behind the nth.
func (v *cluster) ackedSince(n int) bool {
	var c int
	return len(v.acked) > 0 && func() bool {
		_, _ = fmt.Sscanf(v.acked[len(v.acked)-1], "c%d;", &c)
		return c > n
	}()
}

func (v *cluster) nothingLost(t *testing.T, what string) {
	t.Helper()
	if !v.whole() {
		t.Fatalf("%s: not whole again; %s\n%s", what, v.wrong, v.standing())
	}
	last := string(v.leadValue())
	for _, c := range v.acked {
		if !strings.Contains(last, c) {
			t.Fatalf("%s: %s was acknowledged and is lost: %s", what, c, last)
		}
	}
}

// standing tells each machine's part, for a test that failed.
func (v *cluster) standing() string {
	var b strings.Builder
	for _, a := range v.names() {
		h := v.hosts[a]
		n := h.node
		fmt.Fprintf(&b, "%s on %v gone %v role %d pre %v term %d last %d,%d busy %v voters %v\n", a, h.on, h.gone, n.role, n.role == preCandidate,
			n.HardState.Term, n.HardState.Last.Term, n.HardState.Last.Index, n.InFlight(), n.HardState.Last.Voters)
	}
	return b.String()
}
