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

// digest folds all that nodes put out, in order, into one number: messages, hard state, role, what is known
// committed, the other voters' progress, and contact. A nil digest takes nothing.
type digest struct{ sum hash.Hash64 }

func newDigest() *digest { return &digest{fnv.New64a()} }

func (d *digest) add(format string, args ...any) {
	if d != nil {
		fmt.Fprintf(d.sum, format, args...)
	}
}

// message takes one that a node sends, as it is on the wire.
func (d *digest) message(from string, s Envelope) {
	if d == nil {
		return
	}
	b, err := cbor.Marshal(&s.Message)
	if err != nil {
		panic(err)
	}
	d.add("%s>%s %x\n", from, s.To, b)
}

// node takes what a node shows to its caller.
func (d *digest) node(n *Node, now float64) {
	if d == nil {
		return
	}
	h := &n.HardState
	leader, known := n.Leader()
	d.add("%s %d %s %d/%d %d/%d %d %v|", h.ID, h.Term, h.Vote, h.Last.Term, h.Last.Index, h.CommitTerm, h.Commit, len(h.Last.Value), h.Last.Voters)
	d.add("%d %s %v %v %v %v %v|", n.Role(), leader, known, n.Established(), n.InFlight(), n.Dirty(), n.LeaveDone(now))
	if e, ok := n.Committed(); ok {
		d.add("%d/%d %d|", e.Term, e.Index, len(e.Value))
	}
	d.add("%v %v|", n.ContactAge(now), n.LastContact())
	for _, o := range n.PeerStatuses(now) {
		d.add("%s %d %v %v|", o.Voter, o.Index, o.Behind, o.Silent)
	}
}

// history is a kind of seeded run whose digest is recorded.
type history struct {
	name  string
	seeds int
	play  func(d *digest, seed uint64)
	want  string
}

// TestDigests holds what nodes put out over seeded histories against what they put out when this was recorded.
func TestDigests(t *testing.T) {
	for _, h := range []history{
		{"losses of power, disks and machines, partitions", 12, playLosses, "2d90ec67eb66e451"},
		{"replacements behind connections that are made anew", 8, playReplacements, "eafb5f8e63cafa3f"},
		{"processes that leave, and leadership transfers", 12, playLeaving, "38062454426cf247"},
		{"contact, on clocks that differ", 6, playContact, "3fcf4d09a1b1792e"},
		{"any message in any state", 400, playAnyMessage, "121551336998e895"},
	} {
		t.Run(h.name, func(t *testing.T) {
			d := newDigest()
			for seed := range h.seeds {
				h.play(d, uint64(seed))
			}
			if got := fmt.Sprintf("%016x", d.sum.Sum64()); got != h.want {
				t.Errorf("digest %s, recorded was %s", got, h.want)
			}
		})
	}
}

// playLosses has machines lose power and disks, freeze, be cut off and replaced; with changes, and reads that
// are confirmed.
func playLosses(d *digest, seed uint64) {
	v := newCluster(seed, 3+2*int(seed%2))
	v.digest = d
	v.run(4000, 0)
	for range 4 {
		for range 1 + seed%2 {
			v.trouble()
		}
		for range 4 {
			h := v.hosts[v.names()[v.r.IntN(len(v.hosts))]]
			round := h.node.ReadIndex(v.now)
			if h.node.Role() != Leader {
				h.node.Messages() // a caller asks leaders only
			}
			v.settle(h, 0)
			v.run(100+500*v.r.Float64(), 0.002)
			d.add("%v %v %v", h.on, round, h.node.ReadConfirmed(round))
		}
		clear(v.cut)
		v.wake()
		d.add("%v", v.whole())
	}
	d.add("%v %v", v.acked, v.wrong)
}

// playReplacements replaces machines in each way, and loses others right behind.
func playReplacements(d *digest, seed uint64) {
	tolerate := 1 + int(seed%2)
	v := newCluster(seed, 3)
	v.digest = d
	v.risk, v.lose, v.links, v.fewest = 0, 0.02, map[[2]string]float64{}, 2*tolerate+1
	for i := 3; i < 2*tolerate+1; i++ {
		addr := fmt.Sprint("m", i)
		v.start(&host{addr: addr, disk: Empty("0@" + addr)})
	}
	v.run(5000, 0)
	for _, how := range []string{"gone", "planned", "wiped"} {
		v.replace(how, v.victim(v.r.IntN(2) == 0))
		v.run(4000, 0)
		h := v.victim(v.r.IntN(2) == 0)
		h.on = false
		v.run(1500+3000*v.r.Float64(), 0)
		v.wake()
		v.run(3000, 0)
	}
	d.add("%v %v", v.acked, v.wrong)
}

// playLeaving has processes end in order where their voters may be removed and where not, connections to
// leaders break, and leaders asked to transfer their leadership.
func playLeaving(d *digest, seed uint64) {
	v := newCluster(seed, 3+2*int(seed/2%2))
	v.digest = d
	v.lose, v.risk, v.fewest = 0.02*float64(seed%3), 0, []int{2, 3, 5}[seed%3]
	v.run(4000, 0)
	for range 4 {
		h := v.victim(v.r.IntN(2) == 0)
		v.terminate(h)
		for _, a := range v.live() {
			if o := v.hosts[a]; o.on && v.r.IntN(2) == 0 {
				o.node.LeaderDisconnected(h.addr, v.now)
			}
		}
		v.run(500+3000*v.r.Float64(), 0)
		if v.r.IntN(3) == 0 {
			h.disk = Empty(fmt.Sprint(v.now, "@", h.addr))
		}
		v.wake()
		v.run(3000, 0)
		if l := v.leader(); l != nil {
			to := v.victim(false, l.addr)
			to.node.Step(&Message{Kind: TimeoutNow, From: l.node.self(), Term: l.node.HardState.Term}, v.now)
			v.settle(to, 0)
		}
		v.run(2000, 0)
	}
	d.add("%v %v", v.acked, v.wrong)
}

// playContact runs the model of contact through its partitions, freezes and restarts.
func playContact(d *digest, seed uint64) {
	w := newContactModel(seed, 3+2*int(seed%2))
	w.digest = d
	for w.now < 30_000 {
		if w.now > 3000 && w.r.IntN(400) == 0 {
			w.trouble()
		}
		if err := w.step(); err != nil {
			panic(err)
		}
	}
	d.add("%v %v", w.held, w.seen)
}

// playAnyMessage calls one node in any order with messages of every kind, from voters, joiners and strangers,
// of terms, entries and rounds around its own.
func playAnyMessage(d *digest, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 41))
	addrs := []string{"m0", "m1", "m2", "m3", "m4"}[:[]int{1, 2, 3, 5}[seed%4]]
	options := Options{Addr: "m0", Seeds: addrs, MinVoters: []int{0, 2, 3}[r.IntN(3)], HeartbeatInterval: 200, ElectionTimeout: 900,
		RemoveAfter: 1575, Random: r.Float64}
	now, disk := 10_000.0, Bootstrap("m0", addrs)
	if seed%7 == 6 {
		disk = Empty("e@m0")
	}
	n := New(options, copyOf(disk), now)
	for range 300 {
		now += math.Floor(r.Float64() * r.Float64() * 400)
		switch r.IntN(24) {
		default:
			n.Step(anyMessage(r, n), now)
		case 0, 1, 2, 3:
			n.Tick(now)
		case 4, 5:
			e, ok := n.Propose([]byte{byte(r.IntN(256))}, now)
			d.add("%d %v", e.Index, ok)
		case 6:
			if n.Role() == Leader {
				d.add("%d", n.ReadIndex(now))
			}
		case 7:
			d.add("%v", n.ReadConfirmed(uint64(r.IntN(40))))
		case 8:
			if leader, ok := n.Leader(); ok {
				n.LeaderDisconnected(leader.Addr, now)
			}
		case 9:
			switch r.IntN(12) {
			case 0:
				n.Leave(now)
			case 1:
				n = New(options, copyOf(disk), now)
			}
		}
		if n.Dirty() && r.IntN(3) > 0 {
			disk = copyOf(n.HardState)
			n.Synced(now)
		}
		for _, s := range n.Messages() {
			d.message("m0", s)
		}
		d.node(n, now)
	}
}

// anyMessage makes a message that might come, with all fields set that its kind bears.
func anyMessage(r *rand.Rand, n *Node) *Message {
	h := &n.HardState
	near := func(v uint64) uint64 { return uint64(max(0, int(v)+[]int{0, 0, 0, 0, 1, -1, 2}[r.IntN(7)])) }
	senders := []Voter{{"0@m1", "m1"}, {"0@m2", "m2"}, {"0@m3", "m3"}, {"0@m4", "m4"}, {"x@m1", "m1"}, {"j@n1", "n1"}, {"k@n2", "n2"}}
	for _, v := range h.Last.Voters {
		if v.ID != h.ID {
			senders = append(senders, v, v)
		}
	}
	if leader, ok := n.Leader(); ok && leader.ID != h.ID {
		senders = append(senders, leader, leader, leader)
	}
	m := &Message{Kind: Kind(1 + r.IntN(10)), From: senders[r.IntN(len(senders))], Term: near(h.Term), LastTerm: near(h.Last.Term),
		LastIndex: near(h.Last.Index), Granted: r.IntN(3) == 0, Commit: near(h.Last.Index), Round: uint64(r.IntN(40)),
		Clock: 1000 * r.Float64(), Contact: 10_000 + 20_000*r.Float64(), Incarnation: uint32(r.IntN(2))}
	if r.IntN(2) == 0 {
		m.Incarnation = n.incarnation
	}
	if m.Kind == PreVoteResponse || m.Kind == VoteResponse {
		m.Granted = r.IntN(4) > 0
	}
	if m.Kind == PreVoteResponse {
		m.Term = near(h.Term + 1)
	}
	if m.Kind == AppendEntries && r.IntN(2) == 0 {
		m.Entry = &Entry{Term: m.LastTerm, Index: m.LastIndex, Voters: append([]Voter{}, h.Last.Voters...), Value: []byte{byte(r.IntN(256))}}
		if len(m.Entry.Voters) == 0 || r.IntN(4) == 0 {
			m.Entry.Voters = append(m.Entry.Voters, m.From)
		} else if len(m.Entry.Voters) > 1 && r.IntN(4) == 0 {
			m.Entry.Voters = m.Entry.Voters[1:]
		}
	}
	return m
}
