package directory

import (
	"slices"
	"testing"
)

// A diff has what joined and left, and makes of the list before it the one after.
func TestDiffAndApply(t *testing.T) {
	d := func(name string, life uint64) Driver { return Driver{Name: name, Addr: name, Incarnation: life} }
	before, now := []Driver{d("a", 1), d("b", 1), d("c", 1)}, []Driver{d("a", 1), d("b", 2), d("d", 1)}
	joined, left := Diff(before, now)
	if len(joined) != 2 || len(left) != 1 || left[0] != "c" {
		t.Error(joined, left)
	}
	if got := ApplyDiff(before, joined, left); !slices.Equal(got, now) {
		t.Error(got)
	}
	if got := ApplyDiff(nil, joined, left); len(got) != 2 {
		t.Error(got)
	}
}
