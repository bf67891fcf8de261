package consensus

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// digest hashes all output of nodes in order: messages, hard state, role, what is known to be committed, peer statuses
// and contact. A nil digest ignores everything.
type digest struct{ hash hash.Hash64 }

func newDigest() *digest { return &digest{fnv.New64a()} }

func (d *digest) add(format string, args ...any) {
	if d != nil {
		fmt.Fprintf(d.hash, format, args...)
	}
}

// message adds a message as it is encoded on the wire.
func (d *digest) message(from string, envelope Envelope) {
	if d == nil {
		return
	}
	b, err := cbor.Marshal(&envelope.Message)
	if err != nil {
		panic(err)
	}
	d.add("%s>%s %x\n", from, envelope.To, b)
}

// node adds what a node exposes to its caller.
func (d *digest) node(n *Node, now float64) {
	if d == nil {
		return
	}
	h := &n.HardState
	leader, known := n.Leader()
	d.add("%s %d %s %d/%d %d/%d ", h.ID, h.Term, h.Vote, h.Last.Term, h.Last.Index, h.CommitTerm, h.Commit)
	d.add("%d %v|", len(h.Last.Value), h.Last.Voters)
	d.add("%d %s %v %v %v %v %v|", n.Role(), leader, known, n.Established(), n.InFlight(), n.Dirty(), n.LeaveDone(now))
	if e, ok := n.Committed(); ok {
		d.add("%d/%d %d|", e.Term, e.Index, len(e.Value))
	}
	d.add("%v %v|", n.ContactAge(now), n.LastContact())
	for _, peer := range n.PeerStatuses(now) {
		d.add("%s %d %v %v|", peer.Voter, peer.Index, peer.Behind, peer.Silent)
	}
}

// history is a kind of seeded run with a recorded digest.
type history struct {
	name  string
	seeds int
	run   func(d *digest, seed uint64)
	want  string
}

// TestDigests compares the output of nodes over seeded histories with recorded digests, to detect unintended changes of
// behaviour.
func TestDigests(t *testing.T) {
	for _, h := range []history{
		{"losses of power, disks and machines, partitions", 12, runLosses, "71cdbc8bcb46772b"},
		{"replacements while connections are re-established", 8, runReplacements, "fde9c6a578f2788d"},
		{"shutdowns and leadership transfers", 12, runShutdowns, "14c0a41f6c041cc9"},
		{"contact with clocks of different rates", 6, runContact, "3fcf4d09a1b1792e"},
		{"random messages in random states", 400, runRandomMessages, "121551336998e895"},
	} {
		t.Run(h.name, func(t *testing.T) {
			d := newDigest()
			for seed := range h.seeds {
				h.run(d, uint64(seed))
			}
			if got := fmt.Sprintf("%016x", d.hash.Sum64()); got != h.want {
				t.Errorf("digest %s, want %s", got, h.want)
			}
		})
	}
}

// runLosses injects losses of power and disks, freezes, partitions and replacements, during changes and confirmed
// reads.
func runLosses(d *digest, seed uint64) {
	c := newCluster(seed, 3+2*int(seed%2))
	c.digest = d
	c.run(4000, 0)
	for range 4 {
		for range 1 + seed%2 {
			c.injectFault()
		}
		for range 4 {
			m := c.machines[c.addrs()[c.random.IntN(len(c.machines))]]
			round := m.node.ReadIndex(c.now)
			if m.node.Role() != Leader {
				m.node.Messages() // ReadIndex may only be called on a leader: drop the messages
			}
			c.flush(m, 0)
			c.run(100+500*c.random.Float64(), 0.002)
			d.add("%v %v %v", m.running, round, m.node.ReadConfirmed(round))
		}
		clear(c.partitioned)
		c.restartAll()
		d.add("%v", c.awaitRecovery())
	}
	d.add("%v %v", c.acknowledged, c.violation)
}

// runReplacements replaces machines in each way, and stops others shortly after.
func runReplacements(d *digest, seed uint64) {
	tolerate := 1 + int(seed%2)
	c := newCluster(seed, 3)
	c.digest = d
	c.crashRate, c.lossRate, c.connectedAt, c.minVoters = 0, 0.02, map[[2]string]float64{}, 2*tolerate+1
	for i := 3; i < 2*tolerate+1; i++ {
		addr := fmt.Sprint("m", i)
		c.start(&machine{addr: addr, disk: Empty("0@" + addr)})
	}
	c.run(5000, 0)
	for _, how := range []string{"gone", "planned", "wiped"} {
		c.replace(how, c.pickMachine(c.random.IntN(2) == 0))
		c.run(4000, 0)
		m := c.pickMachine(c.random.IntN(2) == 0)
		m.running = false
		c.run(1500+3000*c.random.Float64(), 0)
		c.restartAll()
		c.run(3000, 0)
	}
	d.add("%v %v", c.acknowledged, c.violation)
}

// runShutdowns shuts processes down gracefully, with and without enough other voters for a removal, breaks connections
// to leaders, and requests leadership transfers.
func runShutdowns(d *digest, seed uint64) {
	c := newCluster(seed, 3+2*int(seed/2%2))
	c.digest = d
	c.lossRate, c.crashRate, c.minVoters = 0.02*float64(seed%3), 0, []int{2, 3, 5}[seed%3]
	c.run(4000, 0)
	for range 4 {
		m := c.pickMachine(c.random.IntN(2) == 0)
		c.terminate(m)
		for _, addr := range c.liveAddrs() {
			if other := c.machines[addr]; other.running && c.random.IntN(2) == 0 {
				other.node.PeerDisconnected(m.addr, c.now)
			}
		}
		c.run(500+3000*c.random.Float64(), 0)
		if c.random.IntN(3) == 0 {
			m.disk = Empty(fmt.Sprint(c.now, "@", m.addr))
		}
		c.restartAll()
		c.run(3000, 0)
		if l := c.leader(); l != nil {
			successor := c.pickMachine(false, l.addr)
			successor.node.Step(&Message{Kind: TimeoutNow, From: l.node.self(), Term: l.node.HardState.Term}, c.now)
			c.flush(successor, 0)
		}
		c.run(2000, 0)
	}
	d.add("%v %v", c.acknowledged, c.violation)
}

// runContact runs a contactModel through partitions, freezes and restarts.
func runContact(d *digest, seed uint64) {
	model := newContactModel(seed, 3+2*int(seed%2))
	model.digest = d
	for model.now < 30_000 {
		if model.now > 3000 && model.random.IntN(400) == 0 {
			model.injectFault()
		}
		if err := model.step(); err != nil {
			panic(err)
		}
	}
	d.add("%v %v", model.samplesInContact, model.samples)
}

// runRandomMessages calls one node in random order with messages of every kind, from voters, joining machines and
// unknown senders, with terms, entries and rounds close to its own.
func runRandomMessages(d *digest, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 41))
	addrs := []string{"m0", "m1", "m2", "m3", "m4"}[:[]int{1, 2, 3, 5}[seed%4]]
	options := Options{Addr: "m0", Seeds: addrs, MinVoters: []int{0, 2, 3}[random.IntN(3)], HeartbeatInterval: 200,
		ElectionTimeout: 900, RemoveAfter: 1575, Random: random.Float64}
	now, disk := 10_000.0, Bootstrap("m0", addrs)
	if seed%7 == 6 {
		disk = Empty("e@m0")
	}
	n := New(options, cloneState(disk), now)
	for range 300 {
		now += math.Floor(random.Float64() * random.Float64() * 400)
		switch random.IntN(24) {
		default:
			n.Step(randomMessage(random, n), now)
		case 0, 1, 2, 3:
			n.Tick(now)
		case 4, 5:
			e, ok := n.Propose([]byte{byte(random.IntN(256))}, now)
			d.add("%d %v", e.Index, ok)
		case 6:
			if n.Role() == Leader {
				d.add("%d", n.ReadIndex(now))
			}
		case 7:
			d.add("%v", n.ReadConfirmed(uint64(random.IntN(40))))
		case 8:
			if leader, ok := n.Leader(); ok {
				n.PeerDisconnected(leader.Addr, now)
			}
		case 9:
			switch random.IntN(12) {
			case 0:
				n.Leave(now)
			case 1:
				n = New(options, cloneState(disk), now)
			}
		}
		if n.Dirty() && random.IntN(3) > 0 {
			disk = cloneState(n.HardState)
			n.Synced(now)
		}
		for _, s := range n.Messages() {
			d.message("m0", s)
		}
		d.node(n, now)
	}
}

// randomMessage returns a random message with plausible values in all fields that its kind carries.
func randomMessage(random *rand.Rand, n *Node) *Message {
	h := &n.HardState
	nearby := func(v uint64) uint64 { return uint64(max(0, int(v)+[]int{0, 0, 0, 0, 1, -1, 2}[random.IntN(7)])) }
	senders := []Voter{{"0@m1", "m1"}, {"0@m2", "m2"}, {"0@m3", "m3"}, {"0@m4", "m4"}, {"x@m1", "m1"}, {"j@n1", "n1"},
		{"k@n2", "n2"}}
	for _, v := range h.Last.Voters {
		if v.ID != h.ID {
			senders = append(senders, v, v)
		}
	}
	if leader, ok := n.Leader(); ok && leader.ID != h.ID {
		senders = append(senders, leader, leader, leader)
	}
	msg := &Message{Kind: Kind(1 + random.IntN(10)), From: senders[random.IntN(len(senders))], Term: nearby(h.Term),
		LastTerm: nearby(h.Last.Term), LastIndex: nearby(h.Last.Index), Granted: random.IntN(3) == 0,
		Commit: nearby(h.Last.Index), Round: uint64(random.IntN(40)),
		Clock: 1000 * random.Float64(), Contact: 10_000 + 20_000*random.Float64(), Incarnation: uint32(random.IntN(2))}
	if random.IntN(2) == 0 {
		msg.Incarnation = n.incarnation
	}
	if msg.Kind == PreVoteResponse || msg.Kind == VoteResponse {
		msg.Granted = random.IntN(4) > 0
	}
	if msg.Kind == PreVoteResponse {
		msg.Term = nearby(h.Term + 1)
	}
	if msg.Kind == AppendEntries && random.IntN(2) == 0 {
		msg.Entry = &Entry{Term: msg.LastTerm, Index: msg.LastIndex, Voters: append([]Voter{}, h.Last.Voters...),
			Value: []byte{byte(random.IntN(256))}}
		if len(msg.Entry.Voters) == 0 || random.IntN(4) == 0 {
			msg.Entry.Voters = append(msg.Entry.Voters, msg.From)
		} else if len(msg.Entry.Voters) > 1 && random.IntN(4) == 0 {
			msg.Entry.Voters = msg.Entry.Voters[1:]
		}
	}
	return msg
}
