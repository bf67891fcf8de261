// Package sites is which sites there are for open sessions, and which of them are near to each other.
//
// This file owns the map of sites, which the core agrees on, and the choice of neighbours. It does no I/O and reads no
// clock. A site's life has an epoch of its own; one whose lease lapsed is out for good by that epoch.
package sites

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// State of a site.
type State string

const (
	StateActive   State = "in"
	StateDraining State = "draining" // it hands its sessions on
	StateRemoved  State = "out"      // its lease lapsed, or it left: what it held is its neighbours'
)

// Site is one process that holds sessions.
type Site struct {
	Addr        string `cbor:"1,keyasint" json:"addr"` // where other sites and edges reach it
	HTTPAddr    string `cbor:"8,keyasint" json:"http"` // where producers and consumers call it
	Zone        string `cbor:"2,keyasint" json:"zone"`
	Region      string `cbor:"3,keyasint" json:"region"`
	Epoch       uint64 `cbor:"4,keyasint" json:"epoch"`
	Incarnation uint64 `cbor:"5,keyasint" json:"life"` // of its process, by its own word: another one is another epoch
	State       State  `cbor:"6,keyasint" json:"state"`
	DrainRate   int    `cbor:"7,keyasint" json:"pace"` // sessions a second that it hands on as it drains
}

// Map is all of them.
type Map struct {
	Version uint64          `cbor:"1,keyasint" json:"version"`
	Sites   map[string]Site `cbor:"2,keyasint" json:"sites"`
}

// Kind of a change.
type ChangeKind string

const (
	ChangeJoin    ChangeKind = "join"    // a site's process has begun
	ChangeExpire  ChangeKind = "lapse"   // its lease is over, by that epoch
	ChangeLeave   ChangeKind = "leave"   // it has handed all on, and ends
	ChangeDrain   ChangeKind = "drain"   // by the operator
	ChangeUndrain ChangeKind = "undrain" //
)

// Change is one step of the map.
type Change struct {
	Kind      ChangeKind `cbor:"1,keyasint" json:"kind"`
	Name      string     `cbor:"2,keyasint" json:"name"`
	Epoch     uint64     `cbor:"3,keyasint,omitempty" json:"epoch,omitempty"` // lapse, leave: of the life that is over
	Site      Site       `cbor:"4,keyasint,omitempty" json:"site"`            // join
	DrainRate int        `cbor:"5,keyasint,omitempty" json:"pace,omitempty"`
}

// DefaultPace is how many sessions a second a drain hands on where the operator says nothing.
const DefaultDrainRate = 500

// Apply gives the next map, or says why there is none. The same map: it was so before.
func (m *Map) Apply(c *Change) (*Map, error) {
	n := &Map{Version: 1, Sites: map[string]Site{}}
	if m != nil {
		n.Version, n.Sites = m.Version+1, maps.Clone(m.Sites)
	}
	s, there := n.Sites[c.Name]
	if c.Kind != ChangeJoin && !there {
		return nil, fmt.Errorf("there is no site %q", c.Name)
	}
	switch c.Kind {
	case ChangeJoin:
		if c.Name == "" || c.Site.Addr == "" || c.Site.Incarnation == 0 {
			return nil, fmt.Errorf("a site has a name, an address and a life")
		}
		if there && s.Incarnation == c.Site.Incarnation {
			return m, nil // also one that is out: another life is needed
		}
		next := c.Site
		next.Epoch, next.State, next.DrainRate = s.Epoch+1, StateActive, 0
		if s.State == StateDraining {
			next.State, next.DrainRate = StateDraining, s.DrainRate
		}
		s = next
	case ChangeExpire, ChangeLeave:
		if s.Epoch != c.Epoch || s.State == StateRemoved {
			return m, nil
		}
		s.State = StateRemoved
	case ChangeDrain:
		if s.State == StateRemoved {
			return nil, fmt.Errorf("site %q is out", c.Name)
		}
		s.State, s.DrainRate = StateDraining, cmp.Or(c.DrainRate, DefaultDrainRate)
	case ChangeUndrain:
		if s.State != StateDraining {
			return m, nil
		}
		s.State = StateActive
	default:
		return nil, fmt.Errorf("no such change: %q", c.Kind)
	}
	n.Sites[c.Name] = s
	return n, nil
}

// Lives says whether the life of a site that has an epoch is not over.
func (m *Map) AliveAt(name string, epoch uint64) bool {
	if m == nil {
		return false
	}
	return m.Alive(name) && m.Sites[name].Epoch == epoch
}

// Up says whether there is such a site whose life is not over.
func (m *Map) Alive(name string) bool {
	s, ok := m.Sites[name]
	return ok && s.State != StateRemoved
}

// Neighbours gives up to few sites that may hold a copy beside those that hold one: no two in one zone where that can
// be, near ones first, of equally near ones those that turn first by the session's name, so that a site's sessions
// spread over its neighbours.
func (m *Map) ReplicaCandidates(home, session string, few int, but func(string) bool) []string {
	h := m.Sites[home]
	var all []string
	for name, s := range m.Sites {
		if name != home && s.State == StateActive && (but == nil || !but(name)) {
			all = append(all, name)
		}
	}
	far := func(name string) int {
		switch s := m.Sites[name]; {
		case s.Zone == h.Zone:
			return 2 // they would fall together
		case s.Region == h.Region:
			return 0
		}
		return 1
	}
	turn := func(name string) uint32 {
		sum := uint32(2166136261)
		for _, b := range []byte(session + " " + name) {
			sum = (sum ^ uint32(b)) * 16777619
		}
		return sum
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(turn(a), turn(b)), cmp.Compare(a, b))
	})
	var out []string
	zones := map[string]bool{h.Zone: true}
	for _, apart := range []bool{true, false} {
		for _, name := range all {
			if len(out) < few && !slices.Contains(out, name) && (!apart || !zones[m.Sites[name].Zone]) {
				out = append(out, name)
				zones[m.Sites[name].Zone] = true
			}
		}
	}
	return out
}
