package config

import "maps"

// Promotes lists for each service the promote that may take effect. It is replicated because it can't be reconstructed:
// the platform tells nobody what it has accepted.
type Promotes map[string]Promote

// Promote is a promote that was issued, or is about to be. Package failover describes the fields.
type Promote struct {
	Number         uint64 `cbor:"1,keyasint"` // rises with each promote of the service
	Candidate      string `cbor:"2,keyasint"` // member ID
	OldPrimary     string `cbor:"3,keyasint,omitempty"`
	PositionTerm   uint64 `cbor:"4,keyasint"`
	PositionNumber uint64 `cbor:"5,keyasint"`
	Term           uint64 `cbor:"6,keyasint"`
	Repeated       bool   `cbor:"7,keyasint,omitempty"`
	Accepted       bool   `cbor:"8,keyasint,omitempty"`
}

// WithPromote returns the state with the promote of a service replaced, or s itself if it is there already.
func (s *State) WithPromote(service string, promote Promote) *State {
	if s.Promotes[service] == promote {
		return s
	}
	return s.withPromotes(func(promotes Promotes) { promotes[service] = promote })
}

// WithoutPromote returns the state without the promote of a service that has a number, or s itself if there is none.
func (s *State) WithoutPromote(service string, number uint64) *State {
	if promote, found := s.Promotes[service]; !found || promote.Number != number {
		return s
	}
	return s.withPromotes(func(promotes Promotes) { delete(promotes, service) })
}

// withPromotes returns the state with its promotes changed. It does not modify those that s shares with other states.
func (s *State) withPromotes(change func(Promotes)) *State {
	next := *s
	next.Promotes = maps.Clone(s.Promotes)
	if next.Promotes == nil {
		next.Promotes = Promotes{}
	}
	change(next.Promotes)
	return &next
}
