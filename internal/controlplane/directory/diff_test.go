package directory

import (
	"slices"
	"testing"
)

// Diff finds the drivers that joined and left, and ApplyDiff turns the earlier list into the later one.
func TestDiffAndApply(t *testing.T) {
	driver := func(name string, incarnation uint64) Driver {
		return Driver{Name: name, Addr: name, Incarnation: incarnation}
	}
	before, after := []Driver{driver("a", 1), driver("b", 1), driver("c", 1)},
		[]Driver{driver("a", 1), driver("b", 2), driver("d", 1)}
	joined, left := Diff(before, after)
	if len(joined) != 2 || len(left) != 1 || left[0] != "c" {
		t.Error(joined, left)
	}
	if got := ApplyDiff(before, joined, left); !slices.Equal(got, after) {
		t.Error(got)
	}
	if got := ApplyDiff(nil, joined, left); len(got) != 2 {
		t.Error(got)
	}
}
