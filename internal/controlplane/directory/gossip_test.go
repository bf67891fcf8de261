package directory

import (
	"fmt"
	"testing"
)

// An update that each driver forwards only to its gossip peers reaches all drivers, in few hops.
func TestGossipReachesAll(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 10, 82, 300} {
		var all []Driver
		for i := range n {
			all = append(all, Driver{Name: fmt.Sprintf("d%04d", i)})
		}
		reached := map[string]bool{all[0].Name: true}
		hops := 0
		for ; len(reached) < n && hops < n; hops++ {
			next := map[string]bool{}
			for name := range reached {
				next[name] = true
				for _, f := range GossipPeers(all, name, 2) {
					next[f.Name] = true
				}
			}
			reached = next
		}
		if len(reached) < n {
			t.Errorf("%d drivers: only %d are reached", n, len(reached))
		}
		if t.Logf("%d drivers: all are reached in %d hops", n, hops); hops > 14 {
			t.Errorf("%d hops, want at most 14", hops)
		}
	}
}
