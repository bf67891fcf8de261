package membership

import (
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/fleet/paxos"
	"weirwind/internal/standin/virtualclock"
)

// digest folds all that drivers put out, in order, into one number.
type digest struct{ sum hash.Hash64 }

func newDigest() *digest { return &digest{fnv.New64a()} }

func (d *digest) add(values ...any) { fmt.Fprintln(d.sum, values...) }

func (d *digest) encoded(v any) {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	d.sum.Write(b)
}

func (d *digest) out(name string, out Output) {
	for _, s := range out.Messages {
		d.add(name, s.Address)
		d.encoded(&s.Message)
	}
	for _, n := range out.Events {
		d.add(name, n.Reason, n.Name, n.Text)
	}
	d.add(out.SyncWith)
	if out.Save != nil {
		d.encoded(out.Save)
	}
}

func (d *digest) status(f *Fleet) {
	b, err := json.Marshal(f.Status())
	if err != nil {
		panic(err)
	}
	d.sum.Write(b)
	d.encoded(f.Snapshot())
	standing, why, since := f.PartitionStatus()
	d.add(f.DriverCount(), f.LiveAddresses(), standing, why, since, f.StateOf("n1"), f.AddressOf("n1"))
}

// TestDigests holds what drivers put out over seeded histories against what they put out when this was recorded.
func TestDigests(t *testing.T) {
	for _, h := range []struct {
		name  string
		seeds int
		play  func(d *digest, seed uint64)
		want  string
	}{
		{"faults of every kind", 48, playFaults, "88ace982605027a1"},
		{"any message in any state", 200, playAnyMessage, "1c19e21d1440a415"},
		{"more drivers and news than fit", 20, playCrowd, "c79deffa239299e7"},
		{"drains", 200, playDrains, "0ca13cb669ebc5b8"},
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

// network is some drivers with a network between them, in virtual time.
type network struct {
	virtualclock.Scheduler
	d       *digest
	r       *rand.Rand
	drivers []*driver
	loss    float64
	latency float64
	cut     map[[2]int]bool

	founders int
}

type driver struct {
	name   string
	at     int
	view   *Fleet // nil while it doesn't run
	run    uint64
	frozen float64
	saved  *SavedState
}

func (n *network) start(i int) {
	d := n.drivers[i]
	d.run = uint64(n.Now) + 1 - uint64(50_000*(n.r.IntN(4)/3))
	options := Options{Period: 500, ExpectedDrivers: n.founders, RetainFor: 20_000, MaxDrivers: n.founders + 3,
		TakeoverAfter: 15_000, Persistent: i%2 == 0}
	if options.Persistent {
		options.Saved = d.saved
	}
	self := Record{Name: d.name, Run: d.run, Address: fmt.Sprint(i), Zone: "a"}
	f := New(n.Now, options, self, []string{"0", "1"}, n.r.Uint64())
	d.view, d.frozen = f, 0
	var tick func()
	tick = func() {
		if d.view != f {
			return
		}
		if n.Now >= d.frozen {
			n.out(d, f.Tick(n.Now))
		}
		n.After(50, tick)
	}
	n.After(50*n.r.Float64(), tick)
}

func (n *network) out(d *driver, out Output) {
	n.d.out(d.name, out)
	if out.Save != nil {
		kept := n.r.IntN(20) > 0
		if d.view.Saved(kept); !kept {
			return
		}
		d.saved = out.Save
	}
	for _, s := range out.Messages {
		n.send(d, s.Address, func(t *driver) { n.out(t, t.view.Receive(n.Now, s.Message)) })
	}
	for _, address := range out.SyncWith {
		asked := d.view.Snapshot()
		n.send(d, address, func(t *driver) {
			answer := t.view.Snapshot()
			n.out(t, t.view.Merge(n.Now, asked))
			n.send(t, fmt.Sprint(d.at), func(d *driver) { n.out(d, d.view.Merge(n.Now, answer)) })
		})
	}
}

func (n *network) send(from *driver, address string, take func(*driver)) {
	to := -1
	fmt.Sscan(address, &to)
	if to < 0 || to >= len(n.drivers) || n.cut[[2]int{from.at, to}] || n.r.Float64() < n.loss {
		return
	}
	for range 1 + n.r.IntN(10)/9 {
		n.After(n.latency*n.r.ExpFloat64(), func() {
			if t := n.drivers[to]; t.view != nil && n.Now >= t.frozen {
				take(t)
			}
		})
	}
}

// playFaults has drivers killed, restarted with what they saved or without, frozen, partitioned, renamed,
// added, leaving and forgotten, over a network that loses, doubles and delays.
func playFaults(d *digest, seed uint64) {
	n := &network{Scheduler: virtualclock.Scheduler{Now: 1e6}, d: d, r: rand.New(rand.NewPCG(seed, 51)),
		cut: map[[2]int]bool{}, latency: []float64{1, 30, 120}[seed%3], founders: 4}
	if seed%12 == 11 {
		n.founders = 30
	}
	for i := range n.founders {
		n.drivers = append(n.drivers, &driver{name: fmt.Sprint("n", i), at: i})
		n.start(i)
	}
	n.RunUntil(n.Now + 8000)
	for range 14 {
		i := n.r.IntN(len(n.drivers))
		x := n.drivers[i]
		switch fault := n.r.IntN(13); {
		case fault < 2:
			x.view = nil
		case fault < 4:
			n.start(i)
		case fault == 4:
			x.frozen = n.Now + 4000*n.r.Float64()
		case fault < 7:
			side := 1 + n.r.IntN(n.founders-1)
			for a := range n.drivers {
				for b := range n.drivers {
					n.cut[[2]int{a, b}] = (a < side) != (b < side) && (fault == 5 || a < b)
				}
			}
		case fault == 7:
			n.cut[[2]int{i, n.r.IntN(len(n.drivers))}] = true
		case fault == 8 && x.view != nil:
			n.out(x, x.view.Leave(n.Now))
		case fault == 9 && len(n.drivers) < n.founders+5:
			name := fmt.Sprint("n", len(n.drivers))
			if n.r.IntN(3) == 0 {
				name = "n2" // it is another's
			}
			if x.view != nil {
				x.view.SetPeriod(400)
			}
			n.drivers = append(n.drivers, &driver{name: name, at: len(n.drivers)})
			n.start(len(n.drivers) - 1)
		case fault == 10 && x.view != nil:
			out, err := x.view.Forget(n.Now, fmt.Sprint("n", n.r.IntN(5)), n.r.IntN(2) == 0)
			d.add(err)
			n.out(x, out)
		case fault == 11:
			n.loss = 0.3
		default:
			clear(n.cut)
			n.loss = 0
		}
		for range 4 {
			n.RunUntil(n.Now + 2500*n.r.Float64())
			for _, x := range n.drivers {
				if x.view != nil {
					d.status(x.view)
				}
			}
		}
	}
}

// playAnyMessage gives one driver messages of every kind in any order, from peers, strangers and those who bear
// its name, with records, votes and rosters near its own.
func playAnyMessage(d *digest, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 52))
	now := 10_000.0
	names := []string{"a", "b", "c", "d", "e"}[:2+seed%4]
	options := Options{Period: 500, ExpectedDrivers: len(names), RetainFor: 5000, MaxDrivers: 6, TakeoverAfter: 5000,
		Persistent: seed%2 == 0}
	f := New(now, options, Record{Name: "c", Run: 5, Address: "c"}, []string{"a", "b"}, seed)
	if seed%4 > 0 {
		out := f.Merge(now, Snapshot{From: Record{Name: "a", Run: 3, Address: "a"},
			Roster: &Roster{Version: 3, Lineage: 3, Names: names}})
		d.out("c", out)
		now += 15_000
	}
	for range 250 {
		now += math.Floor(r.Float64() * r.Float64() * 400)
		switch r.IntN(20) {
		case 0, 1, 2, 3, 4:
			d.out("c", f.Tick(now))
		case 5:
			from := anyRecord(r, names)
			x := Snapshot{From: from, Records: []Record{anyRecord(r, names), anyRecord(r, names)}}
			if r.IntN(2) == 0 {
				x.Roster = &Roster{Version: uint64(r.IntN(6)), Lineage: uint64(3 + r.IntN(2)),
					Names: names[:1+r.IntN(len(names))]}
			}
			d.out("c", f.Merge(now, x))
		case 6:
			out, err := f.Forget(now, names[r.IntN(len(names))], r.IntN(2) == 0)
			d.add(err)
			d.out("c", out)
		case 7:
			f.Saved(r.IntN(2) == 0)
		case 8:
			if r.IntN(20) == 0 {
				d.out("c", f.Leave(now))
			}
		default:
			d.out("c", f.Receive(now, anyMessage(r, f, names)))
		}
		d.status(f)
	}
}

func anyRecord(r *rand.Rand, names []string) Record {
	name := append([]string{"x", "y"}, names...)[r.IntN(len(names)+2)]
	address := name
	if r.IntN(10) == 0 {
		address = "other"
	}
	return Record{Name: name, Run: uint64(3 + r.IntN(8)/7), Incarnation: uint32(r.IntN(4)),
		State: State(r.IntN(9) / 2 % 4), Address: address, Zone: "z", ReportedBy: names[r.IntN(len(names))]}
}

func anyMessage(r *rand.Rand, f *Fleet, names []string) Message {
	from := anyRecord(r, names)
	if r.IntN(3) > 0 {
		from.State, from.Run, from.Address = Alive, 3, from.Name
	}
	m := Message{Kind: Kind(1 + r.IntN(6)), From: from, Counter: uint64(r.IntN(1000)),
		ProbeID: f.probeSeq - uint64(r.IntN(3)), Target: append([]string{"c"}, names...)[r.IntN(len(names)+1)],
		TargetAddress: "b", ViewHash: uint64(r.IntN(2)), RosterVersion: uint64(r.IntN(6))}
	for range r.IntN(3) {
		m.Records = append(m.Records, anyRecord(r, names))
	}
	if r.IntN(6) == 0 {
		m.Reachability = []Reachability{{Name: from.Name, Run: from.Run, Sequence: uint32(r.IntN(9)),
			Unreachable: names[:r.IntN(len(names))]}}
	}
	if f.roster == nil || r.IntN(2) == 0 {
		if r.IntN(4) == 0 {
			m.Vote = &Vote{Kind: VoteKind(1 + r.IntN(2)), Version: 1, Hash: namesHash(names),
				Ballot: paxos.Ballot{Proposer: from.Name}}
		}
		return m
	}
	change := &Change{Version: f.roster.Version + 1, Lineage: f.roster.Lineage, BaseHash: f.roster.hash,
		Add: []string{"x"}}
	if r.IntN(2) == 0 {
		change.Add, change.Remove = nil, []string{names[r.IntN(len(names))]}
	}
	change.Hash = change.BaseHash ^ namesHash(change.Add) ^ namesHash(change.Remove)
	m.Vote = &Vote{Kind: VoteKind(3 + r.IntN(5)), Version: change.Version, BaseHash: change.BaseHash,
		Ballot:   paxos.Ballot{Number: uint32(r.IntN(5)), Proposer: names[r.IntN(len(names))]},
		Accepted: paxos.Ballot{Number: uint32(r.IntN(5)), Proposer: names[r.IntN(len(names))]}}
	if f.round != nil && r.IntN(3) > 0 {
		m.Vote.Ballot = f.round.Ballot
	}
	if m.Vote.Kind == Accept || r.IntN(3) == 0 {
		m.Vote.Change = change
	}
	if r.IntN(8) == 0 {
		m.DecidedChange = change
	}
	return m
}

// playCrowd tells one driver of more drivers than it takes, and changes what it says of them faster than it
// passes on.
func playCrowd(d *digest, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 54))
	now := 10_000.0
	f := New(now, Options{Period: 500, ExpectedDrivers: 2, RetainFor: 2000, MaxDrivers: 60},
		Record{Name: "c", Run: 5, Address: "c"}, nil, seed)
	record := func() Record {
		name := fmt.Sprintf("driver-with-a-name-%02d", r.IntN(70))
		return Record{Name: name, Run: 3, Incarnation: uint32(r.IntN(4)), State: State(r.IntN(6) / 4), Address: name,
			ReportedBy: "c"}
	}
	for range 100 {
		now += 100 * r.Float64()
		x := Snapshot{From: record()}
		for range 20 {
			x.Records = append(x.Records, record())
		}
		if r.IntN(10) == 0 {
			x.From.Run = 0 // it can't be true
			x.Records[0].Address = ""
		}
		d.out("c", f.Merge(now, x))
		m := Message{Kind: Ping, From: record(), Target: "c", Counter: uint64(r.IntN(50))}
		m.Reachability = []Reachability{{Name: record().Name, Run: 3, Sequence: uint32(r.IntN(9)),
			Unreachable: []string{"driver-with-a-name-01"}}}
		if r.IntN(5) == 0 {
			m.Vote = &Vote{Kind: Accept, Version: 2, BaseHash: 1, Ballot: paxos.Ballot{Number: 1, Proposer: "x"},
				Change: &Change{Version: uint64(1 + r.IntN(3)), Add: []string{"c"}}}
		}
		if r.IntN(10) == 0 {
			m.From.Name = ""
		}
		d.out("c", f.Receive(now, m))
		d.out("c", f.Tick(now))
		d.status(f)
	}
}

// playDrains gives lists and peers' words of drains in any order.
func playDrains(d *digest, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 53))
	all := NewDrains(4, 300)
	for now := 0.0; now < 3000; now += math.Floor(40 * r.Float64()) {
		one := Drain{Member: string(rune('a' + r.IntN(6))), Source: uint8(r.IntN(2)),
			Revision: int64(2*r.IntN(15)) - 1, Up: r.IntN(3) == 0}
		if one.Source == 1 {
			one.Revision++ // which of two sources' drains of one revision is forgotten first is not determined
		}
		if r.IntN(2) == 0 {
			marks, news := all.ApplyPeer(now, one)
			d.add(marks, news)
		} else {
			marks, news := all.ApplyList(now, one.Source, int64(r.IntN(20)), []Drain{one})
			d.add(marks, news)
		}
		d.add(all.Draining(), all.Since(now-200))
	}
}
