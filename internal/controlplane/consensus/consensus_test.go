package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// cluster plays machines of a core under one scheduler: messages are lost, doubled and late; machines lose
// power between a write and its sync, freeze, lose their disks, are replaced at other addresses. Values are
// chains, so that a lost one shows.
type cluster struct {
	r       *rand.Rand
	now     float64
	hosts   map[string]*host
	mail    []letter
	acked   []string
	ask     int
	decided map[uint64]string // by index: what was ever known committed
	wrong   string
	lives   int
	cut     map[[2]string]bool
	seeds   []string
	risk    float64               // that power goes in the middle of a change
	lose    float64               // share of messages that are lost
	links   map[[2]string]float64 // when a connection stands; nil: all do at all times
	fewest  int                   // Options.MinVoters; 0: as many as founders
	diesAt  float64               // when the newest machine loses power
	late    map[string]float64    // how much later messages to a machine come
	digest  *digest               // of all that the machines put out; nil: none is taken
}

type host struct {
	addr   string
	seeds  []string // nil: the founders
	node   *Node
	disk   HardState
	on     bool
	frozen float64
	gone   bool
	wait   string // a value that was proposed here, with its index and term
	index  uint64
	term   uint64
}

type letter struct {
	at float64
	to string
	m  Message
}

func newCluster(seed uint64, n int) *cluster {
	v := &cluster{r: rand.New(rand.NewPCG(seed, 7)), hosts: map[string]*host{}, decided: map[uint64]string{}, cut: map[[2]string]bool{}, risk: 0.01,
		lose: 0.05, late: map[string]float64{}}
	for i := range n {
		v.seeds = append(v.seeds, fmt.Sprint("m", i))
	}
	for _, a := range v.seeds {
		v.start(&host{addr: a, disk: Bootstrap(a, v.seeds)})
	}
	return v
}

func (v *cluster) start(h *host) {
	v.hosts[h.addr] = h
	h.on, h.frozen, h.wait = true, 0, ""
	seeds := h.seeds
	if seeds == nil {
		seeds = v.seeds
	}
	fewest := v.fewest
	if fewest == 0 {
		fewest = len(v.seeds)
	}
	h.node = New(Options{Addr: h.addr, Seeds: seeds, MinVoters: fewest, HeartbeatInterval: 200, ElectionTimeout: 900,
		RemoveAfter: 1575, Random: v.r.Float64}, copyOf(h.disk), v.now)
	v.dial(h.addr)
}

func copyOf(h HardState) HardState {
	h.Last.Voters = slices.Clone(h.Last.Voters)
	h.Last.Value = slices.Clone(h.Last.Value)
	return h
}

func (v *cluster) names() []string {
	var out []string
	for a := range v.hosts {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

// settle syncs and sends as the core does. Power may be lost before the sync, or behind it and before the words.
func (v *cluster) settle(h *host, danger float64) {
	for range 4 {
		if h.node.Dirty() {
			if v.r.Float64() < danger {
				if v.r.IntN(2) == 0 {
					h.disk = copyOf(h.node.HardState)
				}
				h.on = false
				return
			}
			h.disk = copyOf(h.node.HardState)
			h.node.Synced(v.now)
		}
		for _, s := range h.node.Messages() {
			v.digest.message(h.addr, s)
			v.post(h.addr, s)
		}
		v.digest.node(h.node, v.now)
		v.look(h)
		if !h.node.Dirty() {
			return
		}
	}
}

func (v *cluster) post(from string, s Envelope) {
	if v.cut[[2]string{from, s.To}] || !v.stands(from, s.To) || v.r.Float64() < v.lose {
		return
	}
	m := s.Message
	if m.Entry != nil {
		e := *m.Entry
		m.Entry = &e
	}
	for range 1 + v.r.IntN(20)/19 {
		v.mail = append(v.mail, letter{v.now + 1 + v.late[s.To] + 60*v.r.Float64()*v.r.Float64(), s.To, m})
	}
}

// look holds what a node takes for committed against what any did before.
func (v *cluster) look(h *host) {
	if e, ok := h.node.Committed(); ok {
		s := string(e.Value)
		if old, known := v.decided[e.Index]; known && old != s {
			v.wrong = fmt.Sprintf("entry %d: %q and %q", e.Index, old, s)
		}
		v.decided[e.Index] = s
		if h.wait != "" && e.Term == h.term && e.Index >= h.index {
			v.acked = append(v.acked, h.wait)
			h.wait = ""
		}
	}
	if h.wait != "" && !h.node.Established() {
		h.wait = ""
	}
}

func (v *cluster) propose() {
	for _, a := range v.names() {
		h := v.hosts[a]
		if !h.on || h.frozen > v.now || !h.node.Established() || h.wait != "" {
			continue
		}
		v.ask++
		name := fmt.Sprintf("c%d;", v.ask)
		if e, ok := h.node.Propose([]byte(string(h.node.HardState.Last.Value)+name), v.now); ok {
			h.wait, h.index, h.term = name, e.Index, e.Term
			v.settle(h, v.risk)
		}
	}
}

func (v *cluster) step(danger float64) {
	v.now += 10
	if v.diesAt > 0 && v.diesAt <= v.now {
		if h := v.hosts[fmt.Sprint("n", v.lives)]; h != nil {
			h.on = false
		}
		v.diesAt = 0
	}
	due := v.mail
	v.mail = nil
	for _, l := range due {
		h := v.hosts[l.to]
		if l.at > v.now {
			v.mail = append(v.mail, l)
		} else if h != nil && h.on && h.frozen <= v.now {
			h.node.Step(&l.m, v.now)
			v.settle(h, danger)
		} else if h != nil && h.on && v.r.IntN(2) == 0 {
			l.at = h.frozen + 1 // it waits in a buffer
			v.mail = append(v.mail, l)
		}
	}
	for _, a := range v.names() {
		if h := v.hosts[a]; h.on && h.frozen <= v.now {
			h.node.Tick(v.now)
			v.settle(h, danger)
		}
	}
}

func (v *cluster) run(ms, danger float64) {
	for end := v.now + ms; v.now < end && v.wrong == ""; {
		if v.r.IntN(12) == 0 {
			v.propose()
		}
		v.step(danger)
	}
}

// wake gives power back to all that have a machine.
func (v *cluster) wake() {
	for _, a := range v.names() {
		if h := v.hosts[a]; !h.on && !h.gone {
			v.start(h)
		}
	}
}

// trouble brings one about, of those that may be borne: one machine of three or two of five at a time.
func (v *cluster) trouble() string {
	names := v.names()
	live := slices.DeleteFunc(names, func(a string) bool { return v.hosts[a].gone })
	h := v.hosts[live[v.r.IntN(len(live))]]
	switch v.r.IntN(7) {
	case 0:
		h.on = false
		return "power lost"
	case 1:
		for _, a := range live {
			v.hosts[a].on = false
		}
		return "power lost everywhere"
	case 2:
		h.frozen = v.now + 300 + 3000*v.r.Float64()
		return "frozen"
	case 3:
		for _, o := range live {
			v.cut[[2]string{h.addr, o}], v.cut[[2]string{o, h.addr}] = true, v.r.IntN(3) > 0
		}
		return "cut off"
	case 4: // the disk is lost, with power elsewhere too
		v.lives++
		h.disk, h.on = Empty(fmt.Sprintf("%d@%s", v.lives, h.addr)), false
		if v.r.IntN(2) == 0 {
			for _, a := range live {
				v.hosts[a].on = false
			}
		}
		return "wiped"
	case 5: // a machine is gone for good, an empty one comes at another address
		h.on, h.gone = false, true
		v.lives++
		addr := fmt.Sprint("n", v.lives)
		// its seeds are three of the machines that stood before the loss, as the operator's list had them
		v.start(&host{addr: addr, seeds: live[:3], disk: Empty(fmt.Sprintf("%d@%s", v.lives, addr))})
		return "replaced"
	}
	return "none"
}

// whole waits until all live machines vote and one leads, as the rules give the core time between two losses.
func (v *cluster) whole() bool {
	for range 60 {
		v.run(500, 0)
		v.wake()
		lead := 0
		var voters []Voter
		for _, a := range v.names() {
			if h := v.hosts[a]; h.on && h.node.Established() && !h.node.InFlight() {
				lead++
				voters = h.node.HardState.Last.Voters
			}
		}
		live := 0
		for _, h := range v.hosts {
			if !h.gone {
				live++
			}
		}
		ok := lead == 1 && len(voters) == live // the dead are voted out
		for _, a := range v.names() {
			h := v.hosts[a]
			in := slices.ContainsFunc(voters, func(o Voter) bool { return o.ID == h.disk.ID })
			if in == h.gone || !h.gone && string(h.disk.Last.Value) != string(v.leadValue()) {
				ok = false
			}
		}
		if ok || v.wrong != "" {
			return ok
		}
	}
	return false
}

func (v *cluster) leadValue() []byte {
	for _, a := range v.names() {
		if h := v.hosts[a]; h.on && h.node.Established() {
			return h.node.HardState.Last.Value
		}
	}
	return nil
}

func TestNothingAcknowledgedIsLost(t *testing.T) {
	seeds := 400
	if testing.Short() {
		seeds = 40
	}
	for seed := range seeds {
		v := newCluster(uint64(seed), 3+2*(seed%2))
		v.run(4000, 0)
		var told []string
		for range 5 {
			for range 1 + seed%2 { // five machines bear two losses
				told = append(told, v.trouble())
			}
			v.run(200+2500*v.r.Float64(), 0.002)
			clear(v.cut)
			v.wake()
			if !v.whole() {
				t.Fatalf("seed %d, %v: not whole again; %s", seed, told, v.wrong)
			}
		}
		last := string(v.leadValue())
		for _, c := range v.acked {
			if !strings.Contains(last, c) {
				t.Fatalf("seed %d, %v: %s was acknowledged and is lost: %s", seed, told, c, last)
			}
		}
		if v.wrong != "" || len(v.acked) == 0 {
			t.Fatalf("seed %d, %v: %s, %d acknowledged", seed, told, v.wrong, len(v.acked))
		}
	}
}

func TestVotes(t *testing.T) {
	Convey("Three machines that found a core", t, func() {
		v := newCluster(1, 3)
		v.run(3000, 0)
		Convey("have one leader, which alone is ready", func() {
			So(v.whole(), ShouldBeTrue)
		})
		Convey("and one of them with an empty disk gives no vote, though asked", func() {
			h := v.hosts["m0"]
			h.disk = Empty("1@m0")
			v.start(h)
			h.node.Step(&Message{Kind: RequestVote, From: Voter{"0@m1", "m1"}, Term: 99, LastTerm: 98, LastIndex: 9}, v.now)
			out := h.node.Messages()
			So(out[len(out)-1].Message.Granted, ShouldBeFalse)
		})
		Convey("and it does not unseat a leader that is followed", func() {
			for _, a := range v.names() {
				if h := v.hosts[a]; h.node.Role() == Follower {
					term := h.node.HardState.Term
					h.node.Step(&Message{Kind: RequestVote, From: Voter{"0@m9", "m9"}, Term: term + 1, LastTerm: term + 1, LastIndex: 99}, v.now)
					So(h.node.HardState.Term, ShouldEqual, term)
				}
			}
		})
		Convey("and a leader cut off from all steps down, confirming nothing meanwhile", func() {
			for _, a := range v.names() {
				h := v.hosts[a]
				if h.node.Role() != Leader {
					continue
				}
				for _, o := range v.names() {
					v.cut[[2]string{a, o}], v.cut[[2]string{o, a}] = true, true
				}
				v.mail = nil
				round := h.node.ReadIndex(v.now)
				v.run(2500, 0)
				So(h.node.ReadConfirmed(round), ShouldBeFalse)
				So(h.node.Established(), ShouldBeFalse)
				break
			}
		})
	})
}
