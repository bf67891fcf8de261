package membership

// This file owns who is heard straight, by whom.

import (
	"slices"
)

// hear notes whether a peer is heard straight.
func (f *Fleet) hear(m *member, heard bool) {
	if heard {
		m.silent = false
	}
	if m.deaf == !heard {
		return
	}
	m.deaf = !heard
	f.statesGen++
	if f.tellHearing(); heard {
		f.note("fellow_heard", m.Name, "")
	} else {
		f.note("fellow_unheard", m.Name, "others hear it")
	}
}

func (f *Fleet) tellHearing() {
	h := Reachability{Name: f.self.Name, Run: f.self.Run, Sequence: f.hears.Sequence + 1}
	for _, m := range f.list {
		if m.deaf && len(h.Unreachable) < mostDeaf {
			h.Unreachable = append(h.Unreachable, m.Name)
		}
	}
	f.hears = h
	f.queueHearing(h)
}

func (f *Fleet) queueHearing(h Reachability) {
	r := &update{hears: &h}
	for _, o := range slices.Clone(f.going[r.about()]) {
		f.untell(o)
	}
	f.tell(r)
}

// heardOf takes whom a peer does not hear.
func (f *Fleet) heardOf(h Reachability) {
	m := f.byName[h.Name]
	if m == nil || m.Run != h.Run || h.Sequence <= m.hears.Sequence || len(h.Unreachable) > mostDeaf {
		return
	}
	m.hears = h
	f.statesGen++
	f.queueHearing(h)
}
