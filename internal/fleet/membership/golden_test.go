package membership

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/fleet/paxos"
)

var record = flag.Bool("update", false, "write testdata/wire.txt anew")

// TestWireForm holds the bytes of what drivers send each other and keep on disk against those that were recorded.
func TestWireForm(t *testing.T) {
	const file = "testdata/wire.txt"
	self := Record{Name: "n1", Run: 1700000000000, Incarnation: 3, State: Alive, Address: "10.0.0.1:7400", Zone: "a"}
	suspect := Record{Name: "n2", Run: 5, Incarnation: 1, State: Suspect, Address: "10.0.0.2:7400", ReportedBy: "n1"}
	hears := Reachability{Name: "n1", Run: 7, Sequence: 2, Unreachable: []string{"n2", "n3"}}
	change := Change{Version: 5, Lineage: 9, BaseHash: 11, Hash: 12, Add: []string{"n4"}, Remove: []string{"n2"}}
	roster := Roster{Version: 4, Lineage: 9, Names: []string{"n1", "n2"}}
	ballot, accepted := paxos.Ballot{Number: 2, Proposer: "n1"}, paxos.Ballot{Number: 1, Proposer: "n3"}
	values := []struct {
		name  string
		value any
	}{
		{"record", &self},
		{"suspected", &suspect},
		{"failed", &Record{Name: "n2", Run: 5, State: Failed, Address: "10.0.0.2:7400", ReportedBy: "n3"}},
		{"left", &Record{Name: "n2", Run: 5, State: Left, Address: "10.0.0.2:7400"}},
		{"ping", &Message{Kind: 1, From: self, Counter: 8, ProbeID: 77, Target: "n2", ViewHash: 0xfeedbeef, RosterVersion: 4, RosterHash: 11}},
		{"ping request", &Message{Kind: 2, From: self, Counter: 9, ProbeID: 77, Target: "n2", TargetAddress: "10.0.0.2:7400"}},
		{"ack", &Message{Kind: 3, From: self, Counter: 10, ProbeID: 77, Target: "n1", Records: []Record{suspect}}},
		{"nack", &Message{Kind: 4, From: self, Counter: 11, ProbeID: 77, Target: "n2"}},
		{"gossip", &Message{Kind: 5, From: self, Counter: 12, Target: "n2", Records: []Record{self, suspect}, Reachability: []Reachability{hears},
			DecidedChange: &change}},
		{"vote", &Message{Kind: 5, From: self, Counter: 13, Target: "n2", Vote: &Vote{Kind: 3, Version: 5, BaseHash: 11, Ballot: ballot}}},
		{"bootstrap", &Vote{Kind: 1, Version: 1, Hash: 12, Ballot: paxos.Ballot{Proposer: "n1"}}},
		{"bootstrapped", &Vote{Kind: 2, Version: 1, Hash: 12, Ballot: paxos.Ballot{Proposer: "n1"}}},
		{"prepare", &Vote{Kind: 3, Version: 5, BaseHash: 11, Ballot: ballot}},
		{"promise", &Vote{Kind: 4, Version: 5, BaseHash: 11, Ballot: ballot, Accepted: accepted, Change: &change}},
		{"accept", &Vote{Kind: 5, Version: 5, BaseHash: 11, Ballot: ballot, Change: &change}},
		{"accepted", &Vote{Kind: 6, Version: 5, BaseHash: 11, Ballot: ballot}},
		{"reject", &Vote{Kind: 7, Version: 5, BaseHash: 11, Ballot: ballot}},
		{"exchange", &Snapshot{From: self, Records: []Record{suspect}, Reachability: []Reachability{hears}, Roster: &roster}},
		{"saved", &SavedState{Name: "n1", Run: 7, Roster: roster, Version: 5, Promised: ballot, Accepted: accepted,
			Change: &change, BallotNumber: 2}},
	}
	var now strings.Builder
	for _, v := range values {
		b, err := cbor.Marshal(v.value)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&now, "%s: %x\n", v.name, b)
	}
	if *record {
		if err := os.WriteFile(file, []byte(now.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	if len(lines) != len(values) {
		t.Fatalf("%d forms are recorded, and %d are tested", len(lines), len(values))
	}
	for i, v := range values {
		t.Run(v.name, func(t *testing.T) {
			name, recorded, _ := strings.Cut(lines[i], ": ")
			raw, err := hex.DecodeString(recorded)
			if err != nil || name != v.name {
				t.Fatal(name, err)
			}
			if b, _ := cbor.Marshal(v.value); string(b) != string(raw) {
				t.Errorf("encodes as %x, recorded was %x", b, raw)
			}
			back := reflect.New(reflect.TypeOf(v.value).Elem())
			if err := cbor.Unmarshal(raw, back.Interface()); err != nil {
				t.Fatal(err)
			}
			if !reflect.DeepEqual(back.Interface(), v.value) {
				t.Errorf("decodes as %+v, want %+v", back.Interface(), v.value)
			}
		})
	}
}

// TestTexts holds what operators see: the status of a driver, names of states and standings, reasons and errors.
func TestTexts(t *testing.T) {
	f := New(1000, Options{Period: 500, ExpectedDrivers: 3, MaxDrivers: 10, TakeoverAfter: 15000}, Record{Name: "n1", Run: 7, Address: "a:1", Zone: "z"},
		nil, 1)
	f.Merge(1000, Snapshot{From: Record{Name: "n2", Run: 8, Address: "b:2"}, Reachability: []Reachability{{Name: "n2", Run: 8, Sequence: 1,
		Unreachable: []string{"n3"}}}, Records: []Record{{Name: "n3", Run: 9, Address: "c:3", State: Suspect, ReportedBy: "n2"}},
		Roster: &Roster{Version: 2, Lineage: 8, Names: []string{"n1", "n2", "n3"}}})
	status, err := json.Marshal(f.Status())
	if err != nil {
		t.Fatal(err)
	}
	drain, err := json.Marshal([]Drain{{Member: "m1", Source: 1, Revision: 5}, {Member: "m1", Source: 1, Revision: 6, Up: true}})
	if err != nil {
		t.Fatal(err)
	}
	var texts []string
	for s := range State(5) {
		texts = append(texts, s.String())
	}
	for s := range PartitionStatus(6) {
		texts = append(texts, s.String())
		for a := range Action(8) {
			allowed, reason := Allowed(s, a)
			texts = append(texts, fmt.Sprint(allowed, reason))
		}
	}
	for _, err := range []error{ErrUnknownDriver, ErrAlive, ErrNoMajority, new(State).UnmarshalText([]byte("x")),
		new(PartitionStatus).UnmarshalText([]byte("x"))} {
		texts = append(texts, err.Error())
	}
	got := fmt.Sprintf("%s\n%s\n%s\n", status, drain, strings.Join(texts, "\n"))
	const file = "testdata/texts.txt"
	if *record {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s\nrecorded was\n%s", got, want)
	}
}
