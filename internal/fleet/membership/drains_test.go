package membership

import (
	"fmt"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// A drain binds until a list as new as the one that told it, or word of such a list; in whatever order words come.
func TestDrainsBind(t *testing.T) {
	d := NewDrains(8, 1000)
	d.ApplyList(0, 0, 5, nil)
	if marks, news := d.ApplyPeer(1, Drain{"m1", 0, 7, false}); !news || !maps.Equal(marks, map[string]bool{"m1": true}) {
		t.Error(marks, news)
	}
	if _, news := d.ApplyPeer(2, Drain{"m1", 0, 7, false}); news {
		t.Error("told twice")
	}
	if _, news := d.ApplyPeer(2, Drain{"m1", 0, 6, true}); news {
		t.Error("an older list ends it")
	}
	if marks, _ := d.ApplyList(3, 0, 6, []Drain{{"m1", 0, 6, true}}); len(marks) > 0 {
		t.Error("the own older list ends it")
	}
	if marks, _ := d.ApplyList(4, 0, 7, nil); !maps.Equal(marks, map[string]bool{"m1": false}) {
		t.Error("the own list is as new and says it itself", marks)
	}
	d.ApplyPeer(5, Drain{"m2", 0, 9, false})
	if marks, news := d.ApplyPeer(6, Drain{"m2", 0, 10, true}); !news || !maps.Equal(marks, map[string]bool{"m2": false}) {
		t.Error("word of a newer list", marks)
	}
	d.ApplyPeer(7, Drain{"m3", 1, 99, false}) // by a source that this driver does not have
	if marks, _ := d.ApplyList(5000, 0, 11, nil); len(marks) > 0 || fmt.Sprint(d.Draining()) != "[m3]" {
		t.Error("another source's list says nothing of it", marks, d.Draining())
	}
	d.ApplyPeer(5001, Drain{"m4", 0, 999, false}) // of a list that was begun anew
	if marks, _ := d.ApplyList(5002, 0, 12, nil); len(marks) > 0 {
		t.Error(marks)
	}
	if marks, _ := d.ApplyList(7000, 0, 13, nil); !maps.Equal(marks, map[string]bool{"m4": false}) {
		t.Error("kept for ever", marks)
	}
	for i := range 100 {
		d.ApplyList(8000, 0, int64(20+i), []Drain{{fmt.Sprint("x", i), 0, int64(20 + i), false}})
	}
	if n := len(d.Since(0)); n > 8 || fmt.Sprint(d.Draining()) != "[m3]" {
		t.Error("grows without bound, or forgets what only a fellow told", n, d.Draining())
	}
}

// Two books that heard the same words in another order mark the same members.
func TestDrainsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []Drain
		for range rapid.IntRange(1, 12).Draw(t, "words") {
			words = append(words, Drain{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "m"),
				uint8(rapid.IntRange(0, 1).Draw(t, "s")),
				int64(rapid.IntRange(1, 9).Draw(t, "r")), rapid.Bool().Draw(t, "up")})
		}
		marks := func(of []Drain) string {
			d := NewDrains(100, 1e9)
			d.ApplyList(0, 0, 4, nil)
			for range 2 { // an up that came before its drain comes again
				for _, w := range of {
					d.ApplyPeer(1, w)
				}
			}
			return fmt.Sprint(d.Draining())
		}
		if a, b := marks(words), marks(rapid.Permutation(words).Draw(t, "order")); a != b {
			t.Fatal(a, b)
		}
	})
}
