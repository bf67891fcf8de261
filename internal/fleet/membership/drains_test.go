package membership

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// TestDrainEndsWithNewerList checks that a drain announced by a peer stays until the own list, or a peer's
// announcement, is as new as the list that announced it, and that the stored drains stay bounded.
func TestDrainEndsWithNewerList(t *testing.T) {
	d := NewDrains(8, 1000)
	d.ApplyList(0, 0, 5, nil)
	if changes, isNew := d.ApplyPeer(1, Drain{"m1", 0, 7, false}); !isNew || !maps.Equal(changes, map[string]bool{"m1": true}) {
		t.Error(changes, isNew)
	}
	if _, isNew := d.ApplyPeer(2, Drain{"m1", 0, 7, false}); isNew {
		t.Error("a duplicate is new")
	}
	if _, isNew := d.ApplyPeer(2, Drain{"m1", 0, 6, true}); isNew {
		t.Error("a peer's older list ends the drain")
	}
	if changes, _ := d.ApplyList(3, 0, 6, []Drain{{"m1", 0, 6, true}}); len(changes) > 0 {
		t.Error("the own older list ends the drain")
	}
	if changes, _ := d.ApplyList(4, 0, 7, nil); !maps.Equal(changes, map[string]bool{"m1": false}) {
		t.Error("the own list, as new, does not end the drain", changes)
	}
	d.ApplyPeer(5, Drain{"m2", 0, 9, false})
	if changes, isNew := d.ApplyPeer(6, Drain{"m2", 0, 10, true}); !isNew || !maps.Equal(changes, map[string]bool{"m2": false}) {
		t.Error("a peer's newer list does not end the drain", changes)
	}
	d.ApplyPeer(7, Drain{"m3", 1, 99, false}) // from a source that this driver does not read
	if changes, _ := d.ApplyList(5000, 0, 11, nil); len(changes) > 0 || fmt.Sprint(d.Draining()) != "[m3]" {
		t.Error("another source's list ended the drain", changes, d.Draining())
	}
	d.ApplyPeer(5001, Drain{"m4", 0, 999, false}) // of a list whose revisions were restarted
	if changes, _ := d.ApplyList(5002, 0, 12, nil); len(changes) > 0 {
		t.Error(changes)
	}
	if changes, _ := d.ApplyList(7000, 0, 13, nil); !maps.Equal(changes, map[string]bool{"m4": false}) {
		t.Error("a drain that the own list never reaches is kept forever", changes)
	}
	for i := range 100 {
		d.ApplyList(8000, 0, int64(20+i), []Drain{{fmt.Sprint("x", i), 0, int64(20 + i), false}})
	}
	if n := len(d.Since(0)); n > 8 || fmt.Sprint(d.Draining()) != "[m3]" {
		t.Error("stored drains exceed the limit, or one known only from a peer was evicted", n, d.Draining())
	}
}

// TestDrainsInAnyOrder checks that the order in which peers announce drains does not change which members drain.
func TestDrainsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var drains []Drain
		for range rapid.IntRange(1, 12).Draw(t, "drains") {
			drains = append(drains, Drain{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "m"),
				uint8(rapid.IntRange(0, 1).Draw(t, "s")),
				int64(rapid.IntRange(1, 9).Draw(t, "r")), rapid.Bool().Draw(t, "up")})
		}
		drainingAfter := func(sequence []Drain) string {
			d := NewDrains(100, 1e9)
			d.ApplyList(0, 0, 4, nil)
			for range 2 { // an up that arrived before its drain is repeated
				for _, drain := range sequence {
					d.ApplyPeer(1, drain)
				}
			}
			return fmt.Sprint(d.Draining())
		}
		if a, b := drainingAfter(drains), drainingAfter(rapid.Permutation(drains).Draw(t, "order")); a != b {
			t.Fatal(a, b)
		}
	})
}
