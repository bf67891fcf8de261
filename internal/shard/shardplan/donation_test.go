package shardplan

import "testing"

// If two shards bring a node equally close to its band, one too large and one too small, the first one in the cluster
// is chosen, regardless of the order in which they are compared.
func TestEquallyCloseDonationsHaveAnOrder(t *testing.T) {
	p := &placement{cluster: &Cluster{Shards: []Shard{{ID: "large", Size: 110}, {ID: "small", Size: 80}}}}
	const need = 100
	if closerToNeed(110, 80, need) || closerToNeed(80, 110, need) {
		t.Fatal("they are not equally close")
	}
	if !p.betterDonation(0, 1, need) || p.betterDonation(1, 0, need) {
		t.Error("the choice depends on the order of the comparison")
	}
}
