package membership

import "testing"

// Of two drains of one member and revision, told of by two sources, the same one is forgotten each time.
func TestEvictionHasAnOrder(t *testing.T) {
	for range 50 {
		d := NewDrains(2, 1000)
		d.ApplyList(0, 1, 10, nil)
		d.ApplyList(0, 2, 10, nil)
		for source := range uint8(2) {
			key := drainKey{"m", source + 1}
			d.all[key] = storedDrain{Drain{Member: "m", Source: key.source, Revision: 5}, 0}
		}
		if !d.evictOldest() {
			t.Fatal("none was forgotten")
		}
		if _, kept := d.all[drainKey{"m", 2}]; !kept {
			t.Fatal("the other one was forgotten")
		}
	}
}
