package shardmap

// This file owns a proxy's writer slots for shards: each names the holder that the newest map has, and is empty from a
// miss until a newer map fills it. An old map harms nothing, as nodes refuse by the epoch.

// Slots are one proxy's.
type Slots struct {
	m      *Map
	missed map[string]uint64 // epochs up to this hold no more
}

// NewSlots are empty.
func NewSlots() *Slots { return &Slots{missed: map[string]uint64{}} }

// Learn takes a map; an older one than that which is known changes nothing. It says whether anything may be released.
func (s *Slots) Learn(m *Map) bool {
	if m == nil || s.m != nil && m.Version <= s.m.Version {
		return false
	}
	s.m = m
	for shard, epoch := range s.missed {
		if p, ok := m.Shards[shard]; !ok || p.Epoch > epoch {
			delete(s.missed, shard)
		}
	}
	return true
}

// Version of the map that is known, 0 for none.
func (s *Slots) Version() uint64 { return s.m.version() }

// Where gives a shard's holder; false: the slot is empty, and what wants it waits.
func (s *Slots) Where(shard string) (Place, bool) {
	if s.m == nil {
		return Place{}, false
	}
	p, ok := s.m.Shards[shard]
	return p, ok && p.Epoch > s.missed[shard]
}

// Missed takes a refusal of a statement sent by epoch; known is the newest epoch that the node has heard. again: it has
// not heard of this one yet, and is to be asked again in a moment.
func (s *Slots) Missed(shard string, epoch, known uint64) (again bool) {
	if known < epoch {
		return true
	}
	s.missed[shard] = max(s.missed[shard], epoch, known-1)
	return false
}
