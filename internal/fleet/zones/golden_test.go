package zones

import (
	"fmt"
	"testing"

	"weirwind/internal/fleet/paxos"
	"weirwind/internal/standin/golden"
)

func goldenPlan() *Plan {
	return &Plan{Epoch: 7, BaseSum: 1 << 60, Voters: []string{"n0", "n1", "n2"},
		Zones:      []Zone{{"a", Serving, NoCause, 1, 0}, {"b", Ejected, ZoneLost, 0, 2}, {"c", Recovering, Slow, 0.25, 1}},
		Partitions: []Partition{{"a", "b"}}, Flows: []Flow{{"b", "a", 0.4}, {"b", "c", 0.6}}, Moves: []Move{{3, "b", "a"}},
		Evacuations: []Evacuation{{"b", 60}, {"c", 0}}, Frozen: true, BindingConstraints: []string{"headroom of a is used"}}
}

func goldenReport() *Report {
	return &Report{Zone: "a", Sequence: 9, Run: 1796000000000, Observations: []Observation{{"b", 4, 1, 1.5, 2, 100.25}},
		Primaries: []PrimaryLocation{{3, "b"}}}
}

// TestMessageForms compares the encoding of each kind of message with recorded bytes.
func TestMessageForms(t *testing.T) {
	freeze, ballot, earlier := true, paxos.Ballot{Number: 5, Proposer: "n1"}, paxos.Ballot{Number: 4, Proposer: "n0"}
	var cases []golden.Case[Message]
	for kind := Prepare; kind <= ForwardCommand; kind++ {
		m := Message{Kind: kind, Epoch: 6, Sum: 1 << 63, Ballot: ballot}
		switch kind {
		case Promise, Accept, Decided:
			m.Accepted, m.Plan = earlier, goldenPlan()
		case Reject, Confirm, Confirmed:
			m.Nonce = 17
		case Bootstrap, Bootstrapped:
			m.Roster = 3
		case ReportState:
			m.Report = goldenReport()
		case ReportReply:
			m.Summary = &Summary{7, 99, 12.5, goldenPlan()}
		case ForwardCommand:
			m.Command = &Command{"b", true, 60000, &freeze, 1796000000001}
		}
		cases = append(cases, golden.Of(fmt.Sprint("kind ", kind), m))
	}
	golden.CBOR(t, "testdata/messages.golden", append(cases, golden.Of("empty", Message{})))
}

// TestSavedForms compares the encoding of saved state with recorded bytes.
func TestSavedForms(t *testing.T) {
	golden.CBOR(t, "testdata/saved.golden", []golden.Case[SavedState]{golden.Of("empty", SavedState{Name: "n0"}),
		golden.Of("full", SavedState{"n0", goldenPlan(), paxos.Ballot{Number: 5, Proposer: "n1"},
			paxos.Ballot{Number: 4, Proposer: "n0"}, goldenPlan(), 6})})
}

// TestStatusForms compares texts shown to operators, and the checksum of a plan's JSON, with recorded ones.
func TestStatusForms(t *testing.T) {
	golden.JSON(t, "testdata/status.golden", []golden.Case[Status]{
		golden.Of("empty", Status{}),
		golden.Of("full", Status{Self: "n0", Zone: "a", Leader: true, InForce: true, Age: 1.5, Lease: 15000,
			Plan: goldenPlan(), ZonePenalties: map[string]float64{"a": 0, "b": 60}, Observations: goldenReport().Observations,
			Causes: map[string]Cause{"b": ZoneLost}, Votes: "promised {5 n1}, taken {4 n0}, leads a round: true",
			CrossZone: []CrossZoneTraffic{{"b", "get", ReasonPlan, 3, 4}}})})
	golden.JSON(t, "testdata/preview.golden", []golden.Case[Preview]{golden.Of("empty", Preview{}), golden.Of("full",
		Preview{[]ZoneLoad{{"a", "r", 10, 20}}, goldenPlan().Flows, goldenPlan().BindingConstraints})})
	freeze := false
	golden.JSON(t, "testdata/command.golden", []golden.Case[Command]{golden.Of("empty", Command{}),
		golden.Of("full", Command{"b", true, 60000, &freeze, 1796000000001})})
	golden.Text(t, "testdata/texts.golden", []golden.Case[string]{
		golden.Of("plan", describe(goldenPlan())),
		golden.Of("sum", fmt.Sprintf("%016x %016x", goldenPlan().sum(), (*Plan)(nil).sum())),
		golden.Of("errors", fmt.Sprint(ErrNoPlan, ErrNotInForce, ErrUnknownZone, ErrNotLeader)),
		golden.Of("reasons", fmt.Sprint(ReasonPlan, ReasonPrimary, ReasonRetry, ReasonNoLocalMember, ReasonLocalLoaded)),
		golden.Of("states", fmt.Sprint(Serving, Suspected, Draining, Ejected, Recovering))})
}
