package shardmap

// This file implements a proxy's view of the map. An outdated view is harmless, since nodes check the epoch of each
// request.

// RoutingTable holds the owner of each shard according to the newest map. After a node has refused a shard's epoch, the
// shard has no owner until a newer map has a newer epoch for it.
type RoutingTable struct {
	current *Map
	fenced  map[string]uint64 // by shard: epochs up to this one are outdated
}

// NewRoutingTable returns a routing table without a map.
func NewRoutingTable() *RoutingTable { return &RoutingTable{fenced: map[string]uint64{}} }

// Update replaces the map if m is newer, and reports whether it is.
func (t *RoutingTable) Update(m *Map) bool {
	if m == nil || t.current != nil && m.Version <= t.current.Version {
		return false
	}
	t.current = m
	for shard, epoch := range t.fenced {
		if assignment, ok := m.Shards[shard]; !ok || assignment.Epoch > epoch {
			delete(t.fenced, shard)
		}
	}
	return true
}

// Version returns the version of the current map, or 0 if there is none.
func (t *RoutingTable) Version() uint64 { return t.current.version() }

// Owner returns a shard's owner. ok is false if there is none now and the request has to wait for a newer map.
func (t *RoutingTable) Owner(shard string) (assignment Assignment, ok bool) {
	if t.current == nil {
		return Assignment{}, false
	}
	assignment, ok = t.current.Shards[shard]
	return assignment, ok && assignment.Epoch > t.fenced[shard]
}

// HandleMoved processes a node's refusal of a request that carried epoch; highest is the highest epoch that the node
// has observed. retry is true if the node has not observed the request's epoch yet, so that the request should be
// repeated there shortly.
func (t *RoutingTable) HandleMoved(shard string, epoch, highest uint64) (retry bool) {
	if highest < epoch {
		return true
	}
	t.fenced[shard] = max(t.fenced[shard], epoch, highest-1)
	return false
}
