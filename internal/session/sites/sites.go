package sites

// This file implements the map, its changes, and the choice of sites for replicas.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// State is the state of a site. Its values are stored and reported.
type State string

// The states of a site.
const (
	StateActive   State = "in"
	StateDraining State = "draining" // it hands its sessions over and accepts no new ones
	StateRemoved  State = "out"      // its lease has expired or it has left; replicas take its sessions over
)

// Site describes a process that serves sessions.
type Site struct {
	Addr        string `cbor:"1,keyasint" json:"addr"` // for other sites and for edges
	HTTPAddr    string `cbor:"8,keyasint" json:"http"` // for producers and consumers
	Zone        string `cbor:"2,keyasint" json:"zone"`
	Region      string `cbor:"3,keyasint" json:"region"`
	Epoch       uint64 `cbor:"4,keyasint" json:"epoch"` // incremented by each incarnation that joins
	Incarnation uint64 `cbor:"5,keyasint" json:"life"`
	State       State  `cbor:"6,keyasint" json:"state"`
	DrainRate   int    `cbor:"7,keyasint" json:"pace"` // sessions per second to hand over while draining
}

// Map holds all sites by name. It is immutable: Apply returns a new version.
type Map struct {
	Version uint64          `cbor:"1,keyasint" json:"version"` // incremented by each change
	Sites   map[string]Site `cbor:"2,keyasint" json:"sites"`
}

// ChangeKind is the kind of a Change. Its values are stored.
type ChangeKind string

// The kinds of changes.
const (
	ChangeJoin    ChangeKind = "join"    // a process has started
	ChangeExpire  ChangeKind = "lapse"   // the lease of an epoch has expired
	ChangeLeave   ChangeKind = "leave"   // the process of an epoch shuts down
	ChangeDrain   ChangeKind = "drain"   // requested by the operator, or by the site when it shuts down
	ChangeUndrain ChangeKind = "undrain" // requested by the operator
)

// Change is a change of the map.
type Change struct {
	Kind      ChangeKind `cbor:"1,keyasint" json:"kind"`
	Name      string     `cbor:"2,keyasint" json:"name"`
	Epoch     uint64     `cbor:"3,keyasint,omitempty" json:"epoch,omitempty"` // for ChangeExpire and ChangeLeave
	Site      Site       `cbor:"4,keyasint,omitempty" json:"site"`            // for ChangeJoin
	DrainRate int        `cbor:"5,keyasint,omitempty" json:"pace,omitempty"`  // for ChangeDrain; 0: DefaultDrainRate
}

// DefaultDrainRate is the default rate of a drain, in sessions per second.
const DefaultDrainRate = 500

// Apply returns the next version of the map, or an error that says why the change is refused. It returns m itself if
// the change has no effect. A nil map is empty.
func (m *Map) Apply(change *Change) (*Map, error) {
	next := &Map{Version: 1, Sites: map[string]Site{}}
	if m != nil {
		next.Version, next.Sites = m.Version+1, maps.Clone(m.Sites)
	}
	site, exists := next.Sites[change.Name]
	if change.Kind != ChangeJoin && !exists {
		return nil, fmt.Errorf("there is no site %q", change.Name)
	}
	changed, err := false, error(nil)
	switch change.Kind {
	case ChangeJoin:
		changed, err = site.join(change, exists)
	case ChangeExpire, ChangeLeave:
		changed = site.remove(change.Epoch)
	case ChangeDrain:
		changed, err = site.drain(change)
	case ChangeUndrain:
		changed = site.undrain()
	default:
		err = fmt.Errorf("no such change: %q", change.Kind)
	}
	switch {
	case err != nil:
		return nil, err
	case !changed:
		return m, nil
	}
	next.Sites[change.Name] = site
	return next, nil
}

// join assigns the next epoch to a new incarnation. It continues to drain if the previous incarnation did.
func (s *Site) join(change *Change, exists bool) (changed bool, err error) {
	if change.Name == "" || change.Site.Addr == "" || change.Site.Incarnation == 0 {
		return false, fmt.Errorf("a site has a name, an address and a life")
	}
	if exists && s.Incarnation == change.Site.Incarnation {
		return false, nil // also if it was removed: the process needs a new incarnation
	}
	previous := *s
	*s = change.Site
	s.Epoch, s.State, s.DrainRate = previous.Epoch+1, StateActive, 0
	if previous.State == StateDraining {
		s.State, s.DrainRate = StateDraining, previous.DrainRate
	}
	return true, nil
}

// remove ends an epoch. It has no effect if the site has another epoch.
func (s *Site) remove(epoch uint64) (changed bool) {
	if s.Epoch != epoch || s.State == StateRemoved {
		return false
	}
	s.State = StateRemoved
	return true
}

func (s *Site) drain(change *Change) (changed bool, err error) {
	if s.State == StateRemoved {
		return false, fmt.Errorf("site %q is out", change.Name)
	}
	s.State, s.DrainRate = StateDraining, cmp.Or(change.DrainRate, DefaultDrainRate)
	return true, nil
}

func (s *Site) undrain() (changed bool) {
	if s.State != StateDraining {
		return false
	}
	s.State = StateActive
	return true
}

// AliveAt reports whether the site is alive and has this epoch.
func (m *Map) AliveAt(name string, epoch uint64) bool {
	return m != nil && m.Alive(name) && m.Sites[name].Epoch == epoch
}

// Alive reports whether there is a site of this name that isn't removed.
func (m *Map) Alive(name string) bool {
	site, ok := m.Sites[name]
	return ok && site.State != StateRemoved
}

// distance ranks a site as a place for replicas, relative to a session's owner. Lower values are preferred.
type distance int

const (
	otherZone   distance = iota // another zone of the owner's region
	otherRegion                 // another region
	sameZone                    // last, since a failure of the zone would affect the owner and the replica
)

func (s *Site) distanceFrom(owner *Site) distance {
	switch {
	case s.Zone == owner.Zone:
		return sameZone
	case s.Region == owner.Region:
		return otherZone
	}
	return otherRegion
}

// ReplicaCandidates returns up to count active sites for replicas of a session: no two in one zone if possible, and the
// nearest first. Sites at equal distance are ordered by a hash of the session's and the site's name, so that the
// sessions of one owner are spread over its neighbours. exclude, which may be nil, reports whether to leave a site out.
func (m *Map) ReplicaCandidates(owner, session string, count int, exclude func(name string) bool) []string {
	ownerSite := m.Sites[owner]
	var candidates []string
	for name, site := range m.Sites {
		if name != owner && site.State == StateActive && (exclude == nil || !exclude(name)) {
			candidates = append(candidates, name)
		}
	}
	distanceOf := func(name string) distance {
		site := m.Sites[name]
		return site.distanceFrom(&ownerSite)
	}
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(distanceOf(a), distanceOf(b)),
			cmp.Compare(rendezvousHash(session, a), rendezvousHash(session, b)), cmp.Compare(a, b))
	})
	return m.spreadZones(candidates, ownerSite.Zone, count)
}

// spreadZones picks up to count candidates in their order: first those in zones that are not used yet, then any others.
func (m *Map) spreadZones(candidates []string, ownerZone string, count int) (picked []string) {
	used := map[string]bool{ownerZone: true}
	for _, ownZone := range []bool{true, false} {
		for _, name := range candidates {
			zone := m.Sites[name].Zone
			if len(picked) < count && !slices.Contains(picked, name) && (!ownZone || !used[zone]) {
				picked = append(picked, name)
				used[zone] = true
			}
		}
	}
	return picked
}

// rendezvousHash returns the FNV-1a hash of a session's and a site's name.
func rendezvousHash(session, site string) uint32 {
	hash := uint32(2166136261)
	for _, b := range []byte(session + " " + site) {
		hash = (hash ^ uint32(b)) * 16777619
	}
	return hash
}
