package directory

import (
	"encoding/binary"
	"hash/fnv"
)

// Digest returns a hash that is equal for two tables with equal members; it ignores tombstones and the fields Seq,
// Revision, Zone, Generation and Slots. Processes compare digests with each other: the value is part of the protocol.
func (t *Members) Digest() uint64 {
	if t.digestValid {
		return t.digest
	}
	h := fnv.New64a()
	for _, m := range t.Snapshot() {
		if m.Tombstone {
			continue
		}
		var state [11]byte
		binary.BigEndian.PutUint64(state[:], m.Incarnation)
		state[8], state[9], state[10] = byte(m.Role), boolByte(m.Draining), boolByte(m.Leaving)
		h.Write([]byte(m.ID + "\x00" + m.Service + "\x00" + m.Addr))
		h.Write(state[:])
	}
	t.digest, t.digestValid = h.Sum64(), true
	return t.digest
}

func boolByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// DriversDigest returns a hash that is equal for two lists of the same names and addresses in the same order. Its value
// is part of the protocol.
func DriversDigest(drivers []Driver) uint64 {
	h := fnv.New64a()
	for _, d := range drivers {
		h.Write([]byte(d.Name + " " + d.Addr + "\n"))
	}
	return h.Sum64()
}
