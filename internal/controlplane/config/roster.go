package config

import (
	"maps"
	"slices"
)

// Roster gives the ids of each service's members that may hold an acknowledged commit, sorted, much as Kafka's
// in-sync replica sets do. It is replicated, as nobody can restore it: a member that is dead says nothing, and a
// table of members that was lost doesn't tell that there was one.
type Roster map[string][]string

// RosterMember is an entry of a roster.
type RosterMember struct {
	Service string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
}

// RosterChange adds members and then removes others. To add one that is there, or remove one that is not, changes
// nothing.
type RosterChange struct {
	Add    []RosterMember
	Remove []RosterMember
}

// Contains says whether a member is on the roster of a service.
func (r Roster) Contains(service, id string) bool {
	_, found := slices.BinarySearch(r[service], id)
	return found
}

// add keeps the lists that r shares with other rosters as they are. It says whether r changed.
func (r Roster) add(member RosterMember) bool {
	i, found := slices.BinarySearch(r[member.Service], member.ID)
	if !found {
		r[member.Service] = slices.Insert(slices.Clone(r[member.Service]), i, member.ID)
	}
	return !found
}

// remove keeps the lists that r shares with other rosters as they are. It says whether r changed.
func (r Roster) remove(member RosterMember) bool {
	i, found := slices.BinarySearch(r[member.Service], member.ID)
	if found {
		r[member.Service] = slices.Delete(slices.Clone(r[member.Service]), i, i+1)
	}
	return found
}

// WithRoster gives the state with a change of the roster; the same state if the change makes no difference.
func (s *State) WithRoster(change RosterChange) *State {
	roster, changed := maps.Clone(s.Roster), false
	if roster == nil {
		roster = Roster{}
	}
	for _, m := range change.Add {
		changed = roster.add(m) || changed
	}
	for _, m := range change.Remove {
		changed = roster.remove(m) || changed
	}
	if !changed {
		return s
	}
	next := *s
	next.Roster = roster
	return &next
}

// WithoutMember gives the state with a member removed from every roster: an operator says that it is gone for good, and
// gives up what it alone held.
func (s *State) WithoutMember(id string) *State {
	var change RosterChange
	for service := range s.Roster {
		if s.Roster.Contains(service, id) {
			change.Remove = append(change.Remove, RosterMember{Service: service, ID: id})
		}
	}
	return s.WithRoster(change)
}
