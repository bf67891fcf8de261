package paxos

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestBallotForm compares a ballot's encoding, and its text as shown to operators, with recorded ones.
func TestBallotForm(t *testing.T) {
	b, err := cbor.Marshal(Ballot{1000, "n1"})
	if err != nil {
		t.Fatal(err)
	}
	if got := fmt.Sprintf("%x %v", b, Ballot{1000, "n1"}); got != "a2011903e802626e31 {1000 n1}" {
		t.Error(got)
	}
	var back Ballot
	if err := cbor.Unmarshal(b, &back); err != nil || back != (Ballot{1000, "n1"}) {
		t.Error(back, err)
	}
}

// TestDigest compares the answers of acceptors and proposers over seeded histories with a recorded digest.
func TestDigest(t *testing.T) {
	sum := fnv.New64a()
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		voters := []string{"a", "b", "c", "d", "e"}[:1+r.IntN(5)]
		others := []string{"c", "d", "e", "f"}
		acceptors := map[string]*Acceptor[string]{}
		for _, name := range voters {
			acceptors[name] = &Acceptor[string]{}
		}
		var proposers []*Proposer[string]
		for range 150 {
			if len(proposers) == 0 || r.IntN(12) == 0 {
				value := fmt.Sprint(len(proposers))
				p := NewProposer(Ballot{uint32(1 + r.IntN(6)), value}, &value)
				proposers = append(proposers, &p)
			}
			p, name := proposers[r.IntN(len(proposers))], voters[r.IntN(len(voters))]
			a := acceptors[name]
			if !p.Accepting {
				promised := a.Prepare(p.Ballot)
				fmt.Fprint(sum, promised, promised && p.RecordPromise(name, a.Accepted, a.Value, voters))
			} else if accepted := a.Accept(p.Ballot, p.Value); accepted {
				p.RecordAccepted(name)
			}
			for _, v := range voters {
				fmt.Fprint(sum, acceptors[v].Promised, acceptors[v].Accepted, p.HasAccepted(v), " ")
			}
			fmt.Fprintln(sum, *p.Value, p.Accepting, p.Decided(voters), p.Decided(voters, others))
		}
	}
	if got := fmt.Sprintf("%016x", sum.Sum64()); got != "a82a1c1c18f5cbe7" {
		t.Errorf("digest %s", got)
	}
}
