package membership

// This file owns who is heard straight, by whom.

import (
	"slices"
)

// setReachable notes whether a peer is heard straight.
func (f *Fleet) setReachable(m *peer, heard bool) {
	if heard {
		m.unanswered = false
	}
	if m.unreachable == !heard {
		return
	}
	m.unreachable = !heard
	f.stateVersion++
	if f.broadcastReachability(); heard {
		f.emit("fellow_heard", m.Name, "")
	} else {
		f.emit("fellow_unheard", m.Name, "others hear it")
	}
}

func (f *Fleet) broadcastReachability() {
	h := Reachability{Name: f.self.Name, Run: f.self.Run, Sequence: f.reachability.Sequence + 1}
	for _, m := range f.peers {
		if m.unreachable && len(h.Unreachable) < maxUnreachable {
			h.Unreachable = append(h.Unreachable, m.Name)
		}
	}
	f.reachability = h
	f.queueReachability(h)
}

func (f *Fleet) queueReachability(h Reachability) {
	r := &broadcast{reachability: &h}
	for _, o := range slices.Clone(f.broadcastsAbout[r.about()]) {
		f.dropBroadcast(o)
	}
	f.addBroadcast(r)
}

// receiveReachability takes whom a peer does not hear.
func (f *Fleet) receiveReachability(h Reachability) {
	m := f.peersByName[h.Name]
	if m == nil || m.Run != h.Run || h.Sequence <= m.reachability.Sequence || len(h.Unreachable) > maxUnreachable {
		return
	}
	m.reachability = h
	f.stateVersion++
	f.queueReachability(h)
}
