package registry

// This file owns the form of entries: one member as JSON, in discovery's form, under the prefix and its ID.

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"

	"weirwind/internal/roster"
)

const (
	maxEntryBytes  = 16 << 10
	maxStartMillis = 1e14 // far beyond any Unix time that a member can have started at
)

// phases are those that an entry may state.
var phases = map[string]roster.Phase{
	"up":       roster.PhaseUp,
	"draining": roster.PhaseDraining,
	"removed":  roster.PhaseRemoved,
}

// entryForm is an entry as it is stored.
type entryForm struct {
	ID        string // empty, or as in the key
	Address   string `json:"host_port"`
	Zone      string `json:"locality"`
	Group     *int64 `json:"cell"`
	Phase     string
	Access    string
	StartedAt float64 `json:"up_since_ms"`
}

// parseEntry parses the value under a member's key. Beside an error the entry holds the ID alone and, where it can be
// read, the phase: a mistake elsewhere must not hide a drain.
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
	if err := form.check(id); err != nil {
		invalid.Phase = phase
		return invalid, err
	}
	return roster.Entry{
		ID:        id,
		Address:   form.Address,
		Zone:      form.Zone,
		Group:     *form.Group,
		Phase:     phase,
		Access:    form.Access,
		StartedAt: form.StartedAt,
	}, nil
}

// parsePhase reads the phase out of a value that is wrong elsewhere.
func parsePhase(value []byte) roster.Phase {
	var form struct{ Phase any }
	if json.Unmarshal(value, &form) != nil {
		return 0
	}
	name, _ := form.Phase.(string)
	return phases[name]
}

// check checks all but the phase.
func (f *entryForm) check(id string) error {
	switch _, _, err := net.SplitHostPort(f.Address); {
	case id == "" || strings.Contains(id, "/"):
		return fmt.Errorf("the key names no member")
	case f.ID != "" && f.ID != id:
		return fmt.Errorf("it is of member %q", f.ID)
	case err != nil:
		return fmt.Errorf("host_port %q: %w", f.Address, err)
	case f.Group == nil:
		return fmt.Errorf("cell is missing")
	case f.Access != "" && f.Access != "writer" && f.Access != "reader":
		return fmt.Errorf("unknown access %q", f.Access)
	case f.StartedAt < 0 || f.StartedAt > maxStartMillis:
		return fmt.Errorf("up_since_ms %g", f.StartedAt)
	}
	return nil
}

// addEntry adds a key that is present to an update, as valid or as invalid.
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

// addRemoval adds a key that was deleted to an update.
func addRemoval(update *roster.Update, id string, modRevision int64) {
	update.Entries = append(update.Entries, roster.Entry{ID: id, Phase: roster.PhaseRemoved, ModRevision: modRevision})
}
