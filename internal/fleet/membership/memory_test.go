package membership

import (
	"fmt"
	"runtime"
	"testing"
)

// TestMemoryOfThousandPeers checks that the state about a thousand peers on the roster takes less than 2 MB.
func TestMemoryOfThousandPeers(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	f := New(0, Options{Period: 500, ExpectedDrivers: 1, MaxDrivers: 20000, TakeoverAfter: 15000},
		Record{Name: "n0000", Run: 1, Address: "10.0.0.0:1"}, nil, 1)
	names := []string{"n0000"}
	for i := 1; i < 1000; i++ {
		name := fmt.Sprintf("n%04d", i)
		f.applyRecord(Record{Name: name, Run: 1, Address: fmt.Sprintf("10.0.%d.%d:7434", i/250, i%250), Zone: "a"})
		names = append(names, name)
	}
	f.adoptRoster(Roster{Version: 1, Lineage: 1, Names: names, hash: namesHash(names)})
	for now := 0.0; now < 60000; now += 50 {
		f.Tick(now)
	}
	after := heap()
	t.Logf("%d bytes", after-before)
	if after-before > 2<<20 {
		t.Errorf("%d bytes", after-before)
	}
	runtime.KeepAlive(f)
}
