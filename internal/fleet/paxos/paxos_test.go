package paxos

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestDecidesOneValue checks that no two values are decided, with the prepares and accepts of several ballots in random
// order.
func TestDecidesOneValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		voters := []string{"a", "b", "c", "d", "e"}[:rapid.IntRange(1, 5).Draw(t, "voters")]
		acceptors := map[string]*Acceptor[string]{}
		for _, name := range voters {
			acceptors[name] = &Acceptor[string]{}
		}
		var proposers []*Proposer[string]
		decided := ""
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(proposers) == 0 || rapid.IntRange(0, 9).Draw(t, "new") == 0 {
				value := fmt.Sprint("value ", len(proposers))
				p := NewProposer(Ballot{Number: uint32(rapid.IntRange(1, 6).Draw(t, "number")), Proposer: value}, &value)
				proposers = append(proposers, &p)
			}
			p := rapid.SampledFrom(proposers).Draw(t, "proposer")
			name := rapid.SampledFrom(voters).Draw(t, "voter")
			a := acceptors[name]
			if !p.Accepting {
				if a.Prepare(p.Ballot) {
					p.RecordPromise(name, a.Accepted, a.Value, voters)
				}
				continue
			}
			if a.Accept(p.Ballot, p.Value) {
				p.RecordAccepted(name)
			}
			if p.Decided(voters) {
				if decided != "" && decided != *p.Value {
					t.Fatalf("both %q and %q were decided", decided, *p.Value)
				}
				decided = *p.Value
			}
		}
	})
}
