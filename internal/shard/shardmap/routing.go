package shardmap

// This file owns a proxy's view of the map. An old view does no harm, since nodes refuse requests by the epoch.

// RoutingTable gives the owner of each shard by the newest map. A shard has no owner in it from a refusal by its epoch
// until a newer map has another epoch for it.
type RoutingTable struct {
	current *Map
	fenced  map[string]uint64 // by shard: epochs up to this are over
}

// NewRoutingTable has no map yet.
func NewRoutingTable() *RoutingTable { return &RoutingTable{fenced: map[string]uint64{}} }

// Update takes a map and says whether it is newer than the present one; an older one changes nothing.
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

// Version is that of the present map, 0 for none.
func (t *RoutingTable) Version() uint64 { return t.current.version() }

// Owner gives a shard's owner; not ok: there is none now, and the request has to wait for a newer map.
func (t *RoutingTable) Owner(shard string) (assignment Assignment, ok bool) {
	if t.current == nil {
		return Assignment{}, false
	}
	assignment, ok = t.current.Shards[shard]
	return assignment, ok && assignment.Epoch > t.fenced[shard]
}

// HandleMoved takes a node's refusal of a request by an epoch; highest is the highest that the node has observed.
// retry: the node has not heard of the request's epoch yet, and is to be asked again in a moment.
func (t *RoutingTable) HandleMoved(shard string, epoch, highest uint64) (retry bool) {
	if highest < epoch {
		return true
	}
	t.fenced[shard] = max(t.fenced[shard], epoch, highest-1)
	return false
}
