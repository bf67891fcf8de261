package registry

// This file defines the format of entries: a member as JSON, as in discovery, under the prefix and the member's ID.

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"

	"weirwind/internal/roster"
)

const (
	maxEntryBytes  = 16 << 10
	maxStartMillis = 1e14 // rejects values far beyond any plausible Unix time in milliseconds
)

// phases maps the names of phases in entries.
var phases = map[string]roster.Phase{
	"up":       roster.PhaseUp,
	"draining": roster.PhaseDraining,
	"removed":  roster.PhaseRemoved,
}

// entryForm is the stored form of an entry. It is an alias, and its fields are named like the stored ones, because
// errors of encoding/json quote the names of types and fields, and operators read them.
type entryForm = struct {
	ID       string // empty, or the same as in the key
	HostPort string `json:"host_port"`
	Locality string
	Cell     *int64
	Phase    string
	Access   string
	Started  float64 `json:"up_since_ms"` // Unix time in milliseconds, 0 for long ago
}

// parseEntry parses the value of a member's key. With an error, the entry holds only the ID and, if readable, the
// phase, so that a mistake in another field doesn't hide a drain.
func parseEntry(id string, value []byte) (roster.Entry, error) {
	invalid := roster.Entry{ID: id}
	if len(value) > maxEntryBytes {
		return invalid, fmt.Errorf("%d bytes are over %d", len(value), maxEntryBytes)
	}
	var form entryForm
	if err := json.Unmarshal(value, &form); err != nil {
		invalid.Phase = parsePhase(value)
		return invalid, err
	}
	phase, known := phases[form.Phase]
	if !known {
		return invalid, fmt.Errorf("unknown phase %q", form.Phase)
	}
	if err := checkForm(&form, id); err != nil {
		invalid.Phase = phase
		return invalid, err
	}
	return roster.Entry{
		ID:        id,
		Address:   form.HostPort,
		Zone:      form.Locality,
		Group:     *form.Cell,
		Phase:     phase,
		Access:    form.Access,
		StartedAt: form.Started,
	}, nil
}

// parsePhase reads the phase of a value that is invalid otherwise.
func parsePhase(value []byte) roster.Phase {
	var form struct{ Phase any }
	if json.Unmarshal(value, &form) != nil {
		return 0
	}
	name, _ := form.Phase.(string)
	return phases[name]
}

// checkForm validates all fields except the phase.
func checkForm(form *entryForm, id string) error {
	switch _, _, err := net.SplitHostPort(form.HostPort); {
	case id == "" || strings.Contains(id, "/"):
		return fmt.Errorf("the key names no member")
	case form.ID != "" && form.ID != id:
		return fmt.Errorf("it is of member %q", form.ID)
	case err != nil:
		return fmt.Errorf("host_port %q: %w", form.HostPort, err)
	case form.Cell == nil:
		return fmt.Errorf("cell is missing")
	case form.Access != "" && form.Access != "writer" && form.Access != "reader":
		return fmt.Errorf("unknown access %q", form.Access)
	case form.Started < 0 || form.Started > maxStartMillis:
		return fmt.Errorf("up_since_ms %g", form.Started)
	}
	return nil
}

// addEntry adds an existing key to an update, as a valid or an invalid entry.
func addEntry(update *roster.Update, id string, value []byte, modRevision int64) {
	e, err := parseEntry(id, value)
	if err != nil {
		addInvalid(update, id, e.Phase, err)
		return
	}
	e.ModRevision = modRevision
	update.Entries = append(update.Entries, e)
}

func addInvalid(update *roster.Update, id string, phase roster.Phase, err error) {
	update.Invalid = append(update.Invalid, roster.InvalidEntry{ID: id, Reason: err.Error(), Phase: phase})
}

// addRemoval adds a deleted key to an update.
func addRemoval(update *roster.Update, id string, modRevision int64) {
	update.Entries = append(update.Entries, roster.Entry{ID: id, Phase: roster.PhaseRemoved, ModRevision: modRevision})
}
