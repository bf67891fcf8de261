package metrics

import (
	"maps"
	"slices"
	"sync"
)

// registered has the process's sources, by registration number.
var registered = struct {
	sync.Mutex
	sources map[uint64]Source
	next    uint64
}{sources: map[uint64]Source{}}

// Register adds a source to those of the process. The returned function removes it.
func Register(source Source) (unregister func()) {
	registered.Lock()
	defer registered.Unlock()
	number := registered.next
	registered.next++
	registered.sources[number] = source
	return func() {
		registered.Lock()
		defer registered.Unlock()
		delete(registered.sources, number)
	}
}

// CollectRegistered is a Source that runs all registered sources of the process. A process has one role, so no two
// sources write the same metric.
func CollectRegistered(set Set) {
	registered.Lock()
	sources := slices.Collect(maps.Values(registered.sources))
	registered.Unlock()
	for _, source := range sources {
		source(set)
	}
}
