package membership

import "testing"

// TestEvictionIsDeterministic checks that of two sources' drains of one member and revision the same one is evicted
// each time.
func TestEvictionIsDeterministic(t *testing.T) {
	for range 50 {
		d := NewDrains(2, 1000)
		d.ApplyList(0, 1, 10, nil)
		d.ApplyList(0, 2, 10, nil)
		for source := range uint8(2) {
			key := drainKey{"m", source + 1}
			d.drains[key] = storedDrain{Drain{Member: "m", Source: key.source, Revision: 5}, 0}
		}
		if !d.evictOldest() {
			t.Fatal("no drain was evicted")
		}
		if _, kept := d.drains[drainKey{"m", 2}]; !kept {
			t.Fatal("the drain of the higher source was evicted")
		}
	}
}
