package sites

// This file owns the map, its changes, and the choice of sites for replicas.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// State of a site. Its values are stored and reported.
type State string

// The states of a site.
const (
	StateActive   State = "in"
	StateDraining State = "draining" // it hands its sessions over and takes no new ones
	StateRemoved  State = "out"      // its lease has expired, or it left: its sessions are its replicas' to take over
)

// Site is one process that serves sessions.
type Site struct {
	Addr        string `cbor:"1,keyasint" json:"addr"` // for other sites and for edges
	HTTPAddr    string `cbor:"8,keyasint" json:"http"` // for producers and consumers
	Zone        string `cbor:"2,keyasint" json:"zone"`
	Region      string `cbor:"3,keyasint" json:"region"`
	Epoch       uint64 `cbor:"4,keyasint" json:"epoch"` // rises by one with each incarnation that joins
	Incarnation uint64 `cbor:"5,keyasint" json:"life"`
	State       State  `cbor:"6,keyasint" json:"state"`
	DrainRate   int    `cbor:"7,keyasint" json:"pace"` // sessions a second that it hands over while it drains
}

// Map is all sites by name. A version of it is never modified: Apply makes the next one.
type Map struct {
	Version uint64          `cbor:"1,keyasint" json:"version"` // rises by one with each change
	Sites   map[string]Site `cbor:"2,keyasint" json:"sites"`
}

// ChangeKind of a change. Its values are stored.
type ChangeKind string

// The kinds of changes.
const (
	ChangeJoin    ChangeKind = "join"    // a process has begun
	ChangeExpire  ChangeKind = "lapse"   // the lease of an epoch has expired
	ChangeLeave   ChangeKind = "leave"   // an epoch's process has handed everything over, and ends
	ChangeDrain   ChangeKind = "drain"   // by the operator, or by the site itself as it shuts down
	ChangeUndrain ChangeKind = "undrain" // by the operator
)

// Change is one step of the map.
type Change struct {
	Kind      ChangeKind `cbor:"1,keyasint" json:"kind"`
	Name      string     `cbor:"2,keyasint" json:"name"`
	Epoch     uint64     `cbor:"3,keyasint,omitempty" json:"epoch,omitempty"` // of ChangeExpire and ChangeLeave
	Site      Site       `cbor:"4,keyasint,omitempty" json:"site"`            // of ChangeJoin
	DrainRate int        `cbor:"5,keyasint,omitempty" json:"pace,omitempty"`  // of ChangeDrain; 0: the default
}

// DefaultDrainRate is how many sessions a second a drain hands over where the operator says nothing.
const DefaultDrainRate = 500

// Apply gives the next map, or why the change is refused. A change that has nothing to do gives the map itself. A nil
// map is an empty one.
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

// join gives a new incarnation the next epoch. It goes on draining where the one before did.
func (s *Site) join(change *Change, exists bool) (changed bool, err error) {
	if change.Name == "" || change.Site.Addr == "" || change.Site.Incarnation == 0 {
		return false, fmt.Errorf("a site has a name, an address and a life")
	}
	if exists && s.Incarnation == change.Site.Incarnation {
		return false, nil // also one that was removed: it needs another incarnation
	}
	previous := *s
	*s = change.Site
	s.Epoch, s.State, s.DrainRate = previous.Epoch+1, StateActive, 0
	if previous.State == StateDraining {
		s.State, s.DrainRate = StateDraining, previous.DrainRate
	}
	return true, nil
}

// remove ends an epoch; another one is not concerned.
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

// AliveAt says whether a site's present epoch is this one, and not over.
func (m *Map) AliveAt(name string, epoch uint64) bool {
	return m != nil && m.Alive(name) && m.Sites[name].Epoch == epoch
}

// Alive says whether there is a site of this name whose epoch is not over.
func (m *Map) Alive(name string) bool {
	site, ok := m.Sites[name]
	return ok && site.State != StateRemoved
}

// distance of a site as a place for replicas, nearest first.
type distance int

const (
	otherZone   distance = iota // of the owner's region
	otherRegion                 // than the owner's
	sameZone                    // a zone's failure would take both
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

// ReplicaCandidates gives up to count active sites that may hold a replica of an owner's session: no two in one zone
// where that can be, near ones first. Of equally near ones the order is by a hash of the session's name, so that the
// sessions of a site spread over its neighbours. exclude, which may be nil, leaves sites out.
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

// spreadZones picks up to count candidates in their order: first those in zones of their own, then any.
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

// rendezvousHash is FNV-1a over a session's and a site's name.
func rendezvousHash(session, site string) uint32 {
	hash := uint32(2166136261)
	for _, b := range []byte(session + " " + site) {
		hash = (hash ^ uint32(b)) * 16777619
	}
	return hash
}
