package consensus

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
)

// smallCluster is a cluster of three machines. The tests explore all orders of events up to some depth: which machine
// acts, which message is delivered, and which machine loses power between its sync and its messages.
type smallCluster struct {
	nodes     [3]*Node
	disks     [3]HardState
	inTransit []Envelope
	now       float64
	committed map[uint64]string // by index
	proposals int
}

// zeroRandom always returns the lowest value: timeouts don't matter in these tests.
func zeroRandom() float64 { return 0 }

func newSmallCluster(minVoters int) *smallCluster {
	addrs := []string{"m0", "m1", "m2"}
	c := &smallCluster{committed: map[uint64]string{}, now: 10000}
	for i, addr := range addrs {
		c.disks[i] = Bootstrap(addr, addrs)
		c.nodes[i] = New(Options{Addr: addr, Seeds: addrs, MinVoters: minVoters, HeartbeatInterval: 200, ElectionTimeout: 900,
			RemoveAfter: 1e9, Random: zeroRandom}, cloneState(c.disks[i]), 0)
	}
	return c
}

func (c *smallCluster) fork() *smallCluster {
	f := *c
	f.inTransit = slices.Clone(c.inTransit)
	f.committed = maps.Clone(c.committed)
	for i, n := range c.nodes {
		m := *n
		m.HardState = cloneState(n.HardState)
		m.votes = map[string]bool{}
		maps.Copy(m.votes, n.votes)
		m.progress = map[string]*progress{}
		for id, p := range n.progress {
			copied := *p
			m.progress[id] = &copied
		}
		m.joiners = map[string]joiner{}
		m.leavingVoters, m.removedAddrs = maps.Clone(n.leavingVoters), maps.Clone(n.removedAddrs)
		f.nodes[i] = &m
		f.disks[i] = cloneState(c.disks[i])
	}
	return &f
}

func (c *smallCluster) index(addr string) int { return int(addr[1] - '0') }

// flush syncs and sends; if crash is set, power is lost after the sync and before messages are sent.
func (c *smallCluster) flush(i int, crash bool) {
	n := c.nodes[i]
	for range 4 {
		if n.Dirty() {
			c.disks[i] = cloneState(n.HardState)
			if crash {
				c.nodes[i] = New(n.options, cloneState(c.disks[i]), c.now)
				return
			}
			n.Synced(c.now)
		}
		for _, e := range n.Messages() {
			if entry := e.Message.Entry; entry != nil {
				copied := *entry
				e.Message.Entry = &copied
			}
			c.inTransit = append(c.inTransit, e)
		}
	}
}

// deliverAll delivers until nothing is in transit.
func (c *smallCluster) deliverAll() {
	for len(c.inTransit) > 0 {
		e := c.inTransit[0]
		c.inTransit = c.inTransit[1:]
		i := c.index(e.To)
		c.nodes[i].Step(&e.Message, c.now)
		c.flush(i, false)
	}
}

// check verifies that each term has at most one leader, and that no two nodes know different values to be committed.
func (c *smallCluster) check(t *testing.T, path string) {
	leaders := map[uint64]int{}
	for i, n := range c.nodes {
		if n.role == Leader {
			if j, exists := leaders[n.HardState.Term]; exists {
				t.Fatalf("%s: %d and %d lead in term %d", path, i, j, n.HardState.Term)
			}
			leaders[n.HardState.Term] = i
		}
		if e, ok := n.Committed(); ok {
			if previous, known := c.committed[e.Index]; known && previous != string(e.Value) {
				t.Fatalf("%s: entry %d is %q and %q", path, e.Index, previous, e.Value)
			}
			c.committed[e.Index] = string(e.Value)
		}
	}
}

// key identifies a state by everything that determines its successors.
func (c *smallCluster) key() string {
	var b strings.Builder
	for _, n := range c.nodes {
		h := &n.HardState
		fmt.Fprintf(&b, "%d %d %s %d %d %q %d %d %v %v|", n.role, h.Term, h.Vote, h.Last.Term, h.Last.Index, h.Last.Value,
			h.Commit, len(h.Last.Voters), n.leavingSince, n.leavingVoters)
	}
	var messages []string
	for _, e := range c.inTransit {
		m := &e.Message
		messages = append(messages, fmt.Sprint(e.To, m.Kind, m.From.ID, m.Term, m.LastTerm, m.LastIndex, m.Granted, m.Commit))
	}
	sort.Strings(messages)
	return b.String() + strings.Join(messages, ";")
}

func TestAllEventOrders(t *testing.T) { exploreAllOrders(t, 3, false) }

// TestAllEventOrdersWithShutdown also shuts one machine down at any time, where two voters are enough: a leader
// transfers its leadership or removes itself, and a follower is removed by the leader.
func TestAllEventOrdersWithShutdown(t *testing.T) { exploreAllOrders(t, 2, true) }

func exploreAllOrders(t *testing.T, minVoters int, withShutdown bool) {
	c := newSmallCluster(minVoters)
	if withShutdown { // start with a leader, so that the whole depth is spent on what follows
		c.nodes[0].preCampaign(c.now)
		c.flush(0, false)
		c.deliverAll()
		if !c.nodes[0].Established() {
			t.Fatal("there is no leader")
		}
	}
	depth := 8
	if d := os.Getenv("DEPTH"); d != "" { // 11 takes three minutes: 5.1 million states
		depth, _ = strconv.Atoi(d)
	}
	w := &explorer{t: t, withShutdown: withShutdown, seen: map[string]int{}}
	w.explore(c, depth, "")
	if w.states < 1000 {
		t.Fatal(w.states)
	}
	if withShutdown && (w.removed == 0 || w.transferred == 0) {
		t.Fatal("no voter was removed, or no leadership transferred", w.removed, w.transferred)
	}
	t.Log(w.states, "states")
}

// explorer explores all states that follow from one.
type explorer struct {
	t            *testing.T
	withShutdown bool
	seen         map[string]int // depth left at each visited state, plus one

	states, removed, transferred int
}

func (w *explorer) explore(c *smallCluster, depthLeft int, path string) {
	w.states++
	c.check(w.t, path)
	w.countEvents(c)
	key := c.key()
	if w.seen[key] >= depthLeft+1 {
		return
	}
	w.seen[key] = depthLeft + 1
	if depthLeft == 0 {
		return
	}
	for i := range 2 { // the third machine only answers; by symmetry any of the three could be that one
		w.act(c, i, depthLeft, path)
	}
	for k := range c.inTransit {
		if k > 0 && fmt.Sprint(c.inTransit[k]) == fmt.Sprint(c.inTransit[k-1]) {
			continue
		}
		w.deliver(c, k, depthLeft, path, false)
		if !strings.Contains(path, "!") {
			w.deliver(c, k, depthLeft, path, true)
		}
	}
}

// countEvents counts events that the exploration must include.
func (w *explorer) countEvents(c *smallCluster) {
	for i, n := range c.nodes {
		if e, ok := n.Committed(); ok && len(e.Voters) == 2 {
			w.removed++
		}
		if n.role == Leader && n.transferredElection && i == 1 {
			w.transferred++
		}
	}
}

// act tries each action of a machine: an election, a shutdown, a tick, a proposal.
func (w *explorer) act(c *smallCluster, i, depthLeft int, path string) {
	tryAction := func(mark string, action func(*smallCluster, *Node)) {
		f := c.fork()
		action(f, f.nodes[i])
		f.flush(i, false)
		w.explore(f, depthLeft-1, path+fmt.Sprint(" ", mark, i))
	}
	n := c.nodes[i]
	if n.role != Leader && strings.Count(path, fmt.Sprint("c", i)) < 2 {
		tryAction("c", func(f *smallCluster, n *Node) { n.preCampaign(f.now) })
	}
	if w.withShutdown && !strings.Contains(path, "l") && n.HardState.Term > 0 {
		tryAction("l", func(f *smallCluster, n *Node) { n.Leave(f.now) })
	}
	if w.withShutdown && n.role == Leader && !n.InFlight() {
		tryAction("t", func(f *smallCluster, n *Node) {
			n.nextHeartbeatAt = f.now + 1
			n.Tick(f.now)
		})
	}
	if n.Established() && c.proposals < 2 {
		tryAction("p", func(f *smallCluster, n *Node) {
			f.proposals++
			n.Propose([]byte(string(n.HardState.Last.Value)+fmt.Sprint(i)), f.now)
		})
	}
}

// deliver tries the kth message in transit. If crash is set, its receiver loses power after the sync that the message
// causes, if any.
func (w *explorer) deliver(c *smallCluster, k, depthLeft int, path string, crash bool) {
	f := c.fork()
	e := f.inTransit[k]
	f.inTransit = slices.Delete(f.inTransit, k, k+1)
	i := f.index(e.To)
	f.nodes[i].Step(&e.Message, f.now)
	if crash && !f.nodes[i].Dirty() {
		return
	}
	f.flush(i, crash)
	mark := " m"
	if crash {
		mark = " !"
	}
	w.explore(f, depthLeft-1, path+fmt.Sprint(mark, e.To, uint8(e.Message.Kind)))
}
