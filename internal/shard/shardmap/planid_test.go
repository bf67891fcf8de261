package shardmap

import "testing"

// A retry of a plan that was applied is recognized by its id and changes nothing, whatever the state of its tasks and
// also after an automatic plan. A plan with another id, or without one, is checked by its base version only.
func TestPlansAreRecognizedByTheirIDs(t *testing.T) {
	created, err := (*Map)(nil).Apply(&Change{Kind: ChangeCreate, InitialOwners: map[string]string{"s1": "a"}})
	if err != nil {
		t.Fatal(err)
	}
	plan := &Change{Kind: ChangePlan, BaseVersion: created.Version, ID: "p1",
		Tasks: []Task{{Shard: "s1", From: "a", To: "b"}}}
	planned, err := created.Apply(plan)
	if err != nil {
		t.Fatal(err)
	}
	if retried, err := planned.Apply(plan); err != nil || retried != planned {
		t.Errorf("a retry: %v, the same map %v", err, retried == planned)
	}
	replanned, err := planned.Apply(&Change{Kind: ChangePlan, BaseVersion: planned.Version, Replan: true,
		Tasks: []Task{{Shard: "s1", From: "a", To: "c"}}})
	if err != nil {
		t.Fatal(err)
	}
	if retried, err := replanned.Apply(plan); err != nil || retried != replanned {
		t.Errorf("a retry after an automatic plan: %v", err)
	}
	for _, id := range []string{"p2", ""} {
		other := *plan
		other.ID = id
		if _, err := planned.Apply(&other); err == nil {
			t.Errorf("another plan, with the id %q, was applied to an outdated base version", id)
		}
	}
}
