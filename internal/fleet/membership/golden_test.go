package membership

import (
	"encoding/json"
	"fmt"
	"testing"

	"weirwind/internal/fleet/paxos"
	"weirwind/internal/standin/golden"
)

var (
	goldenSelf = Record{Name: "n1", Run: 1700000000000, Incarnation: 3, State: Alive, Address: "10.0.0.1:7400",
		Zone: "a"}
	goldenSuspect = Record{Name: "n2", Run: 5, Incarnation: 1, State: Suspect, Address: "10.0.0.2:7400", ReportedBy: "n1"}
	goldenReach   = Reachability{Name: "n1", Run: 7, Sequence: 2, Unreachable: []string{"n2", "n3"}}
	goldenChange  = Change{Version: 5, Lineage: 9, BaseHash: 11, Hash: 12, Add: []string{"n4"}, Remove: []string{"n2"}}
	goldenRoster  = Roster{Version: 4, Lineage: 9, Names: []string{"n1", "n2"}}
	goldenBallot  = paxos.Ballot{Number: 2, Proposer: "n1"}
	goldenEarlier = paxos.Ballot{Number: 1, Proposer: "n3"}
)

// TestWireForm compares the encoding of messages between drivers with recorded bytes.
func TestWireForm(t *testing.T) {
	golden.CBOR(t, "testdata/records.golden", []golden.Case[Record]{
		golden.Of("record", goldenSelf),
		golden.Of("suspected", goldenSuspect),
		golden.Of("failed", Record{Name: "n2", Run: 5, State: Failed, Address: "10.0.0.2:7400", ReportedBy: "n3"}),
		golden.Of("left", Record{Name: "n2", Run: 5, State: Left, Address: "10.0.0.2:7400"}),
	})
	golden.CBOR(t, "testdata/messages.golden", []golden.Case[Message]{
		golden.Of("ping", Message{Kind: 1, From: goldenSelf, Counter: 8, ProbeID: 77, Target: "n2", ViewHash: 0xfeedbeef,
			RosterVersion: 4, RosterHash: 11}),
		golden.Of("ping request", Message{Kind: 2, From: goldenSelf, Counter: 9, ProbeID: 77, Target: "n2",
			TargetAddress: "10.0.0.2:7400"}),
		golden.Of("ack", Message{Kind: 3, From: goldenSelf, Counter: 10, ProbeID: 77, Target: "n1",
			Records: []Record{goldenSuspect}}),
		golden.Of("nack", Message{Kind: 4, From: goldenSelf, Counter: 11, ProbeID: 77, Target: "n2"}),
		golden.Of("gossip", Message{Kind: 5, From: goldenSelf, Counter: 12, Target: "n2",
			Records: []Record{goldenSelf, goldenSuspect}, Reachability: []Reachability{goldenReach},
			DecidedChange: &goldenChange}),
		golden.Of("vote", Message{Kind: 5, From: goldenSelf, Counter: 13, Target: "n2",
			Vote: &Vote{Kind: 3, Version: 5, BaseHash: 11, Ballot: goldenBallot}}),
	})
	golden.CBOR(t, "testdata/votes.golden", []golden.Case[Vote]{
		golden.Of("bootstrap", Vote{Kind: 1, Version: 1, Hash: 12, Ballot: paxos.Ballot{Proposer: "n1"}}),
		golden.Of("bootstrapped", Vote{Kind: 2, Version: 1, Hash: 12, Ballot: paxos.Ballot{Proposer: "n1"}}),
		golden.Of("prepare", Vote{Kind: 3, Version: 5, BaseHash: 11, Ballot: goldenBallot}),
		golden.Of("promise", Vote{Kind: 4, Version: 5, BaseHash: 11, Ballot: goldenBallot, Accepted: goldenEarlier,
			Change: &goldenChange}),
		golden.Of("accept", Vote{Kind: 5, Version: 5, BaseHash: 11, Ballot: goldenBallot, Change: &goldenChange}),
		golden.Of("accepted", Vote{Kind: 6, Version: 5, BaseHash: 11, Ballot: goldenBallot}),
		golden.Of("reject", Vote{Kind: 7, Version: 5, BaseHash: 11, Ballot: goldenBallot}),
	})
	golden.CBOR(t, "testdata/snapshots.golden", []golden.Case[Snapshot]{
		golden.Of("exchange", Snapshot{From: goldenSelf, Records: []Record{goldenSuspect},
			Reachability: []Reachability{goldenReach}, Roster: &goldenRoster}),
	})
}

// TestSavedForm compares the encoding of saved state with recorded bytes.
func TestSavedForm(t *testing.T) {
	golden.CBOR(t, "testdata/saved.golden", []golden.Case[SavedState]{
		golden.Of("saved", SavedState{Name: "n1", Run: 7, Roster: goldenRoster, Version: 5, Promised: goldenBallot,
			Accepted: goldenEarlier, Change: &goldenChange, BallotNumber: 2}),
	})
}

// TestTexts compares texts shown to operators with recorded ones: a driver's status, drains, names of states and
// statuses, reasons and errors.
func TestTexts(t *testing.T) {
	var cases []golden.Case[string]
	add := func(name, text string) { cases = append(cases, golden.Of(name, text)) }
	add("status", encodeJSON(t, goldenFleet().Status()))
	add("drains", encodeJSON(t, []Drain{{Member: "m1", Source: 1, Revision: 5},
		{Member: "m1", Source: 1, Revision: 6, Up: true}}))
	for s := range State(5) {
		add(fmt.Sprint("state ", uint8(s)), s.String())
	}
	for s := range PartitionStatus(6) {
		add(fmt.Sprint("partition status ", uint8(s)), s.String())
		for a := range Action(8) {
			allowed, reason := Allowed(s, a)
			add(fmt.Sprintf("action %d in partition status %d", a, uint8(s)), fmt.Sprint(allowed, reason))
		}
	}
	for i, err := range []error{ErrUnknownDriver, ErrAlive, ErrNoMajority, new(State).UnmarshalText([]byte("x")),
		new(PartitionStatus).UnmarshalText([]byte("x"))} {
		add(fmt.Sprint("error ", i), err.Error())
	}
	golden.Text(t, "testdata/texts.golden", cases)
}

// goldenFleet returns the view of a driver that knows two peers and a roster.
func goldenFleet() *Fleet {
	f := New(1000, Options{Period: 500, ExpectedDrivers: 3, MaxDrivers: 10, TakeoverAfter: 15000},
		Record{Name: "n1", Run: 7, Address: "a:1", Zone: "z"}, nil, 1)
	f.Merge(1000, Snapshot{
		From:         Record{Name: "n2", Run: 8, Address: "b:2"},
		Records:      []Record{{Name: "n3", Run: 9, Address: "c:3", State: Suspect, ReportedBy: "n2"}},
		Reachability: []Reachability{{Name: "n2", Run: 8, Sequence: 1, Unreachable: []string{"n3"}}},
		Roster:       &Roster{Version: 2, Lineage: 8, Names: []string{"n1", "n2", "n3"}},
	})
	return f
}

func encodeJSON(t *testing.T, v any) string {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
