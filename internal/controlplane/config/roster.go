package config

// This file owns the roster: which members of each service may hold a commit that was acknowledged.

import (
	"maps"
	"slices"
)

// Roster gives the ids of members by service, each list in order. It is agreed on because nobody can tell it again: a member that
// is dead says nothing, and who lost its tables doesn't know that there is one.
type Roster map[string][]string

// RosterMember is an entry of a roster.
type RosterMember struct {
	Service string `cbor:"1,keyasint"`
	ID      string `cbor:"2,keyasint"`
}

// RosterChange adds and removes members. Entries that are there already, or are not, change nothing.
type RosterChange struct {
	Add    []RosterMember
	Remove []RosterMember
}

// Contains says whether a member is on the roster of a service.
func (r Roster) Contains(svc, id string) bool {
	_, found := slices.BinarySearch(r[svc], id)
	return found
}

// WithRoster gives the state with a change of the roster. The same state: it was so before.
func (b *State) WithRoster(c RosterChange) *State {
	roster, changed := maps.Clone(b.Roster), false
	if roster == nil {
		roster = Roster{}
	}
	for _, m := range c.Add {
		if at, found := slices.BinarySearch(roster[m.Service], m.ID); !found {
			roster[m.Service] = slices.Insert(slices.Clone(roster[m.Service]), at, m.ID)
			changed = true
		}
	}
	for _, m := range c.Remove {
		if at, found := slices.BinarySearch(roster[m.Service], m.ID); found {
			roster[m.Service] = slices.Delete(slices.Clone(roster[m.Service]), at, at+1)
			changed = true
		}
	}
	if !changed {
		return b
	}
	next := *b
	next.Roster = roster
	return &next
}

// WithoutMember gives the state with a member struck from every roster, by an operator's word that it is gone for good and that
// what it alone held is given up.
func (b *State) WithoutMember(id string) (*State, error) {
	var c RosterChange
	for svc := range b.Roster {
		if b.Roster.Contains(svc, id) {
			c.Remove = append(c.Remove, RosterMember{svc, id})
		}
	}
	return b.WithRoster(c), nil
}
