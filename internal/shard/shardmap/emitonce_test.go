package shardmap

import "testing"

// Two actions whose node and shard names are equal only when concatenated are different actions: emitting one must not
// suppress the other.
func TestEmitOnceDistinguishesActions(t *testing.T) {
	rb := NewRebalancer()
	rb.emitOnce(Action{Kind: ActionDrop, Node: "n1", Shard: "1s", Epoch: 2}, 1000)
	rb.emitOnce(Action{Kind: ActionDrop, Node: "n11", Shard: "s", Epoch: 2}, 1000)
	rb.emitOnce(Action{Kind: ActionDrop, Node: "n11", Shard: "s", Epoch: 2}, 1000)
	if len(rb.actions) != 2 {
		t.Errorf("%d actions, want 2: %+v", len(rb.actions), rb.actions)
	}
}
