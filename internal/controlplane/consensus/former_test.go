package consensus

import (
	"slices"
	"testing"
)

func votersAt(addrs ...string) (voters []Voter) {
	for _, addr := range addrs {
		voters = append(voters, Voter{ID: "id of " + addr, Addr: addr})
	}
	return voters
}

func TestFormerVotersAreListedForLeaseLifetime(t *testing.T) {
	n := &Node{options: Options{FormerVoterLifetime: 100}, leaderState: leaderState{formerSince: map[string]float64{}}}
	n.HardState.Last.Voters = votersAt("a", "b", "c")
	for _, step := range []struct {
		name   string
		now    float64
		voters []Voter
		want   []string
	}{
		{"a voter is removed", 1000, votersAt("a", "b"), []string{"c"}},
		{"the value changes", 1050, votersAt("a", "b"), []string{"c"}},
		{"another voter is removed", 1090, votersAt("a"), []string{"c", "b"}},
		{"the leases of the first one expire", 1101, votersAt("a"), []string{"b"}},
		{"the second one votes again", 1102, votersAt("a", "b"), nil},
		{"the second one is removed again", 1200, votersAt("a"), []string{"b"}},
	} {
		got := n.formerVoters(step.voters, step.now)
		if !slices.Equal(got, step.want) {
			t.Errorf("%s: %v, want %v", step.name, got, step.want)
		}
		n.HardState.Last.Voters, n.HardState.Last.Former = step.voters, got
	}
	n.formerSince = map[string]float64{} // as after an election
	if got := n.formerVoters(votersAt("a"), 5000); !slices.Equal(got, []string{"b"}) {
		t.Errorf("a new leader lists %v", got)
	}
	if got := n.LeaseHolders(); !slices.Equal(got, []string{"a", "b"}) {
		t.Errorf("lease holders %v", got)
	}
}
