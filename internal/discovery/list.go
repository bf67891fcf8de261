package discovery

// This file defines the format of the list.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
)

// Response is the complete list, or the changes of it.
type Response struct {
	Revision int64
	Complete bool // if false, Members has only the changed members
	Members  []Entry
}

// Entry is a member in the list. Errors of encoding/json, which operators read, quote the names in the tags.
type Entry struct {
	ID        string
	Address   string `json:"host_port"`
	Zone      string `json:"Locality"`
	Group     int64  `json:"Cell"`
	Phase     string
	Access    string  // the role, if the list shows it
	StartedAt float64 `json:"up_since_ms"` // Unix time in milliseconds; 0 if long ago
}

// The values of Entry.Phase and Entry.Access.
const (
	PhaseUp       = "up"
	PhaseDraining = "draining"
	PhaseRemoved  = "removed"
	AccessWriter  = "writer"
)

// Parse parses a list. A list that lacks a field or has an invalid entry is an error.
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
