package discovery

// This file owns the form of the list.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// Response is the list, or what has changed in it.
type Response struct {
	Revision int64
	Complete bool // else only the members that have changed
	Members  []Entry
}

// Entry is one member as the list has it. Errors of encoding/json quote the names in the tags, and operators read them.
type Entry struct {
	ID        string
	Address   string `json:"host_port"`
	Zone      string `json:"Locality"`
	Group     int64  `json:"Cell"`
	Phase     string
	Access    string  // the role, where the list shows it
	StartedAt float64 `json:"up_since_ms"` // Unix time in milliseconds, 0 for long ago
}

// The values of phases, and of access.
const (
	PhaseUp       = "up"
	PhaseDraining = "draining"
	PhaseRemoved  = "removed"
	AccessWriter  = "writer"
)

// Parse parses a list. It rejects one that lacks a field or has an entry that is wrong.
func Parse(text []byte) (Response, error) {
	var list struct {
		Revision *int64
		Complete *bool
		Members  *[]Entry
	}
	if err := json.Unmarshal(text, &list); err != nil {
		return Response{}, fmt.Errorf("list: %w", err)
	}
	if list.Revision == nil || list.Complete == nil || list.Members == nil {
		return Response{}, errors.New("list: lacks revision, complete or members")
	}
	for i := range *list.Members {
		if err := (*list.Members)[i].check(); err != nil {
			return Response{}, err
		}
	}
	return Response{*list.Revision, *list.Complete, *list.Members}, nil
}

func (e *Entry) check() error {
	switch e.Phase {
	case PhaseUp, PhaseDraining, PhaseRemoved:
	default:
		return fmt.Errorf("list: %q has the unknown phase %q", e.ID, e.Phase)
	}
	if _, _, err := net.SplitHostPort(e.Address); e.ID == "" || err != nil && e.Phase != PhaseRemoved {
		return fmt.Errorf("list: member %q at %q", e.ID, e.Address)
	}
	return nil
}
