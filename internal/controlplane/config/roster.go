package config

import (
	"maps"
	"slices"
)

// Roster lists for each service the sorted ids of the members that may hold an acknowledged commit, similar to the
// in-sync replica sets of Kafka. It is replicated because it can't be reconstructed: a dead member reports nothing, so
// after the loss of an unreplicated list no process would know that the member existed.
type Roster map[string][]string

// RosterMember identifies a member on the roster.
type RosterMember struct {
	Service string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
}

// RosterChange adds members and then removes others. Adding a member that is on the roster, or removing one that is
// not, has no effect.
type RosterChange struct {
	Add    []RosterMember
	Remove []RosterMember
}

// Contains reports whether a member is on the roster of a service.
func (r Roster) Contains(service, id string) bool {
	_, found := slices.BinarySearch(r[service], id)
	return found
}

// add adds a member and reports whether r changed. It does not modify lists that r shares with other rosters.
func (r Roster) add(member RosterMember) bool {
	i, found := slices.BinarySearch(r[member.Service], member.ID)
	if !found {
		r[member.Service] = slices.Insert(slices.Clone(r[member.Service]), i, member.ID)
	}
	return !found
}

// remove removes a member and reports whether r changed. It does not modify lists that r shares with other rosters.
func (r Roster) remove(member RosterMember) bool {
	i, found := slices.BinarySearch(r[member.Service], member.ID)
	if found {
		r[member.Service] = slices.Delete(slices.Clone(r[member.Service]), i, i+1)
	}
	return found
}

// WithRoster returns the state with a change of the roster applied, or s itself if the change has no effect.
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

// WithoutMember returns the state with a member removed from the rosters of all services. It is used when an
// operator declares that the member is gone for good, and so accepts the loss of commits that only this member had.
func (s *State) WithoutMember(id string) *State {
	var change RosterChange
	for service := range s.Roster {
		if s.Roster.Contains(service, id) {
			change.Remove = append(change.Remove, RosterMember{Service: service, ID: id})
		}
	}
	return s.WithRoster(change)
}
