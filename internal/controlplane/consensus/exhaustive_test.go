package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
)

// small is three machines whose every order of events is tried up to a depth: who acts, which letter comes,
// whose power goes between its sync and its words.
type small struct {
	nodes   [3]*Node
	disks   [3]HardState
	mail    []Envelope
	now     float64
	decided map[uint64]string
	asked   int
}

func draw() float64 { return 0 }

func (s *small) fork() *small {
	c := *s
	c.mail = slices.Clone(s.mail)
	c.decided = map[uint64]string{}
	for k, v := range s.decided {
		c.decided[k] = v
	}
	for i, n := range s.nodes {
		m := *n
		m.HardState = copyOf(n.HardState)
		m.votes = map[string]bool{}
		for k, v := range n.votes {
			m.votes[k] = v
		}
		m.progress = map[string]*progress{}
		for k, v := range n.progress {
			p := *v
			m.progress[k] = &p
		}
		m.joiners = map[string]joiner{}
		m.leavingVoters, m.removedAddrs = maps.Clone(n.leavingVoters), maps.Clone(n.removedAddrs)
		c.nodes[i] = &m
		c.disks[i] = copyOf(s.disks[i])
	}
	return &c
}

func (s *small) index(addr string) int { return int(addr[1] - '0') }

// settle writes and sends; die says that power is lost behind the sync and before the words.
func (s *small) settle(i int, die bool) {
	n := s.nodes[i]
	for range 4 {
		if n.Dirty() {
			s.disks[i] = copyOf(n.HardState)
			if die {
				s.nodes[i] = New(n.options, copyOf(s.disks[i]), s.now)
				return
			}
			n.Synced(s.now)
		}
		for _, m := range n.Messages() {
			if e := m.Message.Entry; e != nil {
				c := *e
				m.Message.Entry = &c
			}
			s.mail = append(s.mail, m)
		}
	}
}

func (s *small) check(t *testing.T, path string) {
	lead := map[uint64]int{}
	for i, n := range s.nodes {
		if n.role == Leader {
			if j, taken := lead[n.HardState.Term]; taken {
				t.Fatalf("%s: %d and %d lead in term %d", path, i, j, n.HardState.Term)
			}
			lead[n.HardState.Term] = i
		}
		if e, ok := n.Committed(); ok {
			if old, known := s.decided[e.Index]; known && old != string(e.Value) {
				t.Fatalf("%s: entry %d is %q and %q", path, e.Index, old, e.Value)
			}
			s.decided[e.Index] = string(e.Value)
		}
	}
}

// key tells states apart in what decides.
func (s *small) key() string {
	var b strings.Builder
	for _, n := range s.nodes {
		fmt.Fprintf(&b, "%d %d %s %d %d %q %d %v %d %v %v|", n.role, n.HardState.Term, n.HardState.Vote, n.HardState.Last.Term, n.HardState.Last.Index, n.HardState.Last.Value, n.HardState.Commit, n.role == preCandidate, len(n.HardState.Last.Voters),
			n.leavingSince, n.leavingVoters)
	}
	var mail []string
	for _, m := range s.mail {
		mail = append(mail, fmt.Sprint(m.To, m.Message.Kind, m.Message.From.ID, m.Message.Term, m.Message.LastTerm, m.Message.LastIndex, m.Message.Granted, m.Message.Commit))
	}
	sort.Strings(mail)
	return b.String() + strings.Join(mail, ";")
}

func TestEveryOrderOfFewEvents(t *testing.T) { everyOrder(t, 3, false) }

// TestEveryOrderOfLeaving has one machine end in order as well, at any time, where two voters are enough: a
// leader hands over, or is removed by itself; a follower is removed by who leads then.
func TestEveryOrderOfLeaving(t *testing.T) { everyOrder(t, 2, true) }

func everyOrder(t *testing.T, fewest int, leaving bool) {
	addrs := []string{"m0", "m1", "m2"}
	start := &small{decided: map[uint64]string{}, now: 10000}
	for i, a := range addrs {
		start.disks[i] = Bootstrap(a, addrs)
		start.nodes[i] = New(Options{Addr: a, Seeds: addrs, MinVoters: fewest, HeartbeatInterval: 200, ElectionTimeout: 900, RemoveAfter: 1e9, Random: draw}, copyOf(start.disks[i]), 0)
	}
	if leaving { // from where one leads: all of the depth is for what comes then
		start.nodes[0].preCampaign(start.now)
		start.settle(0, false)
		for len(start.mail) > 0 {
			m := start.mail[0]
			start.mail = start.mail[1:]
			i := start.index(m.To)
			start.nodes[i].Step(&m.Message, start.now)
			start.settle(i, false)
		}
		if !start.nodes[0].Established() {
			t.Fatal("nobody leads")
		}
	}
	removed, handed := 0, 0
	depth, seen, states := 8, map[string]int{}, 0
	if d := os.Getenv("DEPTH"); d != "" { // 11 takes three minutes: 5.1 million states
		depth, _ = strconv.Atoi(d)
	}
	var walk func(s *small, left int, path string)
	walk = func(s *small, left int, path string) {
		states++
		s.check(t, path)
		for i, n := range s.nodes {
			if e, ok := n.Committed(); ok && len(e.Voters) == 2 {
				removed++
			}
			if n.role == Leader && n.transferredElection && i == 1 {
				handed++
			}
		}
		if k := s.key(); seen[k] >= left+1 {
			return
		} else {
			seen[k] = left + 1
		}
		if left == 0 {
			return
		}
		for i := range 2 { // the third only answers: who is third is no matter
			if s.nodes[i].role != Leader && strings.Count(path, fmt.Sprint("c", i)) < 2 {
				c := s.fork()
				c.nodes[i].preCampaign(c.now)
				c.settle(i, false)
				walk(c, left-1, path+fmt.Sprint(" c", i))
			}
			if leaving && !strings.Contains(path, "l") && s.nodes[i].HardState.Term > 0 {
				c := s.fork()
				c.nodes[i].Leave(c.now)
				c.settle(i, false)
				walk(c, left-1, path+fmt.Sprint(" l", i))
			}
			if leaving && s.nodes[i].role == Leader && !s.nodes[i].InFlight() {
				c := s.fork()
				c.nodes[i].nextHeartbeat = c.now + 1
				c.nodes[i].Tick(c.now)
				c.settle(i, false)
				walk(c, left-1, path+fmt.Sprint(" t", i))
			}
			if s.nodes[i].Established() && s.asked < 2 {
				c := s.fork()
				c.asked++
				c.nodes[i].Propose([]byte(string(c.nodes[i].HardState.Last.Value)+fmt.Sprint(i)), c.now)
				c.settle(i, false)
				walk(c, left-1, path+fmt.Sprint(" p", i))
			}
		}
		for k := range s.mail {
			if k > 0 && fmt.Sprint(s.mail[k]) == fmt.Sprint(s.mail[k-1]) {
				continue
			}
			for _, die := range []bool{false, true} {
				if die && strings.Contains(path, "!") {
					continue
				}
				c := s.fork()
				m := c.mail[k]
				c.mail = slices.Delete(c.mail, k, k+1)
				i := c.index(m.To)
				c.nodes[i].Step(&m.Message, c.now)
				if die && !c.nodes[i].Dirty() {
					continue
				}
				c.settle(i, die)
				mark := " m"
				if die {
					mark = " !"
				}
				walk(c, left-1, path+fmt.Sprint(mark, m.To, uint8(m.Message.Kind)))
			}
		}
	}
	walk(start, depth, "")
	if states < 1000 {
		t.Fatal(states)
	}
	if leaving && (removed == 0 || handed == 0) {
		t.Fatal("no voter was removed, or no lead handed over", removed, handed)
	}
	t.Log(states, "states")
}

// TestMeasure prints how long the core is without a leader, and a change without its answer, after each kind
// of fault; -v shows it.
func TestMeasure(t *testing.T) {
	for _, fault := range []string{"leader killed", "leader frozen", "leader cut off", "follower killed", "power lost everywhere", "leader wiped", "leader told to end"} {
		var led []float64
		for seed := range 200 {
			v := newCluster(uint64(seed+7000), 3)
			v.r = rand.New(rand.NewPCG(uint64(seed), 99))
			v.risk = 0
			v.run(4000, 0)
			var h *host
			for _, a := range v.names() {
				if o := v.hosts[a]; o.node.Established() == (fault != "follower killed") {
					h = o
				}
			}
			if h == nil {
				continue
			}
			at, acked := v.now, len(v.acked)
			switch fault {
			case "leader killed", "follower killed":
				h.on = false
				for _, o := range v.names() {
					if v.hosts[o].on {
						v.hosts[o].node.LeaderDisconnected(h.addr, v.now)
					}
				}
			case "leader frozen":
				h.frozen = v.now + 20000
			case "leader cut off":
				for _, o := range v.names() {
					v.cut[[2]string{h.addr, o}], v.cut[[2]string{o, h.addr}] = true, true
				}
			case "power lost everywhere":
				for _, o := range v.names() {
					v.start(v.hosts[o])
				}
			case "leader told to end":
				h.node.Leave(v.now)
				v.settle(h, 0)
			case "leader wiped":
				h.disk = Empty("9@" + h.addr)
				v.start(h)
			}
			for v.now < at+20000 && len(v.acked) == acked {
				v.run(10, 0)
				h.on = h.on && !h.node.LeaveDone(v.now)
				if h.wait != "" && fault != "follower killed" && fault != "power lost everywhere" {
					h.wait = ""
				}
			}
			led = append(led, v.now-at)
		}
		slices.Sort(led)
		if n := len(led); n == 0 || led[n-1] > 15000 {
			t.Errorf("%s: %v", fault, led)
		} else {
			t.Logf("%-22s until the next change is acknowledged, ms: median %.0f, p99 %.0f, worst %.0f", fault, led[n/2], led[n*99/100], led[n-1])
		}
	}
}
