package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"weirwind/internal/fleet/paxos"
)

// vote is a message between two drivers of the model.
type vote struct {
	from, to string
	v        Vote
}

// voteModel is some drivers that have one roster, and whatever is on its way between them.
type voteModel struct {
	fleets    map[string]*Fleet
	names     []string
	inTransit []vote
	disks     map[string]*SavedState
}

func newVoteModel(n, newcomers int) *voteModel {
	c := &voteModel{fleets: map[string]*Fleet{}, disks: map[string]*SavedState{}}
	var roster []string
	for i := range n + newcomers {
		name := fmt.Sprintf("n%d", i)
		c.names = append(c.names, name)
		if i < n {
			roster = append(roster, name)
		}
	}
	for _, name := range c.names {
		f := c.start(name)
		if name < roster[len(roster)-1] || name == roster[len(roster)-1] {
			f.adoptRoster(Roster{Version: 1, Lineage: 1, Names: roster, hash: namesHash(roster)})
		}
		c.flush(f)
	}
	return c
}

// start starts a process that knows what an earlier one kept, and all drivers.
func (c *voteModel) start(name string) *Fleet {
	f := New(0, Options{Period: 100, ExpectedDrivers: 1, MaxDrivers: 100, Persistent: true, Saved: c.disks[name]},
		Record{Name: name, Run: 1, Address: name}, nil, 1)
	for _, o := range c.names {
		f.applyRecord(Record{Name: o, Run: 1, Address: o})
	}
	c.fleets[name] = f
	return f
}

// flush saves what a driver is to save, and puts what it sends on its way.
func (c *voteModel) flush(f *Fleet) {
	out := f.takeOutput()
	if out.Save != nil {
		c.disks[f.self.Name] = out.Save
		f.Saved(true)
	}
	for _, s := range out.Messages {
		if s.Message.Vote != nil {
			c.inTransit = append(c.inTransit, vote{f.self.Name, s.Address, *s.Message.Vote})
		}
	}
}

func change(f *Fleet, add, remove string) *Change {
	c := &Change{Version: f.roster.Version + 1, Lineage: 1, BaseHash: f.roster.hash, Hash: f.roster.hash}
	if add != "" {
		c.Add = []string{add}
	}
	if remove != "" {
		c.Remove = []string{remove}
	}
	c.Hash ^= namesHash(c.Add) ^ namesHash(c.Remove)
	return c
}

// TestVotesInAnyOrder: several drivers propose different changes at once, again and again, and every message is
// lost, late, doubled or out of order as it happens, and drivers are killed and come back, before or after what
// they voted was on disk, or can't write to it: whoever decides on the next version decides the same, and each
// decision had both majorities.
func TestVotesInAnyOrder(t *testing.T) {
	decided, killed := 0, 0
	for seed := range uint64(10000) {
		draw := rand.New(rand.NewPCG(seed, 5))
		n := 3 + draw.IntN(3)
		c := newVoteModel(n, 2)
		versions := map[uint64]*Roster{} // that a process held when it was killed
		for range 60 + draw.IntN(120) {
			name := c.names[draw.IntN(n)]
			switch f := c.fleets[name]; {
			case draw.IntN(12) == 0 && f.roster.Version == 1:
				switch f.round = nil; draw.IntN(3) {
				case 0:
					f.propose(change(f, c.names[n+draw.IntN(2)], ""))
				case 1:
					f.propose(change(f, "", c.names[draw.IntN(n)]))
				case 2:
					f.propose(change(f, c.names[n+draw.IntN(2)], c.names[draw.IntN(n)]))
				}
				c.flush(f)
			case draw.IntN(20) == 0: // killed, and back with what it kept
				if f.roster.Version > 1 {
					versions[f.roster.hash] = f.roster
				}
				f = c.start(name)
				f.takeOutput()
				killed++
			case len(c.inTransit) > 0:
				i := draw.IntN(len(c.inTransit))
				m := c.inTransit[i]
				if draw.IntN(8) > 0 { // else it comes once more, later
					c.inTransit = append(c.inTransit[:i], c.inTransit[i+1:]...)
				}
				if draw.IntN(10) == 0 {
					continue // lost
				}
				to := c.fleets[m.to]
				to.receiveVote(m.from, m.from, m.v)
				switch draw.IntN(30) {
				case 0: // killed before anything was written
					c.start(m.to).takeOutput()
				case 1: // nothing can be written
					if to.takeOutput().Save != nil {
						to.Saved(false)
						to.now += settledPeriods * 100
					}
				default:
					c.flush(to)
				}
			}
		}
		var first *Roster
		for _, name := range c.names[:n] {
			versions[c.fleets[name].roster.hash] = c.fleets[name].roster
		}
		for _, r := range versions {
			if r.Version == 1 {
				continue
			}
			decided++
			if first == nil {
				first = r
			}
			if r.Version != 2 || r.hash != first.hash {
				t.Fatalf("seed %d: version 2 is %v and %v", seed, first.Names, r.Names)
			}
		}
	}
	if decided < 1000 || killed < 1000 {
		t.Errorf("only %d decisions, %d killed: the test does not test", decided, killed)
	}
}

// TestForgetfulDriversDoNotVote: a driver that may have forgotten a vote gives none for a while.
func TestForgetfulDriversDoNotVote(t *testing.T) {
	c := newVoteModel(3, 0)
	f := c.fleets["n1"]
	f.roster = nil
	f.receiveRoster(Roster{Version: 1, Lineage: 1, Names: []string{"n0", "n1", "n2"}})
	p := c.fleets["n0"]
	p.propose(change(p, "", "n2"))
	for _, s := range p.takeOutput().Messages {
		if s.Address == "n1" {
			f.receiveVote("n0", "n0", *s.Message.Vote)
		}
	}
	if out := f.takeOutput(); len(out.Messages) > 0 {
		t.Errorf("it votes: %+v", out.Messages)
	}
	f.now = forgetPeriods*100 + 1
	f.receiveVote("n0", "n0", Vote{Kind: Prepare, Version: 2, BaseHash: f.roster.hash,
		Ballot: paxos.Ballot{Number: 9, Proposer: "n0"}})
	if out := f.takeOutput(); len(out.Messages) != 1 || out.Messages[0].Message.Vote.Kind != Promise {
		t.Errorf("it never votes again: %+v", out)
	}
}

// TestWhatStandingsAllow holds the table of what each status allows.
func TestWhatStandingsAllow(t *testing.T) {
	for s := Undetermined; s <= Complete; s++ {
		for a := BeginWritePause; a <= LearnPrimary; a++ {
			larger := s == Majority || s == Complete
			want := map[Action]bool{BeginWritePause: larger, RenewWritePause: true, EndWritePause: true,
				ChangeRoster: larger, ApplyDrain: true, ReduceCount: larger}[a]
			if got, why := Allowed(s, a); got != want || got != (why == "") {
				t.Errorf("%s, act %d: %v %q", s, a, got, why)
			}
		}
	}
}

// TestSharesAddUp: all shares together are one, however a fleet has come apart.
func TestSharesAddUp(t *testing.T) {
	for n := 2; n <= 40; n++ {
		for a := 1; a < n; a++ {
			view := func(living int) int {
				f := New(0, Options{Period: 100, ExpectedDrivers: 1, MaxDrivers: 100, TakeoverAfter: 1000},
					Record{Name: "n00", Run: 1, Address: "n00"}, nil, 1)
				names := []string{"n00"}
				for i := 1; i < n; i++ {
					r := Record{Name: fmt.Sprintf("n%02d", i), Run: 1, Address: fmt.Sprint(i)}
					names = append(names, r.Name)
					f.applyRecord(r)
					if i >= living {
						r.State = Failed
						f.applyRecord(r)
					}
				}
				f.adoptRoster(Roster{Version: 1, Lineage: 1, Names: names, hash: namesHash(names)})
				f.updatePartition()
				if c := f.DriverCount(); f.partition == Majority && c < n {
					t.Errorf("%d of %d count %d before the others can have given way", living, n, c)
				}
				f.now = 4000
				c := f.DriverCount()
				if n > 3 && living == n-1 { // another one is lost: the wait begins anew
					r := f.peers[0].Record
					r.State = Failed
					f.applyRecord(r)
					if f.updatePartition(); f.partition == Majority && f.DriverCount() != n {
						t.Errorf("%d of %d count %d at once", living-1, n, f.DriverCount())
					}
				}
				return c
			}
			if sum := float64(a)/float64(view(a)) + float64(n-a)/float64(view(n-a)); sum > 1.0001 {
				t.Errorf("%d and %d of %d: all shares are %.3f", a, n-a, n, sum)
			}
		}
	}
}

// TestWhichSayingHolds: of two living processes with one name the first keeps it; word of an ended one does not
// end the other.
func TestWhichSayingHolds(t *testing.T) {
	first := Record{Name: "a", Run: 5, Address: "x"}
	second := Record{Name: "a", Run: 9, Address: "y"}
	with := func(r Record, s State, inc uint32) Record { r.State, r.Incarnation = s, inc; return r }
	for _, x := range []struct {
		r, held Record
		want    bool
	}{
		{second, first, false}, {first, second, true}, {second, with(first, Failed, 3), true},
		{first, with(second, Failed, 0), false},
		{with(second, Failed, 0), first, false}, {with(first, Suspect, 0), first, true},
		{first, with(first, Suspect, 0), false},
		{with(first, Alive, 1), with(first, Failed, 0), true}, {with(first, Alive, 9), with(first, Left, 0), false},
		{Record{Name: "a", Run: 6, Address: "x"}, with(first, Left, 0), true},
		{Record{Name: "a", Run: 4, Address: "x"}, first, false},
	} {
		if got := x.r.supersedes(&x.held); got != x.want {
			t.Errorf("%+v over %+v: %v", x.r, x.held, got)
		}
	}
}
