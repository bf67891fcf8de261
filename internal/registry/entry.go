package registry

// This file owns the form of entries: one member as JSON, in discovery's form, under prefix/ID. It must never let
// one bad entry spoil another, nor drop what a bad one says of draining.

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"

	"weirwind/internal/roster"
)

// mostEntry is how many bytes an entry may have.
const mostEntry = 16 << 10

// phases are the words that an entry may hold.
var phases = map[string]roster.Phase{"up": roster.PhaseUp, "draining": roster.PhaseDraining,
	"removed": roster.PhaseRemoved}

// ParseEntry reads the value under a member's key. What is wrong comes as why; the entry then holds no more than the
// id and, where it can be told, the phase.
func ParseEntry(id string, value []byte) (e roster.Entry, why string) {
	var x struct {
		ID       string
		HostPort string `json:"host_port"`
		Locality string
		Cell     *int64
		Phase    string
		Access   string
		Started  float64 `json:"up_since_ms"`
	}
	e.ID = id
	if len(value) > mostEntry {
		return e, fmt.Sprintf("%d bytes are over %d", len(value), mostEntry)
	}
	if err := json.Unmarshal(value, &x); err != nil {
		var phase struct{ Phase any } // a wrong type elsewhere must not hide a drain
		if json.Unmarshal(value, &phase) == nil {
			if word, ok := phase.Phase.(string); ok {
				e.Phase = phases[word]
			}
		}
		return e, err.Error()
	}
	known := false
	if e.Phase, known = phases[x.Phase]; !known {
		return e, fmt.Sprintf("unknown phase %q", x.Phase)
	}
	bad := func(format string, args ...any) (roster.Entry, string) {
		return roster.Entry{ID: id, Phase: e.Phase}, fmt.Sprintf(format, args...)
	}
	switch _, _, err := net.SplitHostPort(x.HostPort); {
	case id == "" || strings.Contains(id, "/"):
		return bad("the key names no member")
	case x.ID != "" && x.ID != id:
		return bad("it is of member %q", x.ID)
	case err != nil:
		return bad("host_port %q: %v", x.HostPort, err)
	case x.Cell == nil:
		return bad("cell is missing")
	case x.Access != "" && x.Access != "writer" && x.Access != "reader":
		return bad("unknown access %q", x.Access)
	case x.Started < 0 || x.Started > 1e14:
		return bad("up_since_ms %g", x.Started)
	}
	e.Address, e.Zone, e.Group, e.Access, e.StartedAt = x.HostPort, x.Locality, *x.Cell, x.Access, x.Started
	return e, ""
}

// add puts one key into an update.
func add(u *roster.Update, prefix, key string, value []byte, mod int64, deleted bool) {
	id := strings.TrimPrefix(key, prefix)
	if deleted {
		u.Entries = append(u.Entries, roster.Entry{ID: id, Phase: roster.PhaseRemoved, ModRevision: mod})
		return
	}
	e, why := ParseEntry(id, value)
	if why != "" {
		u.Invalid = append(u.Invalid, roster.InvalidEntry{ID: id, Reason: why, Phase: e.Phase})
		return
	}
	e.ModRevision = mod
	u.Entries = append(u.Entries, e)
}
