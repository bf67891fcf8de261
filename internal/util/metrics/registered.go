package metrics

import (
	"maps"
	"slices"
	"sync"
)

// registered are the process's sources, by the numbers of their registrations.
var registered = struct {
	sync.Mutex
	sources map[uint64]Source
	next    uint64
}{sources: map[uint64]Source{}}

// Register adds a source to those of the process, until the function that it returns is called.
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

// Registered is the source that writes what the process's registered sources write. A process has one role, so that no
// figure comes from two of them.
func CollectRegistered(set Set) {
	registered.Lock()
	sources := slices.Collect(maps.Values(registered.sources))
	registered.Unlock()
	for _, source := range sources {
		source(set)
	}
}
