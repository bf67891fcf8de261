package shardmap

// This file owns a proxy's writer slots for shards: each names the holder that the newest map has, and is empty from a
// miss until a newer map fills it. An old map harms nothing, as nodes refuse by the epoch.

// Slots are one proxy's.
type RoutingTable struct {
	current      *Map
	fencedEpochs map[string]uint64 // epochs up to this hold no more
}

// NewSlots are empty.
func NewRoutingTable() *RoutingTable { return &RoutingTable{fencedEpochs: map[string]uint64{}} }

// Learn takes a map; an older one than that which is known changes nothing. It says whether anything may be released.
func (s *RoutingTable) Update(m *Map) bool {
	if m == nil || s.current != nil && m.Version <= s.current.Version {
		return false
	}
	s.current = m
	for shard, epoch := range s.fencedEpochs {
		if p, ok := m.Shards[shard]; !ok || p.Epoch > epoch {
			delete(s.fencedEpochs, shard)
		}
	}
	return true
}

// Version of the map that is known, 0 for none.
func (s *RoutingTable) Version() uint64 { return s.current.version() }

// Where gives a shard's holder; false: the slot is empty, and what wants it waits.
func (s *RoutingTable) Owner(shard string) (Assignment, bool) {
	if s.current == nil {
		return Assignment{}, false
	}
	p, ok := s.current.Shards[shard]
	return p, ok && p.Epoch > s.fencedEpochs[shard]
}

// Missed takes a refusal of a statement sent by epoch; known is the newest epoch that the node has heard. again: it has
// not heard of this one yet, and is to be asked again in a moment.
func (s *RoutingTable) HandleMoved(shard string, epoch, known uint64) (again bool) {
	if known < epoch {
		return true
	}
	s.fencedEpochs[shard] = max(s.fencedEpochs[shard], epoch, known-1)
	return false
}
