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

// digest hashes the outputs of drivers in order.
type digest struct{ sum hash.Hash64 }

func newDigest() *digest { return &digest{fnv.New64a()} }

func (d *digest) add(values ...any) { fmt.Fprintln(d.sum, values...) }

func (d *digest) addEncoded(v any) {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	d.sum.Write(b)
}

func (d *digest) addOutput(name string, out Output) {
	for _, envelope := range out.Messages {
		d.add(name, envelope.Address)
		d.addEncoded(&envelope.Message)
	}
	for _, event := range out.Events {
		d.add(name, event.Reason, event.Name, event.Text)
	}
	d.add(out.SyncWith)
	if out.Save != nil {
		d.addEncoded(out.Save)
	}
}

func (d *digest) addStatus(f *Fleet) {
	b, err := json.Marshal(f.Status())
	if err != nil {
		panic(err)
	}
	d.sum.Write(b)
	d.addEncoded(f.Snapshot())
	status, reason, since := f.PartitionStatus()
	d.add(f.DriverCount(), f.LiveAddresses(), status, reason, since, f.StateOf("n1"), f.AddressOf("n1"))
}

// TestDigests compares the outputs of drivers over seeded histories with recorded digests.
func TestDigests(t *testing.T) {
	for _, history := range []struct {
		name  string
		seeds int
		play  func(d *digest, seed uint64)
		want  string
	}{
		{"faults of every kind", 48, playFaults, "88ace982605027a1"},
		{"any message in any state", 200, playAnyMessage, "1c19e21d1440a415"},
		{"more drivers and gossip than fit", 20, playOverload, "c79deffa239299e7"},
		{"drains", 200, playDrains, "0ca13cb669ebc5b8"},
	} {
		t.Run(history.name, func(t *testing.T) {
			d := newDigest()
			for seed := range history.seeds {
				history.play(d, uint64(seed))
			}
			if got := fmt.Sprintf("%016x", d.sum.Sum64()); got != history.want {
				t.Errorf("digest %s, recorded was %s", got, history.want)
			}
		})
	}
}

// network is a set of drivers connected by a simulated network, in virtual time.
type network struct {
	virtualclock.Scheduler
	digest  *digest
	random  *rand.Rand
	drivers []*driver
	loss    float64
	latency float64
	blocked map[[2]int]bool

	initialDrivers int
}

type driver struct {
	name        string
	index       int
	view        *Fleet // nil while it does not run
	run         uint64
	pausedUntil float64
	saved       *SavedState
}

func (n *network) start(i int) {
	d := n.drivers[i]
	d.run = uint64(n.Now) + 1 - uint64(50_000*(n.random.IntN(4)/3))
	options := Options{Period: 500, ExpectedDrivers: n.initialDrivers, RetainFor: 20_000, MaxDrivers: n.initialDrivers + 3,
		TakeoverAfter: 15_000, Persistent: i%2 == 0}
	if options.Persistent {
		options.Saved = d.saved
	}
	self := Record{Name: d.name, Run: d.run, Address: fmt.Sprint(i), Zone: "a"}
	f := New(n.Now, options, self, []string{"0", "1"}, n.random.Uint64())
	d.view, d.pausedUntil = f, 0
	var tick func()
	tick = func() {
		if d.view != f {
			return
		}
		if n.Now >= d.pausedUntil {
			n.handle(d, f.Tick(n.Now))
		}
		n.After(50, tick)
	}
	n.After(50*n.random.Float64(), tick)
}

func (n *network) handle(d *driver, out Output) {
	n.digest.addOutput(d.name, out)
	if out.Save != nil {
		saved := n.random.IntN(20) > 0
		if d.view.Saved(saved); !saved {
			return
		}
		d.saved = out.Save
	}
	for _, envelope := range out.Messages {
		n.send(d, envelope.Address, func(t *driver) { n.handle(t, t.view.Receive(n.Now, envelope.Message)) })
	}
	for _, address := range out.SyncWith {
		request := d.view.Snapshot()
		n.send(d, address, func(t *driver) {
			answer := t.view.Snapshot()
			n.handle(t, t.view.Merge(n.Now, request))
			n.send(t, fmt.Sprint(d.index), func(d *driver) { n.handle(d, d.view.Merge(n.Now, answer)) })
		})
	}
}

func (n *network) send(from *driver, address string, deliver func(*driver)) {
	to := -1
	fmt.Sscan(address, &to)
	if to < 0 || to >= len(n.drivers) || n.blocked[[2]int{from.index, to}] || n.random.Float64() < n.loss {
		return
	}
	for range 1 + n.random.IntN(10)/9 {
		n.After(n.latency*n.random.ExpFloat64(), func() {
			if t := n.drivers[to]; t.view != nil && n.Now >= t.pausedUntil {
				deliver(t)
			}
		})
	}
}

// playFaults kills, restarts (with saved state or without), pauses, partitions, adds and forgets drivers, adds some
// under a name in use and lets some leave, over a network that loses, duplicates and delays messages.
func playFaults(d *digest, seed uint64) {
	n := &network{Scheduler: virtualclock.Scheduler{Now: 1e6}, digest: d, random: rand.New(rand.NewPCG(seed, 51)),
		blocked: map[[2]int]bool{}, latency: []float64{1, 30, 120}[seed%3], initialDrivers: 4}
	if seed%12 == 11 {
		n.initialDrivers = 30
	}
	for i := range n.initialDrivers {
		n.drivers = append(n.drivers, &driver{name: fmt.Sprint("n", i), index: i})
		n.start(i)
	}
	n.RunUntil(n.Now + 8000)
	for range 14 {
		i := n.random.IntN(len(n.drivers))
		target := n.drivers[i]
		switch fault := n.random.IntN(13); {
		case fault < 2:
			target.view = nil
		case fault < 4:
			n.start(i)
		case fault == 4:
			target.pausedUntil = n.Now + 4000*n.random.Float64()
		case fault < 7:
			side := 1 + n.random.IntN(n.initialDrivers-1)
			for a := range n.drivers {
				for b := range n.drivers {
					n.blocked[[2]int{a, b}] = (a < side) != (b < side) && (fault == 5 || a < b)
				}
			}
		case fault == 7:
			n.blocked[[2]int{i, n.random.IntN(len(n.drivers))}] = true
		case fault == 8 && target.view != nil:
			n.handle(target, target.view.Leave(n.Now))
		case fault == 9 && len(n.drivers) < n.initialDrivers+5:
			name := fmt.Sprint("n", len(n.drivers))
			if n.random.IntN(3) == 0 {
				name = "n2" // used by another driver
			}
			if target.view != nil {
				target.view.SetPeriod(400)
			}
			n.drivers = append(n.drivers, &driver{name: name, index: len(n.drivers)})
			n.start(len(n.drivers) - 1)
		case fault == 10 && target.view != nil:
			out, err := target.view.Forget(n.Now, fmt.Sprint("n", n.random.IntN(5)), n.random.IntN(2) == 0)
			d.add(err)
			n.handle(target, out)
		case fault == 11:
			n.loss = 0.3
		default:
			clear(n.blocked)
			n.loss = 0
		}
		for range 4 {
			n.RunUntil(n.Now + 2500*n.random.Float64())
			for _, x := range n.drivers {
				if x.view != nil {
					d.addStatus(x.view)
				}
			}
		}
	}
}

// playAnyMessage sends one driver messages of every kind in random order, from peers, unknown drivers and processes
// with its own name, with records, votes and rosters close to its own.
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
		d.addOutput("c", out)
		now += 15_000
	}
	for range 250 {
		now += math.Floor(r.Float64() * r.Float64() * 400)
		switch r.IntN(20) {
		case 0, 1, 2, 3, 4:
			d.addOutput("c", f.Tick(now))
		case 5:
			from := anyRecord(r, names)
			snapshot := Snapshot{From: from, Records: []Record{anyRecord(r, names), anyRecord(r, names)}}
			if r.IntN(2) == 0 {
				snapshot.Roster = &Roster{Version: uint64(r.IntN(6)), Lineage: uint64(3 + r.IntN(2)),
					Names: names[:1+r.IntN(len(names))]}
			}
			d.addOutput("c", f.Merge(now, snapshot))
		case 6:
			out, err := f.Forget(now, names[r.IntN(len(names))], r.IntN(2) == 0)
			d.add(err)
			d.addOutput("c", out)
		case 7:
			f.Saved(r.IntN(2) == 0)
		case 8:
			if r.IntN(20) == 0 {
				d.addOutput("c", f.Leave(now))
			}
		default:
			d.addOutput("c", f.Receive(now, anyMessage(r, f, names)))
		}
		d.addStatus(f)
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

// playOverload sends one driver records of more drivers than MaxDrivers, which change faster than it can gossip.
func playOverload(d *digest, seed uint64) {
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
		snapshot := Snapshot{From: record()}
		for range 20 {
			snapshot.Records = append(snapshot.Records, record())
		}
		if r.IntN(10) == 0 {
			snapshot.From.Run = 0 // invalid
			snapshot.Records[0].Address = ""
		}
		d.addOutput("c", f.Merge(now, snapshot))
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
		d.addOutput("c", f.Receive(now, m))
		d.addOutput("c", f.Tick(now))
		d.addStatus(f)
	}
}

// playDrains applies lists and drains announced by peers in random order.
func playDrains(d *digest, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 53))
	drains := NewDrains(4, 300)
	for now := 0.0; now < 3000; now += math.Floor(40 * r.Float64()) {
		drain := Drain{Member: string(rune('a' + r.IntN(6))), Source: uint8(r.IntN(2)),
			Revision: int64(2*r.IntN(15)) - 1, Up: r.IntN(3) == 0}
		if drain.Source == 1 {
			drain.Revision++ // distinct revisions per source, so that no eviction is a tie
		}
		if r.IntN(2) == 0 {
			changes, isNew := drains.ApplyPeer(now, drain)
			d.add(changes, isNew)
		} else {
			changes, isNew := drains.ApplyList(now, drain.Source, int64(r.IntN(20)), []Drain{drain})
			d.add(changes, isNew)
		}
		d.add(drains.Draining(), drains.Since(now-200))
	}
}
