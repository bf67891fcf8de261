package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"weirwind/internal/fleet/paxos"
)

// sentVote is a vote in transit between two drivers of the model.
type sentVote struct {
	from, to string
	vote     Vote
}

// voteModel is a set of drivers with a common roster, and the votes in transit between them.
type voteModel struct {
	fleets    map[string]*Fleet
	names     []string
	inTransit []sentVote
	disks     map[string]*SavedState
}

func newVoteModel(n, newcomers int) *voteModel {
	model := &voteModel{fleets: map[string]*Fleet{}, disks: map[string]*SavedState{}}
	var roster []string
	for i := range n + newcomers {
		name := fmt.Sprintf("n%d", i)
		model.names = append(model.names, name)
		if i < n {
			roster = append(roster, name)
		}
	}
	for _, name := range model.names {
		f := model.start(name)
		if name < roster[len(roster)-1] || name == roster[len(roster)-1] {
			f.adoptRoster(Roster{Version: 1, Lineage: 1, Names: roster, hash: namesHash(roster)})
		}
		model.flush(f)
	}
	return model
}

// start starts a process that restores the saved state of an earlier one, and knows all drivers.
func (m *voteModel) start(name string) *Fleet {
	f := New(0, Options{Period: 100, ExpectedDrivers: 1, MaxDrivers: 100, Persistent: true, Saved: m.disks[name]},
		Record{Name: name, Run: 1, Address: name}, nil, 1)
	for _, o := range m.names {
		f.applyRecord(Record{Name: o, Run: 1, Address: o})
	}
	m.fleets[name] = f
	return f
}

// flush saves a driver's state and puts its sent votes in transit.
func (m *voteModel) flush(f *Fleet) {
	out := f.takeOutput()
	if out.Save != nil {
		m.disks[f.self.Name] = out.Save
		f.Saved(true)
	}
	for _, s := range out.Messages {
		if s.Message.Vote != nil {
			m.inTransit = append(m.inTransit, sentVote{f.self.Name, s.Address, *s.Message.Vote})
		}
	}
}

func newChange(f *Fleet, add, remove string) *Change {
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

// TestVotesInAnyOrder checks that all decisions on the next roster version are the same. Several drivers repeatedly
// propose different changes at once, messages are lost, delayed, duplicated and reordered, drivers are killed and
// restarted before or after their votes are on disk, and writes to disk fail.
func TestVotesInAnyOrder(t *testing.T) {
	decided, killed := 0, 0
	for seed := range uint64(10000) {
		random := rand.New(rand.NewPCG(seed, 5))
		n := 3 + random.IntN(3)
		model := newVoteModel(n, 2)
		versions := map[uint64]*Roster{} // rosters of processes when they were killed
		for range 60 + random.IntN(120) {
			name := model.names[random.IntN(n)]
			switch f := model.fleets[name]; {
			case random.IntN(12) == 0 && f.roster.Version == 1:
				switch f.round = nil; random.IntN(3) {
				case 0:
					f.propose(newChange(f, model.names[n+random.IntN(2)], ""))
				case 1:
					f.propose(newChange(f, "", model.names[random.IntN(n)]))
				case 2:
					f.propose(newChange(f, model.names[n+random.IntN(2)], model.names[random.IntN(n)]))
				}
				model.flush(f)
			case random.IntN(20) == 0: // killed and restarted with its saved state
				if f.roster.Version > 1 {
					versions[f.roster.hash] = f.roster
				}
				f = model.start(name)
				f.takeOutput()
				killed++
			case len(model.inTransit) > 0:
				i := random.IntN(len(model.inTransit))
				next := model.inTransit[i]
				if random.IntN(8) > 0 { // otherwise it is delivered again later
					model.inTransit = append(model.inTransit[:i], model.inTransit[i+1:]...)
				}
				if random.IntN(10) == 0 {
					continue // lost
				}
				to := model.fleets[next.to]
				to.receiveVote(next.from, next.from, next.vote)
				switch random.IntN(30) {
				case 0: // killed before its state was saved
					model.start(next.to).takeOutput()
				case 1: // saving fails
					if to.takeOutput().Save != nil {
						to.Saved(false)
						to.now += settledPeriods * 100
					}
				default:
					model.flush(to)
				}
			}
		}
		var decidedRoster *Roster
		for _, name := range model.names[:n] {
			versions[model.fleets[name].roster.hash] = model.fleets[name].roster
		}
		for _, r := range versions {
			if r.Version == 1 {
				continue
			}
			decided++
			if decidedRoster == nil {
				decidedRoster = r
			}
			if r.Version != 2 || r.hash != decidedRoster.hash {
				t.Fatalf("seed %d: version 2 is %v and %v", seed, decidedRoster.Names, r.Names)
			}
		}
	}
	if decided < 1000 || killed < 1000 {
		t.Errorf("only %d decisions and %d kills: the test exercises too little", decided, killed)
	}
}

// TestNoVotesAfterForgottenVotes checks that a driver that may have forgotten a vote abstains for a while.
func TestNoVotesAfterForgottenVotes(t *testing.T) {
	model := newVoteModel(3, 0)
	f := model.fleets["n1"]
	f.roster = nil
	f.receiveRoster(Roster{Version: 1, Lineage: 1, Names: []string{"n0", "n1", "n2"}})
	proposer := model.fleets["n0"]
	proposer.propose(newChange(proposer, "", "n2"))
	for _, s := range proposer.takeOutput().Messages {
		if s.Address == "n1" {
			f.receiveVote("n0", "n0", *s.Message.Vote)
		}
	}
	if out := f.takeOutput(); len(out.Messages) > 0 {
		t.Errorf("a driver that may have forgotten a vote votes: %+v", out.Messages)
	}
	f.now = forgetPeriods*100 + 1
	f.receiveVote("n0", "n0", Vote{Kind: Prepare, Version: 2, BaseHash: f.roster.hash,
		Ballot: paxos.Ballot{Number: 9, Proposer: "n0"}})
	if out := f.takeOutput(); len(out.Messages) != 1 || out.Messages[0].Message.Vote.Kind != Promise {
		t.Errorf("it does not vote after forgetPeriods: %+v", out)
	}
}

// TestAllowedActions checks which actions each status allows.
func TestAllowedActions(t *testing.T) {
	for s := Undetermined; s <= Complete; s++ {
		for a := BeginWritePause; a <= LearnPrimary; a++ {
			withMajority := s == Majority || s == Complete
			want := map[Action]bool{BeginWritePause: withMajority, RenewWritePause: true, EndWritePause: true,
				ChangeRoster: withMajority, ApplyDrain: true, ReduceCount: withMajority}[a]
			if got, reason := Allowed(s, a); got != want || got != (reason == "") {
				t.Errorf("%s, action %d: %v %q", s, a, got, reason)
			}
		}
	}
}

// TestSharesNeverExceedOne checks that the shares of all drivers add up to at most one for every split into two parts.
func TestSharesNeverExceedOne(t *testing.T) {
	for n := 2; n <= 40; n++ {
		for part := 1; part < n; part++ {
			countFor := func(live int) int {
				f := New(0, Options{Period: 100, ExpectedDrivers: 1, MaxDrivers: 100, TakeoverAfter: 1000},
					Record{Name: "n00", Run: 1, Address: "n00"}, nil, 1)
				names := []string{"n00"}
				for i := 1; i < n; i++ {
					r := Record{Name: fmt.Sprintf("n%02d", i), Run: 1, Address: fmt.Sprint(i)}
					names = append(names, r.Name)
					f.applyRecord(r)
					if i >= live {
						r.State = Failed
						f.applyRecord(r)
					}
				}
				f.adoptRoster(Roster{Version: 1, Lineage: 1, Names: names, hash: namesHash(names)})
				f.updatePartition()
				if c := f.DriverCount(); f.partition == Majority && c < n {
					t.Errorf("%d of %d count %d before the others can have reduced their shares", live, n, c)
				}
				f.now = 4000
				c := f.DriverCount()
				if n > 3 && live == n-1 { // losing another driver restarts the wait
					r := f.peers[0].Record
					r.State = Failed
					f.applyRecord(r)
					if f.updatePartition(); f.partition == Majority && f.DriverCount() != n {
						t.Errorf("%d of %d count %d immediately", live-1, n, f.DriverCount())
					}
				}
				return c
			}
			if sum := float64(part)/float64(countFor(part)) + float64(n-part)/float64(countFor(n-part)); sum > 1.0001 {
				t.Errorf("%d and %d of %d: the sum of all shares is %.3f", part, n-part, n, sum)
			}
		}
	}
}

// TestRecordSupersedes checks that of two live processes with one name the first keeps it, and that a record of an
// ended process does not end the other one.
func TestRecordSupersedes(t *testing.T) {
	first := Record{Name: "a", Run: 5, Address: "x"}
	second := Record{Name: "a", Run: 9, Address: "y"}
	with := func(r Record, s State, inc uint32) Record { r.State, r.Incarnation = s, inc; return r }
	for _, test := range []struct {
		r, current Record
		want       bool
	}{
		{second, first, false}, {first, second, true}, {second, with(first, Failed, 3), true},
		{first, with(second, Failed, 0), false},
		{with(second, Failed, 0), first, false}, {with(first, Suspect, 0), first, true},
		{first, with(first, Suspect, 0), false},
		{with(first, Alive, 1), with(first, Failed, 0), true}, {with(first, Alive, 9), with(first, Left, 0), false},
		{Record{Name: "a", Run: 6, Address: "x"}, with(first, Left, 0), true},
		{Record{Name: "a", Run: 4, Address: "x"}, first, false},
	} {
		if got := test.r.supersedes(&test.current); got != test.want {
			t.Errorf("%+v supersedes %+v: %v", test.r, test.current, got)
		}
	}
}
