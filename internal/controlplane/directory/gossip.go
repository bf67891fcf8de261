package directory

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// drawsPerPeer bounds the number of draws in GossipPeers, as draws may repeat.
const drawsPerPeer = 16

// GossipPeers returns the drivers that self forwards updates to, at most fanout. The first is self's successor in the
// order of names: these links form a ring, which reaches every driver. The others are drawn by a hash of self's name,
// as shortcuts that keep the number of hops low. drivers must be sorted by name; all processes compute the same peers.
func GossipPeers(drivers []Driver, self string, fanout int) []Driver {
	successor, found := slices.BinarySearchFunc(drivers, self, func(d Driver, name string) int {
		return cmp.Compare(d.Name, name)
	})
	if found {
		successor++
	}
	var peers []Driver
	for draw := 0; len(peers) < fanout && draw < drawsPerPeer*fanout && len(drivers) > 0; draw++ {
		d := drivers[(successor+shortcut(self, draw))%len(drivers)]
		known := slices.ContainsFunc(peers, func(p Driver) bool { return p.Name == d.Name })
		if d.Name != self && !known {
			peers = append(peers, d)
		}
	}
	return peers
}

// shortcut returns the distance of a drawn peer from the successor. Draw 0 is the successor itself.
func shortcut(self string, draw int) int {
	if draw == 0 {
		return 0
	}
	h := fnv.New32a()
	h.Write([]byte{byte(draw)})
	h.Write([]byte(self))
	return int(h.Sum32() >> 8)
}
